package place

import (
	"cmp"
	"slices"
)

// server is an accepting server while a plan is made.
type server struct {
	name     string
	capacity float64
	load     float64
	pieces   []int
}

// level is the load for each unit of capacity.
func (s *server) level() float64 {
	return s.load / s.capacity
}

// plan is a partition while it is changed.
type plan struct {
	servers []server
	// pieces are sorted as far as sorted; those behind were split off.
	pieces      []piece
	sortedCount int
	// maxRuns bounds the runs, and spare is how many more splits may bring about.
	maxRuns    int
	splitsLeft int
	// meanLevel is the level at which all servers would be equal.
	meanLevel float64
}

func newPlan(servers []server, pieces []piece) *plan {
	return &plan{servers: servers, pieces: pieces, sortedCount: len(pieces)}
}

// sumLoads sums the loads of the pieces by server.
func (pl *plan) sumLoads() {
	total, capacity := 0.0, 0.0
	for i, c := range pl.pieces {
		total += c.load
		if c.owner == none {
			continue
		}
		s := &pl.servers[c.owner]
		s.load += c.load
		s.pieces = append(s.pieces, i)
	}
	for _, s := range pl.servers {
		capacity += s.capacity
	}
	pl.meanLevel = total / capacity
	pl.splitsLeft = pl.maxRuns - len(pl.runs())
}

// assign makes a server the owner of a piece that has none.
func (pl *plan) assign(i, to int) {
	c := &pl.pieces[i]
	s := &pl.servers[to]
	c.owner = to
	s.load += c.load
	s.pieces = append(s.pieces, i)
}

// addPiece appends a piece that was split off and returns its index.
func (pl *plan) addPiece(c piece) int {
	pl.splitsLeft--
	pl.pieces = append(pl.pieces, c)
	return len(pl.pieces) - 1
}

// atLimit reports whether another split would pass the limit.
func (pl *plan) atLimit() bool {
	return pl.splitsLeft <= 0
}

// merge puts the pieces in order of their hashes and makes one of neighbours of one owner.
func (pl *plan) merge() {
	slices.SortFunc(pl.pieces, func(a, b piece) int { return cmp.Compare(a.hashes.First, b.hashes.First) })
	pl.pieces = mergeSorted(pl.pieces)
	pl.sortedCount = len(pl.pieces)
	for i := range pl.servers {
		pl.servers[i].pieces = pl.servers[i].pieces[:0]
	}
	for i, c := range pl.pieces {
		s := &pl.servers[c.owner]
		s.pieces = append(s.pieces, i)
	}
}

// mergeSorted makes one of sorted neighbours of one owner, in place.
func mergeSorted(pieces []piece) []piece {
	merged := pieces[:0]
	for _, c := range pieces {
		last := len(merged) - 1
		if last >= 0 && merged[last].merges(c) {
			merged[last].absorb(c)
			continue
		}
		merged = append(merged, c)
	}
	return merged
}

// targets returns the merged plan.
func (pl *plan) targets() []Target {
	targets := make([]Target, 0, len(pl.pieces))
	for _, c := range pl.pieces {
		targets = append(targets, Target{Range: c.hashes, Server: pl.servers[c.owner].name})
	}
	return targets
}
