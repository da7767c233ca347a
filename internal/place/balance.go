package place

import "math"

// Levels are relative to the mean level of the servers. The trigger is how far above the mean
// a server must be before it gives ranges away.
const (
	minTrigger = 0.03
	maxTrigger = 0.14
	// baseTrigger is the trigger when churn and planned moves together weigh as much as
	// imbalance.
	baseTrigger = 0.08
	// releaseShare is the share of the trigger down to which a server gives ranges away.
	releaseShare = 0.7
	// plannedMoveSeconds is how long a key is unavailable when it moves between live servers,
	// in seconds. It converts the weight of unavailable time into a weight of churn.
	plannedMoveSeconds = 0.01
	// A server above farAboveLevel gives ranges away at once, even ranges that moved
	// recently. Only a server below farBelowLevel can count as a newcomer, see newcomers.
	farAboveLevel = 2.5
	farBelowLevel = 0.6
)

// balanceParams limits the moves that one call of Place makes to balance load. Levels are
// relative to the mean level of the servers.
type balanceParams struct {
	now Time
	// dwell is how long a range that moved stays with its owner, unless a transfer is urgent.
	dwell Time
	// onlyUrgent allows only urgent transfers: from a server far above the mean, or to a
	// newcomer.
	onlyUrgent bool
	// A server above the level trigger is lowered to the level release. The gap between them
	// keeps it from reaching the trigger again at once.
	trigger float64
	release float64
	// newcomerRelease replaces release when ranges go to a newcomer. The more unavailable
	// time weighs, the nearer it is to the mean: the keys of a lost server are unavailable
	// for the length of a lease, and while shares differ the servers that have been up
	// longest own the most keys.
	newcomerRelease float64
	// noHotToNewcomers keeps hot keys from newcomers. Hot keys would fill a newcomer with the
	// fewest keys moved, but the other servers would keep more keys, and these are
	// unavailable when their server is lost.
	noHotToNewcomers bool
	// movableWidth is the share of the hash space that may still move in this call.
	movableWidth float64
	// minLevelGap is the least difference between the levels of two servers for which a range
	// moves.
	minLevelGap float64
}

// balanceParams derives the parameters from the weights of the bundle. The more churn and
// unavailable time weigh against imbalance, the higher the level at which a server gives
// ranges away.
func (p *Planner) balanceParams(v View) balanceParams {
	w := v.Weights
	churnRatio, churnShare := 1.0, 1.0
	if w.Imbalance > 0 {
		churnRatio = (w.Churn + plannedMoveSeconds*w.Unavailable) / w.Imbalance
	}
	if w.Unavailable > 0 {
		churnShare = w.Churn / (w.Churn + w.Unavailable)
	}
	trigger := min(max(baseTrigger*churnRatio, minTrigger), maxTrigger)
	width := 0.0
	for _, h := range v.Homes {
		width += h.Width()
	}
	return balanceParams{
		now:              v.Now,
		dwell:            p.dwellTime,
		trigger:          1 + trigger,
		release:          1 + trigger*releaseShare,
		noHotToNewcomers: churnShare < 0.5,
		newcomerRelease:  1 + trigger*releaseShare*churnShare,
		movableWidth:     p.moveBudget * width,
		minLevelGap:      trigger,
	}
}

// transfer describes a wanted move of load between two servers, given by index.
type transfer struct {
	from, to int
	// targetLevel is the level, relative to the mean, to which the server "from" is lowered.
	targetLevel float64
	// urgent allows pieces that moved recently to move again.
	urgent bool
	// toNewcomer says that the server "to" is a newcomer.
	toNewcomer bool
}

// movedRecently reports whether the piece changed owner less than span ago.
func (c *piece) movedRecently(now, span Time) bool {
	return c.movedAt != 0 && now-c.movedAt < span
}

// balance moves ranges from servers above the trigger to those with the lowest level, until
// they are at the release level or no further move is worth its cost.
func (pl *plan) balance(p balanceParams) {
	newcomers := pl.newcomers()
	byLevel := newServerHeap(pl.servers)
	for from := range pl.servers {
		if pl.servers[from].level() <= pl.meanLevel*p.trigger {
			continue
		}
		farAbove := pl.servers[from].level() > pl.meanLevel*farAboveLevel
		for {
			to := byLevel.lowest()
			t := transfer{from: from, to: to, targetLevel: p.release, urgent: farAbove || newcomers[to], toNewcomer: newcomers[to]}
			if t.toNewcomer {
				t.targetLevel = p.newcomerRelease
			}
			if pl.servers[from].level() <= pl.meanLevel*t.targetLevel*(1+loadTolerance) {
				break
			}
			if p.onlyUrgent && !t.urgent || !pl.moveLoad(t, &p) {
				break
			}
			byLevel.fix(to)
			byLevel.fix(from)
		}
	}
}

// newcomers returns, by server, whether both its load and its share of the hash space are far
// below the mean, because it has just joined or warmed up. Load alone does not tell: a server
// whose hot keys became cold has a low load but its full share of the hash space, and ranges
// that moved to it would have to move back when other keys become hot.
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

// maxLevel returns the highest level of any server.
func (pl *plan) maxLevel() float64 {
	highest := 0.0
	for i := range pl.servers {
		highest = max(highest, pl.servers[i].level())
	}
	return highest
}

// moveLoad moves one piece, or a part of one, between the servers of t. It returns false when
// no move is allowed or worth its cost. An urgent move may take pieces that moved recently.
func (pl *plan) moveLoad(t transfer, p *balanceParams) bool {
	s, d := &pl.servers[t.from], &pl.servers[t.to]
	excess := s.load - s.capacity*pl.meanLevel*t.targetLevel
	headroom := d.capacity*pl.meanLevel*t.targetLevel - d.load
	if headroom <= 0 || s.level()-d.level() < pl.meanLevel*p.minLevelGap {
		return false
	}
	i, whole := pl.choosePiece(t, min(excess, headroom), headroom, p)
	if i == none {
		return false
	}
	if !whole {
		part, rest, ok := pl.splitOff(pl.pieces[i], min(excess, headroom), true)
		if !ok || part.hashes.Width() > p.movableWidth {
			return false
		}
		pl.pieces[i] = rest
		s.load -= part.load
		pl.assign(pl.addPiece(part), t.to)
		p.movableWidth -= part.hashes.Width()
		return true
	}
	c := pl.pieces[i]
	pl.move(i, t.to)
	p.movableWidth -= c.hashes.Width()
	return true
}

// choosePiece returns the index of the piece that takes the wanted load off its server for
// the least width of the hash space, and whether the whole piece moves; otherwise a part of
// it must be split off. A piece that moves whole must fit the headroom. The index is none if
// no piece may move.
func (pl *plan) choosePiece(t transfer, wanted, headroom float64, p *balanceParams) (int, bool) {
	s := &pl.servers[t.from]
	best, whole, bestCost := none, false, math.Inf(1)
	for _, i := range s.pieces {
		c := pl.pieces[i]
		if c.load <= 0 || c.hot && t.toNewcomer && p.noHotToNewcomers || !t.urgent && c.movedRecently(p.now, p.dwell) {
			continue
		}
		cost := c.hashes.Width() / c.load
		fits := c.load <= wanted*(1+loadTolerance) || c.hot && c.load <= headroom && c.load < s.load
		if !fits && (c.hot || pl.atLimit()) || fits && c.hashes.Width() > p.movableWidth {
			continue
		}
		if cost < bestCost {
			best, whole, bestCost = i, fits, cost
		}
	}
	return best, whole
}
