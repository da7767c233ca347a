package leader

import (
	"github.com/cespare/xxhash/v2"
)

// adoptFormerGates takes the gates from the table of the former leader, so that a change of
// leader does not move them.
func (c *Core) adoptFormerGates() {
	for _, g := range c.formerTable.Gates {
		c.gates[g.Server] = g.Instance
	}
}

// chooseGates keeps the gates that are alive and chooses new ones for the other servers. All
// servers of an undivided service have the same gate. It reports whether a gate changed.
func (c *Core) chooseGates() bool {
	alive := c.aliveInstances()
	changed := false
	for _, s := range c.services {
		for _, b := range s.Servers {
			if b.Slots == 0 || c.alive(c.gates[b.Name]) && (s.Divided || c.gates[b.Name] == c.gates[s.Servers[0].Name]) {
				continue
			}
			subject := b.Name
			if !s.Divided {
				subject = s.Name
			}
			if gate := rendezvous(subject, alive); gate != c.gates[b.Name] {
				c.gates[b.Name] = gate
				changed = true
			}
		}
	}
	if changed && c.lead != nil {
		c.lead.tableDirty = true
	}
	return changed
}

// rendezvous returns the name that rendezvous hashing selects for a subject: the one with the
// highest hash of subject and name. It returns "" if there are no names.
func rendezvous(subject string, names []string) string {
	best, highest := "", uint64(0)
	for _, name := range names {
		if h := xxhash.Sum64String(subject + "\x00" + name); best == "" || h > highest {
			best, highest = name, h
		}
	}
	return best
}

// handleListed takes the platform's list. An instance that was removed from it has certainly
// ended, so it can send no request after a pause. Requests that it had sent may still run.
func (c *Core) handleListed(ev Listed) {
	listed := make(map[string]bool, len(ev.Instances))
	for _, name := range ev.Instances {
		listed[name] = true
	}
	for name := range c.listedInstances {
		if !listed[name] {
			c.instanceGone(name)
		}
	}
	c.listedInstances = listed
	c.forgetPeers()
}

// instanceGone removes an instance that has ended. Its grants as a gate still block their
// ranges, but for no more than the time that requests may run.
func (c *Core) instanceGone(name string) {
	delete(c.peers, name)
	l := c.lead
	if l == nil {
		return
	}
	for id, h := range l.holders {
		if id.gate == name && !h.checksGrants {
			c.retire(h)
			delete(l.holders, id)
		}
	}
	for _, h := range l.retired {
		if s := c.serviceOf(h.service); s != nil && h.gate == name {
			h.drainTime = min(h.drainTime, Time(s.RequestMillis)*1e6)
		}
	}
	c.chooseGates()
	c.updateHolders()
	c.placeSoon()
}

// forgetPeers removes peers that have sent no heartbeat for long, so that the map does not
// grow as instances are replaced over months.
func (c *Core) forgetPeers() {
	for name, p := range c.peers {
		if c.now > p.heardAt+100*maxMissedHeartbeats*c.heartbeatInterval() {
			delete(c.peers, name)
		}
	}
}
