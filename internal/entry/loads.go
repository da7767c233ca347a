package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"example.org/mustardring/internal/duty"

	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/peer"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/internal/sketch"
	"example.org/mustardring/pkg/keys"
)

// methodLoads hands the loads that a gate has counted to the leader of the domain.
const methodLoads peer.Method = "loads"

// Bounds of counting.
const (
	loadPeriod    = time.Second
	loadLimit     = 500 * time.Millisecond
	sketchSize    = 256
	maxHotCounter = 32
	// loadForget is after how long the loads of a silent gate count no more.
	loadForget = 5 * time.Second
)

// LoadReport is what one gate has counted in about a second.
type LoadReport struct {
	Instance string        `json:"instance"`
	Services []ServiceLoad `json:"services"`
}

// ServiceLoad is the load of one divided service at one gate.
type ServiceLoad struct {
	Service string           `json:"service"`
	Loads   []RangeLoad      `json:"loads"`
	Hot     []sketch.Counter `json:"hot,omitempty"`
}

// RangeLoad is the load of one range in requests per second.
type RangeLoad struct {
	Range keys.Range `json:"range"`
	Load  float64    `json:"load"`
}

// loads counts what this instance's gates have run since the last report.
type loads struct {
	mu       sync.Mutex
	since    time.Time
	services map[string]*serviceCount
}

type serviceCount struct {
	ranges map[keys.Range]float64
	keys   *sketch.Sketch
}

func newLoads(now time.Time) *loads {
	return &loads{since: now, services: make(map[string]*serviceCount)}
}

// add counts a request that ran.
func (l *loads) add(service string, r keys.Range, hash uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, found := l.services[service]
	if !found {
		c = &serviceCount{ranges: make(map[keys.Range]float64), keys: sketch.New(sketchSize)}
		l.services[service] = c
	}
	c.ranges[r]++
	c.keys.Add(hash, 1)
}

// take returns the report since the last one and begins another.
func (l *loads) take(instance string, now time.Time) LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := max(now.Sub(l.since).Seconds(), 0.001)
	report := LoadReport{Instance: instance}
	for name, c := range l.services {
		s := ServiceLoad{Service: name}
		for r, count := range c.ranges {
			s.Loads = append(s.Loads, RangeLoad{Range: r, Load: count / seconds})
		}
		slices.SortFunc(s.Loads, func(a, b RangeLoad) int { return compareRanges(a.Range, b.Range) })
		s.Hot = hottest(c.keys, seconds)
		report.Services = append(report.Services, s)
	}
	l.since = now
	l.services = make(map[string]*serviceCount)
	return report
}

func compareRanges(a, b keys.Range) int {
	switch {
	case a.First < b.First:
		return -1
	case a.First > b.First:
		return 1
	default:
		return 0
	}
}

// hottest returns the counters of the most frequent keys as rates.
func hottest(s *sketch.Sketch, seconds float64) []sketch.Counter {
	all := s.Counters()
	all = all[:min(len(all), maxHotCounter)]
	for i := range all {
		all[i].Count /= seconds
		all[i].Error /= seconds
	}
	return all
}

// ran is told of each request that ran at this instance's gates.
func (e *Entry) ran(service, _ string, hash uint64, _ time.Duration) {
	if o, found := e.state.directory.Owner(service, hash); found {
		e.loads.add(service, o.Range, hash)
	}
}

// runLoads reports loads to the leader of the domain.
func (e *Entry) runLoads(ctx context.Context) error {
	for ctx.Err() == nil {
		duty.Pause(ctx, loadPeriod)
		report := e.loads.take(e.deps.Settings.Name, time.Now())
		leads, client := e.leaderClient()
		switch {
		case leads:
			e.takeLoads(ctx, report)
		case client != nil:
			_, _ = call[LoadReport, Done](ctx, client, loadLimit, methodLoads, report)
		}
	}
	return ctx.Err()
}

// leaderClient reports whether this instance leads, and else returns the client of the
// instance that said so last.
func (e *Entry) leaderClient() (bool, *peer.Client) {
	if h := e.coreView.heartbeat.Load(); h != nil && h.Leading {
		return true, nil
	}
	return false, e.peers.leader()
}

func (e *Entry) handleLoads(ctx context.Context, r LoadReport) (Done, error) {
	e.takeLoads(ctx, r)
	return Done{}, nil
}

// takeLoads keeps the newest report of each gate and tells the core their sums.
func (e *Entry) takeLoads(ctx context.Context, r LoadReport) {
	for _, m := range e.reports.take(r, time.Now(), e.state.table()) {
		e.tell(ctx, m)
	}
}

// reports are the newest load reports of the gates of a domain.
type reports struct {
	mu  sync.Mutex
	all map[string]timedReport
	// hot has the hot keys of each service until now.
	hot map[string][]uint64
}

type timedReport struct {
	report LoadReport
	at     time.Time
}

func newReports() *reports {
	return &reports{all: make(map[string]timedReport), hot: make(map[string][]uint64)}
}

// take adds a report and returns the sums over all gates, one event for each service. Ranges
// of the table that no gate reported count as idle.
func (s *reports) take(r LoadReport, now time.Time, t *route.Table) []leader.Measured {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[r.Instance] = timedReport{report: r, at: now}
	sums := newSums(t)
	for name, o := range s.all {
		if now.After(o.at.Add(loadForget)) {
			delete(s.all, name)
			continue
		}
		sums.add(o.report)
	}
	measured := sums.measured(s.hot)
	for _, m := range measured {
		s.hot[m.Service] = m.HotHashes
	}
	return measured
}
