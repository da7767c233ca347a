package shard

import (
	"math"
	"time"
)

// The windows of rates: the time after which a request counts half.
const (
	// steadyHalf is long enough that chance does not move keys.
	steadyHalf = 3 * time.Second
	// recentHalf is short enough that a key which turns busy is seen within a second or two. It counts only
	// where it differs beyond chance from what was usual.
	recentHalf = time.Second
	usualHalf  = 8 * time.Second
	// rescaleAfter is how long weights grow before all are brought down again.
	rescaleAfter = 20 * time.Second
)

// What differs by chance: a number of standard deviations of the recent rate, and some requests a second
// besides, below which no key is worth a move.
const (
	risenDeviations  = 3
	risenLeast       = 1.5
	fallenDeviations = 2
	fallenLeast      = 1
)

// Rates estimates the requests in a second for each key.
//
// Requests that come later weigh more, in place of earlier ones that decay: a request costs the same however
// many keys there are.
type Rates struct {
	steady  window
	recent  window
	usual   window
	beganAt time.Time
}

// window is sums over keys whose weights grow with time.
type window struct {
	half time.Duration
	sums []float64
}

// NewRates returns rates of which nothing is known.
func NewRates(now time.Time) *Rates {
	return &Rates{
		steady: window{steadyHalf, make([]float64, NumKeys)}, recent: window{recentHalf, make([]float64, NumKeys)},
		usual: window{usualHalf, make([]float64, NumKeys)}, beganAt: now,
	}
}

// weight returns what a request counts that comes some time after the beginning, so that a steady rate adds
// up to itself.
func (w *window) weight(since time.Duration) float64 {
	return math.Ln2 / w.half.Seconds() * math.Exp2(since.Seconds()/w.half.Seconds())
}

// scale returns the factor that turns sums into rates.
func (w *window) scale(since time.Duration) float64 {
	return math.Exp2(-since.Seconds() / w.half.Seconds())
}

// Add takes in that requests for a key came.
func (r *Rates) Add(key uint16, count int, now time.Time) {
	if now.Sub(r.beganAt) > rescaleAfter {
		r.rescale(now)
	}
	since := now.Sub(r.beganAt)
	for _, w := range r.windows() {
		w.sums[key] += float64(count) * w.weight(since)
	}
}

func (r *Rates) windows() [3]*window { return [...]*window{&r.steady, &r.recent, &r.usual} }

func (r *Rates) rescale(now time.Time) {
	since := now.Sub(r.beganAt)
	for _, w := range r.windows() {
		scale := w.scale(since)
		for key := range w.sums {
			w.sums[key] *= scale
		}
	}
	r.beganAt = now
}

// Load returns the requests in a second for each key.
func (r *Rates) Load(now time.Time) []float64 {
	since := now.Sub(r.beganAt)
	steady, recent, usual := r.steady.scale(since), r.recent.scale(since), r.usual.scale(since)
	out := make([]float64, NumKeys)
	for key, sum := range r.steady.sums {
		if sum == 0 {
			continue
		}
		out[key] = believe(sum*steady, r.recent.sums[key]*recent, r.usual.sums[key]*usual)
	}
	return out
}

// believe returns the recent rate if it has risen above the usual or fallen below the steady one beyond
// chance, else the steady one.
func believe(steady, recent, usual float64) float64 {
	switch {
	case recent-usual > risenDeviations*deviation(usual)+risenLeast && recent > steady,
		steady-recent > fallenDeviations*deviation(steady)+fallenLeast:
		return recent
	default:
		return steady
	}
}

// deviation returns the standard deviation of the recent rate if requests come at random at a rate.
func deviation(rate float64) float64 { return math.Sqrt(rate * math.Ln2 / recentHalf.Seconds() / 2) }
