package roster

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

var begin = time.Unix(1000, 0)

func enter(r *Roster, i int, now time.Time) {
	r.Put(fmt.Sprintf("i%d", i), Entry{Incarnation: 1, Share: 0.2 + float64(i%5)/10, Domain: fmt.Sprintf("d%d", i%6)}, now)
}

func hearAgain(r *Roster, i int, now time.Time) {
	r.RecordHeartbeat(Heartbeat{Name: fmt.Sprintf("i%d", i), Incarnation: 1, StoreOK: true}, now)
}

// rankAnew returns who is in charge of a thing, by looking at every instance.
func rankAnew(r *Roster, thing, domain string, now time.Time) []string {
	hash := xxhash.Sum64String(thing)
	var able []*Peer
	for _, p := range r.peers {
		if r.alive(p, now) && !p.Heartbeat.Stopping {
			able = append(able, p)
		}
	}
	slices.SortFunc(able, func(a, b *Peer) int {
		if near := a.Domain == domain; near != (b.Domain == domain) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.weigh(hash), b.weigh(hash))
	})
	var out []string
	for _, p := range able[:min(Ranks, len(able))] {
		out = append(out, p.Name)
	}
	return out
}

// A day of 295 instances and 604 servers was given up: each instance ranked all instances for all servers
// five times a second, which took more than the rest of its work. What a calm roster is asked must weigh
// nobody, and what one loss costs must not grow with the number of servers or of instances.
func TestRanksAreKept(t *testing.T) {
	const things = 600
	for name, instances := range map[string]int{"10": 10, "100": 100, "1000": 1000} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := New("i0", "d0")
			for i := range instances {
				enter(r, i, begin)
				hearAgain(r, i, begin)
			}
			ask := func(now time.Time) {
				for i := range things {
					r.Responsible(fmt.Sprintf("s%d", i), fmt.Sprintf("d%d", i%6), now)
				}
			}
			ask(begin)
			r.ranking.weighed = 0
			now := begin
			for range 10 {
				now = now.Add(200 * time.Millisecond)
				for i := range instances {
					hearAgain(r, i, now)
				}
				ask(now)
			}
			is.Equal(r.ranking.weighed, 0)
			r.Put("i7", Entry{Ended: true}, now)
			ask(now)
			// It was ranked for some 3 x things / instances, and each is filled from its domain, a sixth of all.
			t.Logf("%d weighed after a loss", r.ranking.weighed)
			is.True(r.ranking.weighed <= 3*things)
			r.ranking.weighed = 0
			enter(r, 7, now)
			hearAgain(r, 7, now)
			ask(now)
			is.True(r.ranking.weighed <= things)
		})
	}
}

// Whatever comes, goes, stops, falls silent and is heard again: the ranks that are kept say what a look
// at every instance says.
func TestKeptRanksAreTrue(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	r := New("i0", "d0")
	now := begin
	for range 4000 {
		now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
		i := random.IntN(24)
		switch random.IntN(8) {
		case 0:
			enter(r, i, now)
		case 1:
			r.Put(fmt.Sprintf("i%d", i), Entry{Incarnation: uint64(1 + random.IntN(2)), Share: random.Float64(), Domain: "d1", Address: fmt.Sprint(i % 5)}, now)
		case 2:
			r.Put(fmt.Sprintf("i%d", i), Entry{Ended: true}, now)
		case 3:
			r.Remove(fmt.Sprintf("i%d", i), now)
		case 4:
			r.RecordHeartbeat(Heartbeat{Name: fmt.Sprintf("i%d", i), Incarnation: 1, Stopping: true}, now)
		case 5:
			r.Suspect(fmt.Sprintf("i%d", i), now)
		default:
			hearAgain(r, i, now)
		}
		thing, domain := fmt.Sprintf("s%d", random.IntN(40)), fmt.Sprintf("d%d", random.IntN(7))
		var got []string
		for _, p := range r.Rank(thing, domain, now) {
			got = append(got, p.Name)
		}
		is.Equal(got, rankAnew(r, thing, domain, now))
		checkTables(is, r)
	}
}

// checkTables compares what is kept beside the peers with what they say.
func checkTables(is *is.I, r *Roster) {
	is.Helper()
	sizes, last := map[string]int{}, map[string]*Peer{}
	is.Equal(len(r.sorted), len(r.peers))
	for i, p := range r.sorted {
		is.True(r.peers[p.Name] == p)
		is.True(i == 0 || r.sorted[i-1].Name < p.Name)
		sizes[p.Domain]++
		last[p.Address] = p
	}
	for domain, n := range r.sizes {
		is.Equal(n, sizes[domain])
	}
	is.Equal(len(r.addresses), len(last))
	for address, p := range last {
		is.True(r.addresses[address] == p) // of several at one address, the last by name
	}
}

// The first in rank of a server has lost its way to it. Until it says so, nobody else may renew; from then
// on the second does, without another look at the register.
func TestChargePassesOn(t *testing.T) {
	is := is.New(t)
	r := New("i0", "d0")
	for i := range 3 {
		r.Put(fmt.Sprintf("i%d", i), Entry{Incarnation: 1, Share: 1, Domain: "d0"}, begin)
		hearAgain(r, i, begin)
	}
	thing := ""
	for i := 0; thing == ""; i++ {
		if s := fmt.Sprint(i); r.Rank(s, "d0", begin)[1].Name == "i0" {
			thing = s
		}
	}
	is.True(!r.Responsible(thing, "d0", begin))
	version := r.RankVersion(begin)
	is.Equal(r.RankVersion(begin), version)
	first := r.Rank(thing, "d0", begin)[0].Name
	r.RecordHeartbeat(Heartbeat{Name: first, Incarnation: 1, Failing: []string{thing}}, begin)
	is.True(r.RankVersion(begin) != version)
	is.True(r.Responsible(thing, "d0", begin))
}
