package member

import (
	"maps"
	"slices"
)

// tick sends the heartbeats that are due.
func (c *Core) tick(now Time) []Effect {
	var targets []string
	if now >= c.nextAt {
		c.nextAt = nextAfter(now, c.nextAt, Time(c.config.HeartbeatInterval))
		c.round++
		c.mates = c.countMates()
		targets = c.inside()
	}
	if now >= c.nextOut {
		c.nextOut = nextAfter(now, c.nextOut, Time(c.config.CrossDomainInterval))
		targets = append(targets, c.outside(now)...)
	}
	var effects []Effect
	for _, name := range targets {
		k := c.known[name]
		if !c.leaving && (c.isSparse(k) && c.round%sparsePeriods != 0 || now < k.calledUntil && c.isCaller(k)) {
			continue
		}
		effects = append(effects, SendHeartbeat{To: k.Instance, Heartbeat: c.NextHeartbeat(now)})
	}
	return effects
}

// sparsePeriods is the number of periods between heartbeats of two followers.
const sparsePeriods = 2

// isSparse reports whether a contact needs fewer heartbeats: one of two followers in a small
// domain, where no right and no succession rests on their hearing of each other.
func (c *Core) isSparse(k *known) bool {
	return k.Domain == c.config.Self.Domain && c.isSmall() &&
		c.leader.Name != "" && c.leader != c.config.Self.Process && c.leader != k.Process
}

// isSmall reports whether all instances of the domain are in direct contact, as of the last
// tick.
func (c *Core) isSmall() bool {
	return c.mates < c.config.MaxFullMesh
}

// countMates returns the number of other instances of the domain.
func (c *Core) countMates() int {
	mates := 0
	for _, k := range c.known {
		if k.Domain == c.config.Self.Domain && !k.gone {
			mates++
		}
	}
	return mates
}

// nextAfter keeps the pace when ticks come a little late, and does not make up for a pause.
func nextAfter(now, due, period Time) Time {
	return max(due+period, now+period/2)
}

// isCaller reports whether a contact is the one of the two that sends, while the other only
// answers: the follower of a leader, whose rights rest on the leader's answers, otherwise the
// first by name. Where they disagree both send.
func (c *Core) isCaller(k *known) bool {
	switch c.leader {
	case c.config.Self.Process:
		return k.Domain == c.config.Self.Domain || k.Name < c.config.Self.Name
	case k.Process:
		return false
	default:
		return k.Name < c.config.Self.Name
	}
}

// NextHeartbeat returns the next heartbeat, to be sent or to answer one.
func (c *Core) NextHeartbeat(now Time) Heartbeat {
	c.count++
	b := Heartbeat{
		Instance: c.config.Self,
		Count:    c.count,
		Leaving:  c.leaving,
		Leader:   c.leader,
		Term:     c.term,
	}
	for _, k := range c.sorted() {
		if now < k.heardUntil {
			b.Direct = append(b.Direct, k.Process)
		}
	}
	if !c.isSmall() {
		b.Gossip = c.hearsayFor(now)
	}
	return b
}

// hearsayFor goes on in the circle of names where the heartbeat before ended, so that a
// bounded heartbeat passes on everybody's counter in turn.
func (c *Core) hearsayFor(now Time) []HeartbeatCount {
	order := c.sorted()
	var counts []HeartbeatCount
	for n := range order {
		k := order[(c.told+n)%len(order)]
		if k.Domain != c.config.Self.Domain || now >= k.liveUntil {
			continue
		}
		if len(counts) == c.config.MaxGossip {
			c.told = (c.told + n) % len(order)
			break
		}
		counts = append(counts, HeartbeatCount{Process: k.Process, Count: k.count})
	}
	return counts
}

// sorted returns what is known in the order of names.
func (c *Core) sorted() []*known {
	if len(c.order) != len(c.known) {
		c.order = c.order[:0]
		for _, name := range slices.Sorted(maps.Keys(c.known)) {
			c.order = append(c.order, c.known[name])
		}
	}
	return c.order
}

// inside returns the contacts in the own domain, dead ones included: only a heartbeat to
// them finds out that they have returned. What is gone for certain is left out. The leader is
// among them in any case.
func (c *Core) inside() []string {
	names := contacts(c.namesOf(c.config.Self.Domain), c.config.Self.Name, c.config.MaxFullMesh)
	leader := c.known[c.leader.Name]
	if leader != nil && !leader.gone && !slices.Contains(names, c.leader.Name) {
		names = append(names, c.leader.Name)
	}
	return names
}

// outside returns contacts in other domains, a few in each.
func (c *Core) outside(now Time) []string {
	domains := []string{c.config.Self.Domain}
	for _, k := range c.known {
		if !slices.Contains(domains, k.Domain) {
			domains = append(domains, k.Domain)
		}
	}
	slices.Sort(domains)
	var targets []string
	for _, domain := range contacts(domains, c.config.Self.Domain, c.config.MaxFullMesh) {
		targets = append(targets, c.delegatesOf(now, domain)...)
	}
	return targets
}

// namesOf returns the sorted names known in a domain, with the own one if it is there.
func (c *Core) namesOf(domain string) []string {
	var names []string
	if domain == c.config.Self.Domain {
		names = append(names, c.config.Self.Name)
	}
	for _, k := range c.sorted() {
		if k.Domain == domain && !k.gone {
			names = append(names, k.Name)
		}
	}
	slices.Sort(names)
	return names
}

// delegatesOf returns those to contact in another domain: a few live ones, and one that is
// not known to live, a different one each time, so that a domain whose known instances were
// all replaced is found again. Instances begin at the place that they have among their own,
// so that no instance of the other domain answers them all.
func (c *Core) delegatesOf(now Time, domain string) []string {
	var live, silent []string
	for _, name := range c.namesOf(domain) {
		if now < c.known[name].liveUntil {
			live = append(live, name)
		} else {
			silent = append(silent, name)
		}
	}
	var chosen []string
	place := slices.Index(c.namesOf(c.config.Self.Domain), c.config.Self.Name)
	for n := range min(len(live), c.config.ContactsPerDomain) {
		chosen = append(chosen, live[(place+n)%len(live)])
	}
	if len(silent) > 0 {
		c.turn++
		chosen = append(chosen, silent[c.turn%len(silent)])
	}
	return chosen
}
