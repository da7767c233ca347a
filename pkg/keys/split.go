package keys

import (
	"math/bits"
	"slices"
)

// Split cuts a range into n ranges of equal width, the remainder going to the first ones.
// It returns fewer ranges when the range has fewer than n hashes.
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

// portion returns (span+1)*k/n-1 without overflow, for 0 < k < n.
func portion(span, k, n uint64) uint64 {
	high, low := bits.Mul64(span, k)
	low, carry := bits.Add64(low, k, 0)
	quotient, _ := bits.Div64(high+carry, low, n)
	return quotient - 1
}

// Sort orders ranges by their first hash.
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

// Find returns the index of the range that contains a hash in a sorted list of disjoint
// ranges, or -1.
func Find(ranges []Range, hash uint64) int {
	return FindBy(ranges, hash, func(r Range) Range { return r })
}

// FindBy returns the index of the item whose range contains a hash in a list that is sorted
// by disjoint ranges, or -1.
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

// Equal reports whether two lists hold the same ranges in the same order.
func Equal(a, b []Range) bool {
	return slices.Equal(a, b)
}
