package member

import (
	"slices"
	"sort"
)

// contacts returns the names to which own sends heartbeats. The names are sorted and include
// own. In a group of up to maxFullMesh names these are all others. In a larger group they are
// the names at distances 1, 2, 4, ... after own on the ring of names. The number of heartbeats
// of an instance and of hops between any two then grows with the logarithm of the group, and
// all who know the same names compute the same contacts without communication.
func contacts(names []string, own string, maxFullMesh int) []string {
	n := len(names)
	if n <= maxFullMesh {
		return slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == own })
	}
	at := sort.SearchStrings(names, own)
	var chosen []string
	for distance := 1; distance < n; distance *= 2 {
		chosen = append(chosen, names[(at+distance)%n])
	}
	return chosen
}
