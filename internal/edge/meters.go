package edge

import (
	"expvar"
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The limits of the meters.
const (
	// The range and the precision of the histograms. Latencies outside of the range are clamped.
	minLatencyMicros          = 100
	maxLatencyMicros          = 60_000_000
	latencySignificantFigures = 2
	// maxRouteLabels is the number of routes with their own counts; the rest count as "other".
	maxRouteLabels = 256
)

// LatencyHistograms holds a latency histogram for each operation.
type LatencyHistograms struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewLatencyHistograms returns LatencyHistograms without any operations.
func NewLatencyHistograms() *LatencyHistograms {
	return &LatencyHistograms{histograms: map[string]*hdrhistogram.Histogram{}}
}

// Record records how long an operation took.
func (l *LatencyHistograms) Record(operation string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.histograms[operation]
	if h == nil {
		h = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantFigures)
		l.histograms[operation] = h
	}
	_ = h.RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// Snapshot returns the current summary of each operation.
func (l *LatencyHistograms) Snapshot() map[string]LatencySummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]LatencySummary, len(l.histograms))
	for operation, h := range l.histograms {
		out[operation] = LatencySummary{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max(),
		}
	}
	return out
}

// Meters counts the requests of callers by route and end reason, and records their latencies by
// end reason.
type Meters struct {
	mu sync.Mutex
	// counts holds the number of requests by route and end reason. The route is empty for
	// requests that were rejected before their first attempt.
	counts map[string]map[endReason]int64
	// answers holds the number of responses by the ID that they state.
	answers map[statedID]int64
	// promises holds the number of replies that promise that the request has not run, by the proof, including those that were
	// withheld for want of one.
	promises map[proof]int64
	latency  *LatencyHistograms
}

// NewMeters returns meters at zero.
func NewMeters() *Meters {
	return &Meters{counts: map[string]map[endReason]int64{}, answers: map[statedID]int64{}, promises: map[proof]int64{}, latency: NewLatencyHistograms()}
}

// RecordRequest counts a request that ended and records how long it took.
func (m *Meters) RecordRequest(route string, reason endReason, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts[route] == nil {
		if len(m.counts) >= maxRouteLabels {
			route = "other"
		}
		if m.counts[route] == nil {
			m.counts[route] = map[endReason]int64{}
		}
	}
	m.counts[route][reason]++
	m.latency.Record(string(reason), took)
}

// recordAnswer counts a response by the ID that it states.
func (m *Meters) recordAnswer(s statedID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers[s]++
}

// recordPromise counts the proof of a reply that promises something.
func (m *Meters) recordPromise(p proof) {
	if p == notPromised {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.promises[p]++
}

// LatencySummary holds the number of operations, and quantiles of their latency in microseconds.
type LatencySummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50-us"`
	P99   int64 `json:"p99-us"`
	Max   int64 `json:"most-us"`
}

// Snapshot is a copy of the state of the meters, encoded as JSON.
type Snapshot struct {
	Requests map[string]map[endReason]int64 `json:"requests"`
	// Answers holds the responses of servers by the ID that they state.
	Answers map[statedID]int64 `json:"answers"`
	// Promises holds the replies that promise that the request has not run, by the proof. Those without one were withheld.
	Promises map[proof]int64           `json:"promises"`
	Latency  map[string]LatencySummary `json:"latency"`
}

// Snapshot returns a copy of the current state.
func (m *Meters) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Snapshot{Requests: map[string]map[endReason]int64{}, Answers: maps.Clone(m.answers), Promises: maps.Clone(m.promises), Latency: m.latency.Snapshot()}
	for route, counts := range m.counts {
		s.Requests[route] = map[endReason]int64{}
		for reason, n := range counts {
			s.Requests[route][reason] = n
		}
	}
	return s
}

// Var returns the meters as an expvar variable.
func (m *Meters) Var() expvar.Var { return expvar.Func(func() any { return m.Snapshot() }) }
