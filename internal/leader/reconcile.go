package leader

import (
	"cmp"
	"slices"
	"sort"

	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// rangeClaim is a range that a holder may act on, and that no other holder may be granted.
type rangeClaim struct {
	keys.Range
	holder *holder
}

// claimIndex finds the claims that overlap a range.
type claimIndex struct {
	// list is sorted by first hash. maxLast[i] is the highest last hash of list[:i+1].
	list    []rangeClaim
	maxLast []uint64
}

// reconcile proposes new range sets to the holders whose sets differ from the targets. A new
// set leaves out the ranges that other holders should have, and adds the target ranges that
// no other holder may act on. So moving a range takes two sets: the old owner must first
// acknowledge one without the range and finish its requests.
func (c *Core) reconcile() {
	for _, s := range c.services {
		if !s.Divided {
			continue
		}
		holders := c.holdersOf(s)
		if c.lead.sawOtherTerm {
			markSuperseded(holders)
		}
		if c.now <= c.movesAllowedAt() || len(c.lead.targets[s.Name]) == 0 && len(s.Homes) > 0 {
			continue
		}
		c.adjustAll(s, holders)
	}
	c.lead.sawOtherTerm = false
}

// adjustAll proposes sets to the holders that do not have their targets. There are usually
// few or none of them, so the claims are indexed only when there is one.
func (c *Core) adjustAll(s *service, holders []*holder) {
	var all *claimIndex
	wanted := c.targetRanges(s)
	for _, h := range holders {
		if slices.Equal(wanted[h.holderID], h.expectedRanges()) {
			continue
		}
		if all == nil {
			all = c.indexClaims(s, holders)
		}
		c.adjust(s, h, wanted[h.holderID], all)
	}
}

// holdersOf returns the holders that may own ranges of a service, in the order of their names.
func (c *Core) holdersOf(s *service) []*holder {
	var holders []*holder
	for _, h := range c.lead.sortedHolders() {
		if h.service == s.Name && h.ownsRanges {
			holders = append(holders, h)
		}
	}
	return holders
}

// targetRanges returns the target ranges of a service by holder.
func (c *Core) targetRanges(s *service) map[holderID][]keys.Range {
	ids := make(map[string]holderID, len(s.Servers))
	for _, b := range s.Servers {
		ids[b.Name] = c.currentHolder(b)
	}
	wanted := make(map[holderID][]keys.Range, len(ids))
	for _, t := range c.lead.targets[s.Name] {
		id := ids[t.Server]
		wanted[id] = append(wanted[id], t.Range)
	}
	return wanted
}

// adjust proposes a new set to a holder if its set should change. A holder has at most one
// unacknowledged set, so its claims are those of the acknowledged and the proposed set.
func (c *Core) adjust(s *service, h *holder, wanted []keys.Range, all *claimIndex) {
	if h.pending != nil || !h.answered || c.now > h.answeredAt+Time(c.config.LeaseDuration) {
		return
	}
	held := h.expectedRanges()
	var parts []keys.Range
	for _, w := range wanted {
		parts = append(parts, intersect(w, held)...)
		parts = append(parts, c.grantable(s, subtract(w, all.conflicts(h, w)))...)
	}
	next := mergeWithin(parts, wanted)
	if slices.Equal(next, held) {
		return
	}
	c.lead.sequence++
	h.pending = &proposal{
		epoch:  grant.Epoch{Term: c.lead.term, Sequence: c.lead.sequence},
		ranges: next,
	}
	h.urgent = true
	c.lead.urgentHolders = append(c.lead.urgentHolders, h)
}

func (c *Core) indexClaims(s *service, holders []*holder) *claimIndex {
	all := new(claimIndex)
	pending := !c.config.mutated(mutIgnorePending)
	for _, h := range holders {
		all.add(h, pending)
	}
	for _, h := range c.lead.retired {
		if h.service == s.Name {
			all.add(h, pending)
		}
	}
	slices.SortFunc(all.list, func(a, b rangeClaim) int { return cmp.Compare(a.First, b.First) })
	maxLast := uint64(0)
	for _, cl := range all.list {
		maxLast = max(maxLast, cl.Last)
		all.maxLast = append(all.maxLast, maxLast)
	}
	return all
}

func (a *claimIndex) add(h *holder, pending bool) {
	for _, r := range h.possibleRanges(pending) {
		a.list = append(a.list, rangeClaim{Range: r, holder: h})
	}
}

// conflicts returns the claims on a range that keep it from being added to the set of a holder,
// sorted by first hash: those of other holders, and the ranges that are in the set already.
// A holder may get back a range that it is only draining.
func (a *claimIndex) conflicts(h *holder, r keys.Range) []keys.Range {
	var taken []keys.Range
	start := sort.Search(len(a.maxLast), func(i int) bool { return a.maxLast[i] >= r.First })
	for _, cl := range a.list[start:] {
		if cl.First > r.Last {
			break
		}
		if cl.holder != h || keys.Find(h.expectedRanges(), cl.First) >= 0 {
			taken = append(taken, cl.Range)
		}
	}
	return taken
}

// markSuperseded marks the holders whose set overlaps a newer grant of another holder. Former
// leaders may have left such grants behind. The older grant is not renewed.
func markSuperseded(holders []*holder) {
	var live []rangeClaim
	for _, h := range holders {
		h.superseded = false
		if !h.live {
			continue
		}
		for _, r := range h.ranges {
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
