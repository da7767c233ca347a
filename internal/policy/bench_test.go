package policy

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkCore is one idempotent request through the core: arrival, answer and the return of
// its slot.
func BenchmarkCore(b *testing.B) {
	c := newCore()
	b.ReportAllocs()
	now := Time(0)
	for n := 0; b.Loop(); n++ {
		now += 1000
		r := &Request{Ticket: Ticket(n), Caller: "x", Deadline: now + 1000*ms, Idempotent: true, Replayable: true}
		start := c.Admit(now, r)[0].(Admitted)
		c.Release(now, c.SlotOf(r, start.Server), time.Microsecond)
	}
}

// BenchmarkCoreRemembered is the same for one that must not run twice.
func BenchmarkCoreRemembered(b *testing.B) {
	c := NewCore("oddaja", TableLimits{Entries: 1 << 30}, 0)
	c.Configure(0, "", testLimits, []Server{{Name: "a", Slots: 2}})
	names := make([]ID, 1<<16)
	for i := range names {
		names[i] = HashRequestID("oddaja", "", fmt.Sprint(i))
	}
	b.ReportAllocs()
	now := Time(0)
	for n := 0; b.Loop(); n++ {
		// A full turn of names takes longer than the memory's time.
		now += 10 * ms
		name := names[n%len(names)]
		r := &Request{Ticket: Ticket(n), RequestID: name, SubmissionID: name, Fingerprint: 1, Caller: "x", Deadline: now + 1000*ms}
		start := c.Admit(now, r)[0].(Admitted)
		c.Complete(now, r, 201, nil)
		c.Release(now, c.SlotOf(r, start.Server), time.Microsecond)
	}
}

// BenchmarkMemoryPerRequest reports the bytes of heap for each remembered request.
func BenchmarkMemoryPerRequest(b *testing.B) {
	const entries = 200_000
	for b.Loop() {
		before := heapBytes()
		m := NewMemory(TableLimits{Entries: entries})
		for i := range entries {
			s := Sent{Name: HashRequestID("oddaja", "", fmt.Sprint(i)), Print: 1, Until: Time(i)}
			m.Begin(-1, s)
			m.Ran(s, 201, nil)
		}
		b.ReportMetric(float64(heapBytes()-before)/entries, "B/request")
		runtime.KeepAlive(m)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
