package homes

import (
	"maps"
	"slices"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// Core is the state machine that decides, at one instance, which ranges its failure domain
// may serve. It is not safe for concurrent use.
type Core struct {
	config  Config
	now     Time
	effects []Effect

	bundle *bundle.Bundle
	state  *fold.State
	homes  []fold.DomainHomes
	// homesKnown says that homes were read from the log or copied from a peer. Until then
	// nothing may be served.
	homesKnown bool
	// leaderState is nil while this instance does not lead.
	leaderState *LeaderState
	// fence is the highest value of the homes fence that this instance knows of. The homes
	// fence is a number that the voters store: one more than the base of the newest statement
	// that gave ranges up, or was about to. See releasePending.
	fence uint64
	// lastSeen is when each other domain was last seen to be alive. It starts when a bundle
	// first names the domain.
	lastSeen map[string]Time
	// evictedAt is, by service, when this instance last read a new eviction of another
	// domain.
	evictedAt map[string]Time
	// seenEvictions holds the log offsets of the evictions read so far, and homesOffset, by
	// domain, that of the newest statement of homes.
	seenEvictions map[uint64]bool
	homesOffset   map[string]uint64
	// noticeReadAt is when this instance first read each notice of an eviction, by offset
	// plus one.
	noticeReadAt map[uint64]Time
	// allowed holds the ranges of the last Allow by service, and allowedBundle its bundle.
	allowed       map[string][]keys.Range
	allowedBundle *bundle.Bundle
	// requestedAt is when each append was last requested, by record ID.
	requestedAt map[string]Time
}

// New returns a core that allows no range yet.
func New(config Config) *Core {
	return &Core{
		config:        config,
		lastSeen:      make(map[string]Time),
		evictedAt:     make(map[string]Time),
		seenEvictions: make(map[uint64]bool),
		homesOffset:   make(map[string]uint64),
		noticeReadAt:  make(map[uint64]Time),
		requestedAt:   make(map[string]Time),
	}
}

// Handle takes an event and returns the effects, which must be carried out in order.
func (c *Core) Handle(now Time, ev Event) []Effect {
	c.now = max(c.now, now)
	c.effects = nil
	switch ev := ev.(type) {
	case BundleInForce:
		c.setBundle(ev)
	case LogRead:
		c.state, c.homes, c.homesKnown = ev.State, ev.State.Homes, true
		c.trackHomes()
	case PeerHomes:
		c.usePeerHomes(ev)
	case ReachableDomains:
		c.markReachable(ev)
	case NotLeading:
		c.leaderState = nil
	case LeaderState:
		c.leaderState = &ev
		c.fence = max(c.fence, ev.Fence)
		c.updateLog()
	}
	c.updateAllowed()
	return c.effects
}

func (c *Core) setBundle(ev BundleInForce) {
	c.bundle = ev.Bundle
	for _, d := range ev.Bundle.Domains {
		if _, known := c.lastSeen[d.Name]; !known {
			c.lastSeen[d.Name] = c.now
		}
	}
}

func (c *Core) usePeerHomes(ev PeerHomes) {
	if c.state == nil && len(ev.Homes) > 0 {
		c.homes, c.homesKnown = ev.Homes, true
	}
}

func (c *Core) markReachable(ev ReachableDomains) {
	for _, d := range ev.Names {
		c.lastSeen[d] = c.now
	}
}

// trackHomes records when this instance first read each eviction of another domain and each
// notice. A domain that states its homes is alive, even if this instance cannot reach it.
func (c *Core) trackHomes() {
	for _, t := range c.homes {
		if t.Evicted && t.Domain != c.config.Domain && !c.seenEvictions[t.Offset] {
			c.seenEvictions[t.Offset] = true
			c.evictedAt[t.Service] = c.now
		}
		if _, known := c.noticeReadAt[t.Notice]; t.Notice != 0 && !known {
			c.noticeReadAt[t.Notice] = c.now
		}
		if t.Notice == 0 && !t.Evicted && t.Offset > c.homesOffset[t.Domain] {
			c.homesOffset[t.Domain] = t.Offset
			c.lastSeen[t.Domain] = c.now
		}
	}
}

func (c *Core) takenBy(service, domain string) fold.DomainHomes {
	return fold.FindHomes(c.homes, service, domain)
}

// base returns the offset plus one of the last change to the homes of this domain, on which
// its next statement is based.
func (c *Core) base() uint64 {
	return fold.HomesBase(c.homes, c.config.Domain)
}

// releasePending reports whether a statement that gives ranges up may be on its way to the
// log without having been folded yet. Before a leader requests such an append, it has a
// majority of its voters store the base of the statement plus one as the fence. So a
// successor learns of it even if it cannot reach the log.
func (c *Core) releasePending() bool {
	return c.fence > c.base()
}

// unreachable reports whether another domain has not been seen for so long that its ranges
// may be freed.
func (c *Core) unreachable(domain string) bool {
	at, known := c.lastSeen[domain]
	return known && domain != c.config.Domain && c.now > at+Time(c.config.EvictAfter)
}

// wantedRanges returns the ranges of a service that this domain should serve: its own homes,
// and those that were freed because their domain is unreachable.
func (c *Core) wantedRanges(s *bundle.Service) []keys.Range {
	var want []keys.Range
	for _, h := range c.bundle.HomeRanges(s.Name) {
		own := h.Domain == c.config.Domain
		freed := s.Isolation == bundle.IsolationMove && c.takenBy(s.Name, h.Domain).Evicted && c.unreachable(h.Domain)
		if own || freed {
			want = append(want, h.Range)
		}
	}
	return keys.Union(want, nil)
}

// updateAllowed issues an Allow if the allowed ranges or the bundle have changed. This is the
// only way in which the leader learns of a bundle, so it must happen for each bundle.
func (c *Core) updateAllowed() {
	if c.bundle == nil || !c.homesKnown {
		return
	}
	next := make(map[string][]keys.Range)
	for i := range c.bundle.Services {
		s := &c.bundle.Services[i]
		if s.Divided {
			next[s.Name] = c.allowedRanges(s)
		}
	}
	if c.allowedBundle == c.bundle && maps.EqualFunc(c.allowed, next, slices.Equal[[]keys.Range]) {
		return
	}
	c.allowed, c.allowedBundle = next, c.bundle
	c.effects = append(c.effects, Allow{Bundle: c.bundle, Ranges: next})
}

// allowedRanges returns the ranges of a service that the domain may serve now. While a
// release may be pending, no range is added to those that servers may already act on. While
// the former domain of freed ranges may still serve them, no range is added to those allowed
// or assigned before.
func (c *Core) allowedRanges(s *bundle.Service) []keys.Range {
	if c.leaderState == nil {
		return nil
	}
	ranges := keys.Intersect(c.wantedRanges(s), c.takenBy(s.Name, c.config.Domain).Ranges)
	if c.releasePending() {
		return keys.Intersect(ranges, c.leaderState.Ranges[s.Name])
	}
	until := c.takeoverWaitEnd(s)
	if c.now > until {
		return ranges
	}
	return keys.Intersect(ranges, keys.Union(c.allowed[s.Name], c.assignedRanges(s.Name)))
}

// assignedRanges returns the ranges of a service that the log records as assigned to servers
// of this domain. They were assigned after any wait, so they need not wait again.
func (c *Core) assignedRanges(service string) []keys.Range {
	if c.state == nil {
		return nil
	}
	var all []keys.Range
	for _, a := range c.state.Assignments[c.config.Domain] {
		if a.Service == service {
			all = append(all, a.Assignment.Ranges...)
		}
	}
	return all
}

// takeoverWaitEnd returns until when the former domain of freed ranges may still serve them,
// or -1 if no ranges were freed.
//
// The former domain last read the log before the record that freed the ranges was written,
// and this instance read that record afterwards, so the wait may start at the time of this
// read. It is not cut short when the former domain states its homes again: its servers may
// still act on the ranges that it lost.
func (c *Core) takeoverWaitEnd(s *bundle.Service) Time {
	at, evicted := c.evictedAt[s.Name]
	if !evicted {
		return -1
	}
	return at + c.takeoverWait(s)
}

// takeoverWait returns how long the former domain of freed ranges may serve them after its
// last read of the log: IsolationTimeout, lengthened for clock drift. If a server does not
// check grants, the sender may be paused before it sends a request, which then runs for up to
// its time limit, so both times are added.
func (c *Core) takeoverWait(s *bundle.Service) Time {
	wait := Time(c.config.IsolationTimeout)
	wait += wait * Time(c.config.DriftPerMille) / 1000
	for _, v := range s.Servers {
		if !v.ChecksGrants {
			return wait + Time(s.Limits.RequestMillis)*1e6 + Time(c.config.MaxPause)
		}
	}
	return wait
}
