package member

import (
	"maps"
	"slices"
)

// tick returns the heartbeats that are due. A contact gets none if it sends heartbeats to this
// instance itself, since the replies to them serve the same purpose.
func (c *Core) tick(now Time) []Effect {
	var targets []string
	if now >= c.nextDomainSend {
		c.nextDomainSend = nextAfter(now, c.nextDomainSend, Time(c.config.HeartbeatInterval))
		c.round++
		c.domainPeers = c.countDomainPeers()
		targets = c.domainContacts()
	}
	if now >= c.nextCrossDomainSend {
		c.nextCrossDomainSend = nextAfter(now, c.nextCrossDomainSend, Time(c.config.CrossDomainInterval))
		targets = append(targets, c.crossDomainContacts(now)...)
	}
	var effects []Effect
	for _, name := range targets {
		k := c.known[name]
		if !c.leaving && (c.isSparse(k) && c.round%sparseFactor != 0 || now < k.replyOnlyUntil && c.isSender(k)) {
			continue
		}
		effects = append(effects, SendHeartbeat{To: k.Instance, Heartbeat: c.NextHeartbeat(now)})
	}
	return effects
}

// sparseFactor is the number of heartbeat intervals between two heartbeats of a pair of
// followers.
const sparseFactor = 2

// isSparse reports whether a contact needs fewer heartbeats. That holds between two followers
// in a full-mesh domain: no lease and no election of a leader depends on the heartbeats that
// they exchange.
func (c *Core) isSparse(k *knownInstance) bool {
	return k.Domain == c.config.Self.Domain && c.isFullMesh() &&
		c.leader.Name != "" && c.leader != c.config.Self.Process && c.leader != k.Process
}

// isFullMesh reports whether all instances of the domain send heartbeats to each other, as of
// the last heartbeat round.
func (c *Core) isFullMesh() bool {
	return c.domainPeers < c.config.MaxFullMesh
}

// countDomainPeers returns the number of other instances of the domain that are not removed.
func (c *Core) countDomainPeers() int {
	peers := 0
	for _, k := range c.known {
		if k.Domain == c.config.Self.Domain && !k.removed {
			peers++
		}
	}
	return peers
}

// nextAfter returns the time of the next round. It keeps the schedule when ticks come a little
// late, and does not catch up on rounds missed during a pause.
func nextAfter(now, due, period Time) Time {
	return max(due+period, now+period/2)
}

// isSender reports whether the contact sends the heartbeats between it and this instance, which
// then only replies. Between a leader and a follower of its domain the follower sends, because
// the leases that it holds as a gate depend on the replies of the leader. In other pairs the
// first by name sends. If the two disagree about the leader, both may send.
func (c *Core) isSender(k *knownInstance) bool {
	switch c.leader {
	case c.config.Self.Process:
		return k.Domain == c.config.Self.Domain || k.Name < c.config.Self.Name
	case k.Process:
		return false
	default:
		return k.Name < c.config.Self.Name
	}
}

// NextHeartbeat returns the next heartbeat to send, or to reply with. Each call increases the
// heartbeat counter.
func (c *Core) NextHeartbeat(now Time) Heartbeat {
	c.count++
	h := Heartbeat{
		Instance: c.config.Self,
		Count:    c.count,
		Leaving:  c.leaving,
		Leader:   c.leader,
		Term:     c.term,
	}
	for _, k := range c.sorted() {
		if now < k.inboundUntil {
			h.Direct = append(h.Direct, k.Process)
		}
	}
	if !c.isFullMesh() {
		h.Gossip = c.nextGossip(now)
	}
	return h
}

// nextGossip returns the counters for the next heartbeat. It continues in the order of names
// where the last heartbeat ended and wraps around, so that the counters of all live instances
// of the domain are passed on in turn although a heartbeat holds at most Config.MaxGossip.
func (c *Core) nextGossip(now Time) []HeartbeatCount {
	order := c.sorted()
	var counts []HeartbeatCount
	for n := range order {
		k := order[(c.gossipOffset+n)%len(order)]
		if k.Domain != c.config.Self.Domain || now >= k.liveUntil {
			continue
		}
		if len(counts) == c.config.MaxGossip {
			c.gossipOffset = (c.gossipOffset + n) % len(order)
			break
		}
		counts = append(counts, HeartbeatCount{Process: k.Process, Count: k.count})
	}
	return counts
}

// sorted returns the known instances sorted by name.
func (c *Core) sorted() []*knownInstance {
	if len(c.order) != len(c.known) {
		c.order = c.order[:0]
		for _, name := range slices.Sorted(maps.Keys(c.known)) {
			c.order = append(c.order, c.known[name])
		}
	}
	return c.order
}

// domainContacts returns the names to contact in this domain. It includes instances that are not
// live, because only a heartbeat to them finds out that they have returned, but none that were
// removed. It always includes the leader.
func (c *Core) domainContacts() []string {
	names := contacts(c.namesIn(c.config.Self.Domain), c.config.Self.Name, c.config.MaxFullMesh)
	leader := c.known[c.leader.Name]
	if leader != nil && !leader.removed && !slices.Contains(names, c.leader.Name) {
		names = append(names, c.leader.Name)
	}
	return names
}

// crossDomainContacts returns the names to contact in other domains, a few in each.
func (c *Core) crossDomainContacts(now Time) []string {
	domains := []string{c.config.Self.Domain}
	for _, k := range c.known {
		if !slices.Contains(domains, k.Domain) {
			domains = append(domains, k.Domain)
		}
	}
	slices.Sort(domains)
	var targets []string
	for _, domain := range contacts(domains, c.config.Self.Domain, c.config.MaxFullMesh) {
		targets = append(targets, c.contactsIn(now, domain)...)
	}
	return targets
}

// namesIn returns the sorted names known in a domain, including that of this instance if it
// belongs to the domain.
func (c *Core) namesIn(domain string) []string {
	var names []string
	if domain == c.config.Self.Domain {
		names = append(names, c.config.Self.Name)
	}
	for _, k := range c.sorted() {
		if k.Domain == domain && !k.removed {
			names = append(names, k.Name)
		}
	}
	slices.Sort(names)
	return names
}

// contactsIn returns the names to contact in another domain: up to Config.ContactsPerDomain
// live ones and a single one that is not live. The latter is a different one each time, so that
// contact is restored with a domain whose known instances were all replaced. Each instance
// starts at the index that it has among the names of its own domain, so that not all of them
// contact the same instances of the other domain.
func (c *Core) contactsIn(now Time, domain string) []string {
	var live, unreachable []string
	for _, name := range c.namesIn(domain) {
		if now < c.known[name].liveUntil {
			live = append(live, name)
		} else {
			unreachable = append(unreachable, name)
		}
	}
	var chosen []string
	start := slices.Index(c.namesIn(c.config.Self.Domain), c.config.Self.Name)
	for n := range min(len(live), c.config.ContactsPerDomain) {
		chosen = append(chosen, live[(start+n)%len(live)])
	}
	if len(unreachable) > 0 {
		c.probeTurn++
		chosen = append(chosen, unreachable[c.probeTurn%len(unreachable)])
	}
	return chosen
}
