package fair_test

import (
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/fair"
)

// demand is what one caller asks for: rate is in multiples of the capacity. It repeats each
// rejected request at once, up to a number of times.
type demand struct {
	caller   uint32
	priority int
	rate     float64
	repeats  int
}

type arrival struct {
	index   int
	at      time.Duration
	repeats int
}

// simulation is a server with one slot in virtual time. At most ten requests of equal work wait;
// of further ones, the last in order is rejected.
type simulation struct {
	work    time.Duration
	floors  fair.Floors
	demands []demand
	shares  *fair.Shares
	usage   fair.Usage
	queues  [2]fair.Queue[arrival]
	freeAt  time.Duration
	// served is the share of the server that each demand had.
	served []float64
	serial uint64
}

func (s *simulation) run() {
	const duration = 200 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	s.shares, s.served = fair.NewShares(), make([]float64, len(s.demands))
	var arrivals []arrival
	for i, d := range s.demands {
		gap := s.work.Seconds() / d.rate
		for t := gap * random.ExpFloat64(); t < duration.Seconds(); t += gap * random.ExpFloat64() {
			arrivals = append(arrivals, arrival{i, time.Duration(t * float64(time.Second)), d.repeats})
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	for _, a := range arrivals {
		s.advance(a.at)
		s.freeAt = max(s.freeAt, a.at)
		s.arrive(a)
		s.advance(a.at)
	}
	for i := range s.served {
		s.served[i] /= duration.Seconds()
	}
}

func (s *simulation) arrive(a arrival) {
	s.serial++
	d := s.demands[a.index]
	s.queues[d.priority].Push(&fair.Item[arrival]{Value: a, Tag: s.shares.Arrive(d.caller, s.work), Sequence: s.serial, Work: s.work})
	if s.queues[0].Len()+s.queues[1].Len() <= 10 {
		return
	}
	p := 0
	if s.queues[1].Len() > 5 {
		p = 1
	}
	last := s.queues[p].Last()
	s.queues[p].Remove(last)
	s.shares.Reject(s.demands[last.Value.index].caller, s.work)
	if again := last.Value; again.repeats > 0 {
		again.repeats--
		s.arrive(again)
	}
}

// advance serves waiting requests until the time.
func (s *simulation) advance(until time.Duration) {
	for s.freeAt <= until && s.queues[0].Len()+s.queues[1].Len() > 0 {
		var waiting []int
		for p := range s.queues {
			if s.queues[p].Len() > 0 {
				waiting = append(waiting, p)
			}
		}
		now := time.Unix(0, 0).Add(s.freeAt)
		p, owed := s.usage.Owed(now, s.floors, waiting)
		if !owed {
			p = waiting[0]
		}
		it := s.queues[p].First()
		s.queues[p].Remove(it)
		s.shares.Serve(it.Tag)
		s.usage.Record(now, p, s.work)
		s.served[it.Value.index] += s.work.Seconds()
		s.freeAt += s.work
	}
}

// Guards against callers that get more the more they ask or repeat, or that starve others, and
// against priorities that get less than their floor, or more while others wait.
func TestShares(t *testing.T) {
	const short, long = 50 * time.Millisecond, 500 * time.Millisecond
	// asking returns the demands of callers 1, 2 and so on, given by their rates.
	asking := func(rates ...float64) (out []demand) {
		for i, rate := range rates {
			out = append(out, demand{caller: uint32(i + 1), rate: rate})
		}
		return out
	}
	unknown := func(rate float64) demand { return demand{rate: rate} }
	repeating := demand{caller: 9, rate: 1, repeats: 3}
	urgent, other := demand{caller: 1, priority: 0, rate: 1}, demand{caller: 2, priority: 1, rate: 0.5}
	tests := map[string]struct {
		work    time.Duration
		floors  fair.Floors
		demands []demand
		// want is the share of each demand, and within the largest difference as a part of it.
		want   []float64
		within float64
	}{
		"1, 3 and 10 times as often": {short, nil, asking(1./7, 3./7, 10./7), []float64{1. / 7, 3. / 7, 3. / 7}, 0.1},
		"light one beside a heavy":   {short, nil, asking(0.4, 1.6), []float64{0.4, 0.6}, 0.1},
		// Without a bound on charges for rejected requests, the last one had 0.001.
		"rejected most of the time":   {short, nil, asking(0.5, 1.5, 5), []float64{0.45, 0.29, 0.26}, 0.1},
		"repeats three times":         {short, nil, append(asking(1, 1), repeating), []float64{0.35, 0.35, 0.3}, 0.07},
		"only one asks":               {short, nil, asking(2), []float64{1}, 0.01},
		"known and unknown":           {short, nil, append(asking(1), unknown(1)), []float64{0.5, 0.5}, 0.1},
		"light unknown beside known":  {short, nil, append(asking(1, 1, 1, 1), unknown(0.2)), []float64{0.2, 0.2, 0.2, 0.2, 0.2}, 0.1},
		"light known beside unknown":  {short, nil, append(asking(0.1, 0.1, 0.1, 0.1), unknown(4)), []float64{0.1, 0.1, 0.1, 0.1, 0.6}, 0.1},
		"floods of known and unknown": {short, nil, append(asking(1, 1, 1, 1), unknown(4)), []float64{0.125, 0.125, 0.125, 0.125, 0.5}, 0.1},
		"floor of 0.2":                {short, fair.Floors{0, 0.2}, []demand{urgent, other}, []float64{0.8, 0.2}, 0.05},
		"floor with long requests":    {long, fair.Floors{0, 0.2}, []demand{urgent, other}, []float64{0.8, 0.2}, 0.05},
		"no floors":                   {short, nil, []demand{urgent, other}, []float64{0.91, 0.09}, 0.1},
		"floor, only urgent ones":     {short, fair.Floors{0, 0.2}, []demand{urgent}, []float64{0.95}, 0.05},
		"floor, only the others":      {short, fair.Floors{0, 0.2}, []demand{other}, []float64{0.5}, 0.05},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &simulation{work: test.work, floors: test.floors, demands: test.demands}
			s.run()
			t.Log(s.served)
			for i, want := range test.want {
				is.True(math.Abs(s.served[i]-want) <= want*test.within)
			}
		})
	}
}

// Guards against state that grows with the number of callers, and that stays once they are served.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	s := fair.NewShares()
	for i := range uint32(100_000) {
		s.Arrive(i+1, time.Second)
	}
	is.Equal(s.Callers(), 4096)
	is.True(s.Arrive(99_999, time.Second) > 0) // it shares an account
	s.Serve(1)
	is.Equal(s.Callers(), 0)
	s.Arrive(1, time.Second)
	s.Reject(1, time.Second)
	is.Equal(s.Callers(), 1)                 // a quarter of the work is charged
	is.Equal(s.Arrive(1, time.Second), 1.25) // the virtual time is 1
}

// BenchmarkShares measures a request of one of 100,000 callers while 100 wait, and reports the
// bytes that the Shares hold.
func BenchmarkShares(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := fair.NewShares()
	var waiting [100]float64
	for i := uint32(0); b.Loop(); i++ {
		s.Serve(waiting[i%100])
		waiting[i%100] = s.Arrive(1+i*7919%100_000, 100*time.Millisecond)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "held-bytes")
	runtime.KeepAlive(s)
}
