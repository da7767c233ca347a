package place

import (
	"cmp"
	"slices"
)

// run is a sequence of pieces of one owner that follow each other, hot keys left out. Hot
// keys come and go, so runs are what bounds the ranges that remain: a run and the hot keys
// in it make at most one range more than twice the hot keys.
type run struct {
	first, last int
	owner       int
	width       float64
	changed     bool
}

// runs returns the runs of sorted pieces.
func (pl *plan) runs() []run {
	var runs []run
	for i, c := range pl.pieces {
		if c.hot {
			continue
		}
		last := len(runs) - 1
		if last >= 0 && runs[last].owner == c.owner && pl.contiguous(runs[last].last, i) {
			runs[last].last = i
			runs[last].width += c.hashes.Width()
			continue
		}
		runs = append(runs, run{first: i, last: i, owner: c.owner, width: c.hashes.Width()})
	}
	return runs
}

// contiguous reports whether no hash lies between two pieces but those of other pieces.
func (pl *plan) contiguous(i, j int) bool {
	for ; i < j; i++ {
		if pl.pieces[i].hashes.Last+1 != pl.pieces[i+1].hashes.First {
			return false
		}
	}
	return true
}

// consolidate gives the narrowest runs to the owners of the runs beside them until the limit
// holds. Splits stop short of the limit, but whole pieces that move can also cut a run.
func (pl *plan) consolidate() {
	for {
		pl.merge()
		runs := pl.runs()
		if len(runs) <= pl.maxRuns || !pl.mergeRuns(runs, len(runs)-pl.maxRuns) {
			return
		}
	}
}

// mergeRuns gives up to n runs to a neighbour. It reports whether any was given.
func (pl *plan) mergeRuns(runs []run, n int) bool {
	order := make([]int, len(runs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(runs[a].width, runs[b].width) })
	given := 0
	for _, i := range order {
		if given == n {
			break
		}
		j := pl.neighborOf(runs, i)
		if j == none {
			continue
		}
		runs[i].changed, runs[j].changed = true, true
		for k := runs[i].first; k <= runs[i].last; k++ {
			if !pl.pieces[k].hot {
				pl.move(k, runs[j].owner)
			}
		}
		given++
	}
	return given > 0
}

// neighborOf returns the run beside run i whose owner is lower, or nobody. Runs that already
// took part do so no more, since their owner or width has changed.
func (pl *plan) neighborOf(runs []run, i int) int {
	best := none
	for _, j := range []int{i - 1, i + 1} {
		if runs[i].changed || j < 0 || j == len(runs) || runs[j].changed {
			continue
		}
		if !pl.contiguous(min(runs[i].last, runs[j].last), max(runs[i].first, runs[j].first)) {
			continue
		}
		if best == none || pl.servers[runs[j].owner].level() < pl.servers[runs[best].owner].level() {
			best = j
		}
	}
	return best
}
