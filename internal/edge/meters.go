package edge

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of latencies that are told apart, in microseconds, and their significant figures.
const (
	latencyLeast   = 100
	latencyMost    = 60_000_000
	latencyFigures = 2
	// labelsMost bounds the number of routes that are counted apart.
	labelsMost = 256
)

// LatencyHistograms holds how long things took, by what they were.
type LatencyHistograms struct {
	mu sync.Mutex
	by map[string]*hdrhistogram.Histogram
}

// NewLatencyHistograms returns times of nothing yet.
func NewLatencyHistograms() *LatencyHistograms {
	return &LatencyHistograms{by: map[string]*hdrhistogram.Histogram{}}
}

// Record takes in how long something took.
func (t *LatencyHistograms) Record(what string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.by[what]
	if h == nil {
		h = hdrhistogram.New(latencyLeast, latencyMost, latencyFigures)
		t.by[what] = h
	}
	_ = h.RecordValue(min(max(took.Microseconds(), latencyLeast), latencyMost))
}

// Snapshot returns the quantiles.
func (t *LatencyHistograms) Snapshot() map[string]LatencySummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]LatencySummary, len(t.by))
	for what, h := range t.by {
		out[what] = LatencySummary{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max(),
		}
	}
	return out
}

// Meters counts requests and their latencies.
type Meters struct {
	mu      sync.Mutex
	counts  map[string]map[why]int64
	latency *LatencyHistograms
}

// NewMeters returns meters.
func NewMeters() *Meters {
	return &Meters{counts: map[string]map[why]int64{}, latency: NewLatencyHistograms()}
}

// RecordRequest takes in how a request ended.
func (m *Meters) RecordRequest(route string, reason why, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts[route] == nil {
		if len(m.counts) >= labelsMost {
			route = "other"
		}
		if m.counts[route] == nil {
			m.counts[route] = map[why]int64{}
		}
	}
	m.counts[route][reason]++
	m.latency.Record(string(reason), took)
}

// LatencySummary are quantiles in microseconds.
type LatencySummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50-us"`
	P99   int64 `json:"p99-us"`
	Max   int64 `json:"most-us"`
}

// Snapshot is the state of the meters.
type Snapshot struct {
	Requests map[string]map[why]int64  `json:"requests"`
	Latency  map[string]LatencySummary `json:"latency"`
}

// Snapshot returns the state of the meters.
func (m *Meters) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Snapshot{Requests: map[string]map[why]int64{}, Latency: m.latency.Snapshot()}
	for route, counts := range m.counts {
		s.Requests[route] = map[why]int64{}
		for reason, n := range counts {
			s.Requests[route][reason] = n
		}
	}
	return s
}

// Var returns the meters as a variable of expvar.
func (m *Meters) Var() expvar.Var { return expvar.Func(func() any { return m.Snapshot() }) }
