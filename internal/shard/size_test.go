package shard

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// A plan compared each piece of each busy server with every other server. At 604 servers it took seconds,
// while 200 keys were busy for five. What a move costs must not grow with the number of servers.
func TestPlanDoesNotGrow(t *testing.T) {
	// comparedMost is what one move may compare: the pieces of some servers with the candidates.
	const comparedMost = 6 * 4 * piecesPerServer * 2 * targetsMost
	for name, servers := range map[string]int{"10": 10, "100": 100, "1000": 1000} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := Input{Map: &Map{}, Load: make([]float64, NumKeys), TargetLatency: 1}
			for i := range servers {
				in.Servers = append(in.Servers, ServerState{ID: fmt.Sprintf("s%04d", i), Capacity: 9, Slots: 2, Usable: true})
			}
			in.Map = Plan(in)
			for key := range servers {
				in.Load[key] = 4
			}
			p := newPlanner(in)
			before := p.fence
			is.True(p.improve())
			moves := int(p.fence - before)
			t.Logf("%d moves, %.1f servers compared for each", moves, float64(p.compared)/float64(moves))
			is.True(p.compared <= comparedMost*moves)
		})
	}
}
