package logcl_test

import (
	"fmt"
	"testing"

	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/record"
)

// BenchmarkAppend measures one record from its submission to its acknowledgement.
func BenchmarkAppend(b *testing.B) {
	a := logcl.NewAppender(logcl.AppenderConfig{PerSecond: 1e12, Burst: 1 << 30, MaxQueued: 8, MaxCalls: 1, Random: seeded(1)})
	r := made("s0", 1)
	now, bytes := second, 0
	for n := 0; b.Loop(); n++ {
		id := fmt.Sprint("id-", n)
		for _, effect := range a.Handle(now, logcl.Submitted{ID: id, Record: r}) {
			bytes = len(effect.(logcl.Write).Data)
		}
		a.Handle(now, logcl.WriteResult{ID: id, Offset: uint64(n)})
		now++
	}
	b.ReportMetric(float64(bytes), "bytes/record")
}

// BenchmarkOutage measures a submission while the log is away and the assignments of a number
// of servers wait. The slope is the cost per server.
func BenchmarkOutage(b *testing.B) {
	for _, servers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			a := newAppender(8)
			a.Handle(second, logcl.Submitted{ID: "out", Record: record.BundleApproved{}})
			names := make([]string, servers)
			for n := range names {
				names[n] = fmt.Sprint("server-", n)
				a.Handle(second, logcl.Submitted{ID: names[n], Record: made(names[n], 1)})
			}
			for n := 0; b.Loop(); n++ {
				a.Handle(second, logcl.Submitted{ID: fmt.Sprint(n), Record: made(names[n%servers], uint64(n+2))})
			}
		})
	}
}

// BenchmarkRead measures reading and folding one record, in batches of 1000.
func BenchmarkRead(b *testing.B) {
	const batch = 1000
	log := &tape{}
	for n := range batch {
		data, err := record.Encode(made(fmt.Sprint("server-", n%100), uint64(n+1)))
		if err != nil {
			b.Fatal(err)
		}
		log.add(fmt.Sprint("id-", n), data)
	}
	b.ReportAllocs()
	for b.Loop() {
		r := logcl.NewReader(logcl.ReaderConfig{MaxEntries: batch, PerSecond: 1e9, Burst: 1000, Random: seeded(1)})
		fetch := r.Start(second)
		got, err := log.read(fetch.From, fetch.Limit)
		r.Handle(second, logcl.FetchResult{Fetch: fetch, Batch: got, Err: err})
		if r.State().Next != batch {
			b.Fatal("not read")
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/record")
}
