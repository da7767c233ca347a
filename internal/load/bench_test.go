package load

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"example.org/mustardring/internal/stubs"
)

// BenchmarkStandInServer measures how many requests per second the load tool gets from one stand-in
// server without an entry instance in between, which is an upper limit for measurements through an
// entry instance. Set -cpu to the number of cores for the tool and the server together.
func BenchmarkStandInServer(b *testing.B) {
	server := stubs.NewServer(stubs.ServerSettings{
		Name: "s1", Service: "oddaja", Address: "127.0.0.1:0", Slots: 1024, Queue: 1024,
	})
	ctx, cancel := context.WithCancel(b.Context())
	ended, err := server.Start(ctx)
	if err != nil {
		b.Fatal(err)
	}
	p := profile(func(p *Profile) {
		p.Entries, p.Servers, p.DirectShare = nil, []string{server.Address()}, 1
		p.DeadlineMillis = 60_000
	})
	s := newSender(p, "run")
	s.started = time.Now()
	var id, failed atomic.Int64
	b.SetParallelism(16)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r := record{planned: planned{id: int(id.Add(1)), direct: true, key: "oddaja-1"}, start: time.Since(s.started)}
			s.sendOnce(ctx, &r)
			if r.result != ResultRan {
				failed.Add(1)
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	cancel()
	<-ended
	if failed.Load() > 0 {
		b.Fatal("not all requests ran: ", failed.Load())
	}
}

// BenchmarkPlan measures the cost of planning one request.
func BenchmarkPlan(b *testing.B) {
	p := profile(func(p *Profile) {
		p.Rate, p.DurationMillis = 1, maxDurationSeconds*1000
		p.Services[0] = Service{Name: "arhiv", Share: 1, Keys: 100_000, HotKeys: 10, HotShare: 0.5, ShiftMillis: 1000}
	})
	l := newPlan(p)
	for b.Loop() {
		if _, ok := l.next(); !ok {
			l = newPlan(p)
		}
	}
}
