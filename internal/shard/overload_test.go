package shard_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/shard"
)

// overloaded returns the state of a service whose load is a multiple of its capacity, with servers of speeds from 0.5 to 1.6.
func overloaded(servers int, multiple float64) shard.Input {
	var capacities []float64
	total := 0.0
	for i := range servers {
		capacities = append(capacities, 15*(0.5+1.1*float64(i*7%servers)/float64(servers-1)))
		total += capacities[i]
	}
	in := input(&shard.Map{}, make([]float64, shard.NumKeys), testServers(capacities...))
	for key := range in.Load {
		in.Load[key] = multiple * total / shard.NumKeys
	}
	in.Map = shard.Plan(in)
	in.Map, _ = planUntilStable(in)
	return in
}

// Guards against keys that go to cold servers beyond their rates because all others are overloaded: to those that have lost
// their keys by a restart, and to those that join.
func TestCappedServersStayWithinCapacity(t *testing.T) {
	tests := map[string]struct {
		restarted, speedRanges bool
		limit                  float64
	}{
		"restarted":                {true, false, 1},
		"joining":                  {false, false, 1},
		"with a margin for errors": {true, true, 0.95},
	}
	for name, test := range tests {
		for _, servers := range []int{30, 300} {
			t.Run(fmt.Sprintf("%s of %d", name, servers), func(t *testing.T) {
				in := overloaded(servers, 1.3)
				in.Restarted, in.SpeedRanges = map[string]string{}, test.speedRanges
				for i := range servers / 10 {
					old := in.Servers[i].ID
					cold := shard.ServerState{ID: old + "~2", Capacity: 6, Slots: 2, Usable: true, Capped: true}
					if test.restarted {
						in.Servers[i], in.Restarted[old] = cold, cold.ID
					} else {
						in.Servers = append(in.Servers, cold)
					}
				}
				in.Map, _ = planUntilStable(in)
				for _, s := range in.Servers {
					is.New(t).True(!s.Capped || utilization(in)[s.ID] <= test.limit)
				}
			})
		}
	}
}

// unevenness returns the highest utilization of a server that is not capped as a multiple of that of all of them.
func unevenness(in shard.Input) float64 {
	load, capacity, highest := 0.0, 0.0, 0.0
	for _, s := range shard.ServerLoads(in) {
		load, capacity, highest = load+s.Load, capacity+s.Capacity, max(highest, s.Load/s.Capacity)
	}
	return highest * capacity / load
}
