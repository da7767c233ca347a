// Package relay computes the tree through which the instances of one failure domain distribute
// releases. One or a few instances read the log; every other instance gets updates from its
// parent. The package performs no I/O and keeps no state. Every instance computes its own
// position from the list of live instances, so a new list yields a new tree without
// coordination.
//
// Two instances may have different lists. An instance may then have two parents, or a parent
// that does not know it. For this reason the child asks the parent: it keeps a connection to
// its parent and states the version it holds. A duplicate update changes nothing, an update
// that does not fit the child's version makes the child ask for the whole proof, and a child
// whose parent does not answer by a deadline suspects it and computes its position without it.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultFanOut is the number of children per instance. With 4, an update reaches 1,900
// instances in 6 steps and no instance sends it more than 4 times.
const DefaultFanOut = 4

// Position is the position of one instance in the tree of its failure domain.
type Position struct {
	// Ancestors lists the instances above this one, from the parent to the root. It is empty for
	// the root, which reads the log.
	Ancestors []string
	// Children lists the instances that get updates from this one.
	Children []string
}

// Parent returns the parent, or false for the root.
func (p Position) Parent() (string, bool) {
	if len(p.Ancestors) == 0 {
		return "", false
	}
	return p.Ancestors[0], true
}

// Tree holds the live instances of one failure domain in the order of a heap: the parent of the
// instance at index i > 0 is at (i-1)/fanOut.
type Tree struct {
	fanOut  int
	order   []string
	indexes map[string]int
}

// New returns the tree of a failure domain. Instances are ordered by a hash of domain and name,
// so that no instance has to be dedicated as the root. Duplicate names count once.
func New(domain string, live []string, fanOut int) *Tree {
	t := &Tree{fanOut: max(1, fanOut), indexes: make(map[string]int, len(live))}
	t.order = slices.Clone(live)
	hashes := make(map[string]uint64, len(live))
	for _, name := range live {
		hashes[name] = xxhash.Sum64String(domain + "/" + name)
	}
	slices.SortFunc(t.order, func(a, b string) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b))
	})
	t.order = slices.Compact(t.order)
	for i, name := range t.order {
		t.indexes[name] = i
	}
	return t
}

// Position returns the position of an instance. For an instance that is not in the list it
// returns false and a position below the root, so that the instance gets updates from the root
// until it is listed.
func (t *Tree) Position(name string) (Position, bool) {
	i, found := t.indexes[name]
	if !found {
		return Position{Ancestors: t.order[:min(1, len(t.order))]}, false
	}
	var p Position
	for j := i; j > 0; {
		j = (j - 1) / t.fanOut
		p.Ancestors = append(p.Ancestors, t.order[j])
	}
	first := min(i*t.fanOut+1, len(t.order))
	p.Children = t.order[first:min(first+t.fanOut, len(t.order))]
	return p, true
}

// Source returns the instance to ask for updates: the nearest ancestor that is not suspected.
// It returns false for the root and if all ancestors are suspected. The instance then reads the
// log itself.
//
// Skipping suspected ancestors guards against a parent that has ended while the list, which
// lags, still names it. Without it the whole subtree would miss every release. The sign of such
// a parent is that it does not answer on the connection. Any ancestor can replace the parent,
// because each one gets all updates that its descendants need.
func (p Position) Source(suspected func(name string) bool) (ancestor string, found bool) {
	for _, a := range p.Ancestors {
		if !suspected(a) {
			return a, true
		}
	}
	return "", false
}

// Depth returns the number of steps from the root to the deepest instance.
func (t *Tree) Depth() int {
	depth := 0
	for i := len(t.order) - 1; i > 0; i = (i - 1) / t.fanOut {
		depth++
	}
	return depth
}
