package lease

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/shard"
)

// probe reports whether an instance reaches a server itself or by way of another instance.
func (tc *testCluster) probe(ctx context.Context, name string, server shard.Owner) error {
	link := name + " probe " + server.Address
	tc.delay(link)
	tc.mu.Lock()
	up := tc.serverAt(server.Address) != nil
	tc.mu.Unlock()
	if up && !tc.isCut(name, server.Address) {
		return nil
	}
	for _, o := range tc.others(name) {
		if up && !tc.isCut(name, o.name) && !tc.isCut(o.name, server.Address) {
			return nil
		}
	}
	tc.awaitTimeout(ctx, link)
	return errCut
}

// leader returns the name of the instance that leads.
func (tc *testCluster) leader() string {
	for _, o := range tc.others("") {
		if o.manager.Leads() {
			return o.name
		}
	}
	return ""
}

// moveLoad makes the keys with much load change each period, so that plans move keys all the time.
func (tc *testCluster) moveLoad(period time.Duration) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.load = func(string) []float64 {
		load := make([]float64, shard.NumKeys)
		first := int(time.Since(tc.start)/period) * 9973
		for key := range load {
			load[key] = 1.0 / shard.NumKeys
		}
		for i := range 8000 {
			load[(first+i)%shard.NumKeys] = 6.0 / 8000
		}
		return load
	}
}

// longestUnserved returns the longest time without an owner of some key, within a time from now on.
func (tc *testCluster) longestUnserved(within time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	longest, since := time.Duration(0), make(map[int]time.Time)
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(step) {
		tc.mu.Lock()
		for i := range shard.NumKeys / keySpacing {
			if tc.isServed(i) {
				delete(since, i)
				continue
			}
			if _, known := since[i]; !known {
				since[i] = time.Now()
			}
			longest = max(longest, time.Since(since[i]))
		}
		tc.mu.Unlock()
	}
	return longest
}

// Guards against keys without an owner while the leader has lost its paths to some servers that others reach: it gave them
// keys, and went on trying to grant them until its paths were back.
func TestLeaderWithoutPathsToSomeServers(t *testing.T) {
	for name, servers := range map[string][]int{"one server": {1}, "half of the servers": {1, 2, 4}} {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, func(is *is.I, tc *testCluster) {
				time.Sleep(5 * time.Second)
				tc.moveLoad(1500 * time.Millisecond)
				time.Sleep(2 * time.Second)
				leader := tc.leader()
				is.True(leader != "")
				for _, i := range servers {
					tc.cut(leader, fmt.Sprintf("server-%d", i), 20*time.Second)
				}
				longest := tc.longestUnserved(18 * time.Second)
				t.Log("longest time without an owner:", longest)
				is.True(longest <= 4*time.Second) // a move that has begun may end by the expiry of a lease
				time.Sleep(8 * time.Second)
				is.Equal(tc.servedKeys(), shard.NumKeys/keySpacing)
			})
		})
	}
}

// Guards against keys that are taken from a server because the first instances in charge have lost their paths to it, while
// others reach it.
func TestServerThatOthersReachKeepsItsKeys(t *testing.T) {
	for name, cut := range map[string]int{"the first two in charge": 2, "the first three in charge": 3} {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, func(is *is.I, tc *testCluster) {
				time.Sleep(5 * time.Second)
				tc.mu.Lock()
				server := tc.servers["s0"]
				ranked := tc.instances["i0"].roster.Rank(server.ID, server.Domain, time.Now())
				tc.mu.Unlock()
				before := tc.rangesOf("i0", "s0")
				is.True(len(before) > 0)
				for _, p := range ranked[:cut] {
					tc.cut(p.Name, server.Address, 12*time.Second)
				}
				longest := tc.longestUnserved(10 * time.Second)
				t.Log("longest time without an owner:", longest, "ranges", before, tc.rangesOf("i0", "s0"))
				is.True(longest <= time.Second)
				is.Equal(tc.rangesOf("i0", "s0"), before)
			})
		})
	}
}

// rangesOf returns the first keys of the ranges of a server, as an instance knows them.
func (tc *testCluster) rangesOf(instance, server string) []uint16 {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	var out []uint16
	for _, r := range tc.instances[instance].manager.View().Maps[service].RangesOf(server) {
		out = append(out, r.From)
	}
	slices.Sort(out)
	return out
}
