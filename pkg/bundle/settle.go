package bundle

import (
	"cmp"
	"slices"

	"example.org/mustardring/pkg/keys"
)

// Settle returns the homes in shares with ranges that divide the hash space by the shares and
// move as few keys as possible from the current division. It returns nil if no share is above
// zero.
func Settle(current []HomeRange, shares []Home) []Home {
	wanted := divide(shares)
	if len(wanted) == 0 {
		return nil
	}
	if len(wanted) == 1 {
		return withRanges(shares, wanted)
	}
	kept, free, missing := keepCurrent(current, wanted)
	kept = append(kept, assignFree(free, wanted, missing)...)
	return withRanges(shares, merge(kept))
}

// keepCurrent lets each domain keep what it has, up to its wanted width. It returns the ranges
// that are kept, the ranges that become free, and the width that each domain still misses.
// Wanted has at least two domains, so no width is that of the whole space, which would overflow.
func keepCurrent(current, wanted []HomeRange) (kept []HomeRange, free []keys.Range, missing map[string]uint64) {
	missing = make(map[string]uint64)
	for _, w := range wanted {
		missing[w.Domain] = w.Range.Last - w.Range.First + 1
	}
	if len(current) == 0 {
		return nil, []keys.Range{keys.Full}, missing
	}
	for _, p := range current {
		head, tail, cut := cutAt(p.Range, missing[p.Domain])
		if missing[p.Domain] > 0 {
			kept = append(kept, HomeRange{Domain: p.Domain, Range: head})
			missing[p.Domain] -= head.Last - head.First + 1
		}
		if cut {
			free = append(free, tail)
		}
	}
	return kept, free, missing
}

// cutAt cuts a range after width hashes. If width is zero, the tail is the whole range. Cut
// reports whether there is a tail.
func cutAt(r keys.Range, width uint64) (head, tail keys.Range, cut bool) {
	if width == 0 {
		return keys.Range{}, r, true
	}
	if r.Last-r.First < width {
		return r, keys.Range{}, false
	}
	head = keys.Range{First: r.First, Last: r.First + width - 1}
	return head, keys.Range{First: head.Last + 1, Last: r.Last}, true
}

// assignFree assigns the free ranges to the domains that miss some width, in the order of wanted.
func assignFree(free []keys.Range, wanted []HomeRange, missing map[string]uint64) []HomeRange {
	var assigned []HomeRange
	i := 0
	for _, r := range free {
		for left := true; left && i < len(wanted); {
			domain := wanted[i].Domain
			if missing[domain] == 0 {
				i++
				continue
			}
			head, tail, cut := cutAt(r, missing[domain])
			assigned = append(assigned, HomeRange{Domain: domain, Range: head})
			missing[domain] -= head.Last - head.First + 1
			r, left = tail, cut
		}
	}
	return assigned
}

// merge sorts ranges and joins adjacent ones of the same domain.
func merge(parts []HomeRange) []HomeRange {
	slices.SortFunc(parts, func(a, b HomeRange) int { return cmp.Compare(a.Range.First, b.Range.First) })
	var merged []HomeRange
	for _, p := range parts {
		if n := len(merged); n > 0 && merged[n-1].Domain == p.Domain && merged[n-1].Range.Last+1 == p.Range.First {
			merged[n-1].Range.Last = p.Range.Last
			continue
		}
		merged = append(merged, p)
	}
	return merged
}

// withRanges returns the homes in shares with the ranges of their domains.
func withRanges(shares []Home, parts []HomeRange) []Home {
	homes := make([]Home, len(shares))
	for i, h := range shares {
		h.Ranges = nil
		for _, p := range parts {
			if p.Domain == h.Domain {
				h.Ranges = append(h.Ranges, p.Range)
			}
		}
		homes[i] = h
	}
	return homes
}

// SettleHomes returns homes for a service of b that move as few keys as possible from the version
// before. It returns nil if the service is not divided in both versions or has no share above
// zero.
func (b *Bundle) SettleHomes(before *Bundle, service string) []Home {
	s, old := b.Service(service), before.Service(service)
	if s == nil || old == nil || !s.Divided || !old.Divided {
		return nil
	}
	return Settle(before.HomeRanges(service), b.shares(s))
}
