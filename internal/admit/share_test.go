package admit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/fair"
	"example.org/mustardring/internal/rules"
)

// newOwnerSimulator returns a simulator of one server of four slots, the owner of all keys, that runs 20 requests a second.
func newOwnerSimulator(seed uint64, o admit.Options) *simulator {
	s := newSimulator(seed, nil, 4)
	s.serviceTimes = uniformServers(1, 200*time.Millisecond)
	s.controller = admit.New(rand.New(rand.NewPCG(seed, 3)), o)
	s.controller.SetServers(start, []rules.Server{server("s0", "north", 4)})
	s.byKey = true
	return s
}

func (t *tally) served() int { return t.inTarget + t.late }

// Guards against callers that crowd out others by asking more often: at nearly three times the capacity, callers that ask 1, 3
// and 10 times as often get what they ask for, and equal parts of the rest.
func TestCallersShareAFullServer(t *testing.T) {
	is := is.New(t)
	s := newOwnerSimulator(1, admit.Options{FairShares: true})
	for name, w := range map[string]workload{"light": {rate: 4, caller: 1}, "medium": {rate: 12, caller: 2}, "heavy": {rate: 40, caller: 3}} {
		w.name, w.priority, w.target, w.limit = name, 1, 800*time.Millisecond, 3*time.Second
		s.addArrivals(w, 0, 30*time.Second)
	}
	s.runFor(34 * time.Second)
	light, medium, heavy := s.tallies["light"], s.tallies["medium"], s.tallies["heavy"]
	t.Logf("light %+v medium %+v heavy %+v", *light, *medium, *heavy)
	is.True(light.inTarget*10 >= light.requested*9)
	is.True(medium.served() >= 30*7)
	is.True(heavy.served() <= 30*10)
	is.True(light.served()+medium.served()+heavy.served() >= 30*18)
}

// Guards against light callers that are crowded out, at a server that has just become slow or that more callers use than it has
// slots for a quarter each: those who ask most came first.
func TestLightCallersKeepTheirShare(t *testing.T) {
	for name, test := range map[string]struct {
		slots int
		work  time.Duration
		// light and heavy are the numbers of callers, lightRate and heavyRate those of the requests a second of each.
		light, heavy         int
		lightRate, heavyRate float64
	}{
		"few callers":       {2, 167 * time.Millisecond, 2, 3, 4.5, 40},
		"few that ask more": {2, 167 * time.Millisecond, 2, 3, 4.5, 80},
		"four slots":        {4, 200 * time.Millisecond, 4, 4, 4, 40},
		"many callers":      {2, 167 * time.Millisecond, 10, 10, 1, 20},
	} {
		for _, slowAt := range []time.Duration{0, 10 * time.Second} {
			t.Run(fmt.Sprintf("%s, slow at %v", name, slowAt), func(t *testing.T) {
				served := make([]int, test.light+test.heavy)
				for seed := range uint64(12) {
					s := newSimulator(seed, nil, test.slots)
					s.controller = admit.New(rand.New(rand.NewPCG(seed, 3)), admit.Options{FairShares: true, KeptReturns: true})
					s.controller.SetServers(start, []rules.Server{server("s0", "north", test.slots)})
					s.byKey, s.serviceTimes = true, uniformServers(1, 8*time.Millisecond)
					for i := range served {
						w := workload{name: fmt.Sprint(i), rate: test.lightRate, caller: uint32(i + 1), priority: 1, target: time.Second, limit: 2 * time.Second, route: "read"}
						if i >= test.light {
							w.rate = test.heavyRate
						}
						s.addArrivals(w, 0, 20*time.Second)
					}
					count := func(sign int) func(time.Time) {
						return func(time.Time) {
							for i := range served {
								served[i] += sign * s.tallies[fmt.Sprint(i)].served()
							}
						}
					}
					s.schedule(start.Add(slowAt), func(time.Time) { s.serviceTimes["s0"] = test.work })
					s.schedule(start.Add(11*time.Second), count(-1))
					s.schedule(start.Add(15*time.Second), count(1))
					s.runFor(24 * time.Second)
				}
				t.Logf("served %v", served)
				asked := 12 * 4 * test.lightRate
				light, heavy := mean(served[:test.light]), mean(served[test.light:])
				is := is.New(t)
				is.True(light >= 0.8*min(asked, heavy))
				is.True(float64(slices.Min(served[:test.light])) >= 0.6*min(asked, heavy))
			})
		}
	}
}

func mean(counts []int) (m float64) {
	for _, n := range counts {
		m += float64(n) / float64(len(counts))
	}
	return m
}

// Guards against callers of instances of the previous release, which are not known, and that starve others or are starved.
func TestUnknownCallersKeepAPart(t *testing.T) {
	is := is.New(t)
	s := newOwnerSimulator(2, admit.Options{FairShares: true})
	s.addArrivals(workload{name: "unknown", rate: 30, priority: 1, target: 800 * time.Millisecond, limit: 3 * time.Second}, 0, 20*time.Second)
	s.addArrivals(workload{name: "known", rate: 30, priority: 1, target: 800 * time.Millisecond, limit: 3 * time.Second, known: true}, 0, 20*time.Second)
	s.runFor(24 * time.Second)
	unknown, known := s.tallies["unknown"], s.tallies["known"]
	t.Logf("unknown %+v known %+v", *unknown, *known)
	is.True(unknown.served() >= 20*5)
	is.True(known.served() >= 20*5)
	is.True(unknown.served()+known.served() >= 20*18)
}

// Guards against unknown callers that are charged for rejections as one caller that asks again and again: they had 0.35 of a
// full server beside as many requests of known callers that ask once each, and 0.29 if they were three times as many.
func TestUnknownCallersAreServedLikeOthers(t *testing.T) {
	tests := map[string]struct {
		unknown, known float64
		// callers is the number of known callers, zero if each asks once.
		callers int
		// unknownShare is the share of unknown callers in what is served.
		unknownShare float64
	}{
		"as many requests":             {30, 30, 0, 0.5},
		"more unknown ones":            {45, 15, 0, 0.5},
		"a flood of unknown ones":      {120, 30, 0, 0.5},
		"few unknown ones":             {15, 45, 0, 0.25},
		"few known ones":               {54, 6, 0, 0.7},
		"one heavy caller":             {30, 30, 1, 0.5},
		"ten heavy callers":            {30, 30, 10, 0.5},
		"ten heavy callers, fewer":     {45, 15, 10, 0.5},
		"light callers beside a flood": {60, 8, 10, 0.6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			unknown, known := 0, 0
			for seed := range uint64(3) {
				s := newOwnerSimulator(seed, admit.Options{FairShares: true})
				w := workload{name: "unknown", rate: test.unknown, priority: 1, target: 800 * time.Millisecond, limit: 3 * time.Second}
				s.addArrivals(w, 0, 20*time.Second)
				names := []string{"known"}
				w.name, w.rate, w.known = names[0], test.known, true
				if test.callers == 0 {
					s.addArrivals(w, 0, 20*time.Second)
				}
				for i := range test.callers {
					w.name, w.rate, w.caller, w.known = fmt.Sprint(i), test.known/float64(test.callers), uint32(i+1), false
					s.addArrivals(w, 0, 20*time.Second)
					names = append(names, w.name)
				}
				s.runFor(24 * time.Second)
				unknown += s.tallies["unknown"].served()
				for _, name := range names {
					if got := s.tallies[name]; got != nil {
						known += got.served()
					}
				}
			}
			share := float64(unknown) / float64(unknown+known)
			t.Logf("%d and %d served, share %.2f", unknown, known, share)
			is.True(math.Abs(share-test.unknownShare) <= 0.06)
			is.True(unknown+known >= 3*20*18)
		})
	}
}

// Guards against a caller that alone asks for much and is rejected with room free.
func TestOneCallerMayUseAnIdleServer(t *testing.T) {
	is := is.New(t)
	s := newOwnerSimulator(3, admit.Options{FairShares: true, KeptReturns: true})
	s.addArrivals(workload{name: "read", rate: 14, priority: 1, target: 800 * time.Millisecond, limit: 3 * time.Second, caller: 1}, 0, 20*time.Second)
	s.runFor(24 * time.Second)
	got := s.tallies["read"]
	t.Logf("%+v", *got)
	is.True(got.inTarget*100 >= got.requested*97)
}

// Guards against a kind of requests that gets nothing while a more urgent one fills a server: two kinds ask for one and a half
// times its capacity, and the less urgent one has a floor of a fifth.
func TestPriorityFloor(t *testing.T) {
	is := is.New(t)
	s := newOwnerSimulator(4, admit.Options{Floors: fair.Floors{0, 0.2}})
	s.addArrivals(workload{name: "urgent", rate: 22, priority: 0, target: 800 * time.Millisecond, limit: 3 * time.Second}, 0, 30*time.Second)
	s.addArrivals(workload{name: "other", rate: 8, priority: 1, target: 800 * time.Millisecond, limit: 3 * time.Second}, 0, 30*time.Second)
	s.runFor(34 * time.Second)
	urgent, other := s.tallies["urgent"], s.tallies["other"]
	t.Logf("urgent %+v other %+v", *urgent, *other)
	is.True(other.served() >= int(0.18*30*20))
	is.True(urgent.served() >= int(0.7*30*20))
}

// Guards against callers that come back as told and are rejected again: a burst of five times the capacity comes to a server of
// which half is used.
func TestReturnsAreKept(t *testing.T) {
	is := is.New(t)
	s := newOwnerSimulator(5, admit.Options{KeptReturns: true})
	steady := workload{name: "steady", rate: 10, priority: 1, target: 800 * time.Millisecond, limit: 6 * time.Second, known: true}
	s.addArrivals(steady, 0, 30*time.Second)
	burst := steady
	burst.name, burst.rate = "burst", 100
	for i := range 4 {
		at := time.Duration(4+6*i) * time.Second
		tallies := s.tallies[burst.name]
		s.addArrivals(burst, at, at+500*time.Millisecond)
		if tallies != nil {
			s.tallies[burst.name] = tallies
		}
	}
	s.runFor(36 * time.Second)
	got, others := s.tallies["burst"], s.tallies["steady"]
	t.Logf("burst %+v steady %+v, %+v", *got, *others, s.controller.LoadCounts())
	is.True(got.told >= 10)
	is.True(got.toldTwice*5 < got.told)
	is.True(others.inTarget*10 >= others.requested*8)
}

// Guards against decisions that become slow with many callers: each of 10,000 callers asks the controller of 279 servers.
func BenchmarkDecideWithManyCallers(b *testing.B) {
	c := admit.New(rand.New(rand.NewPCG(1, 2)), admit.Options{FairShares: true, KeptReturns: true, Floors: fair.Floors{0, 0.2}})
	var servers []rules.Server
	for i := range 279 {
		servers = append(servers, server(fmt.Sprintf("s%d", i), "north", 4))
	}
	c.SetServers(start, servers)
	random, now := rand.New(rand.NewPCG(3, 4)), start
	for i := range b.N {
		now = now.Add(100 * time.Microsecond)
		req := newRequest(uint64(i), now)
		req.Server, req.Caller, req.Origin, req.Priority = servers[random.IntN(279)].ID, uint32(1+random.IntN(10_000)), random.Uint64(), random.IntN(2)
		if d, admitted := c.Decide(now, req).(admit.Admitted); admitted {
			c.Complete(now, admit.Completion{ID: d.ID, Server: d.Server, Route: "read", Took: 200 * time.Millisecond})
		}
		c.Tick(now)
	}
}
