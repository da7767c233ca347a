package resv_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"example.org/mustardring/internal/fair"
	"example.org/mustardring/internal/resv"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// reservation asks for 100 ms of a slot, between 200 ms and 3 s from now.
func reservation(now time.Time, origin uint64, demand, slots float64) resv.Reservation {
	earliest, latest := now.Add(200*time.Millisecond), now.Add(3*time.Second)
	work := 100 * time.Millisecond
	return resv.Reservation{Origin: origin, Server: "s", Work: work, Slots: slots, Demand: demand, Earliest: earliest, Latest: latest}
}

// herd is a server of ten slots in virtual time, at which new requests ask for half of them.
type herd struct {
	book   *resv.Book
	random *rand.Rand
	events fair.Queue[func(now time.Time)]
	serial uint64
	freeAt [10]time.Time
	// told counts the callers that were told a time, again those of them that found no capacity.
	told, again int
}

func (h *herd) at(t time.Time, do func(now time.Time)) {
	h.serial++
	h.events.Push(&fair.Item[func(time.Time)]{Value: do, Tag: t.Sub(start).Seconds(), Sequence: h.serial})
}

// try runs a request if it starts within 100 ms. Otherwise its caller returns at the time that it
// is told, if any, plus the time that messages take.
func (h *herd) try(now time.Time, origin uint64) {
	known := h.book.Arrive(now, origin)
	next := 0
	for i, t := range h.freeAt {
		if t.Before(h.freeAt[next]) {
			next = i
		}
	}
	wait := max(h.freeAt[next].Sub(now), 0)
	if wait <= 100*time.Millisecond {
		took := time.Duration(50e6 * math.Exp(0.3*h.random.NormFloat64()))
		h.freeAt[next] = now.Add(wait + took)
		h.book.Served(origin)
		return
	}
	if known.Kept {
		h.again++
	}
	h.book.Rejected(now, origin, "read")
	r := reservation(now, origin, 5.2, 10)
	r.Work, r.Wait = 52*time.Millisecond, wait
	if back, ok := h.book.Reserve(now, r); ok {
		h.told++
		h.at(back.Add(time.Duration(h.random.IntN(60))*time.Millisecond), func(now time.Time) { h.try(now, origin) })
	}
}

// Guards against callers that are all told to return when there is capacity for a few: a thousand
// come within 0.1 s, and new requests leave 100 a second.
func TestHerdFindsCapacity(t *testing.T) {
	is := is.New(t)
	h := &herd{book: resv.NewBook(), random: rand.New(rand.NewPCG(1, 2))}
	add := func(d time.Duration) {
		origin := h.random.Uint64()
		h.at(after(d), func(now time.Time) { h.try(now, origin) })
	}
	for range 1000 {
		add(time.Second + time.Duration(h.random.IntN(100))*time.Millisecond)
	}
	for i := range 500 {
		add(time.Duration(i)*10*time.Millisecond + time.Duration(h.random.IntN(10))*time.Millisecond)
	}
	for first := h.events.First(); first != nil; first = h.events.First() {
		h.events.Remove(first)
		first.Value(after(time.Duration(first.Tag * float64(time.Second))))
	}
	c := h.book.Counts()
	t.Logf("%d told, %d of them found no capacity, %+v", h.told, h.again, c)
	is.True(h.told >= 200)
	is.True(h.again*5 < h.told)
	is.True(c.Kept == h.told && c.Met*10 >= c.Kept*9)
}

// Guards against reservations that take more than new requests leave over, at any time and after
// any sequence of calls.
func TestReservedWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := resv.NewBook()
		now, demand := start, rapid.Float64Range(0, 2.2).Draw(t, "demand")
		given := map[uint64]time.Time{}
		for i := range uint64(rapid.IntRange(1, 150).Draw(t, "tries")) {
			r := reservation(now, i+1, demand, 2)
			r.Earliest = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "earliest")) * time.Millisecond)
			if at, ok := b.Reserve(now, r); ok {
				given[r.Origin] = at
				if at.Before(r.Earliest) || at.After(r.Latest) {
					t.Fatalf("%v is not between %v and %v", at, r.Earliest, r.Latest)
				}
			}
			if served := rapid.Uint64Range(1, 300).Draw(t, "served"); now.Before(given[served]) {
				b.Served(served)
				delete(given, served)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond)
		}
		for _, until := range given {
			var work time.Duration
			for _, at := range given {
				if !at.After(until) {
					work += 100 * time.Millisecond
				}
			}
			// The last two may not have ended.
			if left := max(2-demand, 0) * until.Sub(start).Seconds(); work.Seconds() > left+0.2 || demand >= 2 {
				t.Fatalf("%v given until %v, %v left over", work, until.Sub(start), left)
			}
		}
	})
}

// Guards against capacity that is kept for callers that do not come, or counted for those that did.
func TestReservationsEnd(t *testing.T) {
	is := is.New(t)
	b := resv.NewBook()
	is.Equal(b.Arrive(start, 1), resv.Known{})
	b.Rejected(start, 1, "read")
	at, ok := b.Reserve(start, reservation(start, 1, 1.5, 2))
	is.True(ok)
	is.Equal(b.Pending(start, "s", at), time.Duration(0)) // due before the time
	is.Equal(b.Pending(start, "s", at.Add(1)), 100*time.Millisecond)
	early := at.Add(-50 * time.Millisecond)
	is.Equal(b.Arrive(early, 1), resv.Known{Returns: 1, FirstAt: start})
	is.Equal(b.Pending(early, "s", at.Add(1)), 100*time.Millisecond)     // it stays
	is.Equal(b.Arrive(early, 1), resv.Known{Returns: 1, FirstAt: start}) // a retry of the router
	b.Rejected(early, 1, "read")
	is.Equal(b.Arrive(at, 1), resv.Known{Returns: 2, FirstAt: start, Kept: true})
	is.Equal(b.Pending(at, "s", at.Add(time.Second)), time.Duration(0))
	for id := range uint64(3) { // one comes too late, one is answered before, one is not known any more
		_, ok = b.Reserve(at, reservation(at, id+10, 1, 2))
		is.True(ok)
	}
	b.Served(11)
	is.Equal(b.Pending(at, "s", at.Add(time.Second)), 200*time.Millisecond)
	late := at.Add(time.Second)
	is.Equal(b.Arrive(late, 10), resv.Known{Returns: 1, FirstAt: at})
	is.Equal(b.Pending(late, "s", late), time.Duration(0))
	is.Equal(b.Arrive(late.Add(5*time.Second), 10), resv.Known{})
	_, ok = b.Reserve(late, reservation(late, 0, 0, 2)) // an unknown origin
	is.True(!ok)
	is.Equal(b.Counts(), resv.Counts{Kept: 4, Met: 1, Missed: 2})
	for i := range uint64(100) { // ten a second fit
		late = late.Add(100 * time.Millisecond)
		_, ok = b.Reserve(late, reservation(late, 100+i, 1, 2))
		is.True(ok)
	}
}

// Guards against reservations when new requests need all of the capacity.
func TestNothingIsReservedUnderFullDemand(t *testing.T) {
	is := is.New(t)
	b := resv.NewBook()
	for i, demand := range []float64{1.99, 2, 3} {
		_, ok := b.Reserve(start, reservation(start, uint64(i+1), demand, 2))
		is.True(!ok) // at 1.99, the work takes longer than the latest time
	}
	is.Equal(b.Counts(), resv.Counts{Refused: 3})
}

// Guards against memory that grows with the number of requests.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	var before, full runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b := resv.NewBook()
	var last time.Time
	for i := range uint64(100_000) {
		b.Arrive(start, i+1)
		b.Rejected(start, i+1, string(rune('a'+i%1000)))
		last, _ = b.Reserve(start, reservation(start, i+1, 0, 1000))
	}
	runtime.GC()
	runtime.ReadMemStats(&full)
	t.Logf("%d bytes", full.HeapAlloc-before.HeapAlloc)
	_ = b
	is.True(full.HeapAlloc-before.HeapAlloc < 2<<20)
	is.Equal(b.Arrive(start, 1), resv.Known{})                                 // the oldest are dropped
	is.Equal(b.Arrive(start, 100_000), resv.Known{Returns: 1, FirstAt: start}) // the newest are known
	b.Rejected(start, 100_000, "a")
	is.Equal(b.Arrive(last, 100_000), resv.Known{Returns: 2, FirstAt: start, Kept: true}) // with their reservations
}

// Guards against a last try that is recognized too early, too late or before anything is known.
func TestLastTryIsLearned(t *testing.T) {
	tests := map[string]struct {
		returns, callers int
		want             [4]bool
	}{
		"no observations": {0, 0, [4]bool{false, true, true, true}},
		"too few":         {0, 19, [4]bool{false, true, true, true}},
		"never return":    {0, 40, [4]bool{true, true, true, true}},
		"return once":     {1, 40, [4]bool{false, true, true, true}},
		"return twice":    {2, 40, [4]bool{false, false, true, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := resv.NewBook()
			for n := range test.returns + 1 {
				now := after(time.Duration(n) * time.Second)
				for i := range uint64(test.callers) {
					is.Equal(b.Arrive(now, i+1).Returns, n)
					b.Rejected(now, i+1, "read")
				}
			}
			b.Arrive(after(time.Minute), 1000)
			for returns, want := range test.want {
				is.Equal(b.LastTry("read", returns), want)
			}
			for i := range uint64(256) { // as many routes as are known
				b.Rejected(after(time.Minute), 2000+i, fmt.Sprint(i))
			}
			is.True(!b.LastTry("read", 0))
		})
	}
}

// BenchmarkBook measures a rejection with a reservation and the return, while 200 callers are away.
func BenchmarkBook(b *testing.B) {
	book, now := resv.NewBook(), start
	for i := uint64(1); b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		book.Arrive(now, i)
		book.Rejected(now, i, "read")
		book.Reserve(now, reservation(now, i, 1, 200))
		book.Arrive(now, i-200)
		book.Served(i - 200)
	}
}
