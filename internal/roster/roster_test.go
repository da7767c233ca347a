package roster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/roster"
)

var start = time.Unix(1000, 0)

func registerAll(r *roster.Roster, n int) {
	for i := range n {
		name := fmt.Sprintf("i%d", i)
		r.Put(name, roster.Entry{Incarnation: 1, Share: 1, Domain: fmt.Sprintf("d%d", i%2)}, start)
		r.RecordHeartbeat(roster.Heartbeat{Name: name, Incarnation: 1, StoreOK: true}, start)
	}
}

func TestRank(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	registerAll(r, 8)
	first := r.Rank("server", "d1", start)
	is.Equal(len(first), roster.MaxRanked)
	for _, p := range first {
		is.Equal(p.Domain, "d1") // instances of the preferred domain come first
	}
	later := start.Add(10 * time.Second)
	for i := range 8 {
		if name := fmt.Sprintf("i%d", i); name != first[0].Name {
			r.RecordHeartbeat(roster.Heartbeat{Name: name, Incarnation: 1}, later)
		}
	}
	next := r.Rank("server", "d1", later)
	is.Equal(next[0].Name, first[1].Name) // the second one is responsible now
	is.Equal(next[1].Name, first[2].Name)
}

func TestRankFollowsShare(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	registerAll(r, 4)
	r.Put("strong", roster.Entry{Incarnation: 1, Share: 4, Domain: "d0"}, start)
	r.RecordHeartbeat(roster.Heartbeat{Name: "strong", Incarnation: 1}, start)
	counts := map[string]int{}
	for i := range 2000 {
		counts[r.Rank(fmt.Sprint(i), "", start)[0].Name]++
	}
	is.True(counts["strong"] > 850 && counts["strong"] < 1150) // 4 of 8 shares
	is.True(counts["i1"] > 180 && counts["i1"] < 320)
}

// Guards against a second owner of a key: an instance that is cut off from all others and was removed from the
// registrations goes on renewing the lease of a server that does not answer the others, and a leader that
// started after the removal moves the key without waiting for that instance.
func TestUnconfirmed(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	registerAll(r, 2)
	is.Equal(len(r.Unconfirmed(5, start)), 2)
	r.RecordHeartbeat(roster.Heartbeat{Name: "i0", Incarnation: 1, Confirmed: 6}, start)
	r.RecordHeartbeat(roster.Heartbeat{Name: "i1", Incarnation: 1, Confirmed: 5}, start)
	is.Equal(r.Unconfirmed(5, start), []string{"i1"})
	r.Put("i1", roster.Entry{Incarnation: 1, Removed: true}, start)
	is.Equal(r.Unconfirmed(5, start.Add(-15*time.Second)), []string{"i1"}) // it may still act
	is.Equal(len(r.Unconfirmed(5, start.Add(time.Second))), 0)             // its view is too old
	r.Put("i2", roster.Entry{Incarnation: 1, Removed: true}, start)        // known only as removed
	is.Equal(r.Unconfirmed(5, start.Add(-time.Second)), []string{"i1", "i2"})
	r.Remove("i1", start)
	r.Remove("i2", start)
	is.Equal(len(r.Unconfirmed(5, start.Add(-time.Second))), 0)
}

func TestHeartbeatOfEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	registerAll(r, 2)
	r.Put("i1", roster.Entry{Incarnation: 2}, start)
	r.RecordHeartbeat(roster.Heartbeat{Name: "i1", Incarnation: 1, Confirmed: 9}, start)
	is.Equal(r.Unconfirmed(5, start), []string{"i0", "i1"}) // a late message of an earlier incarnation does not count
}

func TestLeader(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	_, found := r.Leader(start)
	is.True(!found)
	registerAll(r, 3)
	p, _ := r.Leader(start)
	is.Equal(p.Name, "i0")
	r.RecordHeartbeat(roster.Heartbeat{Name: "i0", Incarnation: 1}, start) // cannot reach the store
	p, _ = r.Leader(start)
	is.Equal(p.Name, "i1")
}

// Guards against new leaders that are cut off from the store together with the previous one without having
// noticed, because they had no reason to call it: each would lead for 0.8 seconds without effect while keys of
// leaving servers wait. Instances that recently had an answer from the store come first.
func TestLeaderPrefersRecentStoreAnswer(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	registerAll(r, 5)
	r.RecordHeartbeat(roster.Heartbeat{Name: "i0", Incarnation: 1}, start)
	r.RecordHeartbeat(roster.Heartbeat{Name: "i4", Incarnation: 1, StoreOK: true, StoreAnswered: true}, start)
	p, _ := r.Leader(start)
	is.Equal(p.Name, "i4")
	r.RecordHeartbeat(roster.Heartbeat{Name: "i4", Incarnation: 1, StoreAnswered: true}, start) // its last call failed
	p, _ = r.Leader(start)
	is.Equal(p.Name, "i1")
}

// Guards against a constant heartbeat interval: with 72 instances, four heartbeats per second to each of them
// take a tenth of the processor time of a small instance.
func TestHeartbeatIntervalGrowsWithInstances(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	registerAll(r, 8)
	is.Equal(r.HeartbeatInterval(), 250*time.Millisecond)
	registerAll(r, 80)
	is.True(80/r.HeartbeatInterval().Seconds() < 100) // messages per second
}

// Guards against detecting failures later than leases expire. If 50 of 295 instances fail and each instance
// sends a heartbeat to each other one only every 3.5 seconds, the others consider them alive for 11 seconds, and
// the keys whose leases they renewed have no owner from the third second on. The instances of a failure domain,
// which take over from one another, must detect the failure within a lease.
func TestDomainDetectsFailureWithinLease(t *testing.T) {
	is := is.New(t)
	const lease = 2200 * time.Millisecond
	r := roster.New("i0", "d0")
	for i := range 295 {
		name := fmt.Sprintf("i%d", i)
		r.Put(name, roster.Entry{Incarnation: 1, Share: 1, Domain: fmt.Sprintf("d%d", i%6)}, start)
		r.RecordHeartbeat(roster.Heartbeat{Name: name, Incarnation: 1, StoreOK: true, Leads: i == 7}, start)
	}
	is.True(295/6/r.DomainHeartbeatInterval().Seconds()+295/r.HeartbeatInterval().Seconds() < 180) // messages per second
	alive := func(at time.Time) map[string]int {
		out := map[string]int{}
		for _, p := range r.Alive(at) {
			out[p.Domain]++
		}
		return out
	}
	later := start.Add(lease)
	is.Equal(alive(later)["d0"], 1) // itself
	is.Equal(alive(later)["d2"], 49)
	is.Equal(alive(later)["d1"], 48) // of 49: the leader sends heartbeats twice a second
	r.SetLeading(true, later)        // from now on all others send heartbeats to it more often
	is.Equal(alive(later.Add(time.Second))["d2"], 49)
	is.Equal(alive(later.Add(lease))["d2"], 0)
}

// Guards against a suspicion that erases the time of the last heartbeat. An instance that does not answer one
// request in time would then be considered failed since its start and be removed, and a takeover would wait for
// it as for one that may still act: the keys of a crashed server would have no owner for 15 seconds.
func TestSuspectKeepsHeartbeatTime(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	registerAll(r, 2)
	later := start.Add(20 * time.Second)
	r.RecordHeartbeat(roster.Heartbeat{Name: "i1", Incarnation: 1}, later)
	r.Suspect("i1", later.Add(time.Second/2))
	is.Equal(len(r.Alive(later.Add(time.Second/2))), 1) // others take over its work
	p := r.Others()[0]
	is.Equal(p.SinceHeartbeat(later.Add(time.Second)), time.Second) // but its heartbeat is a second old
	r.RecordHeartbeat(roster.Heartbeat{Name: "i1", Incarnation: 1}, later.Add(time.Second))
	is.Equal(len(r.Alive(later.Add(time.Second))), 2)
}

// Guards against a leader on a slow link. The leader reads the store for all others: sending each configuration
// to 80 instances would fill its link for seconds, and it would have the oldest configuration of all.
func TestLeaderHasLargestShare(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	registerAll(r, 4)
	r.Put("strong", roster.Entry{Incarnation: 1, Share: 5, Domain: "d0"}, start)
	r.RecordHeartbeat(roster.Heartbeat{Name: "strong", Incarnation: 1, StoreOK: true}, start)
	r.Put("a-weak", roster.Entry{Incarnation: 1, Share: 0.1, Domain: "d0"}, start)
	r.RecordHeartbeat(roster.Heartbeat{Name: "a-weak", Incarnation: 1, StoreOK: true}, start)
	p, _ := r.Leader(start)
	is.Equal(p.Name, "strong")
}

func TestCutOff(t *testing.T) {
	const long = time.Minute
	tests := map[string]struct {
		// one and three are the times since the last heartbeats of i1 and i3, the instances of d1. If
		// negative, they are the times since heartbeats have resumed, with the sign reversed.
		one, three time.Duration
		want       bool
	}{
		"all alive":                 {-long, -long, false},
		"one is not alive":          {5 * time.Second, -long, false},
		"both are not alive":        {5 * time.Second, 6 * time.Second, true},
		"both for too long":         {9 * time.Second, 10 * time.Second, false},
		"one of them for long":      {5 * time.Second, long, true},
		"both have just resumed":    {-time.Second, -time.Second, true},
		"one has just resumed":      {-time.Second, 6 * time.Second, true},
		"one resumed some time ago": {-3 * time.Second, -time.Second, false},
		"one was always alive":      {-long, -time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New("i0", "d0")
			registerAll(r, 4)
			now := start.Add(time.Hour)
			for name, silence := range map[string]time.Duration{"i0": -long, "i2": -long, "i1": test.one, "i3": test.three} {
				from, to := now.Add(-silence-10*time.Second), now.Add(-silence)
				if silence < 0 {
					from, to = now.Add(silence), now
				}
				for at := from; !at.After(to); at = at.Add(200 * time.Millisecond) {
					r.RecordHeartbeat(roster.Heartbeat{Name: name, Incarnation: 1}, at)
				}
			}
			is.Equal(r.CutOff("d1", 8*time.Second, now), test.want)
			is.True(!r.CutOff("elsewhere", 8*time.Second, now))
		})
	}
}

// Guards against instances that each consider themselves the only one when all start at the same time, as after
// a power failure, with the earlier registrations in the store: each would renew the leases and control the
// admissions of all servers, and the service would recover only after five seconds.
func TestSimultaneousStart(t *testing.T) {
	is := is.New(t)
	responsible := map[string]int{}
	for i := range 20 {
		self := fmt.Sprintf("i%d", i)
		r := roster.New(self, "d0")
		for j := range 20 {
			r.Put(fmt.Sprintf("i%d", j), roster.Entry{Incarnation: 1, Share: 1, Domain: "d0"}, start)
		}
		for j := range 100 {
			if name := fmt.Sprintf("server-%d", j); r.Rank(name, "d0", start.Add(100*time.Millisecond))[0].Name == self {
				responsible[name]++
			}
		}
		is.Equal(len(r.Alive(start.Add(2*time.Second))), 1) // instances without a heartbeat are not alive
		_, found := r.Leader(start)
		is.True(!found) // an instance without a heartbeat cannot lead
	}
	is.Equal(len(responsible), 100)
	for _, n := range responsible {
		is.Equal(n, 1)
	}
}

// Instances that are cut off keep admissions that they cannot complete. The controller must detect that they are
// not reachable, and must not take an instance that has just started for unreachable.
func TestReachable(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	now := start
	r.Put("i0", roster.Entry{Address: "a0", Domain: "d0", Incarnation: 1}, now)
	r.Put("i1", roster.Entry{Address: "a1", Domain: "d1", Incarnation: 1}, now)
	r.RecordHeartbeat(roster.Heartbeat{Name: "i1", Incarnation: 1, Stopping: true}, now)
	is.True(r.Reachable("a1", now.Add(500*time.Millisecond))) // it is stopping and still has its admissions
	is.True(!r.Reachable("a1", now.Add(2*time.Second)))
	is.True(r.Reachable("a0", now.Add(time.Hour)))
	is.True(r.Reachable("a7", now))
}

// Guards against a leader that sends each record to all others directly: with 295 instances and records of
// 20 KB, that takes a quarter of a second on its link for each plan.
func TestRelays(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	for i := range 60 {
		name := fmt.Sprintf("i%d", i)
		r.Put(name, roster.Entry{Incarnation: 1, Share: 1 + float64(i%7), Domain: fmt.Sprintf("d%d", i%3)}, start)
		r.RecordHeartbeat(roster.Heartbeat{Name: name, Incarnation: 1}, start)
	}
	r.Put("far", roster.Entry{Incarnation: 1, Share: 1, Domain: "small"}, start)
	direct, relays := r.Relays(start)
	is.Equal(len(direct), 20) // 19 of its own domain, and one of a small domain
	is.Equal(len(relays), 2)
	for _, p := range relays {
		is.Equal(p.Share, 7.0)
	}
	later := start.Add(10 * time.Second)
	for i := range 60 {
		if name := fmt.Sprintf("i%d", i); name != relays[0].Name {
			r.RecordHeartbeat(roster.Heartbeat{Name: name, Incarnation: 1}, later)
		}
	}
	_, next := r.Relays(later)
	is.Equal(len(next), 2)
	for _, p := range next {
		is.True(p.Name != relays[0].Name) // an instance that is not alive cannot relay
	}
}

// Guards against work on servers that is left with an instance which reaches none of them, and against a system in which
// nobody does it because all say so.
func TestInstancesWithoutPathsAreNotInCharge(t *testing.T) {
	now := time.Unix(1000, 0)
	names := []string{"i0", "i1", "i2", "i3"}
	cases := map[string]struct {
		without []string
		// inCharge is who may be in charge of servers.
		inCharge []string
	}{
		"none":      {nil, names},
		"one":       {[]string{"i2"}, []string{"i0", "i1", "i3"}},
		"most":      {[]string{"i0", "i1", "i3"}, []string{"i2"}},
		"all":       {names, names},
		"this, too": {[]string{"i0"}, []string{"i1", "i2", "i3"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New("i0", "d0")
			registerAll(r, len(names))
			for _, instance := range names {
				h := roster.Heartbeat{Name: instance, Incarnation: 1, StoreOK: true, StoreAnswered: true}
				if slices.Contains(c.without, instance) {
					h.Failing = []string{roster.AllServers}
				}
				r.RecordHeartbeat(h, now)
			}
			for i := range 40 {
				server := fmt.Sprintf("s%d", i)
				ranked := r.RankConnected(server, "d0", now)
				is.True(len(ranked) > 0)
				for _, p := range ranked {
					is.True(slices.Contains(c.inCharge, p.Name))
				}
				is.Equal(r.Responsible(server, "d0", now), ranked[0].Name == "i0")
			}
			leader, found := r.Leader(now)
			is.True(found && slices.Contains(c.inCharge, leader.Name))
		})
	}
}
