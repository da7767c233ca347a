package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the recorded latencies. The range is in microseconds.
const (
	minLatency        = 1
	maxLatency        = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Report is the result of a load run. Fields of type Latency are in microseconds.
type Report struct {
	// Offered is the rate of the profile, and Achieved the rate of submissions that were answered
	// ran, both per second.
	Offered  float64 `json:"offered-rate"`
	Achieved float64 `json:"achieved-rate"`
	// Seconds is the duration of the load run.
	Seconds float64 `json:"seconds"`
	// Late is how late the load tool itself dispatched submissions. Latencies include it.
	Late  Latency `json:"late"`
	Lanes []Lane  `json:"lanes"`
	Audit *Audit  `json:"audit,omitempty"`
	// Timeline has the counts of submissions for each tenth of a second.
	Timeline []Tick `json:"timeline"`
}

// Lane has the figures for one class of requests: those to one service through entry instances, or
// all direct ones.
type Lane struct {
	Name        string         `json:"name"`
	Submissions map[string]int `json:"sendings"`
	// Latency is the distribution over the submissions that were answered ran, from the intended
	// start to the end of the response.
	Latency Latency `json:"latency"`
	// Unavailable is the distribution of the times for which keys were unavailable: from the
	// intended start of the first submission for a key that was not answered ran to the end of the
	// next one that was, or to the start of the last submission of the load run.
	Unavailable Latency `json:"unavailable"`

	latencies *hdrhistogram.Histogram
}

// Latency has percentiles of a distribution of times, in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p99.9"`
	Max   int64 `json:"max"`
}

// Tick counts the submissions whose intended start lies within one tenth of a second. NotRun includes
// submissions that were not sent.
type Tick struct {
	Ran    int `json:"ran"`
	NotRun int `json:"not-run"`
	Other  int `json:"other"`
}

// tickLength is the duration that one Tick covers.
const tickLength = 100 * time.Millisecond

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, significantDigits)
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

// recordLatency adds d to h. Times outside the range are recorded as its nearest bound.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatency), maxLatency))
}

// directLaneName is the name of the Lane of direct requests.
const directLaneName = "direct"

// newReport returns the report, without Late and Audit, on records that are sorted by their start.
func newReport(p *Profile, records []record, took time.Duration) *Report {
	report := &Report{Offered: p.Rate, Seconds: took.Seconds()}
	ran := 0
	for i := range records {
		if records[i].result == ResultRan {
			ran++
		}
	}
	report.Achieved = float64(ran) / max(took.Seconds(), 1e-9)
	for i, s := range p.Services {
		isOfService := func(r *record) bool { return r.service == i && !r.direct }
		report.Lanes = append(report.Lanes, newLane(s.Name, records, isOfService))
	}
	if p.DirectShare > 0 {
		report.Lanes = append(report.Lanes, newLane(directLaneName, records, func(r *record) bool { return r.direct }))
	}
	report.Timeline = timeline(records)
	return report
}

// newLane returns the Lane of the records that belong to it.
func newLane(name string, records []record, belongs func(*record) bool) Lane {
	lane := Lane{Name: name, Submissions: make(map[string]int), latencies: newHistogram()}
	outages := newHistogram()
	failedAt := make(map[string]time.Duration)
	for i := range records {
		r := &records[i]
		if !belongs(r) {
			continue
		}
		lane.Submissions[r.result.String()]++
		since, failing := failedAt[r.key]
		switch {
		case r.result == ResultRan:
			recordLatency(lane.latencies, r.latency())
			if failing {
				recordLatency(outages, r.end-since)
				delete(failedAt, r.key)
			}
		case !failing:
			failedAt[r.key] = r.start
		}
	}
	for _, since := range failedAt {
		recordLatency(outages, records[len(records)-1].start-since)
	}
	lane.Latency, lane.Unavailable = latencyOf(lane.latencies), latencyOf(outages)
	return lane
}

// timeline counts the records by the tenth of a second of their start.
func timeline(records []record) []Tick {
	var ticks []Tick
	for i := range records {
		at := int(records[i].start / tickLength)
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
