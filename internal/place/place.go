// Package place decides which server of a failure domain should own which range of the hash
// space. It does no I/O: a Placer maps a View to the wanted owners.
package place

import (
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// Time is a reading of the caller's monotonic clock in nanoseconds.
type Time int64

// View is the input of a Placer: the state of one divided service in one failure domain.
type View struct {
	Now     Time
	Service string
	Weights bundle.Weights
	// Homes are the parts of the hash space that the domain serves, sorted and disjoint.
	Homes   []keys.Range
	Servers []Server
	// Owned is the present partition of Homes, sorted and disjoint. Gaps have no owner.
	Owned []Owned
	// HotHashes are the hashes of hot keys, as named by the bundle or found by measurement,
	// sorted. A Placer may give each a range of its own.
	HotHashes []uint64
}

// Server is a backend server that may own ranges.
type Server struct {
	Name  string
	Slots int
	// Accepting is false for a server that is leaving or does not answer. Such a server gets
	// no range and loses those that it owns.
	Accepting bool
	// WarmAt is when the cold start of the server ends. Until then it takes a reduced share.
	WarmAt Time
}

// Owned is one range of the partition with its owner and load.
type Owned struct {
	Range keys.Range
	// Server is empty if the range has no owner.
	Server string
	// Load is in requests per second, weighted by their run time where it is known.
	Load float64
	// LoadAt is when Load was measured, zero if never.
	LoadAt Time
	// MovedAt is when the range last changed owner, zero if never.
	MovedAt Time
}

// Target is the wanted owner of a range.
type Target struct {
	Range  keys.Range
	Server string
}

// Placer decides which server should own which range.
type Placer interface {
	// Place returns the wanted partition of the homes of the view. It is sorted and disjoint
	// and covers the homes, but is empty if no server accepts.
	//
	// Place is idempotent: called again with the view that results from its own targets, it
	// returns the same targets. In that view, MovedAt of a range with a new owner is the Now
	// of the first call, and a merged range has the sum of loads that were measured at one
	// time.
	Place(v View) []Target
}
