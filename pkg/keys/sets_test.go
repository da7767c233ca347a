package keys

import (
	"testing"

	"pgregory.net/rapid"
)

// points are the possible ends of random ranges: few, so that ranges are often adjacent.
var points = []uint64{0, 1, 2, 7, 8, 9, 1 << 40, 1<<40 + 1, ^uint64(0) - 1, ^uint64(0)}

func drawRanges(t *rapid.T, label string) []Range {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Range {
		a, b := rapid.SampledFrom(points).Draw(t, "a"), rapid.SampledFrom(points).Draw(t, "b")
		return Range{First: min(a, b), Last: max(a, b)}
	}), 0, 5).Draw(t, label)
}

func covered(ranges []Range, hash uint64) bool {
	for _, r := range ranges {
		if r.Contains(hash) {
			return true
		}
	}
	return false
}

// Checks the set operations hash by hash against Range.Contains.
func TestSetOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRanges(t, "a"), drawRanges(t, "b")
		union, common, rest := Union(a, b), Intersect(a, b), Subtract(a, b)
		for _, p := range points {
			inA, inB := covered(a, p), covered(b, p)
			if covered(union, p) != (inA || inB) || covered(common, p) != (inA && inB) || covered(rest, p) != (inA && !inB) {
				t.Fatalf("%d: union %v, common %v, rest %v", p, union, common, rest)
			}
		}
		for _, set := range [][]Range{union, common, rest} {
			for i := 1; i < len(set); i++ {
				if set[i].First <= set[i-1].Last {
					t.Fatalf("not sorted and disjoint: %v", set)
				}
			}
		}
		if Covers(a, b) != (len(Subtract(b, a)) == 0) || !Covers(union, a) {
			t.Fatal("Covers and Subtract disagree")
		}
	})
}
