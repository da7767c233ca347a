package shard

import (
	"math"
	"time"
)

// Parameters of the rates of groups of keys.
const (
	// groupKeys is the number of neighbouring keys whose requests are counted together to detect a change. A key of a
	// run of 200 busy ones gets two requests a second, which alone is no significant rise for seconds.
	groupKeys = 32
	// burstHalfLife is short enough that a run of busy keys shows most of its load half a second after its rise.
	burstHalfLife = recentHalfLife / 2
	// A group has changed if a rate over a shorter period differs from the steady rate by groupDeviations standard
	// deviations and minGroupChange requests per second.
	groupDeviations = 3
	minGroupChange  = 4
	// evenRequests is the number of requests within the half-life of the rate that each key of a group that has changed is
	// taken to have had besides: the few requests since the change tell little of single keys.
	evenRequests = 0.1
	// maxRise bounds how much higher a risen rate is than its average over burstHalfLife.
	maxRise = 8
	// evenHalfLife is the age of new rates at which half of a usual load is still taken to be even: the few requests of a
	// server within the first second would move keys by their number alone.
	evenHalfLife = time.Second
	// minGroupsRate is a rate of all groups together, in requests per second, below which it counts as zero.
	minGroupsRate = 0.001
	// minRatesAge is the shortest period that rates are taken to rest on.
	minRatesAge = 500 * time.Millisecond
)

// NewGroupRates returns rates like those of NewRates, which in addition detect changes of groups of neighbouring keys
// within half a second, and are not too low when they are new.
func NewGroupRates(now time.Time) *Rates {
	r := NewRates(now)
	r.burst = &window{burstHalfLife, make([]float64, NumKeys)}
	r.startedAt = now
	return r
}

// groupLoad returns the estimated requests per second for each key.
func (r *Rates) groupLoad(now time.Time) []float64 {
	since := now.Sub(r.weightsSince)
	steady, recent, burst := r.fullScale(&r.steady, now), r.fullScale(&r.recent, now), r.fullScale(r.burst, now)
	baseline, long := r.baseline.scale(since), r.fullScale(&r.baseline, now)
	calm := r.calmGroups(steady, long)
	calmScale := long * calm.rate / max(calm.average, minGroupsRate)
	even, newness := calm.rate/max(calm.keys, 1), math.Exp2(-now.Sub(r.startedAt).Seconds()/evenHalfLife.Seconds())
	out := make([]float64, NumKeys)
	for first := 0; first < NumKeys; first += groupKeys {
		usual := r.steady.sum(first) * steady
		evenShare := newness
		if r.steady.significant(usual, groupKeys*even) {
			evenShare = 0
		}
		if usual == 0 {
			for key := first; key < first+groupKeys; key++ {
				out[key] = evenShare * even
			}
			continue
		}
		w, scale := r.burst, burst
		rate := w.sum(first) * scale
		if !w.significant(rate, usual) {
			w, scale = &r.recent, recent
			rate = w.sum(first) * scale
		}
		shown, floor := rate, evenRequests/w.halfLife.Seconds()
		changed := w.significant(rate, usual)
		if w == r.burst {
			rate = max(rate, risenRate(rate, r.recent.sum(first)*recent, r.baseline.sum(first)*baseline))
		}
		settled, settledScale := &r.steady, steady
		if !r.steady.significant(usual, r.baseline.sum(first)*long) {
			settled, settledScale = &r.baseline, calmScale
		}
		for key := first; key < first+groupKeys; key++ {
			if changed {
				out[key] = rate * (w.sums[key]*scale + floor) / (shown + groupKeys*floor)
				continue
			}
			out[key] = chooseRate(settled.sums[key]*settledScale, r.recent.sums[key]*recent, r.baseline.sums[key]*baseline)
			if out[key] <= even+minGroupChange {
				out[key] += evenShare * (even - out[key])
			}
		}
	}
	return out
}

// calmGroups is the sum of the groups of keys whose rates have not changed for some time, as averages over steadyHalfLife
// and over baselineHalfLife. The latter shows better how the load is spread, the former how much there is of it.
type calmGroups struct {
	rate    float64
	average float64
	keys    float64
}

// calmGroups returns the sum of the groups whose rates have not changed, given the scales of their averages.
func (r *Rates) calmGroups(steady, long float64) calmGroups {
	var out calmGroups
	for first := 0; first < NumKeys; first += groupKeys {
		rate, average := r.steady.sum(first)*steady, r.baseline.sum(first)*long
		if !r.steady.significant(rate, average) {
			out.rate, out.average, out.keys = out.rate+rate, out.average+average, out.keys+groupKeys
		}
	}
	return out
}

// risenRate returns the rate to which a rate has risen at once, given its averages over burstHalfLife, over twice that and
// over a long time before. A time t after the rise, they show the parts 1-x^2 and 1-x of it, with x = 2^(-t/recentHalfLife).
func risenRate(burst, recent, usual float64) float64 {
	short, long := burst-usual, recent-usual
	if long <= 0 || short <= long {
		return burst
	}
	return usual + min(long*long/max(2*long-short, 0.001), maxRise*short)
}

// loadDeviation returns the standard deviation of the measured load of many keys that get a rate together, in requests per
// second.
func loadDeviation(rate float64) float64 {
	return math.Sqrt(rate * math.Ln2 / baselineHalfLife.Seconds() / 2)
}

// fullScale returns the factor that converts the sums of a window to requests per second, given that there were none before
// the rates began.
func (r *Rates) fullScale(w *window, now time.Time) float64 {
	age := max(now.Sub(r.startedAt), minRatesAge)
	return w.scale(now.Sub(r.weightsSince)) / (1 - math.Exp2(-age.Seconds()/w.halfLife.Seconds()))
}

// sum returns the sum of a group of keys.
func (w *window) sum(first int) float64 {
	sum := 0.0
	for _, s := range w.sums[first : first+groupKeys] {
		sum += s
	}
	return sum
}

// significant reports whether a rate of the window shows that the usual rate, in requests per second, has changed.
func (w *window) significant(rate, usual float64) bool {
	deviation := math.Sqrt(usual * math.Ln2 / w.halfLife.Seconds() / 2)
	return math.Abs(rate-usual) > groupDeviations*deviation+minGroupChange
}
