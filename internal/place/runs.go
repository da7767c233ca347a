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
	joined      bool
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
			runs[last].width += c.r.Width()
			continue
		}
		runs = append(runs, run{first: i, last: i, owner: c.owner, width: c.r.Width()})
	}
	return runs
}

// contiguous reports whether no hash lies between two pieces but those of other pieces.
func (pl *plan) contiguous(i, j int) bool {
	for ; i < j; i++ {
		if pl.pieces[i].r.Last+1 != pl.pieces[i+1].r.First {
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
		if len(runs) <= pl.limit || !pl.joinRuns(runs, len(runs)-pl.limit) {
			return
		}
	}
}

// joinRuns gives up to n runs to a neighbour. It reports whether any was given.
func (pl *plan) joinRuns(runs []run, n int) bool {
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
		j := pl.beside(runs, i)
		if j == nobody {
			continue
		}
		runs[i].joined, runs[j].joined = true, true
		for k := runs[i].first; k <= runs[i].last; k++ {
			if !pl.pieces[k].hot {
				pl.move(k, runs[j].owner)
			}
		}
		given++
	}
	return given > 0
}

// beside returns the run beside run i whose owner is lower, or nobody. Runs that already
// took part do so no more, since their owner or width has changed.
func (pl *plan) beside(runs []run, i int) int {
	best := nobody
	for _, j := range []int{i - 1, i + 1} {
		if runs[i].joined || j < 0 || j == len(runs) || runs[j].joined {
			continue
		}
		if !pl.contiguous(min(runs[i].last, runs[j].last), max(runs[i].first, runs[j].first)) {
			continue
		}
		if best == nobody || pl.servers[runs[j].owner].level() < pl.servers[runs[best].owner].level() {
			best = j
		}
	}
	return best
}
