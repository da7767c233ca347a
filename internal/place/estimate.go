package place

import "math"

// Bounds on what is believed of a measured load.
const (
	// minLoadShare is the least load that a range is taken to carry, as a share of what its
	// width would bring. It guards against the zero that a dead gate or a server without
	// callers reports: believed at once, the zero would draw ranges to that server that
	// have to move again when the load returns.
	minLoadShare = 0.25
)

// estimateLoads replaces the measured loads of pieces by what is believed: a load loses half of
// its weight with each half-life, and the mean over the width takes its place. Units stay.
func (p *Planner) estimateLoads(v View, pieces []piece) {
	density, measured := p.loadDensity(v, pieces)
	for i := range pieces {
		c := &pieces[i]
		prior := density * c.hashes.Width()
		if !measured {
			c.load = prior
			continue
		}
		trust := p.loadWeight(v.Now, c.loadAt)
		if c.hot {
			c.load = trust*c.load + prior
			continue
		}
		c.load = max(trust*c.load+(1-trust)*prior, minLoadShare*prior)
	}
}

// loadDensity returns the load that the width 1 of keys which are not hot carries, and whether
// anything was measured. Without a measurement load is width.
func (p *Planner) loadDensity(v View, pieces []piece) (float64, bool) {
	load, width := 0.0, 0.0
	for _, c := range pieces {
		if c.hot || c.loadAt == 0 {
			continue
		}
		trust := p.loadWeight(v.Now, c.loadAt)
		load += trust * c.load
		width += trust * c.hashes.Width()
	}
	if load <= 0 || width <= 0 {
		return 1, false
	}
	return load / width, true
}

// loadWeight returns the weight of a load by its age, in [0, 1].
func (p *Planner) loadWeight(now, at Time) float64 {
	if at == 0 {
		return 0
	}
	age := max(now-at, 0)
	return math.Exp2(-float64(age) / float64(p.halfLife))
}
