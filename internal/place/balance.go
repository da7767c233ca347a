package place

import "math"

// Bounds on the level, relative to the mean, above which a server gives ranges away.
const (
	leastTrigger = 0.03
	mostTrigger  = 0.14
	// baseTrigger is the trigger when churn weighs as much as imbalance.
	baseTrigger = 0.08
	// releaseShare is the part of the trigger down to which a server gives ranges away.
	releaseShare = 0.7
	// plannedMove is the unavailable time of a key that moves between live servers, in
	// seconds. It is what the weight of unavailable time is worth against that of churn.
	plannedMove = 0.01
	// farLevel is the level, relative to the mean, above which a server gives ranges away at
	// once and although they moved of late; farBelow that below which a server takes such.
	farLevel = 2.5
	farBelow = 0.6
)

// rules bound what balance does in one call.
type rules struct {
	now   Time
	dwell Time
	// patient says that only far overloaded servers give ranges away, and only servers far
	// below take them.
	patient bool
	// trigger and release are levels relative to the mean: a server above the first is
	// lowered to the second. The distance between them keeps it from giving again at once.
	trigger float64
	release float64
	// newcomer is the level to which servers are lowered for one far below the mean. Loss
	// of a server takes its whole share for the length of a lease, and while shares differ
	// the servers that have been up longest hold the most: the more unavailable time
	// weighs, the nearer it is to the mean.
	newcomer float64
	// spread says that newcomers get no hot keys. Moving those first costs the fewest keys,
	// but leaves the others with more keys to lose.
	spread bool
	// width is the share of the hash space that may still move.
	width float64
	// cost is the least difference of level, relative to the mean, that a move must lessen.
	cost float64
}

// rules weighs the measures: the dearer churn and unavailable time are against imbalance,
// the higher a server must be before it gives ranges away.
func (p *Planner) rules(v View) rules {
	w := v.Weights
	dear, lazy := 1.0, 1.0
	if w.Imbalance > 0 {
		dear = (w.Churn + plannedMove*w.Unavailable) / w.Imbalance
	}
	if w.Unavailable > 0 {
		lazy = w.Churn / (w.Churn + w.Unavailable)
	}
	trigger := min(max(baseTrigger*dear, leastTrigger), mostTrigger)
	width := 0.0
	for _, h := range v.Homes {
		width += h.Width()
	}
	return rules{
		now:      v.Now,
		dwell:    p.dwell,
		trigger:  1 + trigger,
		release:  1 + trigger*releaseShare,
		spread:   lazy < 0.5,
		newcomer: 1 + trigger*releaseShare*lazy,
		width:    p.budget * width,
		cost:     trigger,
	}
}

// transfer is what balance wants to do between two servers.
type transfer struct {
	from, to int
	// release is the level relative to the mean to which the first is lowered.
	release float64
	// urgent says that pieces which moved of late may move again.
	urgent bool
	// newcomer says that the second is one.
	newcomer bool
}

// movedLately reports whether the piece changed owner less than a span ago.
func (c *piece) movedLately(now, span Time) bool {
	return c.movedAt != 0 && now-c.movedAt < span
}

// balance moves ranges from servers above the trigger to the lowest ones while that pays.
func (pl *plan) balance(r rules) {
	newcomers := pl.newcomers()
	low := newLowest(pl.servers)
	for from := range pl.servers {
		if pl.servers[from].level() <= pl.mean*r.trigger {
			continue
		}
		high := pl.servers[from].level() > pl.mean*farLevel
		for {
			to := low.first()
			m := transfer{from: from, to: to, release: r.release, urgent: high || newcomers[to], newcomer: newcomers[to]}
			if m.newcomer {
				m.release = r.newcomer
			}
			if pl.servers[from].level() <= pl.mean*m.release*(1+rounding) {
				break
			}
			if r.patient && !m.urgent || !pl.relieve(m, &r) {
				break
			}
			low.fix(to)
			low.fix(from)
		}
	}
}

// newcomers returns by server whether both its load and its part of the hash space are far
// below the mean: it came, or warmed up. A server whose hot keys went cold has the second
// still, and ranges that moved to it would have to go back with the next hot keys.
func (pl *plan) newcomers() []bool {
	widths := make([]float64, len(pl.servers))
	width, capacity := 0.0, 0.0
	for _, c := range pl.pieces {
		widths[c.owner] += c.r.Width()
		width += c.r.Width()
	}
	for i := range pl.servers {
		capacity += pl.servers[i].capacity
	}
	list := make([]bool, len(pl.servers))
	for i := range pl.servers {
		s := &pl.servers[i]
		list[i] = s.level() < pl.mean*farBelow && widths[i]/s.capacity < width/capacity*farBelow
	}
	return list
}

// highest returns the highest level.
func (pl *plan) highest() float64 {
	highest := 0.0
	for i := range pl.servers {
		highest = max(highest, pl.servers[i].level())
	}
	return highest
}

// relieve moves one piece, or a part of one, between two servers. It reports false when no
// move is allowed or pays. An urgent move may take what moved of late.
func (pl *plan) relieve(m transfer, r *rules) bool {
	s, d := &pl.servers[m.from], &pl.servers[m.to]
	excess := s.load - s.capacity*pl.mean*m.release
	room := d.capacity*pl.mean*m.release - d.load
	if room <= 0 || s.level()-d.level() < pl.mean*r.cost {
		return false
	}
	i, whole := pl.choose(m, min(excess, room), room, r)
	if i == nobody {
		return false
	}
	if !whole {
		part, rest, ok := pl.splitOff(pl.pieces[i], min(excess, room), true)
		if !ok || part.r.Width() > r.width {
			return false
		}
		pl.pieces[i] = rest
		s.load -= part.load
		pl.give(pl.add(part), m.to)
		r.width -= part.r.Width()
		return true
	}
	c := pl.pieces[i]
	pl.move(i, m.to)
	r.width -= c.r.Width()
	return true
}

// choose returns the piece of a server whose move takes the wanted load off
// it for the least width, and whether it moves as a whole. Whole pieces must fit the room.
func (pl *plan) choose(m transfer, wanted, room float64, r *rules) (int, bool) {
	s := &pl.servers[m.from]
	best, whole, bestCost := nobody, false, math.Inf(1)
	for _, i := range s.pieces {
		c := pl.pieces[i]
		if c.load <= 0 || c.hot && m.newcomer && r.spread || !m.urgent && c.movedLately(r.now, r.dwell) {
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
