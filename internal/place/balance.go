package place

import "math"

// Bounds on the level, relative to the mean, above which a server gives ranges away.
const (
	leastTrigger = 0.03
	mostTrigger  = 0.10
	// baseTrigger is the trigger when churn and unavailable time together weigh as much as
	// imbalance.
	baseTrigger = 0.05
	// farLevel is the level, relative to the mean, above which a range moves although it
	// moved of late.
	farLevel = 1.5
)

// rules bound what balance does in one call.
type rules struct {
	now   Time
	dwell Time
	// trigger and release are levels relative to the mean: a server above the first is
	// lowered to the second. The distance between them keeps it from giving again at once.
	trigger float64
	release float64
	// width is the share of the hash space that may still move.
	width float64
	// cost is the least difference of level, relative to the mean, that a move must lessen.
	cost float64
}

// rules weighs the measures: the dearer churn and unavailable time are against imbalance,
// the higher a server must be before it gives ranges away.
func (p *Planner) rules(v View) rules {
	dear := 1.0
	if v.Weights.Imbalance > 0 {
		dear = (v.Weights.Churn + v.Weights.Unavailable) / v.Weights.Imbalance
	}
	trigger := min(max(baseTrigger*dear, leastTrigger), mostTrigger)
	width := 0.0
	for _, h := range v.Homes {
		width += h.Width()
	}
	return rules{
		now:     v.Now,
		dwell:   p.dwell,
		trigger: 1 + trigger,
		release: 1 + trigger/2,
		width:   p.budget * width,
		cost:    trigger,
	}
}

// balance moves ranges from servers above the trigger to the lowest ones while that pays.
func (pl *plan) balance(r rules) {
	low := newLowest(pl.servers)
	for from := range pl.servers {
		if pl.servers[from].level() <= pl.mean*r.trigger {
			continue
		}
		for pl.servers[from].level() > pl.mean*r.release*(1+rounding) {
			to := low.first()
			width := pl.relieve(from, to, &r)
			if width == 0 {
				break
			}
			low.fix(to)
			low.fix(from)
		}
	}
}

// relieve moves one piece, or a part of one, between two servers. It returns the width that
// moved, zero when no move is allowed or pays.
func (pl *plan) relieve(from, to int, r *rules) float64 {
	s, d := &pl.servers[from], &pl.servers[to]
	excess := s.load - s.capacity*pl.mean*r.release
	room := d.capacity*pl.mean*r.release - d.load
	if room <= 0 || s.level()-d.level() < pl.mean*r.cost {
		return 0
	}
	i, whole := pl.choose(from, min(excess, room), room, r)
	if i == nobody {
		return 0
	}
	if !whole {
		part, rest, ok := pl.splitOff(pl.pieces[i], min(excess, room), true)
		if !ok || part.r.Width() > r.width {
			return 0
		}
		pl.pieces[i] = rest
		s.load -= part.load
		pl.give(pl.add(part), to)
		r.width -= part.r.Width()
		return part.r.Width()
	}
	c := pl.pieces[i]
	pl.move(i, to)
	r.width -= c.r.Width()
	return c.r.Width()
}

// choose returns the piece of a server whose move takes the wanted load off
// it for the least width, and whether it moves as a whole. Whole pieces must fit the room.
func (pl *plan) choose(from int, wanted, room float64, r *rules) (int, bool) {
	s := &pl.servers[from]
	best, whole, bestCost := nobody, false, math.Inf(1)
	for _, i := range s.pieces {
		c := pl.pieces[i]
		lately := c.movedAt != 0 && r.now-c.movedAt < r.dwell
		if lately && s.level() < pl.mean*farLevel || c.load <= 0 {
			continue
		}
		cost := c.r.Width() / c.load
		fits := c.load <= wanted*(1+rounding) || c.hot && c.load <= room && c.load < s.load
		if !fits && (c.hot || pl.full()) || fits && c.r.Width() > r.width {
			continue
		}
		if cost < bestCost {
			best, whole, bestCost = i, fits, cost
		}
	}
	return best, whole
}
