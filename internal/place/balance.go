package place

import "math"

// Bounds on the level, relative to the mean, above which a server gives ranges away.
const (
	minTrigger = 0.03
	maxTrigger = 0.14
	// baseTrigger is the trigger when churn weighs as much as imbalance.
	baseTrigger = 0.08
	// releaseShare is the part of the trigger down to which a server gives ranges away.
	releaseShare = 0.7
	// plannedMoveSeconds is the unavailable time of a key that moves between live servers, in
	// seconds. It is what the weight of unavailable time is worth against that of churn.
	plannedMoveSeconds = 0.01
	// farAboveLevel is the level, relative to the mean, above which a server gives ranges away at
	// once and although they moved of late; farBelow that below which a server takes such.
	farAboveLevel = 2.5
	farBelowLevel = 0.6
)

// balanceParams bound what balance does in one call.
type balanceParams struct {
	now   Time
	dwell Time
	// onlyUrgent says that only far overloaded servers give ranges away, and only servers far
	// below take them.
	onlyUrgent bool
	// trigger and release are levels relative to the mean: a server above the first is
	// lowered to the second. The distance between them keeps it from giving again at once.
	trigger float64
	release float64
	// newcomerRelease is the level to which servers are lowered for one far below the mean. Loss
	// of a server takes its whole share for the length of a lease, and while shares differ
	// the servers that have been up longest hold the most: the more unavailable time
	// weighs, the nearer it is to the mean.
	newcomerRelease float64
	// noHotToNewcomers says that newcomers get no hot keys. Moving those first costs the fewest keys,
	// but leaves the others with more keys to lose.
	noHotToNewcomers bool
	// movableWidth is the share of the hash space that may still move.
	movableWidth float64
	// minLevelGap is the least difference of level, relative to the mean, that a move must lessen.
	minLevelGap float64
}

// balanceParams weighs the measures: the dearer churn and unavailable time are against imbalance,
// the higher a server must be before it gives ranges away.
func (p *Planner) balanceParams(v View) balanceParams {
	w := v.Weights
	dear, lazy := 1.0, 1.0
	if w.Imbalance > 0 {
		dear = (w.Churn + plannedMoveSeconds*w.Unavailable) / w.Imbalance
	}
	if w.Unavailable > 0 {
		lazy = w.Churn / (w.Churn + w.Unavailable)
	}
	trigger := min(max(baseTrigger*dear, minTrigger), maxTrigger)
	width := 0.0
	for _, h := range v.Homes {
		width += h.Width()
	}
	return balanceParams{
		now:              v.Now,
		dwell:            p.dwellTime,
		trigger:          1 + trigger,
		release:          1 + trigger*releaseShare,
		noHotToNewcomers: lazy < 0.5,
		newcomerRelease:  1 + trigger*releaseShare*lazy,
		movableWidth:     p.moveBudget * width,
		minLevelGap:      trigger,
	}
}

// transfer is what balance wants to do between two servers.
type transfer struct {
	from, to int
	// targetLevel is the level relative to the mean to which the first is lowered.
	targetLevel float64
	// urgent says that pieces which moved of late may move again.
	urgent bool
	// toNewcomer says that the second is one.
	toNewcomer bool
}

// movedRecently reports whether the piece changed owner less than a span ago.
func (c *piece) movedRecently(now, span Time) bool {
	return c.movedAt != 0 && now-c.movedAt < span
}

// balance moves ranges from servers above the trigger to the lowest ones while that pays.
func (pl *plan) balance(r balanceParams) {
	newcomers := pl.newcomers()
	low := newServerHeap(pl.servers)
	for from := range pl.servers {
		if pl.servers[from].level() <= pl.meanLevel*r.trigger {
			continue
		}
		high := pl.servers[from].level() > pl.meanLevel*farAboveLevel
		for {
			to := low.lowest()
			m := transfer{from: from, to: to, targetLevel: r.release, urgent: high || newcomers[to], toNewcomer: newcomers[to]}
			if m.toNewcomer {
				m.targetLevel = r.newcomerRelease
			}
			if pl.servers[from].level() <= pl.meanLevel*m.targetLevel*(1+loadTolerance) {
				break
			}
			if r.onlyUrgent && !m.urgent || !pl.moveLoad(m, &r) {
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
		widths[c.owner] += c.hashes.Width()
		width += c.hashes.Width()
	}
	for i := range pl.servers {
		capacity += pl.servers[i].capacity
	}
	list := make([]bool, len(pl.servers))
	for i := range pl.servers {
		s := &pl.servers[i]
		list[i] = s.level() < pl.meanLevel*farBelowLevel && widths[i]/s.capacity < width/capacity*farBelowLevel
	}
	return list
}

// maxLevel returns the highest level.
func (pl *plan) maxLevel() float64 {
	highest := 0.0
	for i := range pl.servers {
		highest = max(highest, pl.servers[i].level())
	}
	return highest
}

// moveLoad moves one piece, or a part of one, between two servers. It reports false when no
// move is allowed or pays. An urgent move may take what moved of late.
func (pl *plan) moveLoad(m transfer, r *balanceParams) bool {
	s, d := &pl.servers[m.from], &pl.servers[m.to]
	excess := s.load - s.capacity*pl.meanLevel*m.targetLevel
	room := d.capacity*pl.meanLevel*m.targetLevel - d.load
	if room <= 0 || s.level()-d.level() < pl.meanLevel*r.minLevelGap {
		return false
	}
	i, whole := pl.choosePiece(m, min(excess, room), room, r)
	if i == none {
		return false
	}
	if !whole {
		part, rest, ok := pl.splitOff(pl.pieces[i], min(excess, room), true)
		if !ok || part.hashes.Width() > r.movableWidth {
			return false
		}
		pl.pieces[i] = rest
		s.load -= part.load
		pl.assign(pl.addPiece(part), m.to)
		r.movableWidth -= part.hashes.Width()
		return true
	}
	c := pl.pieces[i]
	pl.move(i, m.to)
	r.movableWidth -= c.hashes.Width()
	return true
}

// choosePiece returns the piece of a server whose move takes the wanted load off
// it for the least width, and whether it moves as a whole. Whole pieces must fit the room.
func (pl *plan) choosePiece(m transfer, wanted, room float64, r *balanceParams) (int, bool) {
	s := &pl.servers[m.from]
	best, whole, bestCost := none, false, math.Inf(1)
	for _, i := range s.pieces {
		c := pl.pieces[i]
		if c.load <= 0 || c.hot && m.toNewcomer && r.noHotToNewcomers || !m.urgent && c.movedRecently(r.now, r.dwell) {
			continue
		}
		cost := c.hashes.Width() / c.load
		fits := c.load <= wanted*(1+loadTolerance) || c.hot && c.load <= room && c.load < s.load
		if !fits && (c.hot || pl.atLimit()) || fits && c.hashes.Width() > r.movableWidth {
			continue
		}
		if cost < bestCost {
			best, whole, bestCost = i, fits, cost
		}
	}
	return best, whole
}
