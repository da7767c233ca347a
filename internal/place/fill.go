package place

import (
	"cmp"
	"slices"
)

// levelTolerance is how far above and below the mean level a server may be, as a share of it,
// without being made equal when ranges without an owner are given out.
const levelTolerance = 0.05

// assignOrphans gives each piece without an owner to the servers with the most room. Pieces that have
// an owner stay, so this is the fewest keys that can move.
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
	rooms := pl.orphanShares(load)
	orphans = pl.assignToNeighbors(orphans, rooms)
	pl.assignRest(orphans, rooms)
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

// assignHotOrphans gives out hot keys, the heaviest first, each to the lowest server. It returns the
// other orphans.
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
	low := newServerHeap(pl.servers)
	for _, i := range hot {
		to := low.lowest()
		pl.assign(i, to)
		low.fix(to)
	}
	return others
}

// orphanShares returns by server the load that it takes of the orphans, given their sum. The sum of
// the rooms is the same. Only as many servers take part as are needed to leave none more
// than fillSlack above the mean, besides those that are far below it: a lost server among
// thousands is shared by some twenty, not cut into thousands.
func (pl *plan) orphanShares(load float64) []float64 {
	order := make([]int, len(pl.servers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(pl.servers[a].level(), pl.servers[b].level())
	})
	sum, capacity := load, 0.0
	taking := 0
	for _, i := range order {
		s := &pl.servers[i]
		if capacity > 0 {
			level := sum / capacity
			far := s.level() < pl.meanLevel*(1-levelTolerance)
			if s.level() >= level || !far && level <= pl.meanLevel*(1+levelTolerance) {
				break
			}
		}
		sum += s.load
		capacity += s.capacity
		taking++
	}
	rooms := make([]float64, len(pl.servers))
	for _, i := range order[:taking] {
		s := &pl.servers[i]
		rooms[i] = max(0, s.capacity*sum/capacity-s.load)
	}
	return rooms
}

// assignToNeighbors gives orphans, or parts of them, to the owners of the pieces beside them, which
// costs no further range. It returns what is left.
func (pl *plan) assignToNeighbors(orphans []int, rooms []float64) []int {
	var left []int
	for _, i := range orphans {
		if i > 0 && pl.pieces[i-1].adjoins(pl.pieces[i]) {
			i = pl.assignPart(i, pl.pieces[i-1].owner, rooms, false)
		}
		if i != none && i < pl.sortedCount-1 && pl.pieces[i].adjoins(pl.pieces[i+1]) {
			i = pl.assignPart(i, pl.pieces[i+1].owner, rooms, true)
		}
		if i != none {
			left = append(left, i)
		}
	}
	return left
}

// assignPart gives a server as much of an orphan as it has room for, from its end or its
// start. It returns the index of the rest, or nobody.
func (pl *plan) assignPart(i, to int, rooms []float64, end bool) int {
	if to == none || rooms[to] <= 0 {
		return i
	}
	c := pl.pieces[i]
	if c.load <= rooms[to]*(1+loadTolerance) {
		rooms[to] -= c.load
		pl.assign(i, to)
		return none
	}
	part, rest, ok := pl.splitOff(c, rooms[to], end)
	if !ok {
		return i
	}
	rooms[to] = 0
	pl.pieces[i] = rest
	pl.assign(pl.addPiece(part), to)
	return i
}

// loadTolerance is the share by which two loads may differ and count as equal.
const loadTolerance = 1e-9

// splitOff cuts a part with the given load from the start or the end of a piece.
func (pl *plan) splitOff(c piece, load float64, end bool) (part, rest piece, ok bool) {
	if !end {
		return c.splitLoad(load)
	}
	rest, part, ok = c.splitLoad(c.load - load)
	return part, rest, ok
}

// assignRest gives out orphans in order, cutting them where a server's room ends. At the
// limit of ranges it gives whole ones, the heaviest first, to the lowest servers.
func (pl *plan) assignRest(orphans []int, rooms []float64) {
	to := 0
	for len(orphans) > 0 && !pl.atLimit() {
		for to < len(rooms) && rooms[to] <= pl.meanLevel*loadTolerance {
			to++
		}
		if to == len(rooms) {
			break
		}
		if pl.assignPart(orphans[0], to, rooms, false) == none {
			orphans = orphans[1:]
			continue
		}
		if rooms[to] > 0 {
			break
		}
	}
	slices.SortStableFunc(orphans, func(a, b int) int { return cmp.Compare(pl.pieces[b].load, pl.pieces[a].load) })
	low := newServerHeap(pl.servers)
	for _, i := range orphans {
		to := low.lowest()
		pl.assign(i, to)
		low.fix(to)
	}
}
