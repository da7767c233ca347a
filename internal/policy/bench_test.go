package policy

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkCore measures admitting one idempotent request and releasing its slot.
func BenchmarkCore(b *testing.B) {
	c := newTestCore()
	b.ReportAllocs()
	now := Time(0)
	for n := 0; b.Loop(); n++ {
		now += 1000
		r := &Request{Ticket: Ticket(n), Caller: "x", Deadline: now + 1000*ms, Idempotent: true, Replayable: true}
		admitted := c.Admit(now, r)[0].(Admitted)
		c.Release(now, c.SlotOf(r, admitted.Server), time.Microsecond)
	}
}

// BenchmarkCoreNonIdempotent measures admitting a non-idempotent request, recording its response
// and releasing its slot.
func BenchmarkCoreNonIdempotent(b *testing.B) {
	c := NewCore("oddaja", TableLimits{MaxRecords: 1 << 30}, 0)
	c.Configure(0, "", testLimits, []Server{{Name: "a", Slots: 2}})
	ids := make([]ID, 1<<16)
	for i := range ids {
		ids[i] = HashRequestID("oddaja", "", fmt.Sprint(i))
	}
	b.ReportAllocs()
	now := Time(0)
	for n := 0; b.Loop(); n++ {
		// The ids repeat only after longer than RecordRetention.
		now += 10 * ms
		id := ids[n%len(ids)]
		r := &Request{Ticket: Ticket(n), RequestID: id, SubmissionID: id, Fingerprint: 1, Caller: "x", Deadline: now + 1000*ms}
		admitted := c.Admit(now, r)[0].(Admitted)
		c.Complete(now, r, 201, nil)
		c.Release(now, c.SlotOf(r, admitted.Server), time.Microsecond)
	}
}

// BenchmarkTableBytesPerRecord reports the heap bytes per record.
func BenchmarkTableBytesPerRecord(b *testing.B) {
	const records = 200_000
	for b.Loop() {
		before := heapBytes()
		table := NewIdempotencyTable(TableLimits{MaxRecords: records})
		for i := range records {
			s := Submission{RequestID: HashRequestID("oddaja", "", fmt.Sprint(i)), Fingerprint: 1, ExpiresAt: Time(i)}
			table.Begin(-1, s)
			table.RecordRan(s, 201, nil)
		}
		b.ReportMetric(float64(heapBytes()-before)/records, "B/request")
		runtime.KeepAlive(table)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
