package shard

import (
	"cmp"
	"math"
	"slices"
)

// lost returns how many requests in a second are lost or late at a server of a power that is
// asked for a load. Up to its power the share of the load that waits too long grows with the
// fourth power of utilisation, which fits two to four slots and targets of two to four service
// times; all load beyond its power is lost.
func lost(load, power float64) float64 {
	use := min(load/power, 1)
	return 0.25*load*math.Pow(use, 4) + max(0, load-power)
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
		return cmp.Compare(lost(p.use[b], p.power[b]), lost(p.use[a], p.power[a]))
	})
	return ids[:min(len(ids), sources)]
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
			if from <= to && !(from == int(r.From) && to == int(r.To)) {
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
	saved := lost(p.use[source], p.power[source]) - lost(p.use[source]-c.load, p.power[source])
	for _, id := range p.ids() {
		if id == source {
			continue
		}
		added := lost(p.use[id]+c.load, p.power[id]) - lost(p.use[id], p.power[id])
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
