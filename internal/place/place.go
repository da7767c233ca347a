// Package place decides which server of a failure domain should own which range. It has no
// input or output: a Placer maps a View to the wanted owners.
package place

import (
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// Time is a reading of the caller's monotonic clock in nanoseconds.
type Time int64

// View is what a Placer knows about one divided service in one failure domain.
type View struct {
	Now     Time
	Service string
	Weights bundle.Weights
	// Homes are the parts of the hash space that this domain serves, sorted and disjoint.
	Homes   []keys.Range
	Servers []Server
	// Owned is the present partition of Homes, sorted and disjoint. It may leave gaps, which
	// have no owner.
	Owned []Owned
	// HotHashes are the hashes of keys that the bundle or measurement sets apart, sorted.
	HotHashes []uint64
}

// Server is a backend server as placement sees it.
type Server struct {
	Name  string
	Slots int
	// Accepting is false for a server that leaves or does not answer. It gets no range and
	// loses those it has.
	Accepting bool
	// WarmAt is when a cold start ends. Until then the server takes a reduced share.
	WarmAt Time
}

// Owned is one part of the partition with its owner and load.
type Owned struct {
	Range keys.Range
	// Server is empty when nobody owns the range.
	Server string
	// Load is in requests per second, weighted by running time where that is known.
	Load float64
	// LoadAt is when Load was measured.
	LoadAt Time
	// MovedAt is when the range last changed owner, zero if never.
	MovedAt Time
}

// Target is a wanted owner of a range.
type Target struct {
	Range  keys.Range
	Server string
}

// Placer decides the wanted owners.
type Placer interface {
	// Place returns the wanted partition of the homes of the view: sorted, disjoint and
	// covering them, unless no server accepts, when it is empty. Calling it again with the
	// view that results from its own targets returns the same targets. In that view MovedAt
	// of a range with a new owner is the Now of the first call, and a merged range carries
	// the sum of loads that were measured at one time.
	Place(v View) []Target
}
