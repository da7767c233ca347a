package leader

import (
	"cmp"
	"slices"
	"time"

	"example.org/mustardring/internal/place"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// minPlacementInterval plus placementIntervalPerRange for each range is the minimum interval
// between placements when servers come and go. A placement takes about 0.8 us per range and
// must not keep a processor core busy.
const (
	minPlacementInterval      = Time(50 * time.Millisecond)
	placementIntervalPerRange = Time(25 * time.Microsecond)
)

// placeSoon schedules the next placement for the earliest time that the minimum interval allows.
func (c *Core) placeSoon() {
	l := c.lead
	ranges := 0
	for _, targets := range l.targets {
		ranges += len(targets)
	}
	l.placeAt = min(l.placeAt, max(c.now, l.placedAt+minPlacementInterval+Time(ranges)*placementIntervalPerRange))
}

// place asks the placer for the wanted owners of each divided service, if that is due and
// moves are allowed.
func (c *Core) place() {
	l := c.lead
	if c.now < l.placeAt {
		return
	}
	l.placedAt = c.now
	l.placeAt = c.now + Time(c.config.PlacementInterval)
	for _, s := range c.services {
		if !s.Divided || c.now <= c.movesAllowedAt() {
			continue
		}
		view := c.placerView(s)
		s.pruneMoves(view.Owned)
		targets := c.placer.Place(view)
		if !slices.Equal(targets, l.targets[s.Name]) {
			l.targets[s.Name] = targets
			l.rangesDirty = true
		}
	}
}

// placerView returns what the placer needs to know of a service.
func (c *Core) placerView(s *service) place.View {
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
			if h := c.lead.holders[c.currentHolder(b)]; h != nil {
				server.WarmAt = h.warmAt
			}
			v.Servers = append(v.Servers, server)
		}
	}
	for _, o := range c.currentOwners(s) {
		o.Load, o.LoadAt = s.loads[o.Range].value, s.loads[o.Range].at
		if m := s.moves[o.Range]; m.server == o.Server {
			o.MovedAt = m.at
		}
		v.Owned = append(v.Owned, o)
	}
	return v
}

// accepts reports whether a server may get ranges: it has answered within the last lease
// duration and is not leaving.
func (c *Core) accepts(b Server) bool {
	h := c.lead.holders[c.currentHolder(b)]
	return h != nil && h.answered && !b.Leaving && c.now <= h.answeredAt+Time(c.config.LeaseDuration)
}

// currentHolder returns the holder that should have the grant of a server.
func (c *Core) currentHolder(b Server) holderID {
	if b.ChecksGrants {
		return holderID{server: b.Name}
	}
	return holderID{server: b.Name, gate: c.gates[b.Name]}
}

// currentOwners returns the present partition of the ranges of a service. Ranges that no holder
// has or is about to have go to their former owners, if these accept ranges, so that they get
// them back.
func (c *Core) currentOwners(s *service) []place.Owned {
	var held []ownedRange
	for _, h := range c.lead.sortedHolders() {
		if h.service != s.Name {
			continue
		}
		for _, r := range h.expectedRanges() {
			held = append(held, ownedRange{Range: r, server: h.server, epoch: h.epoch})
		}
	}
	slices.SortFunc(held, compareOwnedRanges)
	var owned []place.Owned
	var taken []keys.Range
	for _, o := range held {
		if len(taken) > 0 && taken[len(taken)-1].Last >= o.Range.First {
			continue
		}
		taken = append(taken, o.Range)
		owned = append(owned, place.Owned{Range: o.Range, Server: o.server})
	}
	owned = append(owned, c.formerOwnersOfGaps(s, taken)...)
	slices.SortFunc(owned, func(a, b place.Owned) int { return cmp.Compare(a.Range.First, b.Range.First) })
	return owned
}

// formerOwnersOfGaps returns the parts of the homes of a service that the sorted ranges taken
// do not cover, with their former owners. It leaves out parts without a former owner.
func (c *Core) formerOwnersOfGaps(s *service, taken []keys.Range) []place.Owned {
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
		gaps = removeRange(gaps, o.Range)
	}
	return owned
}

// removeRange returns the parts of sorted ranges that one range does not cover.
func removeRange(ranges []keys.Range, gone keys.Range) []keys.Range {
	var rest []keys.Range
	for _, r := range ranges {
		rest = append(rest, subtract(r, []keys.Range{gone})...)
	}
	return rest
}

// formerOwners returns the owners that the log or the former table has and that accept ranges,
// the newest epoch first, and those of the log first among equal epochs.
func (c *Core) formerOwners(s *service) []ownedRange {
	var former []ownedRange
	for _, b := range s.Servers {
		a, found := c.log.assigned[b.Name]
		if !found || a.Service != s.Name || !c.accepts(b) {
			continue
		}
		for _, r := range a.Assignment.Ranges {
			former = append(former, ownedRange{Range: r, server: b.Name, epoch: a.Assignment.Epoch})
		}
	}
	for _, o := range c.formerTable.Owners {
		i := slices.IndexFunc(s.Servers, func(b Server) bool { return b.Name == o.Server })
		if o.Service == s.Name && i >= 0 && c.accepts(s.Servers[i]) {
			former = append(former, ownedRange{Range: o.Range, server: o.Server, epoch: o.Epoch})
		}
	}
	slices.SortStableFunc(former, func(a, b ownedRange) int { return b.epoch.Compare(a.epoch) })
	return former
}

// ownedRange is a range and the server that has or had it.
type ownedRange struct {
	Range  keys.Range
	server string
	epoch  grant.Epoch
}

// compareOwnedRanges orders ranges by first hash, then by epoch, the newest first.
func compareOwnedRanges(a, b ownedRange) int {
	return cmp.Or(cmp.Compare(a.Range.First, b.Range.First), b.epoch.Compare(a.epoch))
}
