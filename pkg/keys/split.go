package keys

import (
	"math/bits"
	"slices"
)

// Split divides a range into n adjacent ranges whose widths differ by at most one hash. It
// returns fewer if the range has fewer than n hashes, and one if n is below 1.
func Split(r Range, n int) []Range {
	if n < 1 {
		n = 1
	}
	span := r.Last - r.First
	if span < uint64(n)-1 {
		n = int(span) + 1
	}
	parts := make([]Range, 0, n)
	first := r.First
	for i := range n {
		last := r.Last
		if i < n-1 {
			last = r.First + portion(span, uint64(i)+1, uint64(n))
		}
		parts = append(parts, Range{First: first, Last: last})
		first = last + 1
	}
	return parts
}

// portion returns floor((span+1)*k/n) - 1. The 128-bit product does not overflow. It expects
// 0 < k < n <= span+1.
func portion(span, k, n uint64) uint64 {
	high, low := bits.Mul64(span, k)
	low, carry := bits.Add64(low, k, 0)
	quotient, _ := bits.Div64(high+carry, low, n)
	return quotient - 1
}

// Sort sorts ranges in place by their first hash.
func Sort(ranges []Range) {
	slices.SortFunc(ranges, func(a, b Range) int {
		switch {
		case a.First < b.First:
			return -1
		case a.First > b.First:
			return 1
		default:
			return 0
		}
	})
}

// Find returns the index of the range that contains a hash, or -1. The ranges must be sorted
// and disjoint.
func Find(ranges []Range, hash uint64) int {
	return FindBy(ranges, hash, func(r Range) Range { return r })
}

// FindBy returns the index of the item whose range contains a hash, or -1. The ranges of the
// items must be sorted and disjoint.
func FindBy[T any](items []T, hash uint64, rangeOf func(T) Range) int {
	i, found := slices.BinarySearchFunc(items, hash, func(item T, h uint64) int {
		r := rangeOf(item)
		switch {
		case r.Last < h:
			return -1
		case r.First > h:
			return 1
		default:
			return 0
		}
	})
	if !found {
		return -1
	}
	return i
}

// Equal reports whether two lists hold the same ranges in the same order. Lists that cover the
// same hashes by other ranges are not equal.
func Equal(a, b []Range) bool {
	return slices.Equal(a, b)
}
