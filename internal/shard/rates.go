package shard

import (
	"math"
	"time"
)

// The half-lives of the rates: the time after which a request counts half.
const (
	// steadyHalfLife is long enough that random variation does not move keys.
	steadyHalfLife = 3 * time.Second
	// recentHalfLife is short enough that a key which becomes busy is detected within a second or two.
	// The recent rate is used only where it differs significantly from the baseline or the steady rate.
	recentHalfLife = time.Second
	// baselineHalfLife is that of the usual rate of a key, with which the recent rate is compared.
	baselineHalfLife = 8 * time.Second
	// rescaleInterval is the time for which the weights of requests grow before all sums are scaled
	// down again.
	rescaleInterval = 20 * time.Second
)

// A change of the recent rate is significant if it is greater than a number of standard deviations plus a
// number of requests per second, below which moving a key is not worthwhile.
const (
	riseDeviations = 3
	minRise        = 1.5
	fallDeviations = 2
	minFall        = 1
)

// Rates estimates the rate of requests for each key by exponentially weighted averages over three periods.
//
// Instead of decaying the sums of all keys, it gives later requests a higher weight. The cost of counting
// a request therefore does not depend on the number of keys.
type Rates struct {
	steady   window
	recent   window
	baseline window
	// burst is nil unless changes of groups of keys are detected. startedAt is the time of the first request then.
	burst     *window
	startedAt time.Time
	// weightsSince is the time from which on weights grow.
	weightsSince time.Time
}

// window holds, for each key, the sum of the weights of its requests. Weights double in each half-life.
type window struct {
	halfLife time.Duration
	sums     []float64
}

// NewRates returns rates that are zero for all keys.
func NewRates(now time.Time) *Rates {
	return &Rates{
		steady: window{steadyHalfLife, make([]float64, NumKeys)}, recent: window{recentHalfLife, make([]float64, NumKeys)},
		baseline: window{baselineHalfLife, make([]float64, NumKeys)}, weightsSince: now,
	}
}

// weight returns the weight of a request that arrives the given time after Rates.weightsSince. With the
// factor ln 2 / halfLife, the scaled sum of requests at a constant rate converges to that rate.
func (w *window) weight(since time.Duration) float64 {
	return math.Ln2 / w.halfLife.Seconds() * math.Exp2(since.Seconds()/w.halfLife.Seconds())
}

// scale returns the factor that converts sums to requests per second, the given time after
// Rates.weightsSince.
func (w *window) scale(since time.Duration) float64 {
	return math.Exp2(-since.Seconds() / w.halfLife.Seconds())
}

// Add counts requests for a key that arrived at the given time.
func (r *Rates) Add(key uint16, count int, now time.Time) {
	if now.Sub(r.weightsSince) > rescaleInterval {
		r.rescale(now)
	}
	since := now.Sub(r.weightsSince)
	for _, w := range r.windows() {
		w.sums[key] += float64(count) * w.weight(since)
	}
}

func (r *Rates) windows() []*window {
	all := [...]*window{&r.steady, &r.recent, &r.baseline, r.burst}
	if r.burst == nil {
		return all[:3]
	}
	return all[:]
}

// rescale converts all sums to rates and lets weights grow from the given time on, so that neither
// overflows.
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

// Load returns the estimated requests per second for each key.
func (r *Rates) Load(now time.Time) []float64 {
	if r.burst != nil {
		return r.groupLoad(now)
	}
	since := now.Sub(r.weightsSince)
	steady, recent, baseline := r.steady.scale(since), r.recent.scale(since), r.baseline.scale(since)
	out := make([]float64, NumKeys)
	for key, sum := range r.steady.sums {
		if sum == 0 {
			continue
		}
		out[key] = chooseRate(sum*steady, r.recent.sums[key]*recent, r.baseline.sums[key]*baseline)
	}
	return out
}

// chooseRate returns the recent rate if it is significantly above the baseline rate or significantly below
// the steady rate, and else the steady rate.
func chooseRate(steady, recent, baseline float64) float64 {
	switch {
	case recent-baseline > riseDeviations*deviation(baseline)+minRise && recent > steady,
		steady-recent > fallDeviations*deviation(steady)+minFall:
		return recent
	default:
		return steady
	}
}

// deviation returns the standard deviation of the recent rate for requests that arrive at random (a
// Poisson process) with the given mean rate per second.
func deviation(rate float64) float64 {
	return math.Sqrt(rate * math.Ln2 / recentHalfLife.Seconds() / 2)
}
