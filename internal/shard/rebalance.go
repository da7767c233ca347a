package shard

import (
	"container/heap"
	"math"
)

// lossRate returns the requests per second that are lost or late at a server under a load, both in
// requests per second. The server is modelled as a queue (M/M/c/K) with as many waiting places as
// requests can wait in and still be answered within the target latency; requests that find no place are
// lost. A slow server, where no request can wait, therefore loses many requests at a utilization at
// which a fast one loses none.
func (p *planner) lossRate(load float64, s *server) float64 {
	if p.in.SpeedRanges {
		return load * (1 - (1-p.blockedShare(load*s.accepted, s))*s.accepted*(1-s.slow))
	}
	return load * p.blockedShare(load, s)
}

// blockedShare returns the share of requests that find no place at a server under a load in requests per second.
func (p *planner) blockedShare(load float64, s *server) float64 {
	low, high := blockingProbability(load/s.capacity, max(s.Slots, 1), s.places)
	return low*(1-s.partialPlace) + high*s.partialPlace
}

// waitingPlaces returns the number of requests that can wait at a server and still be answered within the target latency:
// a whole number, and the share of one more place.
func (p *planner) waitingPlaces(s *server) (int, float64) {
	slots := max(s.Slots, 1)
	serviceTime := float64(slots) / s.capacity
	places := max(0, (p.in.TargetLatency-serviceTimeFactor*serviceTime)/serviceTime*float64(slots))
	whole := min(math.Floor(places), maxPlaces)
	return int(whole), min(places-whole, 1)
}

const (
	// serviceTimeFactor is the part of the target latency that is reserved for processing the request
	// itself, as a multiple of the mean service time: with a spread of 0.3, nine in ten requests take
	// less than 1.4 times the mean.
	serviceTimeFactor = 1.4
	// maxPlaces limits the waiting places of the model; more do not change the result.
	maxPlaces = 24
)

// blockingProbability returns the share of requests that find no place in a queue M/M/c/K at a
// utilization, first with the given number of waiting places behind the slots and then with one more.
func blockingProbability(utilization float64, slots, places int) (float64, float64) {
	offered := utilization * float64(slots)
	term, sum := 1.0, 1.0
	for n := 1; n <= slots+places; n++ {
		term *= offered / float64(min(n, slots))
		sum += term
	}
	low := term / sum
	term *= offered / float64(slots)
	return low, term / (sum + term)
}

// piece is a run of keys that may be moved: a range of a server or a part of one.
type piece struct {
	rangeIndex int // index of the range in server.owned
	from, to   uint16
	load       float64
	// divisible says that a part of the piece may be moved instead.
	divisible bool
}

// move is a move of a piece from one server to another. Its gain, in requests, was computed for the
// given versions of the two servers.
type move struct {
	piece
	source, target               *server
	gain                         float64
	sourceVersion, targetVersion int
}

// current reports whether neither server has changed since the move was computed.
func (m move) current() bool {
	return m.sourceVersion == m.source.version && m.targetVersion == m.target.version
}

// rebalance makes the moves with the highest gains, and reports whether it made any.
//
// The heap holds the best move from each source server. It is computed again only when that server or
// the target of the move has changed.
func (p *planner) rebalance() bool {
	var candidates moveHeap
	for _, s := range p.sourceServers() {
		candidates.pushIfGain(p.bestMove(s))
	}
	share := moveLimitShare
	if p.in.SpeedRanges {
		share = busyMoveShare
	}
	limit, moves := max(minMoveLimit, int(share*float64(len(p.usable)))), 0
	for moves < limit && len(candidates) > 0 {
		m := heap.Pop(&candidates).(move)
		if m.current() {
			p.moves[p.reasonFor(m.load, m.source)]++
			p.moveRange(m.source, p.splitOff(m), m.target)
			moves++
		}
		candidates.pushIfGain(p.bestMove(m.source))
	}
	return moves > 0
}

// moveHeap implements heap.Interface. The move with the highest gain is first.
type moveHeap []move

func (h moveHeap) Len() int           { return len(h) }
func (h moveHeap) Less(i, j int) bool { return h[i].gain > h[j].gain }
func (h moveHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *moveHeap) Push(x any)        { *h = append(*h, x.(move)) }

func (h *moveHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// pushIfGain adds a move to the heap if its gain is positive.
func (h *moveHeap) pushIfGain(m move) {
	if m.gain > 0 {
		heap.Push(h, m)
	}
}

// sourceServers returns the servers with the highest loss rates, from which moves are considered.
func (p *planner) sourceServers() []*server {
	servers := p.byLoss()
	limit := max(minSources, int(sourcesShare*float64(len(servers))))
	if p.in.SpeedRanges {
		limit = max(limit, min(int(slowSourcesShare*float64(len(servers))), maxSlowSources))
	}
	return p.addUneven(servers[:min(len(servers), limit)])
}

// bestMove returns the move from a server with the highest gain. The gain is 0 if no move has a positive
// one.
func (p *planner) bestMove(s *server) move {
	best := move{source: s}
	targets := p.candidateTargets()
	for _, c := range p.pieces(s) {
		if m := p.bestTarget(s, c, targets); m.gain > best.gain {
			best = m
		}
	}
	return best
}

// pieces returns the pieces that may be moved from a server: each range as a whole, its busiest key, its
// halves by load, and as many of its first keys as fit into the headroom of the server with the most of
// it. With halves alone, splitting a run of busy keys into single ones would take a plan for each
// halving. Ranges that are being moved are left out.
func (p *planner) pieces(s *server) []piece {
	out := p.candidates[:0]
	canSplit := p.rangeCount < maxMeanRanges*len(p.usable)
	headroom := headroomShare * p.greatestHeadroom()
	for i, r := range s.owned {
		if len(r.FormerOwners) > 0 {
			continue
		}
		add := func(from, to uint16) {
			out = append(out, piece{i, from, to, p.loadOf(Range{From: from, To: to}), canSplit && from < to})
		}
		add(r.From, r.To)
		if !canSplit || r.Len() == 1 {
			continue
		}
		if key, load := p.busiestKey(r); load >= busyKeyShare*s.capacity {
			add(key, key)
		}
		if at, ok := p.splitPoint(r, headroom); ok && at > r.From+1 {
			add(r.From, at-2)
		}
		if at, ok := p.splitPoint(r, p.loadOf(r)/2); ok {
			add(r.From, at-1)
			add(at, r.To)
		}
	}
	p.candidates = out
	return out
}

// busiestKey returns the key of a range with the highest load, and its load.
func (p *planner) busiestKey(r Range) (uint16, float64) {
	busiest, highest := r.From, 0.0
	for key := int(r.From); key <= int(r.To); key++ {
		if load := p.loadBelow[key+1] - p.loadBelow[key]; load > highest {
			busiest, highest = uint16(key), load
		}
	}
	return busiest, highest
}

// bestTarget returns the move of a piece to the target with the highest gain. The gain is 0 if no target
// has a positive one.
func (p *planner) bestTarget(source *server, c piece, targets []*server) move {
	best := move{piece: c, source: source, sourceVersion: source.version}
	keys := (float64(c.to) - float64(c.from) + 1) / NumKeys
	cost := moveCostSeconds*c.load + churnCost*keys
	if p.in.SpeedRanges {
		cost += moveCost + minGainShare*gainSeconds*c.load
	}
	saved := source.cost - p.cost(source.load-c.load, source)
	if gainSeconds*saved <= cost {
		return best
	}
	for _, t := range targets {
		// If the piece exceeds the capacity of the target, a part of it may be moved instead, and the
		// rest to other servers in the same plan.
		if t == source || !p.hasRoom(t, c.load) || c.divisible && t.load+c.load > t.capacity && !p.relieves(source, c.load, t) {
			continue
		}
		p.comparisons++
		added := p.cost(t.load+c.load, t) - t.cost
		if gain := gainSeconds*(saved-added) - cost; gain > best.gain {
			best.gain, best.target, best.targetVersion = gain, t, t.version
		}
	}
	return best
}

// splitOff splits the range of a move so that the piece is a range of its own, and returns its index in
// source.owned.
func (p *planner) splitOff(m move) int {
	i := m.rangeIndex
	if m.from > m.source.owned[i].From {
		p.split(m.source, i, m.from)
		i++
	}
	if m.to < m.source.owned[i].To {
		p.split(m.source, i, m.to+1)
	}
	return i
}
