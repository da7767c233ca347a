package shard

import (
	"math"
	"time"
)

// The windows of rates: the time after which a request counts half.
const (
	// steadyHalfLife is long enough that chance does not move keys.
	steadyHalfLife = 3 * time.Second
	// recentHalfLife is short enough that a key which turns busy is seen within a second or two. It counts only
	// where it differs beyond chance from what was usual.
	recentHalfLife   = time.Second
	baselineHalfLife = 8 * time.Second
	// rescaleInterval is how long weights grow before all are brought down again.
	rescaleInterval = 20 * time.Second
)

// What differs by chance: a number of standard deviations of the recent rate, and some requests a second
// besides, below which no key is worth a move.
const (
	riseDeviations = 3
	minRise        = 1.5
	fallDeviations = 2
	minFall        = 1
)

// Rates estimates the requests in a second for each key.
//
// Requests that come later weigh more, in place of earlier ones that decay: a request costs the same however
// many keys there are.
type Rates struct {
	steady       window
	recent       window
	baseline     window
	weightsSince time.Time
}

// window is sums over keys whose weights grow with time.
type window struct {
	halfLife time.Duration
	sums     []float64
}

// NewRates returns rates of which nothing is known.
func NewRates(now time.Time) *Rates {
	return &Rates{
		steady: window{steadyHalfLife, make([]float64, NumKeys)}, recent: window{recentHalfLife, make([]float64, NumKeys)},
		baseline: window{baselineHalfLife, make([]float64, NumKeys)}, weightsSince: now,
	}
}

// weight returns what a request counts that comes some time after the beginning, so that a steady rate adds
// up to itself.
func (w *window) weight(since time.Duration) float64 {
	return math.Ln2 / w.halfLife.Seconds() * math.Exp2(since.Seconds()/w.halfLife.Seconds())
}

// scale returns the factor that turns sums into rates.
func (w *window) scale(since time.Duration) float64 {
	return math.Exp2(-since.Seconds() / w.halfLife.Seconds())
}

// Add takes in that requests for a key came.
func (r *Rates) Add(key uint16, count int, now time.Time) {
	if now.Sub(r.weightsSince) > rescaleInterval {
		r.rescale(now)
	}
	since := now.Sub(r.weightsSince)
	for _, w := range r.windows() {
		w.sums[key] += float64(count) * w.weight(since)
	}
}

func (r *Rates) windows() [3]*window { return [...]*window{&r.steady, &r.recent, &r.baseline} }

func (r *Rates) rescale(now time.Time) {
	since := now.Sub(r.weightsSince)
	for _, w := range r.windows() {
		scale := w.scale(since)
		for key := range w.sums {
			w.sums[key] *= scale
		}
	}
	r.weightsSince = now
}

// Load returns the requests in a second for each key.
func (r *Rates) Load(now time.Time) []float64 {
	since := now.Sub(r.weightsSince)
	steady, recent, usual := r.steady.scale(since), r.recent.scale(since), r.baseline.scale(since)
	out := make([]float64, NumKeys)
	for key, sum := range r.steady.sums {
		if sum == 0 {
			continue
		}
		out[key] = chooseRate(sum*steady, r.recent.sums[key]*recent, r.baseline.sums[key]*usual)
	}
	return out
}

// chooseRate returns the recent rate if it has risen above the usual or fallen below the steady one beyond
// chance, else the steady one.
func chooseRate(steady, recent, usual float64) float64 {
	switch {
	case recent-usual > riseDeviations*deviation(usual)+minRise && recent > steady,
		steady-recent > fallDeviations*deviation(steady)+minFall:
		return recent
	default:
		return steady
	}
}

// deviation returns the standard deviation of the recent rate if requests come at random at a rate.
func deviation(rate float64) float64 {
	return math.Sqrt(rate * math.Ln2 / recentHalfLife.Seconds() / 2)
}
