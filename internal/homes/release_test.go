package homes

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/keys"
)

// A bundle moves a range from the first domain to another, which takes it, serves it and is
// then cut off from everything. The first domain loses the log before it reads this, and
// learns from a peer of a bundle that moves the range back. By what it last read, the range
// is still its own. If its leader, or a successor that does not know of the release, served
// the range, two domains would serve it at once.
func TestReleasedRangeIsNotServedAgain(t *testing.T) {
	tests := map[string]struct {
		newLeader bool
	}{
		"same leader": {},
		"successor":   {newLeader: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 3)
			first, second, third := w.domains[0], w.domains[1], w.domains[2]
			w.setShares(1, 6, 6, 6)
			w.run(200)
			before := first.serves
			w.setShares(2, 3, 9, 6)
			for keys.Covers(w.state.Homes[0].Ranges, before) {
				w.step()
			}
			first.logDown = true
			for keys.Covers(w.served(second), before) || !w.allServed() {
				w.step()
			}
			second.logDown, second.unreachable = true, true
			w.setShares(3, 6, 6, 6)
			third.logDown = true
			if tt.newLeader {
				w.replaceLeader(first)
			}
			w.run(100)
			is.Equal(first.core.bundle.Version, uint64(3))
			is.True(!keys.Covers(first.serves, before))
		})
	}
}
