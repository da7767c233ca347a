package place

import "math"

// Bounds on the moves of hot keys. A hot key is one key, so its move costs next to nothing
// of churn and unavailable time and the bounds are tighter than for ranges.
const (
	// minHotGain is the least by which the higher of the two levels must fall.
	minHotGain = 0.02
	// hotDwellDivisor is the part of the dwell time that a hot key stays.
	hotDwellDivisor = 4
)

// balanceHotKeys moves hot keys from servers above the release level to the lowest ones while that lowers the
// higher of the two. While a newcomer has to get ranges it may wait, see rules.
func (pl *plan) balanceHotKeys(r balanceParams) {
	newcomers := pl.newcomers()
	low := newServerHeap(pl.servers)
	for from := range pl.servers {
		for pl.servers[from].level() > pl.meanLevel*r.release {
			to := low.lowest()
			i := pl.chooseHotKey(from, to, r)
			if i == none || r.noHotToNewcomers && newcomers[to] {
				break
			}
			pl.move(i, to)
			pl.pieces[i].movedAt = r.now
			low.fix(to)
			low.fix(from)
		}
	}
}

// chooseHotKey returns the hot key whose move between two servers makes the higher one lowest,
// or nobody.
func (pl *plan) chooseHotKey(from, to int, r balanceParams) int {
	s, d := &pl.servers[from], &pl.servers[to]
	best, level := none, s.level()-pl.meanLevel*minHotGain
	for _, i := range s.pieces {
		c := &pl.pieces[i]
		if !c.hot || c.movedRecently(r.now, r.dwell/hotDwellDivisor) {
			continue
		}
		after := math.Max((s.load-c.load)/s.capacity, (d.load+c.load)/d.capacity)
		if after < level {
			best, level = i, after
		}
	}
	return best
}

// excludeDominantKeys takes the hot keys that alone lift their server above the mean out of the mean,
// with the capacity of that server. Nothing can lower such a server, so the others are
// measured against what they can reach: the load that is left over the capacity left. The
// level of the hottest key on the largest server is the bound on balance then.
func (pl *plan) excludeDominantKeys() {
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
			if !c.hot || apart[c.owner] || c.load <= pl.meanLevel*s.capacity || s.capacity >= capacity {
				continue
			}
			apart[c.owner], again = true, true
			load -= c.load
			capacity -= s.capacity
			pl.meanLevel = load / capacity
		}
	}
}
