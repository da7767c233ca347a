package place

import "math"

// A hot key is a single key, so moving it costs almost no churn or unavailable time. The
// limits on such moves are therefore less strict than for ranges.
const (
	// minHotGain is the least amount, as a share of the mean level, by which a move must
	// lower the higher level of the two servers.
	minHotGain = 0.02
	// hotDwellDivisor divides the dwell time: a hot key may move again after a quarter of it.
	hotDwellDivisor = 4
)

// balanceHotKeys moves hot keys from servers above the release level to those with the lowest
// level, as long as a move lowers the higher level of the two. A newcomer gets none if
// noHotToNewcomers is set.
func (pl *plan) balanceHotKeys(p balanceParams) {
	newcomers := pl.newcomers()
	byLevel := newServerHeap(pl.servers)
	for from := range pl.servers {
		for pl.servers[from].level() > pl.meanLevel*p.release {
			to := byLevel.lowest()
			i := pl.chooseHotKey(from, to, p)
			if i == none || p.noHotToNewcomers && newcomers[to] {
				break
			}
			pl.move(i, to)
			pl.pieces[i].movedAt = p.now
			byLevel.fix(to)
			byLevel.fix(from)
		}
	}
}

// chooseHotKey returns the index of the hot key whose move between two servers makes the
// higher of their levels lowest, or none if no move lowers it by minHotGain.
func (pl *plan) chooseHotKey(from, to int, p balanceParams) int {
	s, d := &pl.servers[from], &pl.servers[to]
	best, level := none, s.level()-pl.meanLevel*minHotGain
	for _, i := range s.pieces {
		c := &pl.pieces[i]
		if !c.hot || c.movedRecently(p.now, p.dwell/hotDwellDivisor) {
			continue
		}
		after := math.Max((s.load-c.load)/s.capacity, (d.load+c.load)/d.capacity)
		if after < level {
			best, level = i, after
		}
	}
	return best
}

// excludeDominantKeys leaves out of the mean level the hot keys that alone lift their server
// above it, with the capacity of that server. No move can lower such a server, so the mean of
// the others is what they can reach. The best balance that is possible is then set by the
// hottest key on the largest server.
func (pl *plan) excludeDominantKeys() {
	load, capacity := 0.0, 0.0
	for i := range pl.servers {
		load += pl.servers[i].load
		capacity += pl.servers[i].capacity
	}
	excluded := make([]bool, len(pl.servers))
	for changed := true; changed; {
		changed = false
		for _, c := range pl.pieces {
			s := &pl.servers[c.owner]
			if !c.hot || excluded[c.owner] || c.load <= pl.meanLevel*s.capacity || s.capacity >= capacity {
				continue
			}
			excluded[c.owner], changed = true, true
			load -= c.load
			capacity -= s.capacity
			pl.meanLevel = load / capacity
		}
	}
}
