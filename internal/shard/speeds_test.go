package shard_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/shard"
)

// settled returns the state of a service at half of its capacity, with the owners that plans come to.
func settled() shard.Input {
	in := newPlay(1, true).in
	in.Load = make([]float64, shard.NumKeys)
	for key := range in.Load {
		in.Load[key] = playRate / shard.NumKeys
	}
	in.Map, _ = planUntilStable(in)
	return in
}

// Guards against moves that gain nothing: for what all servers have in common, for errors of a few percent, or by a leader that
// has just taken over and knows nothing yet.
func TestNothingMoves(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	tests := map[string]func(in *shard.Input, s *shard.ServerState){
		"all servers reject half":            func(_ *shard.Input, s *shard.ServerState) { s.RejectRate = 0.55 },
		"rejections differ by a few percent": func(_ *shard.Input, s *shard.ServerState) { s.RejectRate = 0.03 * random.Float64() },
		"speeds differ by a few percent":     func(_ *shard.Input, s *shard.ServerState) { s.Capacity *= 0.97 + 0.06*random.Float64() },
		"a new leader":                       func(in *shard.Input, s *shard.ServerState) { in.Load, in.Work, s.Capacity = nil, nil, 3 },
		"reports of the previous release":    func(in *shard.Input, _ *shard.ServerState) { in.Work = nil },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			in := settled()
			for i := range in.Servers {
				change(&in, &in.Servers[i])
			}
			is.New(t).Equal(shard.Plan(in), nil)
		})
	}
}

// Guards against keys that stay with a server which loses a part of its requests, and against moves back after it has been
// slow for a moment.
func TestKeysLeaveServersThatLoseRequests(t *testing.T) {
	is := is.New(t)
	in := settled()
	is.True(utilization(in)["s00"] < utilization(in)["s02"]) // the speeds are 0.6 and 1.6
	in.Servers[1].RejectRate = 0.5
	_, report := shard.PlanWithReport(in)
	is.Equal(report.Rejecting, 1)
	is.True(report.Moves[shard.Rejecting] > 0)
	in.Map, _ = planUntilStable(in)
	is.True(utilization(in)["s01"] < 0.1)

	in = settled()
	in.Servers[1].Capacity /= 1.6
	in.Map, _ = planUntilStable(in)
	in.Servers[1].Capacity *= 1.6
	is.Equal(shard.Plan(in), nil)
}

// Guards against a leader that moves again what the lost one has begun to move.
func TestLeaderLostDuringMoves(t *testing.T) {
	is := is.New(t)
	in := settled()
	for key := range 60 {
		in.Load[key] = 8
	}
	in.Map = shard.Plan(in)
	next := shard.Plan(in)
	for _, r := range in.Map.Ranges {
		if len(r.FormerOwners) > 0 {
			is.Equal(next.Ranges[next.Find(r.From)], r)
		}
	}
}
