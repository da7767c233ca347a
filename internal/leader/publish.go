package leader

import (
	"cmp"
	"slices"

	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/keys"
)

// publish makes the routing table and emits it if it changed. A new leader waits until all
// servers have answered, or two periods, so that its first table takes nothing away.
func (c *Core) publish() {
	l := c.lead
	if l.published == nil && c.now < l.wonAt+2*Time(c.config.ExchangeInterval) && !c.allHeard() {
		return
	}
	l.tableDirty = false
	table := &route.Table{
		Domain:        c.config.Domain,
		Term:          l.term,
		Serial:        1,
		Owners:        c.owners(),
		Gates:         c.gateList(),
		BundleVersion: c.version,
	}
	if o := l.published; o != nil {
		if slices.Equal(o.Owners, table.Owners) && slices.Equal(o.Gates, table.Gates) && o.BundleVersion == table.BundleVersion {
			return
		}
		table.Serial = o.Serial + 1
	}
	l.published = table
	c.emit(Publish{Table: *table})
}

func (c *Core) allHeard() bool {
	for _, h := range c.lead.holdings {
		if !h.heard {
			return false
		}
	}
	return true
}

func (c *Core) owners() []route.Owner {
	var owners []route.Owner
	for _, s := range c.services {
		if s.Divided {
			owners = append(owners, c.ownersOf(s)...)
		}
	}
	return owners
}

// ownersOf returns the acknowledged owners within their lease. Until the service has settled
// the gaps name the former owners: the servers decide whether they still hold a grant.
func (c *Core) ownersOf(s *service) []route.Owner {
	var owners []route.Owner
	var taken []keys.Range
	for _, b := range s.Servers {
		h := c.lead.holdings[c.current(b)]
		if h == nil || !h.live || h.superseded || c.now > h.lapsesAt {
			continue
		}
		offset := c.offset(h)
		for _, r := range h.set {
			owners = append(owners, route.Owner{Service: s.Name, Range: r, Server: h.server, Epoch: h.epoch, Offset: offset})
		}
		taken = append(taken, h.set...)
	}
	if c.now <= c.settledAt(s) {
		keys.Sort(taken)
		for _, o := range c.remembered(s, taken) {
			owners = append(owners, route.Owner{Service: s.Name, Range: o.Range, Server: o.Server})
		}
	}
	slices.SortFunc(owners, func(a, b route.Owner) int { return cmp.Compare(a.Range.First, b.Range.First) })
	return owners
}

func (c *Core) gateList() []route.Gate {
	var gates []route.Gate
	for _, s := range c.services {
		for _, b := range s.Servers {
			if gate := c.gates[b.Name]; gate != "" && b.Slots > 0 {
				gates = append(gates, route.Gate{Service: s.Name, Server: b.Name, Instance: gate, ChecksGrants: b.ChecksGrants})
			}
		}
	}
	return gates
}
