package permit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/permit"
	"example.org/mustardring/internal/rules"
)

// fleet returns servers of a service, spread evenly over domains.
func fleet(servers, domains, slots int) []rules.Server {
	var out []rules.Server
	for i := range servers {
		out = append(out, server(fmt.Sprintf("s%d", i), fmt.Sprintf("d%d", i%domains), slots))
	}
	return out
}

func TestDivide(t *testing.T) {
	tests := map[string]struct {
		servers, domains, slots int
		pools                   int
	}{
		"few servers are one pool":              {8, 4, 2, 1},
		"a pool a domain":                       {106, 6, 2, 6},
		"several a domain where there are many": {600, 6, 2, 24},
		"none":                                  {0, 1, 2, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := fleet(test.servers, test.domains, test.slots)
			pools := permit.SplitIntoPools("books", all)
			is.Equal(len(pools), test.pools)
			members := 0
			for _, p := range pools {
				members += len(p.Servers)
				for _, s := range p.Servers {
					is.True(p.Domain == "" || s.Domain == p.Domain)
				}
			}
			is.Equal(members, test.servers) // each server is in one pool
			slices.Reverse(all)
			again := permit.SplitIntoPools("books", all)
			for i, p := range pools {
				is.Equal(again[i].Name, p.Name) // in whatever order the servers are known
				is.Equal(len(again[i].Servers), len(p.Servers))
			}
		})
	}
}

// Two small domains have no pool of their own. Their servers are in one, which instances of any domain may
// ask.
func TestServersWithoutPoolOfTheirOwn(t *testing.T) {
	is := is.New(t)
	all := append(fleet(40, 1, 2), server("a", "small", 2), server("b", "tiny", 2))
	pools := permit.SplitIntoPools("books", all)
	is.Equal(len(pools), 2)
	is.Equal(pools[0].Domain, "")
	is.Equal(len(pools[0].Servers), 2)
	picker := permit.NewPicker("i", "small", pools, rand.New(rand.NewPCG(1, 2)))
	tries := picker.Candidates(start)
	is.True(len(tries) >= 2)
}

// pooled returns a player whose servers are divided into pools.
func pooled(seed uint64, servers []rules.Server, work time.Duration, domains int) *player {
	times := map[string]time.Duration{}
	for _, s := range servers {
		times[s.ID] = work
	}
	p := newPlayer(seed, times, 2)
	p.pools, p.pickers = map[string]*permit.Controller{}, map[string]*permit.Picker{}
	pools := permit.SplitIntoPools("books", servers)
	for i, pool := range pools {
		k := permit.New(rand.New(rand.NewPCG(seed, uint64(10+i))))
		k.SetServers(start, pool.Servers)
		p.pools[pool.Name] = k
	}
	for i := range domains {
		domain := fmt.Sprintf("d%d", i)
		p.pickers[domain] = permit.NewPicker("i"+domain, domain, pools, rand.New(rand.NewPCG(seed, uint64(100+i))))
	}
	return p
}

// 276 servers of six domains, and callers of whom a domain has up to twice as many as another. Divided into
// pools the service must serve what it serves with one queue for all.
func TestPoolsServeWhatOneQueueServes(t *testing.T) {
	const domains = 6
	shares := []int{0, 0, 1, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5}
	for name, load := range map[string]float64{"at two thirds": 0.66, "at nine tenths": 0.9, "at one and a third": 1.33} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := fleet(276, domains, 2)
			k := kind{"read", load * 276 * 2 / 0.2, 1, 800 * time.Millisecond, 3 * time.Second}
			play := func(p *player) *tally {
				random := rand.New(rand.NewPCG(5, 6))
				p.domain = func() string { return fmt.Sprintf("d%d", shares[random.IntN(len(shares))]) }
				p.arrive(k, 0, 5*time.Second)
				p.play(9 * time.Second)
				return p.tallies["read"]
			}
			divided := play(pooled(1, all, 200*time.Millisecond, domains))
			one := pooled(1, all, 200*time.Millisecond, domains)
			one.pools = nil
			central := play(one)
			t.Logf("pools %+v, one queue %+v", *divided, *central)
			is.True(float64(divided.inTarget) >= float64(central.inTarget)-0.02*float64(central.asked))
		})
	}
}
