package leader

import "slices"

// RaiseHomesFence raises the homes fence to a value if it is lower. Every exchange of this
// leader carries the fence. Voters remember the highest value and report it to later leaders.
// See grant.Exchange.HomesFence for what it means.
func (c *Core) RaiseHomesFence(fence uint64) {
	c.homesFence = max(c.homesFence, fence)
}

// HomesFence returns the highest value of the homes fence that this instance knows, and the
// highest that a majority of every voter set has reported to know in this term.
func (c *Core) HomesFence() (fence, acknowledged uint64) {
	if c.lead == nil {
		return c.homesFence, 0
	}
	acknowledged = c.homesFenceQuorum(c.voterSets[0])
	for _, voters := range c.voterSets[1:] {
		acknowledged = min(acknowledged, c.homesFenceQuorum(voters))
	}
	return c.homesFence, acknowledged
}

// homesFenceQuorum returns the highest value that a majority of a voter set has reported to
// know, or zero.
func (c *Core) homesFenceQuorum(voters voterSet) uint64 {
	var known []uint64
	for name := range voters {
		if v := c.lead.votes[name]; v != nil && v.counted {
			known = append(known, v.homesFence)
		}
	}
	majority := len(voters)/2 + 1
	if len(known) < majority {
		return 0
	}
	slices.Sort(known)
	return known[len(known)-majority]
}
