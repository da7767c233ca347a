package replay

import (
	"math"
	"slices"
)

// Goals of the users for the placer.
const (
	imbalanceGoal   = 1.15
	churnGoal       = 1.2
	worstKeyMillis  = 3000
	unavailableGoal = 0.5
)

// spread is how unevenly load and keys lie at one moment.
type spread struct {
	// loadMax and keyMax are the largest share over the mean, by capacity; the others are
	// coefficients of variation.
	loadMax, loadVar float64
	keyMax, keyVar   float64
}

// spreadOf returns the spread of owners over the members of a part.
func spreadOf(p *part, owners []int, now Time) spread {
	loads, counts := make([]float64, len(p.members)), make([]float64, len(p.members))
	for i, o := range owners {
		if o != unowned {
			loads[o] += p.loads[i]
			counts[o]++
		}
	}
	var sp spread
	sp.loadMax, sp.loadVar = p.uneven(loads, now)
	sp.keyMax, sp.keyVar = p.uneven(counts, now)
	return sp
}

// uneven returns the largest level over the mean and the coefficient of variation of levels,
// a level being the amount for each slot that counts.
func (p *part) uneven(amounts []float64, now Time) (float64, float64) {
	total, capacity := 0.0, 0.0
	for i, a := range amounts {
		total += a
		capacity += p.capacity(i, now)
	}
	if total == 0 || capacity == 0 {
		return 1, 0
	}
	most, squares, n := 0.0, 0.0, 0.0
	for i, a := range amounts {
		c := p.capacity(i, now)
		if c == 0 {
			continue
		}
		level := a / c * capacity / total
		most = max(most, level)
		squares += (level - 1) * (level - 1)
		n++
	}
	return most, math.Sqrt(squares / n)
}

// weighted is a value that held for some time.
type weighted struct {
	value  float64
	millis float64
}

// tally sums the measures of one method over the parts of a service.
type tally struct {
	loadMax, loadVar []weighted
	keyMax, keyVar   []weighted
	moved            int
	forced           int
	// least is the fewest keys whose move would have given the same balance, step by step.
	least int
	// unavailable is in key-milliseconds: for moves between live servers, for losses, and
	// for moves if they waited for the lease to lapse.
	planned, lost, lapsed float64
	// byKey sums the time by key, worst is the longest single one.
	byKey map[string]float64
	worst float64
}

// hold notes a spread that held for some time.
func (t *tally) hold(sp spread, millis float64) {
	t.loadMax = append(t.loadMax, weighted{sp.loadMax, millis})
	t.loadVar = append(t.loadVar, weighted{sp.loadVar, millis})
	t.keyMax = append(t.keyMax, weighted{sp.keyMax, millis})
	t.keyVar = append(t.keyVar, weighted{sp.keyVar, millis})
}

// out notes that a key could not be served for some time.
func (t *tally) out(key string, millis float64) {
	t.byKey[key] += millis
	t.worst = max(t.worst, millis)
}

// mean returns the mean over time.
func mean(list []weighted) float64 {
	sum, millis := 0.0, 0.0
	for _, w := range list {
		sum += w.value * w.millis
		millis += w.millis
	}
	if millis == 0 {
		return 0
	}
	return sum / millis
}

// quantile returns the value that was not exceeded for the given share of the time.
func quantile(list []weighted, share float64) float64 {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b weighted) int {
		switch {
		case a.value < b.value:
			return -1
		case a.value > b.value:
			return 1
		default:
			return 0
		}
	})
	millis := 0.0
	for _, w := range sorted {
		millis += w.millis
	}
	passed := 0.0
	for _, w := range sorted {
		passed += w.millis
		if passed >= share*millis {
			return w.value
		}
	}
	return 0
}
