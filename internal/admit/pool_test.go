package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/rules"
)

// serversInDomains returns the servers of a service, spread evenly over domains.
func serversInDomains(servers, domains, slots int) []rules.Server {
	var out []rules.Server
	for i := range servers {
		out = append(out, server(fmt.Sprintf("s%d", i), fmt.Sprintf("d%d", i%domains), slots))
	}
	return out
}

func TestSplitIntoPools(t *testing.T) {
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
			all := serversInDomains(test.servers, test.domains, test.slots)
			pools := admit.SplitIntoPools("books", all)
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
			again := admit.SplitIntoPools("books", all)
			for i, p := range pools {
				is.Equal(again[i].Name, p.Name) // the order of the servers does not matter
				is.Equal(len(again[i].Servers), len(p.Servers))
			}
		})
	}
}

// Two domains are too small for pools of their own. Their servers share one pool, which instances
// of any domain may ask.
func TestSmallDomainsShareAPool(t *testing.T) {
	is := is.New(t)
	all := append(serversInDomains(40, 1, 2), server("a", "small", 2), server("b", "tiny", 2))
	pools := admit.SplitIntoPools("books", all)
	is.Equal(len(pools), 2)
	is.Equal(pools[0].Domain, "")
	is.Equal(len(pools[0].Servers), 2)
	picker := admit.NewPicker("i", "small", pools, rand.New(rand.NewPCG(1, 2)))
	candidates := picker.Candidates(start)
	is.True(len(candidates) >= 2)
}

// newPooledSimulator returns a simulator whose servers are split into pools.
func newPooledSimulator(seed uint64, servers []rules.Server, work time.Duration, domains int) *simulator {
	times := map[string]time.Duration{}
	for _, sv := range servers {
		times[sv.ID] = work
	}
	s := newSimulator(seed, times, 2)
	s.pools, s.pickers = map[string]*admit.Controller{}, map[string]*admit.Picker{}
	pools := admit.SplitIntoPools("books", servers)
	for i, pool := range pools {
		c := admit.New(rand.New(rand.NewPCG(seed, uint64(10+i))), admit.Options{})
		c.SetServers(start, pool.Servers)
		s.pools[pool.Name] = c
	}
	for i := range domains {
		domain := fmt.Sprintf("d%d", i)
		s.pickers[domain] = admit.NewPicker("i"+domain, domain, pools, rand.New(rand.NewPCG(seed, uint64(100+i))))
	}
	return s
}

// There are 276 servers in six domains, and some domains have twice as many callers as others.
// Split into pools, the service must serve as many requests as with one queue for all.
func TestPoolsServeAsMuchAsOneQueue(t *testing.T) {
	const domains = 6
	shares := []int{0, 0, 1, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5}
	for name, load := range map[string]float64{"at two thirds": 0.66, "at nine tenths": 0.9, "at one and a third": 1.33} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := serversInDomains(276, domains, 2)
			w := workload{name: "read", rate: load * 276 * 2 / 0.2, priority: 1, target: 800 * time.Millisecond, limit: 3 * time.Second}
			run := func(s *simulator) *tally {
				random := rand.New(rand.NewPCG(5, 6))
				s.domain = func() string { return fmt.Sprintf("d%d", shares[random.IntN(len(shares))]) }
				s.addArrivals(w, 0, 5*time.Second)
				s.runFor(9 * time.Second)
				return s.tallies["read"]
			}
			divided := run(newPooledSimulator(1, all, 200*time.Millisecond, domains))
			one := newPooledSimulator(1, all, 200*time.Millisecond, domains)
			one.pools = nil
			central := run(one)
			t.Logf("pools %+v, one queue %+v", *divided, *central)
			is.True(float64(divided.inTarget) >= float64(central.inTarget)-0.02*float64(central.requested))
		})
	}
}
