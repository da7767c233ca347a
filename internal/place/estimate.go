package place

import "math"

const (
	// minLoadShare is the least load that a range is assumed to carry, as a share of the load
	// expected from its width. A failed gate or a server without callers reports zero. Taken
	// at face value, the zero would move ranges to that server that have to move again when
	// the load returns.
	minLoadShare = 0.25
)

// estimateLoads replaces the measured loads of pieces by estimates. A measured load loses
// half of its weight with each half-life; the load expected from the width of the piece takes
// its place. Loads keep their unit, but are plain widths if nothing was measured.
func (p *Planner) estimateLoads(v View, pieces []piece) {
	density, measured := p.loadDensity(v, pieces)
	for i := range pieces {
		c := &pieces[i]
		prior := density * c.hashes.Width()
		if !measured {
			c.load = prior
			continue
		}
		weight := p.loadWeight(v.Now, c.loadAt)
		if c.hot {
			c.load = weight*c.load + prior
			continue
		}
		c.load = max(weight*c.load+(1-weight)*prior, minLoadShare*prior)
	}
}

// loadDensity returns the load per unit of width of the keys that are not hot, and whether
// anything was measured. Without a measurement it is 1, so that load is width.
func (p *Planner) loadDensity(v View, pieces []piece) (float64, bool) {
	load, width := 0.0, 0.0
	for _, c := range pieces {
		if c.hot || c.loadAt == 0 {
			continue
		}
		weight := p.loadWeight(v.Now, c.loadAt)
		load += weight * c.load
		width += weight * c.hashes.Width()
	}
	if load <= 0 || width <= 0 {
		return 1, false
	}
	return load / width, true
}

// loadWeight returns the weight, in [0, 1], of a load that was measured at the given time; 0
// if it never was.
func (p *Planner) loadWeight(now, at Time) float64 {
	if at == 0 {
		return 0
	}
	age := max(now-at, 0)
	return math.Exp2(-float64(age) / float64(p.halfLife))
}
