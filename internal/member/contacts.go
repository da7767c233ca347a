package member

import (
	"slices"
	"sort"
)

// contacts chooses whom an instance sends heartbeats to, out of sorted names of which its own
// is one. Up to all names it is everybody. In larger groups it is the instances at distances
// 1, 2, 4, ... after its own place on the ring of names, so that a heartbeat costs each
// instance the logarithm of the group, any two are joined by at most as many hops, and those
// who know the same names agree without talking.
func contacts(names []string, own string, all int) []string {
	n := len(names)
	if n <= all {
		return slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == own })
	}
	at := sort.SearchStrings(names, own)
	var chosen []string
	for distance := 1; distance < n; distance *= 2 {
		chosen = append(chosen, names[(at+distance)%n])
	}
	return chosen
}
