// Package relay computes the tree by which the instances of one failure domain hand releases
// on: one or a few read the log, each other one hears from its parent. It has no input or
// output and keeps no state: every instance computes its own place from the list of live
// instances, so a new list is a new tree and nothing has to be agreed.
//
// Two instances may have different lists. One may then have two parents or a parent that does
// not know it. A child therefore asks: it keeps a connection to its parent and states the
// version it holds. An update that comes twice changes nothing, one that does not fit makes
// the child ask for the whole proof, and a child whose parent is silent past a deadline
// suspects it and computes its place again without it.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultFanOut is the number of children of an instance. With 4, an update reaches 1,900
// instances in 6 steps and no instance sends it more than 4 times.
const DefaultFanOut = 4

// Position is the position of one instance in the tree of its failure domain.
type Position struct {
	// Ancestors are the instances above, the parent first and the root last. It is empty for
	// the root, which reads the log.
	Ancestors []string
	// Children are the instances that expect updates from this one.
	Children []string
}

// Parent returns the instance to ask, or false for the root.
func (p Position) Parent() (string, bool) {
	if len(p.Ancestors) == 0 {
		return "", false
	}
	return p.Ancestors[0], true
}

// Tree is the order of the live instances of one failure domain. The parent of the instance at
// place i > 0 is at (i-1)/fanOut.
type Tree struct {
	fanOut int
	order  []string
	indexes map[string]int
}

// New returns the tree of a failure domain. Instances are ordered by a hash of domain and
// name, so that no instance is set aside to be the root. Names that stand twice count once.
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

// Position returns the place of an instance, and false if it is not in the list. An instance
// that is not listed yet asks the root.
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

// Source returns whom an instance asks for updates: its nearest ancestor that it does not
// suspect. It is empty when all are suspected, or for the root: the instance then reads the
// log itself, as the root does.
//
// It guards against a parent that is gone while the list, which lags, still names it: the
// whole branch below would miss each roll. It shows as silence on the connection. Asking
// the next ancestor holds because each ancestor gets what its descendants need.
func (p Position) Source(suspected func(name string) bool) (ancestor string, found bool) {
	for _, a := range p.Ancestors {
		if !suspected(a) {
			return a, true
		}
	}
	return "", false
}

// Depth returns the number of steps from the root to the last instance.
func (t *Tree) Depth() int {
	depth := 0
	for i := len(t.order) - 1; i > 0; i = (i - 1) / t.fanOut {
		depth++
	}
	return depth
}
