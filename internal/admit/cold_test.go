package admit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/rules"
)

// The limit of a cold server: in any second it gets at most coldRate times coldRateFactor plus
// coldBurst requests.
const (
	coldRate       = 7.4
	coldRateFactor = 1.5
	coldBurst      = 8
	coldTime       = 3 * time.Second
)

func coldServer(id string) rules.Server {
	return rules.Server{ID: id, Service: "books", Domain: "north", Slots: 2, ColdRate: coldRate, WarmAt: start.Add(coldTime)}
}

// maxInSpan returns the largest number of times that lie within a span.
func maxInSpan(times []time.Time, span time.Duration) int {
	maxCount, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}

// maxInASecond returns the largest number of times that lie within a second.
func maxInASecond(times []time.Time) int { return maxInSpan(times, time.Second) }

// flood asks for admission every 5 ms, for requests that take 20 ms, and returns when requests were
// sent to each server. controllerAt returns the controller to ask at a given time.
func flood(lasts time.Duration, keyed bool, controllerAt func(now time.Time) *admit.Controller) map[string][]time.Time {
	out := map[string][]time.Time{}
	type running struct {
		controller *admit.Controller
		done       admit.Completion
		until      time.Time
	}
	var all []running
	handle := func(c *admit.Controller, now time.Time, decisions []admit.Decision) {
		for _, d := range decisions {
			if g, admitted := d.(admit.Admitted); admitted {
				out[g.Server] = append(out[g.Server], now)
				all = append(all, running{c, admit.Completion{ID: g.ID, Server: g.Server, Route: "read", Took: 20 * time.Millisecond}, now.Add(20 * time.Millisecond)})
			}
		}
	}
	for i := uint64(1); time.Duration(i)*5*time.Millisecond < lasts; i++ {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		for len(all) > 0 && !now.Before(all[0].until) {
			r := all[0]
			all = all[1:]
			handle(r.controller, now, r.controller.Complete(now, r.done))
		}
		c := controllerAt(now)
		handle(c, now, c.Tick(now))
		req := newRequest(i, now)
		if keyed {
			req.Server = "s0"
		}
		handle(c, now, []admit.Decision{c.Decide(now, req)})
	}
	return out
}

// Guards against a fast server that gets more requests in a second than it can handle while it is
// cold.
func TestColdServerRateLimit(t *testing.T) {
	for name, keyed := range map[string]bool{"any server": false, "the owner of a key": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newController(coldServer("s0"))
			times := flood(coldTime, keyed, func(time.Time) *admit.Controller { return c })["s0"]
			is.True(float64(maxInASecond(times)) <= coldRate)
			// The server gets what it can handle, except in the first second, in which another
			// controller may have sent requests to it.
			is.True(float64(len(times)) >= 0.8*coldRate*(coldTime-time.Second).Seconds())
		})
	}
}

// Guards against a controller that starts to count from zero when it takes over from another one.
func TestColdServerAfterTakeover(t *testing.T) {
	is := is.New(t)
	one, two := newController(coldServer("s0")), newController(coldServer("s0"))
	times := flood(coldTime, false, func(now time.Time) *admit.Controller {
		if now.Sub(start) < time.Second {
			return one
		}
		return two
	})["s0"]
	is.True(float64(maxInASecond(times)) <= coldRate*coldRateFactor+coldBurst)
}

// Guards against a server that gets its whole load at the moment at which it is warm, or that stays
// at the rate of a cold server.
func TestServerWarmsUp(t *testing.T) {
	is := is.New(t)
	c := newController(coldServer("s0"))
	times := flood(coldTime+2*time.Second, false, func(time.Time) *admit.Controller { return c })["s0"]
	after := 0
	for _, at := range times {
		if at.Sub(start) >= coldTime {
			after++
		}
	}
	is.True(after > 150) // two slots and 20 ms a request
}

// Guards against a caller that waits for a cold server that cannot run its request in time.
func TestColdServerRejectsAtOnce(t *testing.T) {
	is := is.New(t)
	c := newController(coldServer("s0"))
	rejected := admit.Rejected{}
	for i := range uint64(12) {
		req := newRequest(i, start)
		req.Server = "s0"
		switch d := c.Decide(start, req).(type) {
		case admit.Admitted:
			c.Complete(start, admit.Completion{ID: d.ID, Server: d.Server, Route: "read", Took: 20 * time.Millisecond})
		case admit.Rejected:
			rejected = d
		}
	}
	is.Equal(rejected.Reason, admit.Overload)
	is.True(rejected.RetryIn >= 250*time.Millisecond)
}

// Guards against requests to a cold server from an instance whose requests no other controller
// counts.
func TestColdServerRejectsNonExclusiveRequests(t *testing.T) {
	warm := rules.Server{ID: "warm", Service: "books", Domain: "north", Slots: 2}
	tests := map[string]struct {
		servers []rules.Server
		server  string
		want    string // the server, empty if the request is rejected
	}{
		"all are cold":        {[]rules.Server{coldServer("s0")}, "", ""},
		"the owner of a key":  {[]rules.Server{coldServer("s0"), warm}, "s0", ""},
		"another one is warm": {[]rules.Server{coldServer("s0"), warm}, "", "warm"},
		"the owner is warm":   {[]rules.Server{coldServer("s0"), warm}, "warm", "warm"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newController(test.servers...)
			req := newRequest(1, start)
			req.NonExclusive, req.Server = true, test.server
			switch d := c.Decide(start, req).(type) {
			case admit.Admitted:
				is.Equal(d.Server, test.want)
			case admit.Rejected:
				is.Equal(test.want, "")
			default:
				t.Fatal("the request is queued although no server may take it")
			}
		})
	}
}

// Guards against requests that wait for servers that are all gone, for example because their
// failure domain is evacuated.
func TestQueueIsRejectedWithTheLastServer(t *testing.T) {
	is := is.New(t)
	c := newController(server("s0", "north", 1))
	fill(is, c, "s0")
	is.Equal(c.Decide(start, requestWithLongTarget(2, start)), admit.Queued{ID: newRequest(2, start).ID})
	is.Equal(c.SetServers(start, nil), []admit.Decision{admit.Rejected{ID: newRequest(2, start).ID, Reason: admit.OwnerGone}})
}

// A failure domain comes back after an evacuation under twice the usual load: 12 servers are cold
// at the same time, and 12 others are warm. The cold servers must not get more than they can
// handle, and the warm ones must serve what they can.
func TestColdDomainUnderABurst(t *testing.T) {
	is := is.New(t)
	var servers []rules.Server
	work := map[string]time.Duration{}
	for i := range 12 {
		cold := coldServer(fmt.Sprintf("cold%02d", i))
		warm := server(fmt.Sprintf("warm%02d", i), "north", 2)
		servers = append(servers, cold, warm)
		work[cold.ID], work[warm.ID] = 40*time.Millisecond, 40*time.Millisecond
	}
	s := newSimulator(4, work, 2)
	s.controller = admit.New(rand.New(rand.NewPCG(4, 3)), admit.Options{})
	s.controller.SetServers(start, servers)
	s.sendTimes = map[string][]time.Time{}
	s.addArrivals(workload{name: "read", rate: 700, priority: 1, target: 500 * time.Millisecond, limit: 2 * time.Second}, 0, coldTime)
	s.runFor(coldTime + time.Second)
	got := s.tallies["read"]
	t.Logf("%+v", *got)
	for id, times := range s.sendTimes {
		if id[0] == 'c' {
			whileCold := times
			for len(whileCold) > 0 && whileCold[len(whileCold)-1].Sub(start) >= coldTime {
				whileCold = whileCold[:len(whileCold)-1]
			}
			is.True(float64(maxInASecond(whileCold)) <= math.Ceil(coldRate))
		}
	}
	// Twelve warm servers run 600 requests a second, the cold ones 89.
	is.True(float64(got.inTarget) >= 0.9*600*coldTime.Seconds())
}
