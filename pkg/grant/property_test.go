package grant

import (
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"example.org/mustardring/pkg/keys"
)

// Checks invariants under random exchanges in random order: the fence and the epoch never
// decrease, no deadline is further ahead than the longest lease, a refusal leaves the grant as
// it was, and work begins exactly on hashes of the held ranges before the deadline.
func TestHolderProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{now: 1000}
		h := newTestHolder(c)
		before := h.Exchange(exchangeOf(Term{}, nil))
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			c.now += Instant(rapid.SampledFrom([]int{0, 0, 1, 20, 60, 120}).Draw(t, "passes"))
			a := h.Exchange(drawExchange(t, c.now))
			checkAnswer(t, before, a)
			checkOwned(t, h, a)
			before = a
		}
	})
}

func drawExchange(t *rapid.T, now Instant) Exchange {
	term := Term{Sub: rapid.SampledFrom([]uint64{0, 1, 1, 1, 1, 1, 2}).Draw(t, "sub")}
	if rapid.IntRange(0, 9).Draw(t, "asks") == 0 {
		return exchangeOf(term, nil)
	}
	ranges := []keys.Range{low, high}[:rapid.IntRange(0, 2).Draw(t, "ranges")]
	deadline := now + Instant(rapid.IntRange(-5, 105).Draw(t, "lease"))
	g := grantOf(term, rapid.Uint64Range(1, 3).Draw(t, "sequence"), deadline, ranges...)
	g.Incarnation = rapid.SampledFrom([]uint64{7, 7, 7, 7, 8}).Draw(t, "incarnation")
	g.Renewal = rapid.IntRange(0, 2).Draw(t, "renews") == 0
	return exchangeOf(term, g)
}

func checkAnswer(t *rapid.T, before, a Answer) {
	switch {
	case a.Fence.Compare(before.Fence) < 0:
		t.Fatalf("fence decreased from %v to %v", before.Fence, a.Fence)
	case a.Epoch.Compare(before.Epoch) < 0:
		t.Fatalf("epoch decreased from %v to %v", before.Epoch, a.Epoch)
	case a.Serial != before.Serial+1:
		t.Fatalf("serial %d follows %d", a.Serial, before.Serial)
	case a.Deadline > a.Clock+100:
		t.Fatalf("deadline %d is further ahead than the longest lease at time %d", a.Deadline, a.Clock)
	case a.Refusal != RefusalNone && (a.Epoch != before.Epoch || a.Deadline != before.Deadline):
		t.Fatalf("refusal %q changed the grant", a.Refusal)
	case a.Epoch == before.Epoch && before.Deadline <= a.Clock && a.Deadline != before.Deadline:
		t.Fatalf("an expired grant became valid again under its epoch")
	}
}

func checkOwned(t *rapid.T, h *Holder, a Answer) {
	for _, hash := range []uint64{0, 99, 100, 199, 200} {
		work, err := h.Begin(hash)
		owned := a.Deadline > a.Clock && keys.Find(a.Ranges, hash) >= 0
		if (err == nil) != owned {
			t.Fatalf("hash %d: Begin returned %v, holds %v until %d at time %d", hash, err, a.Ranges, a.Deadline, a.Clock)
		}
		if err == nil {
			work.End()
		}
	}
}

// Requests begin and end while grants arrive. Run it with the race detector.
func TestHolderIsSafeForConcurrentUse(t *testing.T) {
	is := is.New(t)
	h := newTestHolder(&clock{now: 1000})
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for sequence := range uint64(100) {
				h.Exchange(exchangeOf(newer, grantOf(newer, sequence, 1050, low)))
				if work, err := h.Begin(5); err == nil {
					_ = work.Check()
					work.End()
				}
			}
		})
	}
	group.Wait()
	a := h.Exchange(exchangeOf(newer, nil))
	is.Equal(a.Draining, nil)
	is.Equal(a.Epoch.Sequence, uint64(99))
	is.Equal(a.Serial, uint64(801))
}
