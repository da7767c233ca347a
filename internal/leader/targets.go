package leader

import (
	"cmp"
	"slices"
	"time"

	"example.org/mustardring/internal/place"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// minPlacing and rangePlacing bound how often a placement is computed when servers come and
// go: it takes some 0.8 us a range, and must not fill a core.
const (
	minPlacing   = Time(50 * time.Millisecond)
	rangePlacing = Time(25 * time.Microsecond)
)

// placeSoon asks for a placement as soon as the rate allows.
func (c *Core) placeSoon() {
	l := c.lead
	ranges := 0
	for _, targets := range l.targets {
		ranges += len(targets)
	}
	l.placeAt = min(l.placeAt, max(c.now, l.placedAt+minPlacing+Time(ranges)*rangePlacing))
}

// place asks the placer for the wanted owners of the services that have settled.
func (c *Core) place() {
	l := c.lead
	if c.now < l.placeAt {
		return
	}
	l.placedAt = c.now
	l.placeAt = c.now + Time(c.config.PlacementInterval)
	for _, s := range c.services {
		if !s.Divided || c.now <= c.movesAt() {
			continue
		}
		view := c.view(s)
		s.forgetMoves(view.Owned)
		targets := c.placer.Place(view)
		if !slices.Equal(targets, l.targets[s.Name]) {
			l.targets[s.Name] = targets
			l.dirty = true
		}
	}
}

func (c *Core) view(s *service) place.View {
	v := place.View{
		Now:       c.now,
		Service:   s.Name,
		Weights:   s.Weights,
		Homes:     s.Homes,
		HotHashes: s.hotHashes(),
	}
	for _, b := range s.Servers {
		if b.Slots > 0 {
			server := place.Server{Name: b.Name, Slots: b.Slots, Accepting: c.accepts(b)}
			if h := c.lead.holdings[c.current(b)]; h != nil {
				server.WarmAt = h.warmAt
			}
			v.Servers = append(v.Servers, server)
		}
	}
	for _, o := range c.owned(s) {
		o.Load, o.LoadAt = s.loads[o.Range].value, s.loads[o.Range].at
		if m := s.moves[o.Range]; m.server == o.Server {
			o.MovedAt = m.at
		}
		v.Owned = append(v.Owned, o)
	}
	return v
}

// accepts reports whether a server answers and does not leave.
func (c *Core) accepts(b Server) bool {
	h := c.lead.holdings[c.current(b)]
	return h != nil && h.heard && !b.Leaving && c.now <= h.heardAt+Time(c.config.LeaseDuration)
}

// current returns the seat at which the grant of a server should be held.
func (c *Core) current(b Server) seat {
	if b.ChecksGrants {
		return seat{server: b.Name}
	}
	return seat{server: b.Name, via: c.gates[b.Name]}
}

// owned returns the present partition: what is held, and in the gaps what the log or the
// former table says was held by servers that are there, so that they get it back.
func (c *Core) owned(s *service) []place.Owned {
	var held []claimed
	for _, h := range c.lead.ordered() {
		if h.service != s.Name {
			continue
		}
		for _, r := range h.current() {
			held = append(held, claimed{Range: r, server: h.server, epoch: h.epoch})
		}
	}
	slices.SortFunc(held, compareClaimed)
	var owned []place.Owned
	var taken []keys.Range
	for _, o := range held {
		if len(taken) > 0 && taken[len(taken)-1].Last >= o.Range.First {
			continue
		}
		taken = append(taken, o.Range)
		owned = append(owned, place.Owned{Range: o.Range, Server: o.server})
	}
	owned = append(owned, c.remembered(s, taken)...)
	slices.SortFunc(owned, func(a, b place.Owned) int { return cmp.Compare(a.Range.First, b.Range.First) })
	return owned
}

// remembered returns the gaps of a partition, which is sorted and disjoint, with the owners
// that they had by the log or else by the former table.
func (c *Core) remembered(s *service, taken []keys.Range) []place.Owned {
	var gaps []keys.Range
	for _, home := range s.Homes {
		gaps = append(gaps, subtract(home, taken)...)
	}
	if len(gaps) == 0 {
		return nil
	}
	var owned []place.Owned
	for _, o := range c.formerOwners(s) {
		parts := intersect(o.Range, gaps)
		if len(parts) == 0 {
			continue
		}
		for _, r := range parts {
			owned = append(owned, place.Owned{Range: r, Server: o.server})
		}
		gaps = without(gaps, o.Range)
	}
	return owned
}

// without returns sorted ranges less one range.
func without(ranges []keys.Range, gone keys.Range) []keys.Range {
	var left []keys.Range
	for _, r := range ranges {
		left = append(left, subtract(r, []keys.Range{gone})...)
	}
	return left
}

// formerOwners returns recorded and published owners that accept, newest first.
func (c *Core) formerOwners(s *service) []claimed {
	var former []claimed
	for _, b := range s.Servers {
		a, found := c.log.assigned[b.Name]
		if !found || a.Service != s.Name || !c.accepts(b) {
			continue
		}
		for _, r := range a.Assignment.Ranges {
			former = append(former, claimed{Range: r, server: b.Name, epoch: a.Assignment.Epoch})
		}
	}
	for _, o := range c.hint.Owners {
		i := slices.IndexFunc(s.Servers, func(b Server) bool { return b.Name == o.Server })
		if o.Service == s.Name && i >= 0 && c.accepts(s.Servers[i]) {
			former = append(former, claimed{Range: o.Range, server: o.Server, epoch: o.Epoch})
		}
	}
	slices.SortStableFunc(former, func(a, b claimed) int { return b.epoch.Compare(a.epoch) })
	return former
}

// claimed is a range with the server that has or had it.
type claimed struct {
	Range  keys.Range
	server string
	epoch  grant.Epoch
}

// compareClaimed orders by first hash, and the newer epoch before the older.
func compareClaimed(a, b claimed) int {
	return cmp.Or(cmp.Compare(a.Range.First, b.Range.First), b.epoch.Compare(a.epoch))
}
