package leader

import (
	"cmp"
	"slices"
	"sort"

	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// claim of a range by a holder, which keeps others from being granted it.
type rangeClaim struct {
	keys.Range
	holder *holding
}

// claims are sorted by first hash. Reach has the highest last hash up to each index.
type claims struct {
	list  []rangeClaim
	reach []uint64
}

// reconcile brings the sets of the holders nearer to the targets: it takes from each what
// others should have, and gives each what it should have and nobody else may act on.
func (c *Core) reconcile() {
	for _, s := range c.services {
		if !s.Divided {
			continue
		}
		members := c.members(s)
		if c.lead.adopted {
			markSuperseded(members)
		}
		if c.now <= c.movesAt() || len(c.lead.targets[s.Name]) == 0 && len(s.Homes) > 0 {
			continue
		}
		c.adjustAll(s, members)
	}
	c.lead.adopted = false
}

// adjustAll leaves alone the holders that have what they should, which mostly are all but a
// few, and works out the claims only if there are others.
func (c *Core) adjustAll(s *service, members []*holding) {
	var all *claims
	wanted := c.wanted(s)
	for _, h := range members {
		if slices.Equal(wanted[h.seat], h.current()) {
			continue
		}
		if all == nil {
			all = c.claimsOf(s, members)
		}
		c.adjust(s, h, wanted[h.seat], all)
	}
}

func (c *Core) members(s *service) []*holding {
	var members []*holding
	for _, h := range c.lead.ordered() {
		if h.service == s.Name && h.owns {
			members = append(members, h)
		}
	}
	return members
}

// wanted returns the target ranges by seat.
func (c *Core) wanted(s *service) map[seat][]keys.Range {
	seats := make(map[string]seat, len(s.Servers))
	for _, b := range s.Servers {
		seats[b.Name] = c.current(b)
	}
	wanted := make(map[seat][]keys.Range, len(seats))
	for _, t := range c.lead.targets[s.Name] {
		at := seats[t.Server]
		wanted[at] = append(wanted[at], t.Range)
	}
	return wanted
}

// adjust proposes a new set to a holder if it should change. Only one set at a time is under
// way to a holder, so that its claims are the old and the new set.
func (c *Core) adjust(s *service, h *holding, wanted []keys.Range, all *claims) {
	if h.pending != nil || !h.heard || c.now > h.heardAt+Time(c.config.LeaseDuration) {
		return
	}
	held := h.current()
	var parts []keys.Range
	for _, w := range wanted {
		parts = append(parts, intersect(w, held)...)
		parts = append(parts, c.grantable(s, subtract(w, all.against(h, w)))...)
	}
	next := join(parts, wanted)
	if slices.Equal(next, held) {
		return
	}
	c.lead.sequence++
	h.pending = &proposal{
		epoch:  grant.Epoch{Term: c.lead.term, Sequence: c.lead.sequence},
		ranges: next,
	}
	h.prompt = true
	c.lead.prompted = append(c.lead.prompted, h)
}

func (c *Core) claimsOf(s *service, members []*holding) *claims {
	all := new(claims)
	pending := !c.config.without(mutPending)
	for _, h := range members {
		all.add(h, pending)
	}
	for _, h := range c.lead.retired {
		if h.service == s.Name {
			all.add(h, pending)
		}
	}
	slices.SortFunc(all.list, func(a, b rangeClaim) int { return cmp.Compare(a.First, b.First) })
	reach := uint64(0)
	for _, cl := range all.list {
		reach = max(reach, cl.Last)
		all.reach = append(all.reach, reach)
	}
	return all
}

func (a *claims) add(h *holding, pending bool) {
	for _, r := range h.claims(pending) {
		a.list = append(a.list, rangeClaim{Range: r, holder: h})
	}
}

// against returns, sorted, the claims on a range by all but a holder, and what the holder
// itself has.
func (a *claims) against(h *holding, r keys.Range) []keys.Range {
	var taken []keys.Range
	start := sort.Search(len(a.reach), func(i int) bool { return a.reach[i] >= r.First })
	for _, cl := range a.list[start:] {
		if cl.First > r.Last {
			break
		}
		if cl.holder != h || keys.Find(h.current(), cl.First) >= 0 {
			taken = append(taken, cl.Range)
		}
	}
	return taken
}

// markSuperseded finds holders whose set overlaps a newer grant of another holder. A former
// leader may leave that behind; the older grant is not renewed.
func markSuperseded(members []*holding) {
	var live []rangeClaim
	for _, h := range members {
		h.superseded = false
		if !h.live {
			continue
		}
		for _, r := range h.set {
			live = append(live, rangeClaim{Range: r, holder: h})
		}
	}
	slices.SortFunc(live, func(a, b rangeClaim) int { return cmp.Compare(a.First, b.First) })
	for i := 1; i < len(live); i++ {
		before, after := live[i-1], live[i]
		if !before.Overlaps(after.Range) || before.holder == after.holder {
			continue
		}
		if before.holder.epoch.Compare(after.holder.epoch) < 0 {
			before.holder.superseded = true
		} else {
			after.holder.superseded = true
		}
	}
}
