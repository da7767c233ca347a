package policy

import (
	"cmp"

	"example.org/mustardring/pkg/keys"
)

// HomeDomain returns the domain that keeps the idempotency record of a request with an id to a
// service that is not divided. It uses rendezvous hashing: instances of all domains agree
// without communicating, and when a domain is added or removed, only the requests that belong
// to it change their home. It returns "" if there are no domains.
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

// mix is the 64-bit finalizer of MurmurHash3: each bit of x affects all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
