package leader

import "slices"

// RaiseHomesFence makes the leader tell its voters a value of the homes fence from now on. The
// voters remember the highest and tell it to any later leader.
func (c *Core) RaiseHomesFence(fence uint64) {
	c.homesFence = max(c.homesFence, fence)
}

// HomesFence returns the highest value of the homes fence that this instance knows, and the
// highest that a majority of every electorate is known to know.
func (c *Core) HomesFence() (fence, taught uint64) {
	if c.lead == nil {
		return c.homesFence, 0
	}
	taught = c.taughtOf(c.electorates[0])
	for _, e := range c.electorates[1:] {
		taught = min(taught, c.taughtOf(e))
	}
	return c.homesFence, taught
}

func (c *Core) taughtOf(e electorate) uint64 {
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
