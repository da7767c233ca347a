package place

import (
	"slices"
	"strings"
	"time"
)

// The defaults of a Planner.
const (
	// DefaultRangesPerServer bounds the ranges of a service: this many for each accepting
	// server, and one for each home. Each hot key adds two at most.
	DefaultRangesPerServer = 8
	// DefaultMaxHotKeys bounds the hot keys that get a range of their own.
	DefaultMaxHotKeys = 240
	// DefaultColdShare is the part of its slots for which a cold server counts.
	DefaultColdShare = 0.25
	// DefaultMoveBudget is the share of the hash space that may change owner for the sake of
	// balance within one settling time.
	DefaultMoveBudget = 0.30
)

// Spans of time that a Planner compares ages with.
const (
	// DefaultSettleTime is how long after any move no range moves for the sake of balance.
	DefaultSettleTime = Time(10 * time.Second)
	// DefaultDwellTime is how long a moved range stays, unless its server is far overloaded.
	DefaultDwellTime = Time(2 * time.Minute)
	// DefaultOverloadDelay is for how long a server must be overloaded before ranges move for it.
	DefaultOverloadDelay = Time(time.Minute)
	// DefaultHalfLife is the age at which a load counts half.
	DefaultHalfLife = Time(30 * time.Second)
)

// Planner is the Placer that mustardring runs with. Between calls it keeps only since when
// each service is out of balance; a new Planner waits anew. It is not safe for concurrent use.
type Planner struct {
	rangesPerServer int
	maxHot          int
	coldShare       float64
	budget          float64
	settle          Time
	dwell           Time
	halfLife        Time
	patience        Time
	// highSince is by service since when a server is above the trigger.
	highSince map[string]Time
}

var _ Placer = (*Planner)(nil)

// Option changes a default of a Planner.
type Option func(p *Planner)

// WithRangesPerServer sets the bound on ranges for each accepting server, at least 1.
func WithRangesPerServer(n int) Option {
	return func(p *Planner) { p.rangesPerServer = max(n, 1) }
}

// WithMaxHotKeys sets how many hot keys get a range of their own.
func WithMaxHotKeys(n int) Option {
	return func(p *Planner) { p.maxHot = max(n, 0) }
}

// WithOverloadDelay sets for how long a server must be overloaded before ranges move for it.
func WithOverloadDelay(d time.Duration) Option {
	return func(p *Planner) { p.patience = Time(d) }
}

// WithMoveBudget sets the share of the hash space that may move within one settling time for
// the sake of balance.
func WithMoveBudget(share float64) Option {
	return func(p *Planner) { p.budget = share }
}

// New returns a Planner with the defaults, changed by options.
func New(options ...Option) *Planner {
	p := &Planner{
		rangesPerServer: DefaultRangesPerServer,
		maxHot:          DefaultMaxHotKeys,
		coldShare:       DefaultColdShare,
		budget:          DefaultMoveBudget,
		settle:          DefaultSettleTime,
		dwell:           DefaultDwellTime,
		halfLife:        DefaultHalfLife,
		patience:        DefaultOverloadDelay,
		highSince:       make(map[string]Time),
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Place implements Placer. Ranges without a live owner are filled at once. Others move only
// when the service has settled and the move pays for itself.
func (p *Planner) Place(v View) []Target {
	servers := p.accepting(v)
	if len(servers) == 0 {
		return nil
	}
	pl := newPlan(servers, mergeSorted(cut(v, servers, p.maxHot)))
	pl.limit = p.rangesPerServer*len(servers) + len(v.Homes)
	p.estimate(v, pl.pieces)
	pl.count()
	settled := p.settled(v)
	pl.fill()
	pl.merge()
	pl.returnCold()
	pl.merge()
	if settled {
		pl.setApart()
		r := p.rules(v)
		pl.balanceHot(r)
		r.patient = p.patient(v, pl.highest() > pl.mean*r.trigger)
		pl.balance(r)
	}
	pl.consolidate()
	return pl.targets()
}

// accepting returns the servers that may own ranges, by name.
func (p *Planner) accepting(v View) []server {
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

// patient reports whether an overload is too young to move ranges for. A key that becomes
// hot overloads a server before it is known as hot; ranges moved for it would have to come
// back once it is set apart.
func (p *Planner) patient(v View, high bool) bool {
	if !high {
		delete(p.highSince, v.Service)
		return true
	}
	since, found := p.highSince[v.Service]
	if !found {
		since = v.Now
		p.highSince[v.Service] = since
	}
	return v.Now-since < p.patience
}

// settled reports whether the last move is so old that loads can be trusted again. While it
// is not, balancing would chase loads measured before the move and move ranges to and fro.
func (p *Planner) settled(v View) bool {
	for _, o := range v.Owned {
		if o.MovedAt != 0 && v.Now-o.MovedAt < p.settle {
			return false
		}
	}
	return true
}
