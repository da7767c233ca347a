package shard

import (
	"cmp"
	"math"
	"slices"
)

// lost returns how many requests in a second are lost or late at a server that is asked for a
// load. The server is taken for a queue with as many places behind its slots as can be waited
// for within the target; what finds no place is lost. So a slow server, at which nothing can
// wait, loses much at a utilisation that costs a fast one nothing: with a target of 600 ms and
// two slots, half of the time in use, 15% at 350 ms a request and 1% at 130 ms.
func (p *planner) lost(load float64, server string) float64 {
	m := p.members[server]
	power := p.power[server]
	slots := max(m.Slots, 1)
	work := float64(slots) / power
	places := max(0, (p.in.Target-waitSpread*work)/work*float64(slots))
	whole := min(math.Floor(places), placesMost)
	low, high := blocked(load/power, slots, int(whole))
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
	index    int // of its range
	from, to int
	load     float64
}

// choice is a move that was considered.
type choice struct {
	piece
	target string
	gain   float64
}

// improve makes the move that gains most. It returns false when none pays.
func (p *planner) improve() bool {
	best := choice{}
	for _, source := range p.worst() {
		for _, c := range p.pieces(source) {
			if t := p.target(source, c); t.gain > best.gain {
				best = t
			}
		}
	}
	if best.gain <= 0 {
		return false
	}
	i := p.cut(best.piece)
	p.give(i, best.target, best.load)
	p.moves++
	return true
}

// worst returns the servers at which most is lost.
func (p *planner) worst() []string {
	ids := p.ids()
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Compare(p.lost(p.use[b], b), p.lost(p.use[a], a))
	})
	most := max(sources, int(sourcesShare*float64(len(ids))))
	return ids[:min(len(ids), most)]
}

// pieces returns what may be moved from a server: whole ranges, their busiest bucket, and the
// halves of their load.
func (p *planner) pieces(server string) []piece {
	var out []piece
	fine := len(p.out.Ranges) < rangesMost*len(p.power)
	for i, r := range p.out.Ranges {
		if r.Server != server || len(r.Before) > 0 {
			continue
		}
		add := func(from, to int) {
			whole := from == int(r.From) && to == int(r.To)
			if from <= to && !whole {
				out = append(out, piece{i, from, to, p.loadOf(Range{From: uint16(from), To: uint16(to)})})
			}
		}
		load := p.loadOf(r)
		out = append(out, piece{i, int(r.From), int(r.To), load})
		if !fine || r.Len() <= 1<<bucketShift {
			continue
		}
		busiest := p.busiest(r)
		add(max(busiest<<bucketShift, int(r.From)), min((busiest+1)<<bucketShift-1, int(r.To)))
		if at, ok := p.cutAt(r, load/2); ok {
			add(int(r.From), int(at)-1)
			add(int(at), int(r.To))
		}
	}
	return out
}

// busiest returns the bucket of a range with the highest load.
func (p *planner) busiest(r Range) int {
	best := BucketOf(r.From)
	for b := best; b <= BucketOf(r.To); b++ {
		if p.load[b] > p.load[best] {
			best = b
		}
	}
	return best
}

// target returns the server at which a piece is best, and what the move gains.
func (p *planner) target(source string, c piece) choice {
	best := choice{piece: c}
	keys := float64(c.to-c.from+1) / Keys
	cost := gap*c.load + churnCost*keys
	saved := p.lost(p.use[source], source) - p.lost(p.use[source]-c.load, source)
	for _, id := range p.ids() {
		if id == source {
			continue
		}
		added := p.lost(p.use[id]+c.load, id) - p.lost(p.use[id], id)
		if gain := horizon*(saved-added) - cost; gain > best.gain {
			best.gain, best.target = gain, id
		}
	}
	return best
}

// cut makes a piece a range of its own and returns its index.
func (p *planner) cut(c piece) int {
	i := c.index
	if c.from > int(p.out.Ranges[i].From) {
		p.out.Split(i, uint16(c.from))
		i++
	}
	if c.to < int(p.out.Ranges[i].To) {
		p.out.Split(i, uint16(c.to+1))
	}
	return i
}
