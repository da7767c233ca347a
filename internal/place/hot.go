package place

import "math"

// Bounds on the moves of hot keys. A hot key is one key, so its move costs next to nothing
// of churn and unavailable time and the bounds are tighter than for ranges.
const (
	// hotGain is the least by which the higher of the two levels must fall.
	hotGain = 0.02
	// hotDwellShare is the part of the dwell time that a hot key stays.
	hotDwellShare = 4
)

// balanceHot moves hot keys from servers above the release level to the lowest ones while that lowers the
// higher of the two. While a newcomer has to get ranges it may wait, see rules.
func (pl *plan) balanceHot(r rules) {
	newcomers := pl.newcomers()
	low := newLowest(pl.servers)
	for from := range pl.servers {
		for pl.servers[from].level() > pl.mean*r.release {
			to := low.first()
			i := pl.chooseHot(from, to, r)
			if i == nobody || r.spread && newcomers[to] {
				break
			}
			pl.move(i, to)
			pl.pieces[i].movedAt = r.now
			low.fix(to)
			low.fix(from)
		}
	}
}

// chooseHot returns the hot key whose move between two servers makes the higher one lowest,
// or nobody.
func (pl *plan) chooseHot(from, to int, r rules) int {
	s, d := &pl.servers[from], &pl.servers[to]
	best, level := nobody, s.level()-pl.mean*hotGain
	for _, i := range s.pieces {
		c := &pl.pieces[i]
		if !c.hot || c.movedLately(r.now, r.dwell/hotDwellShare) {
			continue
		}
		after := math.Max((s.load-c.load)/s.capacity, (d.load+c.load)/d.capacity)
		if after < level {
			best, level = i, after
		}
	}
	return best
}

// setApart takes the hot keys that alone lift their server above the mean out of the mean,
// with the capacity of that server. Nothing can lower such a server, so the others are
// measured against what they can reach: the load that is left over the capacity left. The
// level of the hottest key on the largest server is the bound on balance then.
func (pl *plan) setApart() {
	load, capacity := 0.0, 0.0
	for i := range pl.servers {
		load += pl.servers[i].load
		capacity += pl.servers[i].capacity
	}
	apart := make([]bool, len(pl.servers))
	for again := true; again; {
		again = false
		for _, c := range pl.pieces {
			s := &pl.servers[c.owner]
			if !c.hot || apart[c.owner] || c.load <= pl.mean*s.capacity || s.capacity >= capacity {
				continue
			}
			apart[c.owner], again = true, true
			load -= c.load
			capacity -= s.capacity
			pl.mean = load / capacity
		}
	}
}
