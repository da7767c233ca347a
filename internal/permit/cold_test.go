package permit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/permit"
	"example.org/mustardring/internal/rules"
)

// The bound of a cold server, as its users state it: in any second no more than coldRate times coldOverage and coldSlack.
const (
	coldRate    = 7.4
	coldOverage = 1.5
	coldSlack   = 8
	coldTime    = 3 * time.Second
)

func coldServer(id string) rules.Server {
	return rules.Server{ID: id, Service: "books", Domain: "north", Slots: 2, ColdRate: coldRate, WarmAt: start.Add(coldTime)}
}

// mostInASecond returns the largest number of times within a second.
func mostInASecond(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// flood asks for a permit every five milliseconds, for requests that take 20, and returns when each server was sent to.
// KeeperAt returns the keeper that is asked at a time.
func flood(lasts time.Duration, keyed bool, keeperAt func(now time.Time) *permit.Controller) map[string][]time.Time {
	out := map[string][]time.Time{}
	type running struct {
		keeper *permit.Controller
		done   permit.Completion
		until  time.Time
	}
	var all []running
	take := func(k *permit.Controller, now time.Time, verdicts []permit.Decision) {
		for _, v := range verdicts {
			if g, granted := v.(permit.Admitted); granted {
				out[g.Server] = append(out[g.Server], now)
				all = append(all, running{k, permit.Completion{ID: g.ID, Server: g.Server, Route: "read", Took: 20 * time.Millisecond}, now.Add(20 * time.Millisecond)})
			}
		}
	}
	for i := uint64(1); time.Duration(i)*5*time.Millisecond < lasts; i++ {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		for len(all) > 0 && !now.Before(all[0].until) {
			r := all[0]
			all = all[1:]
			take(r.keeper, now, r.keeper.Complete(now, r.done))
		}
		k := keeperAt(now)
		take(k, now, k.Tick(now))
		a := ask(i, now)
		if keyed {
			a.Server = "s0"
		}
		take(k, now, []permit.Decision{k.Decide(now, a)})
	}
	return out
}

// Guards against a fast server that gets more requests in a second while it is cold than it bears.
func TestColdServersGetFewRequests(t *testing.T) {
	for name, keyed := range map[string]bool{"any server": false, "the owner of a key": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := newKeeper(coldServer("s0"))
			times := flood(coldTime, keyed, func(time.Time) *permit.Controller { return k })["s0"]
			is.True(float64(mostInASecond(times)) <= coldRate)
			// What it bears it gets, but for the first second, in which another keeper may have sent to it.
			is.True(float64(len(times)) >= 0.8*coldRate*(coldTime-time.Second).Seconds())
		})
	}
}

// Guards against a keeper that counts from nothing after it has taken over from another one.
func TestColdServerOutlastsItsKeeper(t *testing.T) {
	is := is.New(t)
	one, two := newKeeper(coldServer("s0")), newKeeper(coldServer("s0"))
	times := flood(coldTime, false, func(now time.Time) *permit.Controller {
		if now.Sub(start) < time.Second {
			return one
		}
		return two
	})["s0"]
	is.True(float64(mostInASecond(times)) <= coldRate*coldOverage+coldSlack)
}

// Guards against a server that gets its whole load in the moment it is warm, or stays at the rate of a cold one.
func TestServerWarmsUp(t *testing.T) {
	is := is.New(t)
	k := newKeeper(coldServer("s0"))
	times := flood(coldTime+2*time.Second, false, func(time.Time) *permit.Controller { return k })["s0"]
	after := 0
	for _, at := range times {
		if at.Sub(start) >= coldTime {
			after++
		}
	}
	is.True(after > 150) // two slots and 20 ms a request
}

// Guards against a caller that waits for a cold server which cannot take its request in time.
func TestColdServerRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	k := newKeeper(coldServer("s0"))
	refused := permit.Rejected{}
	for i := range uint64(12) {
		a := ask(i, start)
		a.Server = "s0"
		switch v := k.Decide(start, a).(type) {
		case permit.Admitted:
			k.Complete(start, permit.Completion{ID: v.ID, Server: v.Server, Route: "read", Took: 20 * time.Millisecond})
		case permit.Rejected:
			refused = v
		}
	}
	is.Equal(refused.Reason, permit.Overload)
	is.True(refused.RetryIn >= 250*time.Millisecond)
}

// Guards against a cold server that gets requests from an instance whose permits nobody else counts.
func TestColdServerGetsNothingFromInstancesApart(t *testing.T) {
	warm := rules.Server{ID: "warm", Service: "books", Domain: "north", Slots: 2}
	tests := map[string]struct {
		servers []rules.Server
		server  string
		want    string // the server of the permit, empty for a refusal
	}{
		"all are cold":            {[]rules.Server{coldServer("s0")}, "", ""},
		"the owner of a key":      {[]rules.Server{coldServer("s0"), warm}, "s0", ""},
		"another one is warm":     {[]rules.Server{coldServer("s0"), warm}, "", "warm"},
		"the owner itself is not": {[]rules.Server{coldServer("s0"), warm}, "warm", "warm"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := newKeeper(test.servers...)
			a := ask(1, start)
			a.NonExclusive, a.Server = true, test.server
			switch v := k.Decide(start, a).(type) {
			case permit.Admitted:
				is.Equal(v.Server, test.want)
			case permit.Rejected:
				is.Equal(test.want, "")
			default:
				t.Fatal("it waits for nothing")
			}
		})
	}
}

// Guards against requests that wait for servers which are all gone, as when their failure domain is evacuated.
func TestWaitersLeaveWithTheLastServer(t *testing.T) {
	is := is.New(t)
	k := newKeeper(server("s0", "north", 1))
	fill(is, k, "s0")
	is.Equal(k.Decide(start, patient(2, start)), permit.Queued{ID: ask(2, start).ID})
	is.Equal(k.SetServers(start, nil), []permit.Decision{permit.Rejected{ID: ask(2, start).ID, Reason: permit.OwnerGone}})
}

// A failure domain is taken back under twice the usual load: 12 of its servers are cold at the same moment, and 12 others
// are warm. The cold ones stay within what they bear, and callers are served as the rest can.
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
	p := newPlayer(4, work, 2)
	p.keeper = permit.New(rand.New(rand.NewPCG(4, 3)))
	p.keeper.SetServers(start, servers)
	p.sent = map[string][]time.Time{}
	p.arrive(kind{"read", 700, 1, 500 * time.Millisecond, 2 * time.Second}, 0, coldTime)
	p.play(coldTime + time.Second)
	got := p.tallies["read"]
	t.Logf("%+v", *got)
	for id, times := range p.sent {
		if id[0] == 'c' {
			during := times
			for len(during) > 0 && during[len(during)-1].Sub(start) >= coldTime {
				during = during[:len(during)-1]
			}
			is.True(float64(mostInASecond(during)) <= math.Ceil(coldRate))
		}
	}
	// Twelve warm servers run 600 a second, the cold ones 89.
	is.True(float64(got.inTarget) >= 0.9*600*coldTime.Seconds())
}
