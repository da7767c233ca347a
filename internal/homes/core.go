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
	homes  []fold.DomainHomes
	// known says that homes were read or copied; before, nothing may be served.
	known bool
	held  *LeaderState
	// fence is the highest value of the homes fence that this instance knows of.
	fence uint64
	// heardAt is when each other domain was last heard; the first call counts as hearing all.
	heardAt map[string]Time
	// evictedAt is when this instance last read of a new eviction of another domain, by service.
	evictedAt map[string]Time
	// evictions are the offsets of those read so far, and homesAt that of the newest change
	// of each domain.
	evictions map[uint64]bool
	homesAt   map[string]uint64
	// noticedAt is when this instance first read each notice of an eviction.
	noticedAt map[uint64]Time
	allowed   map[string][]keys.Range
	// allowedFor is the bundle that the leader was told of last.
	allowedFor *bundle.Bundle
	// sentAt is when a record was last asked for, by its ID.
	sentAt map[string]Time
}

// New returns a core that allows nothing yet.
func New(config Config) *Core {
	return &Core{
		config:    config,
		heardAt:   make(map[string]Time),
		evictedAt: make(map[string]Time),
		evictions: make(map[uint64]bool),
		homesAt:   make(map[string]uint64),
		noticedAt: make(map[uint64]Time),
		sentAt:    make(map[string]Time),
	}
}

// Handle takes an event and returns what is to be done, in order.
func (c *Core) Handle(now Time, ev Event) []Effect {
	c.now = max(c.now, now)
	c.effects = nil
	switch ev := ev.(type) {
	case BundleInForce:
		c.inForce(ev)
	case LogRead:
		c.state, c.homes, c.known = ev.State, ev.State.Homes, true
		c.noteHomes()
	case PeerHomes:
		c.copied(ev)
	case ReachableDomains:
		c.hear(ev)
	case NotLeading:
		c.held = nil
	case LeaderState:
		c.held = &ev
		c.fence = max(c.fence, ev.Fence)
		c.declare()
	}
	c.allow()
	return c.effects
}

func (c *Core) inForce(ev BundleInForce) {
	c.bundle = ev.Bundle
	for _, d := range ev.Bundle.Domains {
		if _, known := c.heardAt[d.Name]; !known {
			c.heardAt[d.Name] = c.now
		}
	}
}

func (c *Core) copied(ev PeerHomes) {
	if c.state == nil && len(ev.Homes) > 0 {
		c.homes, c.known = ev.Homes, true
	}
}

func (c *Core) hear(ev ReachableDomains) {
	for _, d := range ev.Names {
		c.heardAt[d] = c.now
	}
}

// noteHomes remembers when this instance read what. A domain that states its homes is there,
// though it may be cut off from this one.
func (c *Core) noteHomes() {
	for _, t := range c.homes {
		if t.Evicted && t.Domain != c.config.Domain && !c.evictions[t.Offset] {
			c.evictions[t.Offset] = true
			c.evictedAt[t.Service] = c.now
		}
		if _, known := c.noticedAt[t.Notice]; t.Notice != 0 && !known {
			c.noticedAt[t.Notice] = c.now
		}
		if t.Notice == 0 && !t.Evicted && t.Offset > c.homesAt[t.Domain] {
			c.homesAt[t.Domain] = t.Offset
			c.heardAt[t.Domain] = c.now
		}
	}
}

func (c *Core) takenBy(service, domain string) fold.DomainHomes {
	return fold.FindHomes(c.homes, service, domain)
}

// base is what the next statement of this domain is based on.
func (c *Core) base() uint64 {
	return fold.HomesBase(c.homes, c.config.Domain)
}

// blocked reports whether a statement that leaves ranges out may be under way and not yet
// folded. A leader teaches its voters the base of such a statement plus one before it asks
// for the append, so its successor, which may be cut off from the log, learns of it.
func (c *Core) blocked() bool {
	return c.fence > c.base()
}

// silent reports whether a domain was not heard for so long that its ranges may be freed.
func (c *Core) silent(domain string) bool {
	at, known := c.heardAt[domain]
	return known && domain != c.config.Domain && c.now > at+Time(c.config.EvictAfter)
}

// wanted returns what this domain should serve of a service: its own homes, and those that
// were freed because their domain is silent.
func (c *Core) wanted(s *bundle.Service) []keys.Range {
	var want []keys.Range
	for _, h := range c.bundle.HomeRanges(s.Name) {
		own := h.Domain == c.config.Domain
		freed := s.Isolation == bundle.IsolationMove && c.takenBy(s.Name, h.Domain).Evicted && c.silent(h.Domain)
		if own || freed {
			want = append(want, h.Range)
		}
	}
	return keys.Union(want, nil)
}

// allow publishes what may be served if that or the bundle changed. The leader learns of a
// bundle only so.
func (c *Core) allow() {
	if c.bundle == nil || !c.known {
		return
	}
	next := make(map[string][]keys.Range)
	for i := range c.bundle.Services {
		s := &c.bundle.Services[i]
		if s.Divided {
			next[s.Name] = c.allowedOf(s)
		}
	}
	if c.allowedFor == c.bundle && maps.EqualFunc(c.allowed, next, slices.Equal[[]keys.Range]) {
		return
	}
	c.allowed, c.allowedFor = next, c.bundle
	c.effects = append(c.effects, Allow{Bundle: c.bundle, Ranges: next})
}

func (c *Core) allowedOf(s *bundle.Service) []keys.Range {
	if c.held == nil {
		return nil
	}
	may := keys.Intersect(c.wanted(s), c.takenBy(s.Name, c.config.Domain).Ranges)
	if c.blocked() {
		return keys.Intersect(may, c.held.Ranges[s.Name])
	}
	until := c.waitUntil(s)
	if c.now > until {
		return may
	}
	return keys.Intersect(may, keys.Union(c.allowed[s.Name], c.recorded(s.Name)))
}

// recorded returns what the log says servers of this domain were assigned. Such ranges are
// past any wait.
func (c *Core) recorded(service string) []keys.Range {
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

// waitUntil returns until when the former domain of freed ranges may still serve them. Its
// last read of the log was before the record that freed them, and this instance read that
// record later. The wait holds also when the former domain states its homes again meanwhile:
// its servers may still act on what it lost.
func (c *Core) waitUntil(s *bundle.Service) Time {
	at, evicted := c.evictedAt[s.Name]
	if !evicted {
		return -1
	}
	return at + c.moveWait(s)
}

func (c *Core) moveWait(s *bundle.Service) Time {
	bound := Time(c.config.IsolationTimeout)
	bound += bound * Time(c.config.DriftPerMille) / 1000
	for _, v := range s.Servers {
		if !v.ChecksGrants {
			return bound + Time(s.Limits.RequestMillis)*1e6 + Time(c.config.MaxPause)
		}
	}
	return bound
}
