package shard_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/shard"
)

// misjudged returns the state of an overloaded service in which all servers have been taken for equally fast.
func misjudged(servers int, multiple float64) shard.Input {
	in := overloaded(servers, multiple)
	equal := in
	equal.Map, equal.Servers = &shard.Map{}, testServers(make([]float64, servers)...)
	in.Map, in.SpeedRanges = shard.Plan(equal), true
	return in
}

// Guards against servers that keep several times the relative load of others because the whole service is overloaded, and
// against moves that go on once the load is even.
func TestOverloadIsEven(t *testing.T) {
	for _, servers := range []int{30, 300} {
		for _, multiple := range []float64{1.05, 1.3} {
			t.Run(fmt.Sprintf("%d servers at %.2f", servers, multiple), func(t *testing.T) {
				is := is.New(t)
				in := misjudged(servers, multiple)
				before := unevenness(in)
				is.True(before > 1.9)
				for range 3 { // a second
					if next := shard.Plan(in); next != nil {
						in.Map = completeMoves(next)
					}
				}
				t.Logf("unevenness %.2f, then %.2f", before, unevenness(in))
				is.True(unevenness(in) <= 1.25)
				_, plans := planUntilStable(in)
				is.True(plans <= 2)
			})
		}
	}
}

// Guards against keys that stay with a server which has stated that it takes few requests, because all others are overloaded.
func TestCappedServerIsRelieved(t *testing.T) {
	is := is.New(t)
	in := overloaded(30, 1.3)
	in.SpeedRanges = true
	in.Servers[3].Capacity, in.Servers[3].Capped = 2, true
	in.Map, _ = planUntilStable(in)
	is.True(utilization(in)["s03"] <= 1.1)
}
