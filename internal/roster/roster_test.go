package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/roster"
)

var start = time.Unix(1000, 0)

func fill(r *roster.Roster, n int) {
	for i := range n {
		name := fmt.Sprintf("i%d", i)
		r.Put(name, roster.Entry{Incarnation: 1, Share: 1, Domain: fmt.Sprintf("d%d", i%2)}, start)
		r.RecordHeartbeat(roster.Heartbeat{Name: name, Incarnation: 1, StoreOK: true}, start)
	}
}

func TestRank(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	fill(r, 8)
	first := r.Rank("server", "d1", start)
	is.Equal(len(first), roster.Ranks)
	for _, p := range first {
		is.Equal(p.Domain, "d1") // the preferred domain goes first
	}
	later := start.Add(10 * time.Second)
	for i := range 8 {
		if name := fmt.Sprintf("i%d", i); name != first[0].Name {
			r.RecordHeartbeat(roster.Heartbeat{Name: name, Incarnation: 1}, later)
		}
	}
	next := r.Rank("server", "d1", later)
	is.Equal(next[0].Name, first[1].Name) // who was second is in charge now
	is.Equal(next[1].Name, first[2].Name)
}

func TestRankSpreads(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	fill(r, 4)
	r.Put("strong", roster.Entry{Incarnation: 1, Share: 4, Domain: "d0"}, start)
	r.RecordHeartbeat(roster.Heartbeat{Name: "strong", Incarnation: 1}, start)
	counts := map[string]int{}
	for i := range 2000 {
		counts[r.Rank(fmt.Sprint(i), "", start)[0].Name]++
	}
	is.True(counts["strong"] > 850 && counts["strong"] < 1150) // 4 of 8 shares
	is.True(counts["i1"] > 180 && counts["i1"] < 320)
}

// A key got a second owner: its server was silent, and an instance that was cut off from all
// others went on renewing it. That instance had been taken out of the register, and the leader
// that moved the key had started later and did not wait for it.
func TestUnconfirmed(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	fill(r, 2)
	is.Equal(len(r.Unconfirmed(5, start)), 2)
	r.RecordHeartbeat(roster.Heartbeat{Name: "i0", Incarnation: 1, Confirmed: 6}, start)
	r.RecordHeartbeat(roster.Heartbeat{Name: "i1", Incarnation: 1, Confirmed: 5}, start)
	is.Equal(r.Unconfirmed(5, start), []string{"i1"})
	r.Put("i1", roster.Entry{Incarnation: 1, Removed: true}, start)
	is.Equal(r.Unconfirmed(5, start.Add(-15*time.Second)), []string{"i1"}) // it may still act
	is.Equal(len(r.Unconfirmed(5, start.Add(time.Second))), 0)             // what it knows is too old
	r.Put("i2", roster.Entry{Incarnation: 1, Removed: true}, start)        // known only as removed
	is.Equal(r.Unconfirmed(5, start.Add(-time.Second)), []string{"i1", "i2"})
	r.Remove("i1", start)
	r.Remove("i2", start)
	is.Equal(len(r.Unconfirmed(5, start.Add(-time.Second))), 0)
}

func TestHeartbeatOfAnotherLife(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	fill(r, 2)
	r.Put("i1", roster.Entry{Incarnation: 2}, start)
	r.RecordHeartbeat(roster.Heartbeat{Name: "i1", Incarnation: 1, Confirmed: 9}, start)
	is.Equal(r.Unconfirmed(5, start), []string{"i0", "i1"}) // a late message of the life before proves nothing
}

func TestLeader(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	_, found := r.Leader(start)
	is.True(!found)
	fill(r, 3)
	p, _ := r.Leader(start)
	is.Equal(p.Name, "i0")
	r.RecordHeartbeat(roster.Heartbeat{Name: "i0", Incarnation: 1}, start) // it has lost the store
	p, _ = r.Leader(start)
	is.Equal(p.Name, "i1")
}

// With the leader three others were cut off from the store, and had not noticed: they had not
// asked it for anything. Each led for 0.8 seconds in vain while keys of leaving servers waited.
// Those that have had an answer lately lead first.
func TestProvenLeadsFirst(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	fill(r, 5)
	r.RecordHeartbeat(roster.Heartbeat{Name: "i0", Incarnation: 1}, start)
	r.RecordHeartbeat(roster.Heartbeat{Name: "i4", Incarnation: 1, StoreOK: true, StoreAnswered: true}, start)
	p, _ := r.Leader(start)
	is.Equal(p.Name, "i4")
	r.RecordHeartbeat(roster.Heartbeat{Name: "i4", Incarnation: 1, StoreAnswered: true}, start) // its last call failed
	p, _ = r.Leader(start)
	is.Equal(p.Name, "i1")
}

// On 72 instances four heartbeats a second to all took a tenth of a small instance's time.
func TestPaceFallsWithNumber(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	fill(r, 8)
	is.Equal(r.HeartbeatInterval(), 250*time.Millisecond)
	fill(r, 80)
	is.True(80/r.HeartbeatInterval().Seconds() < 100) // messages a second
}

// Of 295 instances 50 were killed. The others took them for there for eleven seconds, as each hears each only
// every three and a half, and the keys whose grants they renewed were without an owner from the third second
// on. The instances of a domain, which take over from one another, must know within a lease.
func TestDomainNoticesLossWithinALease(t *testing.T) {
	is := is.New(t)
	const lease = 2200 * time.Millisecond
	r := roster.New("i0", "d0")
	for i := range 295 {
		name := fmt.Sprintf("i%d", i)
		r.Put(name, roster.Entry{Incarnation: 1, Share: 1, Domain: fmt.Sprintf("d%d", i%6)}, start)
		r.RecordHeartbeat(roster.Heartbeat{Name: name, Incarnation: 1, StoreOK: true, Leads: i == 7}, start)
	}
	is.True(295/6/r.DomainHeartbeatInterval().Seconds()+295/r.HeartbeatInterval().Seconds() < 180) // messages a second
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
	is.Equal(alive(later)["d1"], 48) // of 49: the leader is heard twice a second
	r.SetLeading(true, later)        // from now on all others send to it more often
	is.Equal(alive(later.Add(time.Second))["d2"], 49)
	is.Equal(alive(later.Add(lease))["d2"], 0)
}

// Keys of a crashed server were dark for 15 seconds. An instance had not answered one question
// in time; that wiped out when it was last heard, so it was taken for lost since its start and
// removed from the register, and the takeover waited for it as for one that may still act.
func TestDoubtIsNotSilence(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	fill(r, 2)
	later := start.Add(20 * time.Second)
	r.RecordHeartbeat(roster.Heartbeat{Name: "i1", Incarnation: 1}, later)
	r.Suspect("i1", later.Add(time.Second/2))
	is.Equal(len(r.Alive(later.Add(time.Second/2))), 1) // others do its work
	p := r.Others()[0]
	is.Equal(p.SinceHeartbeat(later.Add(time.Second)), time.Second) // but it was heard a second ago
	r.RecordHeartbeat(roster.Heartbeat{Name: "i1", Incarnation: 1}, later.Add(time.Second))
	is.Equal(len(r.Alive(later.Add(time.Second))), 2)
}

// An instance on a thin link read the store for all and told 80 others of each configuration;
// its link was full for seconds, and it kept the oldest configuration of all. The strongest leads,
// and only the leader reads for others.
func TestStrongestLeads(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	fill(r, 4)
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
		// one and three are for how long i1 and i3, the instances of d1, have been silent, or, if
		// negative, there again after a silence.
		one, three time.Duration
		want       bool
	}{
		"all there":              {-long, -long, false},
		"one is silent":          {5 * time.Second, -long, false},
		"both are silent":        {5 * time.Second, 6 * time.Second, true},
		"for too long":           {9 * time.Second, 10 * time.Second, false},
		"the one for long":       {5 * time.Second, long, true},
		"both are just back":     {-time.Second, -time.Second, true},
		"one is back":            {-time.Second, 6 * time.Second, true},
		"back for some time":     {-3 * time.Second, -time.Second, false},
		"one was there all time": {-long, -time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New("i0", "d0")
			fill(r, 4)
			now := start.Add(time.Hour)
			for name, silent := range map[string]time.Duration{"i0": -long, "i2": -long, "i1": test.one, "i3": test.three} {
				from, to := now.Add(-silent-10*time.Second), now.Add(-silent)
				if silent < 0 {
					from, to = now.Add(silent), now
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

// After a loss of power all instances started at the same time, with the register of before in the
// store. None had heard of another yet, so that each renewed all grants and kept the permits of all
// servers by itself. The service was back after five seconds.
func TestInstancesThatStartTogether(t *testing.T) {
	is := is.New(t)
	charges := map[string]int{}
	for i := range 20 {
		self := fmt.Sprintf("i%d", i)
		r := roster.New(self, "d0")
		for j := range 20 {
			r.Put(fmt.Sprintf("i%d", j), roster.Entry{Incarnation: 1, Share: 1, Domain: "d0"}, start)
		}
		for j := range 100 {
			if thing := fmt.Sprintf("server-%d", j); r.Rank(thing, "d0", start.Add(100*time.Millisecond))[0].Name == self {
				charges[thing]++
			}
		}
		is.Equal(len(r.Alive(start.Add(2*time.Second))), 1) // those that stay silent are not there
		_, found := r.Leader(start)
		is.True(!found) // nobody leads whom nobody has heard
	}
	is.Equal(len(charges), 100)
	for _, n := range charges {
		is.Equal(n, 1)
	}
}

// Instances that were cut off kept permits that they could not give back. Whoever gives permits must
// know that they are not heard, and must not take one that has just started for silent.
func TestReached(t *testing.T) {
	is := is.New(t)
	r := roster.New("i0", "d0")
	now := start
	r.Put("i0", roster.Entry{Address: "a0", Domain: "d0", Incarnation: 1}, now)
	r.Put("i1", roster.Entry{Address: "a1", Domain: "d1", Incarnation: 1}, now)
	r.RecordHeartbeat(roster.Heartbeat{Name: "i1", Incarnation: 1, Stopping: true}, now)
	is.True(r.Reachable("a1", now.Add(500*time.Millisecond))) // it stops, and has its permits still
	is.True(!r.Reachable("a1", now.Add(2*time.Second)))
	is.True(r.Reachable("a0", now.Add(time.Hour)))
	is.True(r.Reachable("a7", now))
}

// The leader of 295 instances sent each record of 20 KB to all others by itself: a quarter of a second on its
// link for each plan.
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
	is.Equal(len(direct), 20) // nineteen of the own domain, and one of a small one
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
		is.True(p.Name != relays[0].Name) // one that is silent passes nothing on
	}
}
