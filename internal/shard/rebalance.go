package shard

import (
	"container/heap"
	"math"
)

// lossRate returns how many requests in a second are lost or late at a server that is asked for a
// load. The server is taken for a queue with as many places behind its slots as can be waited
// for within the target; what finds no place is lost. So a slow server, at which nothing can
// wait, loses much at a utilisation that costs a fast one nothing.
func (p *planner) lossRate(load float64, s *server) float64 {
	slots := max(s.Slots, 1)
	work := float64(slots) / s.capacity
	places := max(0, (p.in.TargetLatency-serviceTimeFactor*work)/work*float64(slots))
	whole := min(math.Floor(places), maxPlaces)
	low, high := blockingProbability(load/s.capacity, slots, int(whole))
	part := min(places-whole, 1)
	return load * (low*(1-part) + high*part)
}

const (
	// serviceTimeFactor is the time that is kept for a request's own work, as a multiple of its mean:
	// with a spread of 0.3, nine in ten take less than 1.4 times the mean.
	serviceTimeFactor = 1.4
	// maxPlaces bounds the places that are reckoned with: more change nothing.
	maxPlaces = 24
)

// blockingProbability returns the share of requests that find no place, at a utilisation, with the given
// number of places behind the slots and with one more (the queue M/M/c/K).
func blockingProbability(use float64, slots, places int) (float64, float64) {
	offered := use * float64(slots)
	term, sum := 1.0, 1.0
	for n := 1; n <= slots+places; n++ {
		term *= offered / float64(min(n, slots))
		sum += term
	}
	low := term / sum
	term *= offered / float64(slots)
	return low, term / (sum + term)
}

// piece is a run of keys that may be moved.
type piece struct {
	rangeIndex int // of its range among those of the server
	from, to   uint16
	load       float64
	// divisible says that a part of the run could be moved instead.
	divisible bool
}

// move is the best move from a server, as of the changes to the two servers.
type move struct {
	piece
	source, target               *server
	gain                         float64
	sourceVersion, targetVersion int
}

func (c move) current() bool {
	return c.sourceVersion == c.source.version && c.targetVersion == c.target.version
}

// rebalance makes the moves that gain most, and reports whether there were any.
//
// The best move of each server stands until that server, or the one that was to get the keys, has changed:
// only then is it looked for anew.
func (p *planner) rebalance() bool {
	var open moveHeap
	for _, s := range p.sourceServers() {
		open.pushIfGain(p.bestMove(s))
	}
	most := max(minMoveLimit, int(moveLimitShare*float64(len(p.usable))))
	moves := 0
	for moves < most && len(open) > 0 {
		c := heap.Pop(&open).(move)
		if c.current() {
			p.moveRange(c.source, p.splitOff(c), c.target)
			moves++
		}
		open.pushIfGain(p.bestMove(c.source))
	}
	return moves > 0
}

// moveHeap implements heap.Interface: the one that gains most is first.
type moveHeap []move

func (c moveHeap) Len() int           { return len(c) }
func (c moveHeap) Less(i, j int) bool { return c[i].gain > c[j].gain }
func (c moveHeap) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *moveHeap) Push(x any)        { *c = append(*c, x.(move)) }

func (c *moveHeap) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// pushIfGain adds a move if it pays.
func (c *moveHeap) pushIfGain(next move) {
	if next.gain > 0 {
		heap.Push(c, next)
	}
}

// sourceServers returns the servers at which most is lost.
func (p *planner) sourceServers() []*server {
	servers := p.byLoss()
	most := max(minSources, int(sourcesShare*float64(len(servers))))
	return servers[:min(len(servers), most)]
}

// bestMove returns the move from a server that gains most.
func (p *planner) bestMove(s *server) move {
	out := move{source: s}
	targets := p.candidateTargets()
	for _, c := range p.pieces(s) {
		if t := p.bestTarget(s, c, targets); t.gain > out.gain {
			out = t
		}
	}
	return out
}

// pieces returns what may be moved from a server: whole ranges, their busiest key, the halves of their
// load, and as many keys as the server with the most room has room for. With halves alone a run of busy keys
// comes apart in as many plans as it can be halved.
func (p *planner) pieces(s *server) []piece {
	var out []piece
	fine := p.rangeCount < maxMeanRanges*len(p.usable)
	room := headroomShare * p.mostHeadroom.servers[0].headroom()
	for i, r := range s.owned {
		if len(r.FormerOwners) > 0 {
			continue
		}
		add := func(from, to uint16) {
			out = append(out, piece{i, from, to, p.loadOf(Range{From: from, To: to}), fine && from < to})
		}
		add(r.From, r.To)
		if !fine || r.Len() == 1 {
			continue
		}
		if key, load := p.busiestKey(r); load >= busyKeyShare*s.capacity {
			add(key, key)
		}
		if at, ok := p.splitPoint(r, room); ok && at > r.From+1 {
			add(r.From, at-2)
		}
		if at, ok := p.splitPoint(r, p.loadOf(r)/2); ok {
			add(r.From, at-1)
			add(at, r.To)
		}
	}
	return out
}

// busiestKey returns the key of a range with the highest load.
func (p *planner) busiestKey(r Range) (uint16, float64) {
	best, most := r.From, 0.0
	for key := int(r.From); key <= int(r.To); key++ {
		if load := p.loadBelow[key+1] - p.loadBelow[key]; load > most {
			best, most = uint16(key), load
		}
	}
	return best, most
}

// bestTarget returns the server at which a piece is best, and what the move gains.
func (p *planner) bestTarget(source *server, c piece, targets []*server) move {
	best := move{piece: c, source: source, sourceVersion: source.version}
	keys := (float64(c.to) - float64(c.from) + 1) / NumKeys
	cost := moveCostSeconds*c.load + churnCost*keys
	saved := source.lossRate - p.lossRate(source.load-c.load, source)
	if gainSeconds*saved <= cost {
		return best
	}
	for _, t := range targets {
		// A part of a run that is too much for a server leaves the rest to others, in the same plan.
		if t == source || c.divisible && t.load+c.load > t.capacity {
			continue
		}
		p.comparisons++
		added := p.lossRate(t.load+c.load, t) - t.lossRate
		if gain := gainSeconds*(saved-added) - cost; gain > best.gain {
			best.gain, best.target, best.targetVersion = gain, t, t.version
		}
	}
	return best
}

// splitOff makes a piece a range of its own and returns its index.
func (p *planner) splitOff(c move) int {
	i := c.rangeIndex
	if c.from > c.source.owned[i].From {
		p.split(c.source, i, c.from)
		i++
	}
	if c.to < c.source.owned[i].To {
		p.split(c.source, i, c.to+1)
	}
	return i
}
