package leader

import (
	"slices"

	"example.org/mustardring/pkg/keys"
)

// subtract returns the parts of a range that no range of a sorted list covers. The ranges of
// the list may overlap.
func subtract(r keys.Range, taken []keys.Range) []keys.Range {
	var parts []keys.Range
	next := r.First
	for _, t := range taken {
		if t.Last < next {
			continue
		}
		if t.First > r.Last {
			break
		}
		if t.First > next {
			parts = append(parts, keys.Range{First: next, Last: t.First - 1})
		}
		if t.Last >= r.Last {
			return parts
		}
		next = t.Last + 1
	}
	return append(parts, keys.Range{First: next, Last: r.Last})
}

// intersect returns the parts of a range that a sorted list of disjoint ranges covers.
func intersect(r keys.Range, set []keys.Range) []keys.Range {
	var parts []keys.Range
	start, _ := slices.BinarySearchFunc(set, r.First, func(s keys.Range, first uint64) int {
		if s.Last < first {
			return -1
		}
		return 1
	})
	for _, s := range set[start:] {
		if s.First > r.Last {
			break
		}
		parts = append(parts, keys.Range{First: max(r.First, s.First), Last: min(r.Last, s.Last)})
	}
	return parts
}

// mergeWithin sorts disjoint ranges and merges adjacent ones that lie in the same range of the
// sorted list wholes.
func mergeWithin(parts, wholes []keys.Range) []keys.Range {
	keys.Sort(parts)
	var joined []keys.Range
	for _, p := range parts {
		last := len(joined) - 1
		if last >= 0 && joined[last].Last+1 == p.First && sameWhole(joined[last], p, wholes) {
			joined[last].Last = p.Last
			continue
		}
		joined = append(joined, p)
	}
	return joined
}

func sameWhole(a, b keys.Range, wholes []keys.Range) bool {
	i := keys.Find(wholes, a.First)
	return i >= 0 && wholes[i].Contains(b.Last)
}
