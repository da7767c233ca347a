package place

import (
	"cmp"
	"slices"
)

// run is a sequence of contiguous pieces of one owner, not counting the hot keys among them.
// Hot keys come and go, so the limit on ranges is a limit on runs: a run with n hot keys in
// it makes at most 2n+1 ranges.
type run struct {
	// first and last are the indices of its first and last piece.
	first, last int
	owner       int
	width       float64
	// changed says that the owner or the width of the run has changed since it was listed.
	changed bool
}

// runs returns the runs of the pieces, which must be sorted.
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

// contiguous reports whether the pieces from i to j cover a stretch of hashes without a gap.
func (pl *plan) contiguous(i, j int) bool {
	for ; i < j; i++ {
		if pl.pieces[i].hashes.Last+1 != pl.pieces[i+1].hashes.First {
			return false
		}
	}
	return true
}

// consolidate assigns the narrowest runs to the owners of adjacent runs until there are no
// more than maxRuns. Splits stay within the limit, but moving a whole piece can also cut a
// run in two.
func (pl *plan) consolidate() {
	for {
		pl.merge()
		runs := pl.runs()
		if len(runs) <= pl.maxRuns || !pl.mergeRuns(runs, len(runs)-pl.maxRuns) {
			return
		}
	}
}

// mergeRuns assigns up to n runs, the narrowest first, to the owner of an adjacent run. It
// reports whether any run was assigned.
func (pl *plan) mergeRuns(runs []run, n int) bool {
	order := make([]int, len(runs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(runs[a].width, runs[b].width) })
	assigned := 0
	for _, i := range order {
		if assigned == n {
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
		assigned++
	}
	return assigned > 0
}

// neighborOf returns the index of the run adjacent to run i whose owner has the lower level,
// or none. Changed runs are left out: their listed owner or width is out of date.
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
