package shard_test

import (
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
