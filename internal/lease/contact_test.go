package lease

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// Guards against keys without an owner after a crash: a crashed server that the directory still lists counts as
// failing for some seconds only, and a new leader never knew it as failing. Either gave it keys again.
func TestCrashedServerGetsNoKeys(t *testing.T) {
	for name, restart := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				tc := &testCluster{
					seed: 1, ctx: ctx, start: time.Now(), store: newFakeStore(),
					servers: map[string]*fakeServer{}, instances: map[string]*instance{}, cuts: map[string]bool{}, guards: allGuards,
					directory: map[string]rules.Server{}, endedFences: map[string][]uint64{},
				}
				defer tc.shutDown(cancel)
				load := make([]float64, shard.NumKeys)
				for key := range load {
					load[key] = 5.0 / shard.NumKeys
				}
				tc.load = func(string) []float64 { return load }
				for i := range 4 {
					tc.addServer(fmt.Sprintf("s%d", i), fmt.Sprintf("server-%d", i), "d0")
				}
				for i := range 3 {
					tc.startInstance(fmt.Sprintf("i%d", i), "d0")
				}
				time.Sleep(6 * time.Second)
				is.Equal(tc.servedKeys(), shard.NumKeys/keySpacing)
				tc.mu.Lock()
				tc.servers["s0"].up = false
				tc.mu.Unlock()
				time.Sleep(6 * time.Second)
				is.Equal(tc.servedKeys(), shard.NumKeys/keySpacing) // moved to the other servers
				if restart {
					tc.stopInstance("i0")
				}
				longest, servedAt := time.Duration(0), time.Now()
				for range 200 {
					time.Sleep(100 * time.Millisecond)
					if tc.servedKeys() == shard.NumKeys/keySpacing {
						servedAt = time.Now()
					}
					longest = max(longest, time.Since(servedAt))
				}
				is.Equal(len(tc.violations), 0)
				is.True(longest <= time.Second) // a move takes less, a lease to expire more
			})
		})
	}
}
