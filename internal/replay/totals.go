package replay

import (
	"math"
	"slices"
)

// Goals of the users for the placer.
const (
	imbalanceGoal      = 1.15 // load of the most loaded server over the mean, for 95% of the time
	churnGoal          = 1.2  // keys moved over the least number possible
	worstKeyGoalMillis = 3000 // longest time for which a key cannot be served
	unavailableGoal    = 0.5  // unavailable time over that of a naive method
)

// imbalance states how unevenly load and keys are distributed over servers at one time, relative
// to their capacity.
type imbalance struct {
	// loadMaxOverMean and keysMaxOverMean are the maximum over the mean; loadCV and keysCV are
	// coefficients of variation.
	loadMaxOverMean, loadCV float64
	keysMaxOverMean, keysCV float64
}

// imbalanceOf returns the imbalance among the servers of a part with the given owners of its
// keys.
func imbalanceOf(p *domainPart, owners []int, now Time) imbalance {
	loads, counts := make([]float64, len(p.servers)), make([]float64, len(p.servers))
	for i, o := range owners {
		if o != unowned {
			loads[o] += p.loads[i]
			counts[o]++
		}
	}
	var im imbalance
	im.loadMaxOverMean, im.loadCV = p.maxOverMean(loads, now)
	im.keysMaxOverMean, im.keysCV = p.maxOverMean(counts, now)
	return im
}

// maxOverMean returns the maximum over the mean and the coefficient of variation of the amounts
// per slot of capacity, given the amount on each server. Servers without capacity are left out of
// both, but their amounts count in the mean.
func (p *domainPart) maxOverMean(amounts []float64, now Time) (float64, float64) {
	total, capacity := 0.0, 0.0
	for i, a := range amounts {
		total += a
		capacity += p.capacity(i, now)
	}
	if total == 0 || capacity == 0 {
		return 1, 0
	}
	highest, squares, n := 0.0, 0.0, 0.0
	for i, a := range amounts {
		c := p.capacity(i, now)
		if c == 0 {
			continue
		}
		relative := a / c * capacity / total
		highest = max(highest, relative)
		squares += (relative - 1) * (relative - 1)
		n++
	}
	return highest, math.Sqrt(squares / n)
}

// timedValue is a value of a measure and how long it lasted.
type timedValue struct {
	value  float64
	millis float64
}

// totals collects the measures of one method over all parts of a service and the whole trace.
type totals struct {
	loadMaxOverMean, loadCV []timedValue
	keysMaxOverMean, keysCV []timedValue
	// keysMoved counts changes of owner, keysForced those whose owner was lost or leaving.
	keysMoved  int
	keysForced int
	// minKeysMoved is the sum of domainPart.minKeysMoved over all changes of owners.
	minKeysMoved int
	// plannedMillis and lostMillis are the unavailable time in key-milliseconds: that of moves
	// between live servers, and that of losses. withoutRevocationMillis is what their sum would
	// be if such moves waited until the old lease expires instead of revoking it.
	plannedMillis, lostMillis, withoutRevocationMillis float64
	// millisByKey is the unavailable time of each key, worstMillis the longest single period of
	// any key.
	millisByKey map[string]float64
	worstMillis float64
}

// addImbalance adds an imbalance that lasted for some time.
func (t *totals) addImbalance(im imbalance, millis float64) {
	t.loadMaxOverMean = append(t.loadMaxOverMean, timedValue{im.loadMaxOverMean, millis})
	t.loadCV = append(t.loadCV, timedValue{im.loadCV, millis})
	t.keysMaxOverMean = append(t.keysMaxOverMean, timedValue{im.keysMaxOverMean, millis})
	t.keysCV = append(t.keysCV, timedValue{im.keysCV, millis})
}

// addUnavailable adds a period in which a key could not be served.
func (t *totals) addUnavailable(key string, millis float64) {
	t.millisByKey[key] += millis
	t.worstMillis = max(t.worstMillis, millis)
}

// mean returns the mean of the values, weighted by time, or zero if there are none.
func mean(list []timedValue) float64 {
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

// quantile returns the least value that was not exceeded for the given share of the time, or zero
// if there are no values.
func quantile(list []timedValue, share float64) float64 {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b timedValue) int {
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
