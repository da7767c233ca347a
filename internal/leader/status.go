package leader

import "example.org/mustardring/pkg/keys"

// HeldRanges returns the ranges of a service that servers of the domain may still act on, as far
// as this leader knows, sorted and disjoint. Settled says that there are certainly no others.
// The result is nil and false when this instance is neither leader nor candidate, and when it
// does not know the service.
func (c *Core) HeldRanges(service string) (held []keys.Range, settled bool) {
	s := c.serviceOf(service)
	if s == nil || c.lead == nil {
		return nil, false
	}
	for _, h := range c.lead.holders {
		if h.service == service {
			held = append(held, h.possibleRanges(true)...)
		}
	}
	for _, h := range c.lead.retired {
		if h.service == service {
			held = append(held, h.possibleRanges(true)...)
		}
	}
	return keys.Union(held, nil), c.now > c.settledAt(s)
}

// LogTerm returns the Log part of the term in which this instance leads, and whether it leads.
func (c *Core) LogTerm() (uint64, bool) {
	if c.lead == nil || !c.lead.won() {
		return 0, false
	}
	return c.lead.term.Log, true
}

// QuorumAskedAt returns the latest time such that a majority of every voter set was asked then or
// later and answered that it follows this leader. It returns false when this instance does
// not lead.
func (c *Core) QuorumAskedAt() (Time, bool) {
	if c.lead == nil || !c.lead.won() {
		return 0, false
	}
	return c.quorumAskedAt(), true
}
