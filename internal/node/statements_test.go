package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/stated"
	"example.org/mustardring/internal/worker"
)

// newPeers returns instances that know each other and one server, and receive messages.
func newPeers(t *testing.T, count int, server string) []*Node {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	group := worker.New(ctx, 4*count)
	t.Cleanup(func() {
		cancel()
		_ = group.Wait(0)
	})
	var nodes []*Node
	for i := range count {
		n, err := New(config.Serve{Name: fmt.Sprintf("i%d", i), Domain: "d0", IP: "127.0.0.1", PeerPorts: []int{0}, LinkMbps: 1000, CPUShare: 1},
			Platform{ConfigTopic: "config", ConfigKey: "config", ServersTopic: "servers", OwnersTopic: "owners"}, event.New(io.Discard, log.InfoLevel))
		is.NoErr(err)
		n.cluster.applyDirectory(true, server, "ready")
		n.admissions.setServers()
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		for _, o := range nodes {
			n.roster.Put(o.settings.Name, roster.Entry{Address: o.port.Address(), Domain: "d0", Incarnation: 1, Share: 1}, time.Now())
		}
		group.Go("port", n.port.Run)
		group.Go("messages", n.receiveLoop)
		group.Go("statements", n.statementLoop)
		group.Go("events", n.events.Run)
	}
	return nodes
}

// await waits until a condition holds, and fails the test if that takes longer than within.
func await(t *testing.T, within time.Duration, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(within); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v", within)
		}
	}
}

// Guards against a controller that takes over from another one without the limit that the other one has seen.
func TestLimitIsToldToOtherControllers(t *testing.T) {
	const within = 500 * time.Millisecond
	nodes := newPeers(t, 3, "s1")
	first := nodes[1]
	now := time.Now()
	seen := func(rate float64) {
		now = now.Add(time.Millisecond)
		first.observeLimit(admit.Completion{Server: "s1", Outcome: admit.Answered, Limit: stated.Limit{Known: true, Rate: rate}}, now, now)
	}
	all := func(rate float64) func() bool {
		return func() bool {
			for _, n := range nodes {
				if n.cluster.server("s1").RateLimit != rate {
					return false
				}
			}
			return true
		}
	}
	seen(2)
	await(t, within, all(2))
	seen(3)
	await(t, within, all(3))
	seen(0)
	await(t, within, all(0))
}

// Guards against starting instances that each use the whole limit of a server, since none knows the others yet.
func TestUnregisteredInstanceDoesNotUseLimits(t *testing.T) {
	is := is.New(t)
	n, err := New(config.Serve{Name: "i0", Domain: "d0", IP: "127.0.0.1", PeerPorts: []int{0}, LinkMbps: 1000, CPUShare: 1},
		Platform{ConfigTopic: "config", ConfigKey: "config", ServersTopic: "servers", OwnersTopic: "owners"}, event.New(io.Discard, log.InfoLevel))
	is.NoErr(err)
	group := worker.New(t.Context(), 1)
	group.Go("admissions", n.admissions.run)
	defer func() {
		group.Stop()
		is.NoErr(group.Wait(0))
	}()
	limited := rules.Server{ID: "s1", Service: "desk", Domain: "d0", Slots: 2, RateLimit: 1e3}
	n.cluster.snapshot.Store(rules.NewServerSet(map[string]rules.Server{"s1": limited}))
	n.admissions.updateServers(map[string]struct{}{"s1": {}})
	request := func() (admitted bool) {
		now := time.Now()
		a, _ := n.admissions.Acquire(t.Context(), admit.Request{Service: "desk", Route: "r", TargetAt: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}, "")
		return a != nil
	}
	is.True(!request())
	n.roster.Put("i0", roster.Entry{Address: n.port.Address(), Domain: "d0", Incarnation: 1, Share: 1}, time.Now())
	is.True(request())
}

// Guards against a directory that puts a server back which has said in a response that it leaves.
func TestLeaveOutlivesTheDirectory(t *testing.T) {
	updates := map[string]func(n *Node){
		"an entry that says ready": func(n *Node) { n.cluster.applyDirectory(false, "s1", "ready") },
		"a snapshot":               func(n *Node) { n.cluster.applyDirectory(true, "s1", "ready") },
		"an outage of the store": func(n *Node) {
			n.cluster.applyServers(follow.Update{Err: errors.New("down")}, 0, decodeServer)
			n.cluster.applyDirectory(true, "s1", "ready")
		},
		"an entry that was gone": func(n *Node) {
			n.cluster.applyDirectory(false, "s1", "")
			n.cluster.applyDirectory(false, "s1", "ready")
		},
	}
	for name, update := range updates {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newPeers(t, 1, "s1")[0]
			n.ObserveStatement("s1", stated.Statement{Leaving: true}, stated.Source{})
			leaveBy := n.cluster.server("s1").LeaveBy
			is.True(n.cluster.server("s1").Draining)
			update(n)
			is.True(n.cluster.server("s1").Draining)
			is.Equal(n.cluster.server("s1").LeaveBy, leaveBy)
		})
	}
}

// Guards against controllers, and instances in the middle, that go on sending requests to a server that has told another
// instance that it leaves.
func TestLeaveIsTold(t *testing.T) {
	is := is.New(t)
	const within = 500 * time.Millisecond
	nodes := newPeers(t, 5, "s1")
	first := nodes[1]
	controllers := first.controllersOf("s1", time.Now())
	var middle *Node
	for _, n := range nodes {
		if n != first && !contains(controllers, n.settings.Name) {
			middle = n
		}
	}
	first.ObserveStatement("s1", stated.Statement{Leaving: true}, stated.Source{})
	await(t, within, func() bool {
		for _, n := range nodes {
			if (n == first || contains(controllers, n.settings.Name)) && !n.cluster.server("s1").Draining {
				return false
			}
		}
		return true
	})
	is.True(!middle.cluster.server("s1").Draining)
	first.ObserveStatement("s1", stated.Statement{Leaving: true}, stated.Source{Through: middle.settings.Name}) // no news to this one
	await(t, within, func() bool { return middle.cluster.server("s1").Draining })
}

// Guards against an instance in the middle that goes on sending requests of its own to a server that has asked it for rest in
// a response which it carried, and against taking that for a rest of others.
func TestRestIsToldToTheInstanceInTheMiddle(t *testing.T) {
	is := is.New(t)
	const rest = time.Minute
	nodes := newPeers(t, 3, "s1")
	nodes[0].ObserveStatement("s1", stated.Statement{RestUntil: time.Now().Add(rest)}, stated.Source{Through: "i1"})
	await(t, 500*time.Millisecond, func() bool { return time.Until(nodes[1].RestUntil("s1")) > rest-time.Second })
	is.True(!nodes[0].accepts("s1") && !nodes[1].accepts("s1"))
	is.True(nodes[2].accepts("s1"))
	nodes[1].handleRest(netip.AddrPort{}, dgram.ServerRest{Server: "s1", RestMs: math.MaxInt64})
	is.True(time.Until(nodes[1].RestUntil("s1")) > 24*time.Hour)
}

// Guards against a controller that chooses servers for an instance which they have asked for rest, and a leader that leaves
// keys with servers which rest for all.
func TestRestIsToldToControllers(t *testing.T) {
	is := is.New(t)
	const within = time.Second
	nodes := newPeers(t, 5, "s1")
	controller := nodes[0].controllersOf("s1", time.Now())[0].Name
	var others []*Node
	var in *Node
	for _, n := range nodes {
		if n.settings.Name == controller {
			in = n
		} else {
			others = append(others, n)
		}
	}
	until := time.Now().Add(time.Minute)
	reason := func(from *Node) admit.Reason {
		in.admissions.mu.Lock()
		defer in.admissions.mu.Unlock()
		r := admit.Request{ID: admit.ID{From: from.port.Address(), Serial: 1}, Server: "s1", TargetAt: until, Deadline: until}
		d := in.admissions.controller("books").Decide(time.Now(), r)
		in.admissions.controller("books").Cancel(time.Now(), r.ID)
		rejected, _ := d.(admit.Rejected)
		return rejected.Reason
	}
	others[0].ObserveStatement("s1", stated.Statement{RestUntil: until}, stated.Source{})
	await(t, within, func() bool { return reason(others[0]) == admit.Resting })
	is.Equal(reason(others[1]), admit.Reason("")) // it was not asked
	others[1].ObserveStatement("s1", stated.Statement{RestUntil: until}, stated.Source{})
	await(t, within, func() bool { return reason(others[2]) == admit.Resting })
	await(t, within, func() bool { return in.cluster.server("s1").RestsUntil.After(time.Now()) })
}
