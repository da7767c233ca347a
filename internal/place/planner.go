package place

import (
	"slices"
	"strings"
	"time"
)

// Defaults of the limits of a Planner.
const (
	// DefaultRangesPerServer limits the ranges of a service: this many for each accepting
	// server, and one for each home. Each hot key adds at most two.
	DefaultRangesPerServer = 8
	// DefaultMaxHotKeys limits the hot keys that get a range of their own.
	DefaultMaxHotKeys = 240
	// DefaultColdShare is the share of its slots for which a cold server counts.
	DefaultColdShare = 0.25
	// DefaultMoveBudget is the share of the homes that balancing may move within one settle
	// time.
	DefaultMoveBudget = 0.30
)

// Defaults of the times of a Planner, which it compares with the age of moves, overloads and
// loads.
const (
	// DefaultSettleTime is how long balancing pauses after any range of the service has
	// moved.
	DefaultSettleTime = Time(10 * time.Second)
	// DefaultDwellTime is how long a range that moved stays with its owner, unless that
	// server is far overloaded or the range goes to a newcomer.
	DefaultDwellTime = Time(2 * time.Minute)
	// DefaultOverloadDelay is how long a server must be overloaded before ranges move for it.
	DefaultOverloadDelay = Time(time.Minute)
	// DefaultHalfLife is the age at which a measured load has half its weight.
	DefaultHalfLife = Time(30 * time.Second)
)

// Planner is the Placer that mustardring runs with. The only state that it keeps between
// calls is how long each service has been out of balance, so a new Planner waits for the
// overload delay again. It is not safe for concurrent use.
type Planner struct {
	rangesPerServer int
	maxHotKeys      int
	coldShare       float64
	moveBudget      float64
	settleTime      Time
	dwellTime       Time
	halfLife        Time
	overloadDelay   Time
	// overloadedSince holds, by service, since when some server is above the trigger.
	overloadedSince map[string]Time
}

var _ Placer = (*Planner)(nil)

// Option changes a setting of a Planner.
type Option func(p *Planner)

// WithRangesPerServer sets the limit on ranges for each accepting server. It is at least 1.
func WithRangesPerServer(n int) Option {
	return func(p *Planner) { p.rangesPerServer = max(n, 1) }
}

// WithMaxHotKeys sets the maximum number of hot keys that get a range of their own.
func WithMaxHotKeys(n int) Option {
	return func(p *Planner) { p.maxHotKeys = max(n, 0) }
}

// WithOverloadDelay sets how long a server must be overloaded before ranges move for it.
func WithOverloadDelay(d time.Duration) Option {
	return func(p *Planner) { p.overloadDelay = Time(d) }
}

// WithMoveBudget sets the share of the homes that balancing may move within one settle time.
func WithMoveBudget(share float64) Option {
	return func(p *Planner) { p.moveBudget = share }
}

// New returns a Planner with the default settings, changed by options.
func New(options ...Option) *Planner {
	p := &Planner{
		rangesPerServer: DefaultRangesPerServer,
		maxHotKeys:      DefaultMaxHotKeys,
		coldShare:       DefaultColdShare,
		moveBudget:      DefaultMoveBudget,
		settleTime:      DefaultSettleTime,
		dwellTime:       DefaultDwellTime,
		halfLife:        DefaultHalfLife,
		overloadDelay:   DefaultOverloadDelay,
		overloadedSince: make(map[string]Time),
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Place implements Placer. Ranges without an accepting owner are assigned at once. Others
// move only when the service has settled and the gain exceeds the cost of the move.
func (p *Planner) Place(v View) []Target {
	servers := p.acceptingServers(v)
	if len(servers) == 0 {
		return nil
	}
	pl := newPlan(servers, mergeSorted(cutHomes(v, servers, p.maxHotKeys)))
	pl.maxRuns = p.rangesPerServer*len(servers) + len(v.Homes)
	p.estimateLoads(v, pl.pieces)
	pl.sumLoads()
	settled := p.settled(v)
	pl.assignOrphans()
	pl.merge()
	pl.returnColdKeys()
	pl.merge()
	if settled {
		pl.excludeDominantKeys()
		params := p.balanceParams(v)
		pl.balanceHotKeys(params)
		params.onlyUrgent = p.overloadTooRecent(v, pl.maxLevel() > pl.meanLevel*params.trigger)
		pl.balance(params)
	}
	pl.consolidate()
	return pl.targets()
}

// acceptingServers returns the servers that may own ranges, sorted by name.
func (p *Planner) acceptingServers(v View) []server {
	servers := make([]server, 0, len(v.Servers))
	for _, s := range v.Servers {
		if !s.Accepting || s.Slots <= 0 {
			continue
		}
		capacity := float64(s.Slots)
		if v.Now < s.WarmAt {
			capacity *= p.coldShare
		}
		servers = append(servers, server{name: s.Name, capacity: capacity})
	}
	slices.SortFunc(servers, func(a, b server) int { return strings.Compare(a.name, b.name) })
	return servers
}

// overloadTooRecent reports whether ranges must not move for an overload yet, because there
// is none or it has not lasted for the overload delay. A key that becomes hot overloads its
// server before it is recognized as hot; ranges that moved because of it would have to move
// back once the key has a range of its own.
func (p *Planner) overloadTooRecent(v View, overloaded bool) bool {
	if !overloaded {
		delete(p.overloadedSince, v.Service)
		return true
	}
	since, found := p.overloadedSince[v.Service]
	if !found {
		since = v.Now
		p.overloadedSince[v.Service] = since
	}
	return v.Now-since < p.overloadDelay
}

// settled reports whether the last move is old enough that measured loads reflect it.
// Balancing before that would act on loads from before the move and move ranges back and
// forth.
func (p *Planner) settled(v View) bool {
	for _, o := range v.Owned {
		if o.MovedAt != 0 && v.Now-o.MovedAt < p.settleTime {
			return false
		}
	}
	return true
}
