package shard

import (
	"container/heap"
	"math"
)

// lost returns how many requests in a second are lost or late at a server that is asked for a
// load. The server is taken for a queue with as many places behind its slots as can be waited
// for within the target; what finds no place is lost. So a slow server, at which nothing can
// wait, loses much at a utilisation that costs a fast one nothing.
func (p *planner) lost(load float64, s *server) float64 {
	slots := max(s.Slots, 1)
	work := float64(slots) / s.power
	places := max(0, (p.in.TargetLatency-waitSpread*work)/work*float64(slots))
	whole := min(math.Floor(places), placesMost)
	low, high := blocked(load/s.power, slots, int(whole))
	part := min(places-whole, 1)
	return load * (low*(1-part) + high*part)
}

const (
	// waitSpread is the time that is kept for a request's own work, as a multiple of its mean:
	// with a spread of 0.3, nine in ten take less than 1.4 times the mean.
	waitSpread = 1.4
	// placesMost bounds the places that are reckoned with: more change nothing.
	placesMost = 24
)

// blocked returns the share of requests that find no place, at a utilisation, with the given
// number of places behind the slots and with one more (the queue M/M/c/K).
func blocked(use float64, slots, places int) (float64, float64) {
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
	index    int // of its range among those of the server
	from, to uint16
	load     float64
	// divisible says that a part of the run could be moved instead.
	divisible bool
}

// choice is the best move from a server, as of the changes to the two servers.
type choice struct {
	piece
	source, target               *server
	gain                         float64
	sourceChanges, targetChanges int
}

func (c choice) stands() bool {
	return c.sourceChanges == c.source.changes && c.targetChanges == c.target.changes
}

// improve makes the moves that gain most, and reports whether there were any.
//
// The best move of each server stands until that server, or the one that was to get the keys, has changed:
// only then is it looked for anew.
func (p *planner) improve() bool {
	var open choices
	for _, s := range p.worst() {
		open.offer(p.best(s))
	}
	most := max(movesLeast, int(movesShare*float64(len(p.usable))))
	moves := 0
	for moves < most && len(open) > 0 {
		c := heap.Pop(&open).(choice)
		if c.stands() {
			p.give(c.source, p.cut(c), c.target)
			moves++
		}
		open.offer(p.best(c.source))
	}
	return moves > 0
}

// choices implements heap.Interface: the one that gains most is first.
type choices []choice

func (c choices) Len() int           { return len(c) }
func (c choices) Less(i, j int) bool { return c[i].gain > c[j].gain }
func (c choices) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *choices) Push(x any)        { *c = append(*c, x.(choice)) }

func (c *choices) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// offer adds a move if it pays.
func (c *choices) offer(next choice) {
	if next.gain > 0 {
		heap.Push(c, next)
	}
}

// worst returns the servers at which most is lost.
func (p *planner) worst() []*server {
	servers := p.byLoss()
	most := max(sources, int(sourcesShare*float64(len(servers))))
	return servers[:min(len(servers), most)]
}

// best returns the move from a server that gains most.
func (p *planner) best(s *server) choice {
	out := choice{source: s}
	targets := p.candidates()
	for _, c := range p.pieces(s) {
		if t := p.target(s, c, targets); t.gain > out.gain {
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
	fine := p.ranges < rangesMost*len(p.usable)
	room := roomShare * p.roomiest.servers[0].room()
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
		if key, load := p.busiest(r); load >= busyShare*s.power {
			add(key, key)
		}
		if at, ok := p.cutAt(r, room); ok && at > r.From+1 {
			add(r.From, at-2)
		}
		if at, ok := p.cutAt(r, p.loadOf(r)/2); ok {
			add(r.From, at-1)
			add(at, r.To)
		}
	}
	return out
}

// busiest returns the key of a range with the highest load.
func (p *planner) busiest(r Range) (uint16, float64) {
	best, most := r.From, 0.0
	for key := int(r.From); key <= int(r.To); key++ {
		if load := p.sums[key+1] - p.sums[key]; load > most {
			best, most = uint16(key), load
		}
	}
	return best, most
}

// target returns the server at which a piece is best, and what the move gains.
func (p *planner) target(source *server, c piece, targets []*server) choice {
	best := choice{piece: c, source: source, sourceChanges: source.changes}
	keys := (float64(c.to) - float64(c.from) + 1) / NumKeys
	cost := gap*c.load + churnCost*keys
	saved := source.lost - p.lost(source.use-c.load, source)
	if horizon*saved <= cost {
		return best
	}
	for _, t := range targets {
		// A part of a run that is too much for a server leaves the rest to others, in the same plan.
		if t == source || c.divisible && t.use+c.load > t.power {
			continue
		}
		p.compared++
		added := p.lost(t.use+c.load, t) - t.lost
		if gain := horizon*(saved-added) - cost; gain > best.gain {
			best.gain, best.target, best.targetChanges = gain, t, t.changes
		}
	}
	return best
}

// cut makes a piece a range of its own and returns its index.
func (p *planner) cut(c choice) int {
	i := c.index
	if c.from > c.source.owned[i].From {
		p.split(c.source, i, c.from)
		i++
	}
	if c.to < c.source.owned[i].To {
		p.split(c.source, i, c.to+1)
	}
	return i
}
