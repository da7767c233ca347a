package leader

import "slices"

// RaiseHomesFence raises the homes fence, which every exchange of this instance carries. Voters
// remember the highest value and report it to later leaders.
func (c *Core) RaiseHomesFence(fence uint64) {
	c.homesFence = max(c.homesFence, fence)
}

// HomesFence returns the highest value of the homes fence that this instance knows, and the
// highest that a majority of every voter set has reported to know in this term.
func (c *Core) HomesFence() (fence, taught uint64) {
	if c.lead == nil {
		return c.homesFence, 0
	}
	taught = c.homesFenceQuorum(c.voterSets[0])
	for _, e := range c.voterSets[1:] {
		taught = min(taught, c.homesFenceQuorum(e))
	}
	return c.homesFence, taught
}

// homesFenceQuorum returns the highest value that a majority of a voter set has reported to
// know, or zero.
func (c *Core) homesFenceQuorum(e voterSet) uint64 {
	var known []uint64
	for name := range e {
		if v := c.lead.votes[name]; v != nil && v.counted {
			known = append(known, v.homesFence)
		}
	}
	majority := len(e)/2 + 1
	if len(known) < majority {
		return 0
	}
	slices.Sort(known)
	return known[len(known)-majority]
}
