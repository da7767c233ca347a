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

// methodLoads reports the loads counted by a gate to the leader of the domain.
const methodLoads peer.Method = "loads"

// Bounds of load reports.
const (
	loadInterval = time.Second
	loadTimeout  = 500 * time.Millisecond
	// sketchSize is the number of keys that are counted per service.
	sketchSize = 256
	// maxHotCounters is the maximum number of keys per service in a report.
	maxHotCounters = 32
	// loadExpiry is the age at which the last report of a gate is no longer counted.
	loadExpiry = 5 * time.Second
)

// LoadReport holds the loads that one instance has counted at its gates since its last report,
// about a second ago.
type LoadReport struct {
	Instance string        `json:"instance"`
	Services []ServiceLoad `json:"services"`
}

// ServiceLoad is the load of one divided service at one instance. HotKeys has the most frequent
// keys in requests per second.
type ServiceLoad struct {
	Service string           `json:"service"`
	Loads   []RangeLoad      `json:"loads"`
	HotKeys []sketch.Counter `json:"hot,omitempty"`
}

// RangeLoad is the load of one range in requests per second.
type RangeLoad struct {
	Range keys.Range `json:"range"`
	Load  float64    `json:"load"`
}

// loadCounter counts the requests that ran at this instance's gates since the last report.
type loadCounter struct {
	mu       sync.Mutex
	since    time.Time
	services map[string]*serviceCount
}

type serviceCount struct {
	ranges map[keys.Range]float64
	keys   *sketch.Sketch
}

func newLoadCounter(now time.Time) *loadCounter {
	return &loadCounter{since: now, services: make(map[string]*serviceCount)}
}

// add counts a request that ran.
func (l *loadCounter) add(service string, r keys.Range, hash uint64) {
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

// flush returns the loads since the last report and resets the counts.
func (l *loadCounter) flush(instance string, now time.Time) LoadReport {
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
		s.HotKeys = hottestCounters(c.keys, seconds)
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

// hottestCounters returns the counters of the most frequent keys, in requests per second.
func hottestCounters(s *sketch.Sketch, seconds float64) []sketch.Counter {
	all := s.Counters()
	all = all[:min(len(all), maxHotCounters)]
	for i := range all {
		all[i].Count /= seconds
		all[i].Error /= seconds
	}
	return all
}

// countRequest counts a request that ran at one of this instance's gates.
func (e *Entry) countRequest(service, _ string, hash uint64, _ time.Duration) {
	if o, found := e.state.directory.Owner(service, hash); found {
		e.loads.add(service, o.Range, hash)
	}
}

// runLoads periodically reports loads to the leader of the domain.
func (e *Entry) runLoads(ctx context.Context) error {
	for ctx.Err() == nil {
		duty.Sleep(ctx, loadInterval)
		report := e.loads.flush(e.deps.Settings.Name, time.Now())
		leads, client := e.leaderClient()
		switch {
		case leads:
			e.mergeLoads(ctx, report)
		case client != nil:
			_, _ = call[LoadReport, Empty](ctx, client, loadTimeout, methodLoads, report)
		}
	}
	return ctx.Err()
}

// leaderClient reports whether this instance leads. If it does not, it returns the client of the
// instance that leads to the best of its knowledge, or nil.
func (e *Entry) leaderClient() (bool, *peer.Client) {
	if h := e.leadership.heartbeat.Load(); h != nil && h.Leading {
		return true, nil
	}
	return false, e.peers.leader()
}

func (e *Entry) handleLoads(ctx context.Context, r LoadReport) (Empty, error) {
	e.mergeLoads(ctx, r)
	return Empty{}, nil
}

// mergeLoads stores a report and passes the sums over all gates to the leader core.
func (e *Entry) mergeLoads(ctx context.Context, r LoadReport) {
	for _, m := range e.reports.merge(r, time.Now(), e.state.table()) {
		e.notifyLeaderCore(ctx, m)
	}
}

// loadReports are the newest load reports of the gates of a domain, kept by its leader.
type loadReports struct {
	mu         sync.Mutex
	byInstance map[string]timedReport
	// hotHashes has the hashes of the hot keys of each service as of the last report.
	hotHashes map[string][]uint64
}

type timedReport struct {
	report LoadReport
	at     time.Time
}

func newLoadReports() *loadReports {
	return &loadReports{byInstance: make(map[string]timedReport), hotHashes: make(map[string][]uint64)}
}

// merge adds a report and returns the sums over all gates, one event for each service. Ranges of
// the table that no gate has reported get a load of zero.
func (s *loadReports) merge(r LoadReport, now time.Time, t *route.Table) []leader.Measured {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byInstance[r.Instance] = timedReport{report: r, at: now}
	sums := newLoadSums(t)
	for name, o := range s.byInstance {
		if now.After(o.at.Add(loadExpiry)) {
			delete(s.byInstance, name)
			continue
		}
		sums.add(o.report)
	}
	measured := sums.measured(s.hotHashes)
	for _, m := range measured {
		s.hotHashes[m.Service] = m.HotHashes
	}
	return measured
}
