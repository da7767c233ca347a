package fair

import (
	"math"
	"time"
)

// Floors is the share of a saturated server's time, by priority, that waiting requests get even if
// more urgent ones wait. Priorities beyond its end have none.
type Floors []float64

const (
	// usageWindow is the time constant of Usage.
	usageWindow = time.Second
	// minUsage is the total, in seconds of work, below which a Usage is empty: some fourteen time
	// constants after a second of work.
	minUsage = 1e-6
)

// Usage measures how much of a server's time each priority had, as decayed sums with a time
// constant of one second. The zero value has measured nothing.
type Usage struct {
	at         time.Time
	total      float64
	byPriority map[int]use
}

// use is what one priority had: the decayed sum of work in seconds, and the decayed number of
// requests.
type use struct{ work, requests float64 }

// Record adds the work of a request that is sent to the server.
func (u *Usage) Record(now time.Time, priority int, work time.Duration) {
	u.decay(now)
	if u.byPriority == nil {
		u.byPriority = map[int]use{}
	}
	p := u.byPriority[priority]
	u.byPriority[priority] = use{p.work + seconds(work), p.requests + 1}
	u.total += seconds(work)
}

// Owed returns the priority that is furthest below its floor among those that wait, as the
// difference in shares of the time that all priorities had; false if none is below. If two are
// equally far, it is the first of them in waiting. Nothing is owed while nothing has been measured.
func (u *Usage) Owed(now time.Time, f Floors, waiting []int) (priority int, owed bool) {
	u.decay(now)
	if u.total == 0 {
		return 0, false
	}
	furthest := 0.0
	for _, p := range waiting {
		if p < 0 || p >= len(f) || f[p] <= 0 {
			continue
		}
		below := f[p] - u.byPriority[p].work/u.total
		if u.isOwed(p, f[p]) && (!owed || below > furthest) {
			priority, owed, furthest = p, true, below
		}
	}
	return priority, owed
}

// isOwed reports whether the share of a priority has decayed so far that it is due for its next
// request. A request adds a step to the share, so a priority that is served whenever its share is
// below the floor has more than the floor on average. If all requests are as long as those of the
// priority, the total decays by the factor 1+step during each, and one request in 1/floor is right.
// It is due when that many are over, rounded to the nearest one.
func (u *Usage) isOwed(priority int, floor float64) bool {
	had := u.byPriority[priority]
	if had.work == 0 {
		return true
	}
	step := had.work / had.requests / u.total
	return had.work/u.total < step*math.Sqrt(1+step)/(math.Pow(1+step, 1/floor)-1)
}

// decay ages the measurements up to now.
func (u *Usage) decay(now time.Time) {
	if !now.After(u.at) {
		return
	}
	factor := math.Exp(-now.Sub(u.at).Seconds() / usageWindow.Seconds())
	u.at = now
	u.total *= factor
	if u.total < minUsage {
		u.total = 0
		clear(u.byPriority)
		return
	}
	for p, had := range u.byPriority {
		u.byPriority[p] = use{had.work * factor, had.requests * factor}
	}
}
