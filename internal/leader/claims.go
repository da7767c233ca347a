package leader

import "example.org/mustardring/pkg/keys"

// HeldRanges returns the ranges of a service that some server of the domain may act on, as far
// as this leader has heard, sorted and disjoint. Settled says that there are no others.
func (c *Core) HeldRanges(service string) (held []keys.Range, settled bool) {
	s := c.serviceOf(service)
	if s == nil || c.lead == nil {
		return nil, false
	}
	for _, h := range c.lead.holdings {
		if h.service == service {
			held = append(held, h.claims(true)...)
		}
	}
	for _, h := range c.lead.retired {
		if h.service == service {
			held = append(held, h.claims(true)...)
		}
	}
	return keys.Union(held, nil), c.now > c.settledAt(s)
}

// LogTerm returns the log term under which this instance leads, and whether it leads.
func (c *Core) LogTerm() (uint64, bool) {
	if c.lead == nil || !c.lead.won() {
		return 0, false
	}
	return c.lead.term.Log, true
}

// QuorumAskedAt returns the newest moment at which a majority of the voters was asked and
// followed this leader; false when this instance does not lead.
func (c *Core) QuorumAskedAt() (Time, bool) {
	if c.lead == nil || !c.lead.won() {
		return 0, false
	}
	return c.authority(), true
}
