package leader

import "example.org/mustardring/pkg/keys"

// MayHold returns the ranges of a service that some server of the domain may act on, sorted
// and disjoint. It is the whole hash space unless this instance leads and knows better.
func (c *Core) MayHold(service string) []keys.Range {
	s := c.serviceOf(service)
	if s == nil || c.lead == nil || c.now <= c.settledAt(s) {
		return []keys.Range{keys.Full}
	}
	var held []keys.Range
	for _, h := range c.lead.holdings {
		if h.service == service {
			held = append(held, h.claims()...)
		}
	}
	for _, h := range c.lead.retired {
		if h.service == service {
			held = append(held, h.claims()...)
		}
	}
	return keys.Union(held, nil)
}

// LogTerm returns the log term under which this instance leads, and whether it leads.
func (c *Core) LogTerm() (uint64, bool) {
	if c.lead == nil || !c.lead.won() {
		return 0, false
	}
	return c.lead.term.Log, true
}
