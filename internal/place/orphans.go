package place

import (
	"cmp"
	"slices"
)

// levelTolerance is how far from the mean level, as a share of it, a server may remain when
// ranges without an owner are assigned.
const levelTolerance = 0.05

// assignOrphans assigns each piece without an owner to the servers with the most headroom.
// Pieces that have an owner keep it, so no more keys move than must.
func (pl *plan) assignOrphans() {
	orphans := pl.orphans()
	if len(orphans) == 0 {
		return
	}
	orphans = pl.assignHotOrphans(orphans)
	load := 0.0
	for _, i := range orphans {
		load += pl.pieces[i].load
	}
	shares := pl.orphanShares(load)
	orphans = pl.assignToNeighbors(orphans, shares)
	pl.assignRest(orphans, shares)
}

// orphans returns the indices of the pieces without an owner.
func (pl *plan) orphans() []int {
	var orphans []int
	for i, c := range pl.pieces {
		if c.owner == none {
			orphans = append(orphans, i)
		}
	}
	return orphans
}

// assignHotOrphans assigns hot keys, the heaviest first, each to the server with the lowest
// level. It returns the other orphans.
func (pl *plan) assignHotOrphans(orphans []int) []int {
	var hot, others []int
	for _, i := range orphans {
		if pl.pieces[i].hot {
			hot = append(hot, i)
		} else {
			others = append(others, i)
		}
	}
	slices.SortStableFunc(hot, func(a, b int) int { return cmp.Compare(pl.pieces[b].load, pl.pieces[a].load) })
	byLevel := newServerHeap(pl.servers)
	for _, i := range hot {
		to := byLevel.lowest()
		pl.assign(i, to)
		byLevel.fix(to)
	}
	return others
}

// orphanShares returns, by server, the load that it takes of the orphans, whose sum is load.
// The shares add up to load.
//
// Servers that are far below the mean always take part; of the others, only as many as are
// needed to leave none more than levelTolerance above it. So the ranges of a lost server
// among thousands go to about twenty servers and are not cut into thousands of pieces.
func (pl *plan) orphanShares(load float64) []float64 {
	order := make([]int, len(pl.servers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(pl.servers[a].level(), pl.servers[b].level())
	})
	total, capacity := load, 0.0
	taking := 0
	for _, i := range order {
		s := &pl.servers[i]
		if capacity > 0 {
			level := total / capacity
			farBelow := s.level() < pl.meanLevel*(1-levelTolerance)
			if s.level() >= level || !farBelow && level <= pl.meanLevel*(1+levelTolerance) {
				break
			}
		}
		total += s.load
		capacity += s.capacity
		taking++
	}
	shares := make([]float64, len(pl.servers))
	for _, i := range order[:taking] {
		s := &pl.servers[i]
		shares[i] = max(0, s.capacity*total/capacity-s.load)
	}
	return shares
}

// assignToNeighbors assigns orphans, or parts of them, to the owners of adjacent pieces,
// which adds no range. It returns the orphans that remain.
func (pl *plan) assignToNeighbors(orphans []int, shares []float64) []int {
	var left []int
	for _, i := range orphans {
		if i > 0 && pl.pieces[i-1].adjoins(pl.pieces[i]) {
			i = pl.assignPart(i, pl.pieces[i-1].owner, shares, false)
		}
		if i != none && i < pl.sortedCount-1 && pl.pieces[i].adjoins(pl.pieces[i+1]) {
			i = pl.assignPart(i, pl.pieces[i+1].owner, shares, true)
		}
		if i != none {
			left = append(left, i)
		}
	}
	return left
}

// assignPart assigns to a server as much of an orphan as its share allows, cut from the start
// or the end of the orphan. It returns the index of the remainder, or none.
func (pl *plan) assignPart(i, to int, shares []float64, fromEnd bool) int {
	if to == none || shares[to] <= 0 {
		return i
	}
	c := pl.pieces[i]
	if c.load <= shares[to]*(1+loadTolerance) {
		shares[to] -= c.load
		pl.assign(i, to)
		return none
	}
	part, rest, ok := pl.splitOff(c, shares[to], fromEnd)
	if !ok {
		return i
	}
	shares[to] = 0
	pl.pieces[i] = rest
	pl.assign(pl.addPiece(part), to)
	return i
}

// loadTolerance is the relative difference up to which two loads count as equal. It covers
// rounding.
const loadTolerance = 1e-9

// splitOff cuts a part with about the given load from the start of a piece, or from its end.
func (pl *plan) splitOff(c piece, load float64, fromEnd bool) (part, rest piece, ok bool) {
	if !fromEnd {
		return c.splitLoad(load)
	}
	rest, part, ok = c.splitLoad(c.load - load)
	return part, rest, ok
}

// assignRest assigns orphans in order and cuts them where the share of a server is used up.
// Once no further cut is possible, whole orphans go to the servers with the lowest level, the
// heaviest first.
func (pl *plan) assignRest(orphans []int, shares []float64) {
	to := 0
	for len(orphans) > 0 && !pl.atLimit() {
		for to < len(shares) && shares[to] <= pl.meanLevel*loadTolerance {
			to++
		}
		if to == len(shares) {
			break
		}
		if pl.assignPart(orphans[0], to, shares, false) == none {
			orphans = orphans[1:]
			continue
		}
		if shares[to] > 0 {
			break
		}
	}
	slices.SortStableFunc(orphans, func(a, b int) int { return cmp.Compare(pl.pieces[b].load, pl.pieces[a].load) })
	byLevel := newServerHeap(pl.servers)
	for _, i := range orphans {
		to := byLevel.lowest()
		pl.assign(i, to)
		byLevel.fix(to)
	}
}
