package node

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/worker"
)

// Guards against an instance that starts while the store does not answer, and does not ask the instances that it hears
// because the register, which it cannot read, has their addresses.
func TestStartHearsOthersWhileTheStoreIsSilent(t *testing.T) {
	for name, heardAfter := range map[string]time.Duration{"heard at once": 0, "heard later": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				group := worker.New(ctx, 256)
				c := newNewsCluster(12, 0, false, group)
				time.Sleep(3 * time.Second)
				sc := &startCluster{store: &limitedStore{topics: map[string][]follow.Record{}}, nodes: c.address}
				n := sc.newStarter(17, 0)
				n.peerClient = &http.Client{Transport: c}
				n.watches["config"].Store = &hangingStore{hanging: true}
				group.Go("join", n.joinLoop)
				group.Go("leases", n.leases.Run)
				group.Go("config", n.watches["config"].Run)
				group.Go("updates", func(ctx context.Context) error { return c.applyUpdates(ctx, n) })
				time.Sleep(heardAfter)
				begun, known := time.Now(), false
				for !known && time.Since(begun) < 30*time.Second {
					for _, sender := range c.nodes {
						end, _ := sender.watches["config"].Known()
						n.handleMessage(dgram.Received{From: netip.MustParseAddrPort(sender.entry(false).Address), Message: dgram.Heartbeat{
							Heartbeat: roster.Heartbeat{Name: sender.settings.Name, Incarnation: sender.incarnation, ConfigEnd: end},
						}})
					}
					time.Sleep(50 * time.Millisecond)
					_, known = n.topics["config"].known()
				}
				t.Logf("known after %v", time.Since(begun))
				is.True(time.Since(begun) <= minLagTimeout+150*time.Millisecond)
				cancel()
				_ = group.Wait(0)
			})
		})
	}
}

// Checks that the instances that were heard last are remembered, and only while they are heard.
func TestHeardPeers(t *testing.T) {
	is := is.New(t)
	hp, now := newHeardPeers(), time.Now()
	for i := range 2 * maxHeardPeers {
		hp.record(fmt.Sprint(i), heardPeer{address: fmt.Sprint(i), ends: map[string]logpos.Pos{"config": logpos.Pos(i)}, heardAt: now.Add(time.Duration(i) * time.Millisecond)})
	}
	is.Equal(len(hp.peers), maxHeardPeers)
	is.Equal(len(hp.sources("config", 0, now)), maxSources)
	is.Equal(hp.sources("config", 2*maxHeardPeers-1, now), []string{fmt.Sprint(2*maxHeardPeers - 1)})
	is.Equal(len(hp.sources("servers", 0, now)), 0)
	is.Equal(len(hp.sources("config", 0, now.Add(2*maxHeardAge))), 0)
}
