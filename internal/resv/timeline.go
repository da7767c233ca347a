package resv

import (
	"time"

	"example.org/mustardring/internal/clock"
)

const (
	// interval is the resolution in which time is reserved, and intervals the number of those in
	// the lifetime of an origin.
	interval  = 50 * time.Millisecond
	intervals = int64(lifetime / interval)
)

// timeline is the reserved slot time of a server in each interval from now on.
type timeline struct {
	// epoch is when interval 0 began, and first the number of the current interval.
	epoch time.Time
	first int64
	// reserved is indexed by the number of the interval modulo their count.
	reserved [intervals]time.Duration
}

// span is slot time in consecutive intervals.
type span struct {
	first int64
	parts []time.Duration
}

// advance drops the intervals that are over.
func (t *timeline) advance(now time.Time) {
	if t.epoch.IsZero() {
		t.epoch = now
	}
	current := t.number(now)
	for n := max(t.first, current-intervals); n < current; n++ {
		t.reserved[n%intervals] = 0
	}
	t.first = max(t.first, current)
}

func (t *timeline) number(at time.Time) int64 { return int64(at.Sub(t.epoch) / interval) }

func (t *timeline) reserve(s span) {
	for i, part := range s.parts {
		t.reserved[(s.first+int64(i))%intervals] += part
	}
}

// release gives a span back, except for intervals that are over.
func (t *timeline) release(s span) {
	for i, part := range s.parts {
		if n := s.first + int64(i); n >= t.first {
			t.reserved[n%intervals] -= part
		}
	}
}

// find returns when the caller of a rejected request should come back, and the time to reserve for
// it: the first stretch without a full interval that has room for the work at the rate that new
// requests leave over. It starts once the requests that wait now are served. If the rate is less
// than one slot, the caller comes when only the work is left of the stretch.
func (t *timeline) find(now time.Time, want Reservation) (at time.Time, s span, ok bool) {
	rate, left := want.Slots-want.Demand, want.Work
	if rate <= 0 {
		return time.Time{}, span{}, false
	}
	from, latest := later(want.Earliest, now.Add(max(want.Wait, 0))), clock.Earlier(want.Latest, now.Add(lifetime-grace))
	for n := max(t.number(from), t.first); n < t.first+intervals; n++ {
		start := t.epoch.Add(time.Duration(n) * interval)
		used := max(t.reserved[n%intervals], time.Duration(rate*float64(from.Sub(start))))
		room := time.Duration(rate*float64(interval)) - used
		if room <= 0 {
			s, left = span{}, want.Work
			continue
		}
		if len(s.parts) == 0 {
			s.first, at = n, later(from, start.Add(time.Duration(float64(used)/rate)))
		}
		part := min(room, left)
		s.parts = append(s.parts, part)
		if left -= part; left == 0 {
			at = later(at, start.Add(time.Duration(float64(used+part)/rate)-want.Work))
			return at, s, !at.After(latest)
		}
	}
	return time.Time{}, span{}, false
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
