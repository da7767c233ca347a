package homes

import (
	"maps"
	"slices"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// Core keeps the homes of one failure domain at one instance. It is not safe for concurrent
// use.
type Core struct {
	config  Config
	now     Time
	effects []Effect

	bundle *bundle.Bundle
	state  *fold.State
	homes  []fold.Taken
	// homesKnown says that homes were read or copied; before, nothing may be served.
	homesKnown  bool
	leaderState *LeaderState
	// fence is the highest value of the homes fence that this instance knows of.
	fence uint64
	// lastSeen is when each other domain was last heard; the first call counts as hearing all.
	lastSeen map[string]Time
	// evictedAt is when this instance last read of a new eviction of another domain, by service.
	evictedAt map[string]Time
	// seenEvictions are the offsets of those read so far, and homesAt that of the newest change
	// of each domain.
	seenEvictions map[uint64]bool
	homesOffset   map[string]uint64
	// noticeReadAt is when this instance first read each notice of an eviction.
	noticeReadAt map[uint64]Time
	allowed      map[string][]keys.Range
	// allowedBundle is the bundle that the leader was told of last.
	allowedBundle *bundle.Bundle
	// requestedAt is when a record was last asked for, by its ID.
	requestedAt map[string]Time
}

// New returns a core that allows nothing yet.
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

// Handle takes an event and returns what is to be done, in order.
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

// trackHomes remembers when this instance read what. A domain that states its homes is there,
// though it may be cut off from this one.
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

func (c *Core) takenBy(service, domain string) fold.Taken {
	return fold.TakenBy(c.homes, service, domain)
}

// base is what the next statement of this domain is based on.
func (c *Core) base() uint64 {
	return fold.HomesBase(c.homes, c.config.Domain)
}

// releasePending reports whether a statement that leaves ranges out may be under way and not yet
// folded. A leader teaches its voters the base of such a statement plus one before it asks
// for the append, so its successor, which may be cut off from the log, learns of it.
func (c *Core) releasePending() bool {
	return c.fence > c.base()
}

// unreachable reports whether a domain was not heard for so long that its ranges may be freed.
func (c *Core) unreachable(domain string) bool {
	at, known := c.lastSeen[domain]
	return known && domain != c.config.Domain && c.now > at+Time(c.config.EvictAfter)
}

// wantedRanges returns what this domain should serve of a service: its own homes, and those that
// were freed because their domain is silent.
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

// updateAllowed publishes what may be served if that or the bundle changed. The leader learns of a
// bundle only so.
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

func (c *Core) allowedRanges(s *bundle.Service) []keys.Range {
	if c.leaderState == nil {
		return nil
	}
	may := keys.Intersect(c.wantedRanges(s), c.takenBy(s.Name, c.config.Domain).Ranges)
	if c.releasePending() {
		return keys.Intersect(may, c.leaderState.Ranges[s.Name])
	}
	until := c.takeoverWaitEnd(s)
	if c.now > until {
		return may
	}
	return keys.Intersect(may, keys.Union(c.allowed[s.Name], c.assignedRanges(s.Name)))
}

// assignedRanges returns what the log says servers of this domain were assigned. Such ranges are
// past any wait.
func (c *Core) assignedRanges(service string) []keys.Range {
	if c.state == nil {
		return nil
	}
	var all []keys.Range
	for _, a := range c.state.Assigned[c.config.Domain] {
		if a.Service == service {
			all = append(all, a.Assignment.Ranges...)
		}
	}
	return all
}

// takeoverWaitEnd returns until when the former domain of freed ranges may still serve them. Its
// last read of the log was before the record that freed them, and this instance read that
// record later. The wait holds also when the former domain states its homes again meanwhile:
// its servers may still act on what it lost.
func (c *Core) takeoverWaitEnd(s *bundle.Service) Time {
	at, evicted := c.evictedAt[s.Name]
	if !evicted {
		return -1
	}
	return at + c.takeoverWait(s)
}

func (c *Core) takeoverWait(s *bundle.Service) Time {
	bound := Time(c.config.IsolationTimeout)
	bound += bound * Time(c.config.DriftPerMille) / 1000
	for _, v := range s.Servers {
		if !v.ChecksGrants {
			return bound + Time(s.Limits.RequestMillis)*1e6 + Time(c.config.MaxPause)
		}
	}
	return bound
}
