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

var start = time.Unix(1000, 0)

func register(r *Roster, i int, now time.Time) {
	r.Put(fmt.Sprintf("i%d", i), Entry{Incarnation: 1, Share: 0.2 + float64(i%5)/10, Domain: fmt.Sprintf("d%d", i%6)}, now)
}

func sendHeartbeat(r *Roster, i int, now time.Time) {
	r.RecordHeartbeat(Heartbeat{Name: fmt.Sprintf("i%d", i), Incarnation: 1, StoreOK: true}, now)
}

// rankByScan returns the result of Rank, computed from all instances without the cache.
func rankByScan(r *Roster, name, domain string, now time.Time) []string {
	hash := xxhash.Sum64String(name)
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
		return cmp.Compare(a.score(hash), b.score(hash))
	})
	var out []string
	for _, p := range able[:min(MaxRanked, len(able))] {
		out = append(out, p.Name)
	}
	return out
}

// Guards against ranking all instances for all servers on each lookup: with 295 instances and 604 servers,
// five times a second, that takes more time than all other work of an instance. Lookups must not compute
// scores while no instance joins or leaves, and the cost of a loss must not grow with the number of servers
// or instances.
func TestRankingIsIncremental(t *testing.T) {
	const subjects = 600
	for name, instances := range map[string]int{"10": 10, "100": 100, "1000": 1000} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := New("i0", "d0")
			for i := range instances {
				register(r, i, start)
				sendHeartbeat(r, i, start)
			}
			ask := func(now time.Time) {
				for i := range subjects {
					r.Responsible(fmt.Sprintf("s%d", i), fmt.Sprintf("d%d", i%6), now)
				}
			}
			ask(start)
			r.ranking.scoreCount = 0
			now := start
			for range 10 {
				now = now.Add(200 * time.Millisecond)
				for i := range instances {
					sendHeartbeat(r, i, now)
				}
				ask(now)
			}
			is.Equal(r.ranking.scoreCount, 0)
			r.Put("i7", Entry{Ended: true}, now)
			ask(now)
			// The instance was ranked for some 3 x subjects / instances. Each is rebuilt from its domain, a
			// sixth of all instances.
			t.Logf("%d scores computed after a loss", r.ranking.scoreCount)
			is.True(r.ranking.scoreCount <= 3*subjects)
			r.ranking.scoreCount = 0
			register(r, 7, now)
			sendHeartbeat(r, 7, now)
			ask(now)
			is.True(r.ranking.scoreCount <= subjects)
		})
	}
}

// The cached ranking must match one computed from all instances, whichever instances join, leave, stop, time
// out or send heartbeats again.
func TestRankingMatchesScan(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	r := New("i0", "d0")
	now := start
	for range 4000 {
		now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
		i := random.IntN(24)
		switch random.IntN(8) {
		case 0:
			register(r, i, now)
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
			sendHeartbeat(r, i, now)
		}
		name, domain := fmt.Sprintf("s%d", random.IntN(40)), fmt.Sprintf("d%d", random.IntN(7))
		var got []string
		for _, p := range r.Rank(name, domain, now) {
			got = append(got, p.Name)
		}
		is.Equal(got, rankByScan(r, name, domain, now))
		checkIndexes(is, r)
	}
}

// checkIndexes compares the fields of the roster that are derived from its peers with the peers.
func checkIndexes(is *is.I, r *Roster) {
	is.Helper()
	sizes, last := map[string]int{}, map[string]*Peer{}
	is.Equal(len(r.sorted), len(r.peers))
	for i, p := range r.sorted {
		is.True(r.peers[p.Name] == p)
		is.True(i == 0 || r.sorted[i-1].Name < p.Name)
		sizes[p.Domain]++
		last[p.Address] = p
	}
	for domain, n := range r.domainSizes {
		is.Equal(n, sizes[domain])
	}
	is.Equal(len(r.byAddress), len(last))
	for address, p := range last {
		is.True(r.byAddress[address] == p) // of several with the same address, the last by name
	}
}

// The first instance in rank of a server cannot reach it. Until it reports so, no other may renew the leases of
// the server; from then on the second one does, without a change of the registrations.
func TestResponsibilityPassesOn(t *testing.T) {
	is := is.New(t)
	r := New("i0", "d0")
	for i := range 3 {
		r.Put(fmt.Sprintf("i%d", i), Entry{Incarnation: 1, Share: 1, Domain: "d0"}, start)
		sendHeartbeat(r, i, start)
	}
	name := ""
	for i := 0; name == ""; i++ {
		if s := fmt.Sprint(i); r.Rank(s, "d0", start)[1].Name == "i0" {
			name = s
		}
	}
	is.True(!r.Responsible(name, "d0", start))
	version := r.RankVersion(start)
	is.Equal(r.RankVersion(start), version)
	first := r.Rank(name, "d0", start)[0].Name
	r.RecordHeartbeat(Heartbeat{Name: first, Incarnation: 1, Failing: []string{name}}, start)
	is.True(r.RankVersion(start) != version)
	is.True(r.Responsible(name, "d0", start))
}
