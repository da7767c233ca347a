package shard

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a plan that compares each piece of each busy server with every other server: at 604
// servers that takes seconds, while 200 keys are busy for only five. The cost of a move must not grow with
// the number of servers.
func TestComparisonsPerMoveAreBounded(t *testing.T) {
	// maxComparisons bounds the comparisons per move: the pieces of a few servers with all candidate
	// targets.
	const maxComparisons = 6 * 4 * initialRangesPerServer * 2 * maxTargets
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
			is.True(p.rebalance())
			moves := int(p.fence - before)
			t.Logf("%d moves, %.1f comparisons per move", moves, float64(p.comparisons)/float64(moves))
			is.True(p.comparisons <= maxComparisons*moves)
		})
	}
}
