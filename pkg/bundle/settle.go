package bundle

import (
	"cmp"
	"slices"

	"example.org/mustardring/pkg/keys"
)

// Settle returns homes with stated ranges that divide the space by the given shares while
// moving as few keys as possible from the present division. It returns nil when no share is
// above zero.
func Settle(present []HomeRange, shares []Home) []Home {
	wanted := divide(shares)
	if len(wanted) == 0 {
		return nil
	}
	if len(wanted) == 1 {
		return withRanges(shares, wanted)
	}
	kept, freed, room := keep(present, wanted)
	kept = append(kept, fill(freed, wanted, room)...)
	return withRanges(shares, merge(kept))
}

// keep lets each domain keep what it has, up to its wanted width. It returns what is kept,
// what is free, and the widths that are still wanted. No width reaches that of the whole
// space, since two domains at least want some.
func keep(present, wanted []HomeRange) (kept []HomeRange, freed []keys.Range, room map[string]uint64) {
	room = make(map[string]uint64)
	for _, w := range wanted {
		room[w.Domain] = w.Range.Last - w.Range.First + 1
	}
	if len(present) == 0 {
		return nil, []keys.Range{keys.Full}, room
	}
	for _, p := range present {
		head, tail, cut := cutAt(p.Range, room[p.Domain])
		if room[p.Domain] > 0 {
			kept = append(kept, HomeRange{Domain: p.Domain, Range: head})
			room[p.Domain] -= head.Last - head.First + 1
		}
		if cut {
			freed = append(freed, tail)
		}
	}
	return kept, freed, room
}

// cutAt cuts a range after width hashes. Without width the tail is the whole range.
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

// fill gives the free ranges to the domains that have room, in their order.
func fill(freed []keys.Range, wanted []HomeRange, room map[string]uint64) []HomeRange {
	var given []HomeRange
	i := 0
	for _, r := range freed {
		for left := true; left && i < len(wanted); {
			domain := wanted[i].Domain
			if room[domain] == 0 {
				i++
				continue
			}
			head, tail, cut := cutAt(r, room[domain])
			given = append(given, HomeRange{Domain: domain, Range: head})
			room[domain] -= head.Last - head.First + 1
			r, left = tail, cut
		}
	}
	return given
}

// merge sorts ranges and joins neighbours of one domain.
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

// SettleHomes returns homes for a service of b which move as few keys as possible from the
// version before. It returns nil for a service that is not divided or was not there before.
func (b *Bundle) SettleHomes(before *Bundle, service string) []Home {
	s, old := b.Service(service), before.Service(service)
	if s == nil || old == nil || !s.Divided || !old.Divided {
		return nil
	}
	return Settle(before.HomeRanges(service), b.shares(s))
}
