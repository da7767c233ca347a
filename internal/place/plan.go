package place

import (
	"cmp"
	"slices"
)

// server is an accepting server in a plan.
type server struct {
	name     string
	capacity float64
	load     float64
	// pieces holds the indices of the pieces that the server owns.
	pieces []int
}

// level returns the load per unit of capacity.
func (s *server) level() float64 {
	return s.load / s.capacity
}

// plan is a partition of the homes that is being changed.
type plan struct {
	servers []server
	// The first sortedCount pieces are sorted by hash. Those after them were split off since
	// the last merge.
	pieces      []piece
	sortedCount int
	// maxRuns limits the number of runs, and splitsLeft is how many more splits that allows.
	maxRuns    int
	splitsLeft int
	// meanLevel is the level that all servers would have if load were spread evenly.
	meanLevel float64
}

func newPlan(servers []server, pieces []piece) *plan {
	return &plan{servers: servers, pieces: pieces, sortedCount: len(pieces)}
}

// sumLoads computes the loads and pieces of the servers, the mean level and the splits left.
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

// assign makes the server with index to the owner of piece i, which must have none; see move.
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

// atLimit reports whether no more pieces may be split.
func (pl *plan) atLimit() bool {
	return pl.splitsLeft <= 0
}

// merge sorts the pieces by hash and merges adjacent pieces of the same owner.
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

// mergeSorted merges adjacent pieces of the same owner in a sorted list, in place.
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

// targets returns the pieces, which must have been merged, as targets.
func (pl *plan) targets() []Target {
	targets := make([]Target, 0, len(pl.pieces))
	for _, c := range pl.pieces {
		targets = append(targets, Target{Range: c.hashes, Server: pl.servers[c.owner].name})
	}
	return targets
}
