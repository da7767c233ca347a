package shard_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/shard"
)

// Guards against a leader that has just taken over and joins busy ranges, since their load is not known yet.
func TestLeaderWithoutMeasurementsJoinsNothing(t *testing.T) {
	const servers, ranges = 20, 256
	in := input(&shard.Map{Fence: ranges}, nil, testServers(make([]float64, servers)...))
	in.SpeedRanges = true
	for i := range ranges {
		in.Map.Ranges = append(in.Map.Ranges, shard.Range{
			From: uint16(i * 256), To: uint16(i*256 + 255), Server: in.Servers[i%servers].ID, Fence: uint64(i + 1),
		})
	}
	in.Servers = in.Servers[1:]
	next := shard.Plan(in)
	for _, r := range next.Ranges {
		was := in.Map.Ranges[in.Map.Find(r.From)].Server
		is.New(t).True(r.Server == was || was == "s00")
	}
}

// Guards against a leader that has just taken over and gives the keys of lost servers to slow ones, or to cold ones beyond
// their rates.
func TestLeaderWithoutMeasurementsSparesSlowServers(t *testing.T) {
	for name, servers := range map[string]int{"30 servers": 30, "300 servers": 300} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := overloaded(servers, 1.3)
			known := in
			in.SpeedRanges, in.Load = true, nil
			in.Servers = slices.Clone(in.Servers[servers/10:])
			for i := range in.Servers {
				in.Servers[i].Capacity = 2
			}
			cold := shard.ServerState{ID: "s00~2", Capacity: 1, Slots: 2, Usable: true, Capped: true}
			in.Servers, in.Restarted = append(in.Servers, cold), map[string]string{"s00": cold.ID}
			known.Map = shard.Plan(in)
			is.Equal(len(known.Map.RangesOf(cold.ID)), 0)
			known.Servers = known.Servers[servers/10:]
			is.True(unevenness(known) <= 1.25)
			is.Equal(shard.Plan(shard.Input{
				Map: completeMoves(known.Map), Servers: in.Servers, Addresses: in.Addresses, TargetLatency: in.TargetLatency, SpeedRanges: true,
			}), nil)
		})
	}
}
