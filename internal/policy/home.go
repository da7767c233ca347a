package policy

import (
	"cmp"

	"example.org/mustardring/pkg/keys"
)

// HomeDomain returns the domain that remembers a named request of a service that is not divided:
// the first by rendezvous hashing, so that instances of all domains agree without asking, and
// a domain that comes or goes changes the home of its own share only. It returns "" for no
// domains.
func HomeDomain(domains []string, hash uint64) string {
	best, bestWeight := "", uint64(0)
	for _, d := range domains {
		weight := mix(keys.Hash(d, "") ^ hash)
		if best == "" || cmp.Or(cmp.Compare(weight, bestWeight), cmp.Compare(d, best)) > 0 {
			best, bestWeight = d, weight
		}
	}
	return best
}

// mix spreads the bits of a number (the finaliser of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
