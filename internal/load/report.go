package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of latencies, in microseconds.
const (
	leastLatency = 1
	mostLatency  = int64(time.Hour / time.Microsecond)
	digits       = 3
)

// Report is what a run came to. Latencies and times are in microseconds.
type Report struct {
	// Offered is the planned rate, and Achieved that of answers which said ran, per second.
	Offered  float64 `json:"offered-rate"`
	Achieved float64 `json:"achieved-rate"`
	// Seconds is how long the run took.
	Seconds float64 `json:"seconds"`
	// Late is how late the tool itself handed requests over. Latencies include it.
	Late  Latency `json:"late"`
	Lanes []Lane  `json:"lanes"`
	Audit *Audit  `json:"audit,omitempty"`
	// Timeline has counts by result for each tenth of a second.
	Timeline []Tick `json:"timeline"`
}

// Lane is one kind of requests: those to a service, or those sent to servers directly.
type Lane struct {
	Name     string         `json:"name"`
	Sendings map[string]int `json:"sendings"`
	// Latency is that of sendings whose answer said ran, from the time at which they were to
	// start.
	Latency Latency `json:"latency"`
	// Unavailable is, over the keys that ever failed, the time from the start of the first
	// request that did not run to the end of the next one that did.
	Unavailable Latency `json:"unavailable"`

	latencies *hdrhistogram.Histogram
}

// Latency has the percentiles of a distribution, in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p99.9"`
	Max   int64 `json:"max"`
}

// Tick counts the sendings that were to start within a tenth of a second.
type Tick struct {
	Ran    int `json:"ran"`
	NotRun int `json:"not-run"`
	Other  int `json:"other"`
}

const tick = 100 * time.Millisecond

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastLatency, mostLatency, digits)
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P90:   h.ValueAtQuantile(90),
		P99:   h.ValueAtQuantile(99),
		P999:  h.ValueAtQuantile(99.9),
		Max:   h.Max(),
	}
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), leastLatency), mostLatency))
}

const directLane = "direct"

// summarise counts records that are sorted by their start.
func summarise(p *Profile, records []record, took time.Duration) *Report {
	report := &Report{Offered: p.Rate, Seconds: took.Seconds()}
	ran := 0
	for i := range records {
		if records[i].result == ResultRan {
			ran++
		}
	}
	report.Achieved = float64(ran) / max(took.Seconds(), 1e-9)
	for i, s := range p.Services {
		mine := func(r *record) bool { return r.service == i && !r.direct }
		report.Lanes = append(report.Lanes, newLane(s.Name, records, mine))
	}
	if p.DirectShare > 0 {
		report.Lanes = append(report.Lanes, newLane(directLane, records, func(r *record) bool { return r.direct }))
	}
	report.Timeline = timeline(records)
	return report
}

func newLane(name string, records []record, mine func(*record) bool) Lane {
	lane := Lane{Name: name, Sendings: make(map[string]int), latencies: newHistogram()}
	gaps := newHistogram()
	failedAt := make(map[string]time.Duration)
	for i := range records {
		r := &records[i]
		if !mine(r) {
			continue
		}
		lane.Sendings[r.result.String()]++
		since, failing := failedAt[r.key]
		switch {
		case r.result == ResultRan:
			observe(lane.latencies, r.latency())
			if failing {
				observe(gaps, r.end-since)
				delete(failedAt, r.key)
			}
		case !failing:
			failedAt[r.key] = r.start
		}
	}
	for _, since := range failedAt {
		observe(gaps, records[len(records)-1].start-since)
	}
	lane.Latency, lane.Unavailable = latencyOf(lane.latencies), latencyOf(gaps)
	return lane
}

func timeline(records []record) []Tick {
	var ticks []Tick
	for i := range records {
		at := int(records[i].start / tick)
		for len(ticks) <= at {
			ticks = append(ticks, Tick{})
		}
		switch records[i].result {
		case ResultRan:
			ticks[at].Ran++
		case ResultNotRun, ResultUnreached:
			ticks[at].NotRun++
		default:
			ticks[at].Other++
		}
	}
	return ticks
}
