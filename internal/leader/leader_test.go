package leader

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/place"
)

// stableLayout returns a layout whose placer moves ranges only away from servers that do not
// accept them.
func stableLayout(instances, checking, unchecked int) layout {
	return layout{
		instances: instances,
		checking:  checking,
		unchecked: unchecked,
		placer:    func(*world) place.Placer { return &slicePlacer{slicesPerHome: 8} },
	}
}

// countOwned returns how many of the sampled hashes have an owner.
func (w *world) countOwned() int {
	n := 0
	for _, hash := range w.hashes {
		if len(w.owners(hash)) > 0 {
			n++
		}
	}
	return n
}

func (w *world) startAll() {
	for _, n := range w.instances {
		n.start()
	}
}

func TestDomainStarts(t *testing.T) {
	tests := map[string]layout{
		"all servers check grants":  stableLayout(3, 3, 0),
		"one instance":              stableLayout(1, 1, 0),
		"one voter":                 stableLayout(2, 1, 2),
		"no server checks grants":   stableLayout(3, 0, 3),
		"some servers check grants": stableLayout(3, 3, 2),
		"many of both kinds":        stableLayout(5, 7, 5),
	}
	for name, l := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, l, "")
			w.startAll()
			w.advance(6000 * ms)
			is.Equal(w.failure, "")
			is.Equal(w.countOwned(), len(w.hashes))
			n := w.leading()
			is.True(n != nil)
			table := n.core.Table()
			is.Equal(len(table.Owners), 8)
			for _, o := range table.Owners {
				is.True(o.Offset > 0) // recorded in the log
			}
		})
	}
}
