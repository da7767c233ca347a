package keys

// Union returns the sorted, disjoint ranges of the hashes that a or b covers. Adjacent and
// overlapping ranges are joined. The arguments may be in any order and overlap.
func Union(a, b []Range) []Range {
	all := make([]Range, 0, len(a)+len(b))
	all = append(all, a...)
	all = append(all, b...)
	Sort(all)
	var joined []Range
	for _, r := range all {
		last := len(joined) - 1
		if last >= 0 && touches(joined[last], r) {
			joined[last].Last = max(joined[last].Last, r.Last)
			continue
		}
		joined = append(joined, r)
	}
	return joined
}

// touches reports whether b overlaps a or is adjacent to it. It expects b not to begin before a.
func touches(a, b Range) bool {
	return a.Last == ^uint64(0) || b.First <= a.Last+1
}

// Intersect returns the sorted, disjoint ranges of the hashes that both a and b cover.
func Intersect(a, b []Range) []Range {
	a, b = Union(a, nil), Union(b, nil)
	var common []Range
	for i, j := 0, 0; i < len(a) && j < len(b); {
		r := Range{First: max(a[i].First, b[j].First), Last: min(a[i].Last, b[j].Last)}
		if r.First <= r.Last {
			common = append(common, r)
		}
		if a[i].Last < b[j].Last {
			i++
		} else {
			j++
		}
	}
	return common
}

// Subtract returns the sorted, disjoint ranges of the hashes that a covers and b does not.
func Subtract(a, b []Range) []Range {
	return Intersect(a, complement(Union(b, nil)))
}

// complement returns the gaps that sorted, disjoint ranges leave in the hash space.
func complement(ranges []Range) []Range {
	var gaps []Range
	next := uint64(0)
	for _, r := range ranges {
		if r.First > next {
			gaps = append(gaps, Range{First: next, Last: r.First - 1})
		}
		if r.Last == ^uint64(0) {
			return gaps
		}
		next = r.Last + 1
	}
	return append(gaps, Range{First: next, Last: ^uint64(0)})
}

// Covers reports whether a covers every hash that b covers.
func Covers(a, b []Range) bool {
	return len(Subtract(b, a)) == 0
}
