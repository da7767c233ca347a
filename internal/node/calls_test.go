package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/worker"
)

// Guards against calls to the store that grow with the number of instances while nobody leads, or while no heartbeats
// arrive although instances can be reached by calls.
func TestCallsWhileNobodyLeads(t *testing.T) {
	for _, instances := range []int{12, 70, 400} {
		for name, heartbeats := range map[string]bool{"heartbeats arrive": true, "no heartbeats": false} {
			t.Run(fmt.Sprintf("%s, %d instances", name, instances), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					ctx, cancel := context.WithCancel(t.Context())
					group := worker.New(ctx, 8*instances)
					c := newNewsCluster(instances, 0, false, group)
					time.Sleep(3 * time.Second)
					c.setFault(c.leader, frozen)
					if !heartbeats {
						c.stopHeartbeats()
					}
					time.Sleep(10 * time.Second)
					before := c.store.count()
					time.Sleep(calmTime)
					calls := c.store.count() - before
					t.Logf("%d calls in %v", calls, calmTime)
					is.True(calls <= max(instances/2, 150))
					cancel()
					_ = group.Wait(0)
				})
			})
		}
	}
}

// Guards against an instance that asks nobody although it has just learned of the others, and so reads the store.
func TestPlaceIsKnownWithTheRegister(t *testing.T) {
	is := is.New(t)
	n := newFollower(&hangingStore{}, 0)
	n.roster.Remove("i0", time.Now())
	is.Equal(len(n.place().Ancestors), 0)
	for i := range 5 {
		n.roster.Put(fmt.Sprintf("i%d", i), roster.Entry{Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Domain: "a", Incarnation: 1, Share: float64(i)}, time.Now())
	}
	is.True(len(n.place().Ancestors) > 0)
}

// Guards against an instance that keeps, for half a second, the place that it had when it knew only a part of the register.
func TestPlaceFollowsTheRegister(t *testing.T) {
	is := is.New(t)
	n := newFollower(&hangingStore{}, 0)
	put := func(i int) {
		n.roster.Put(fmt.Sprintf("i%d", i), roster.Entry{Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Domain: "a", Incarnation: 1, Share: float64(i)}, time.Now())
	}
	put(0)
	is.Equal(n.place().Size, 1)
	for i := 1; i < 5; i++ {
		put(i)
	}
	is.Equal(n.place().Size, 5)
	is.True(len(n.place().Ancestors) > 0)
}
