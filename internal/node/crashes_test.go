package node

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/worker"
)

// crashCluster holds instances that exchange messages, but hear heartbeats only of those that are in touch.
type crashCluster struct {
	*pathCluster
	group *worker.Group
	// running holds the names of those in touch.
	running []string
}

func newCrashCluster(t *testing.T, instances int) *crashCluster {
	cc := &crashCluster{pathCluster: newPathCluster(instances), group: worker.New(t.Context(), 3*instances)}
	for _, name := range cc.names {
		port, err := dgram.Listen("127.0.0.1:0")
		is.New(t).NoErr(err)
		cc.nodes[name].port, cc.nodes[name].suspects = port, edge.NewCrashTracker()
		cc.group.Go("port", port.Run)
	}
	for _, n := range cc.nodes {
		for i, other := range cc.names {
			n.roster.Remove(other, time.Now())
			n.roster.Put(other, roster.Entry{Address: cc.nodes[other].port.Address(), Domain: domainOf(i), Incarnation: 1, Share: 1}, time.Now().Add(-time.Minute))
		}
	}
	return cc
}

// join lets an instance hear those in touch from now on, and them it.
func (cc *crashCluster) join(names ...string) {
	cc.running = append(cc.running, names...)
	for _, name := range cc.running {
		for _, other := range cc.running {
			cc.nodes[other].roster.RecordHeartbeat(roster.Heartbeat{Name: name, Incarnation: 1}, time.Now().Add(time.Minute))
		}
	}
	for _, name := range names {
		cc.group.Go("messages", cc.nodes[name].receiveLoop)
		cc.group.Go("crashes", cc.nodes[name].queryCrashesLoop)
	}
}

// awaitQuarantine waits until an instance does or does not send the request with fingerprint 7, for as long as it may take.
func (cc *crashCluster) awaitQuarantine(t *testing.T, name string, want bool) {
	t.Helper()
	for end := time.Now().Add(stableWindow); cc.nodes[name].Quarantined(7) != want; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: quarantined is not %v after %v", name, want, stableWindow)
		}
	}
}

// Guards against a request that crashes servers and is sent again by each instance that starts after its crashes were
// reported, or that was cut off then.
func TestCrashesReachInstancesThatMissedTheReports(t *testing.T) {
	cases := map[string]func(cc *crashCluster){
		"starts after the third crash": func(*crashCluster) {},
		"was cut off and saw one itself": func(cc *crashCluster) {
			cc.nodes["i3"].suspects.RecordCrash(7, "s9", time.Now())
			cc.nodes["i3"].suspects.RecordCrash(8, "s9", time.Now())
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			cc := newCrashCluster(t, 4)
			cc.join("i0", "i1", "i2")
			for i := range 3 {
				cc.nodes["i0"].suspects.RecordCrash(7, fmt.Sprint("s", i), time.Now())
			}
			cc.awaitQuarantine(t, "i1", true)
			cc.awaitQuarantine(t, "i2", true)
			prepare(cc)
			cc.join("i3")
			cc.awaitQuarantine(t, "i3", true)
		})
	}
}

// Guards against a request that got a response and is rejected again, because an instance that missed the response tells of
// the crashes before it.
func TestResponsesReachInstancesThatMissedTheReports(t *testing.T) {
	is := is.New(t)
	cc := newCrashCluster(t, 3)
	crashedAt := time.Now()
	for _, name := range cc.names {
		for i := range 2 {
			cc.nodes[name].suspects.RecordCrash(7, fmt.Sprint("s", i), crashedAt)
		}
	}
	is.True(cc.nodes["i0"].suspects.Clear(7, time.Now()))
	cc.join(cc.names...)
	cc.awaitQuarantine(t, "i1", false)
	cc.awaitQuarantine(t, "i2", false)
	time.Sleep(2 * crashQueryInterval)
	is.True(!cc.nodes["i0"].Quarantined(7))
}

// Checks that instances that have learned from each other know the same crashes and responses, and are silent then.
func TestEqualCrashesAreNotTold(t *testing.T) {
	is := is.New(t)
	cc := newCrashCluster(t, 2)
	i0, i1 := cc.nodes["i0"], cc.nodes["i1"]
	start := time.Now().Add(-10 * time.Second)
	for i, n := range []*Node{i0, i1} {
		n.suspects.RecordCrash(7, fmt.Sprint("s", i), start)
		n.suspects.RecordCrash(uint64(i), "s", start)
		n.suspects.Clear(uint64(i), start.Add(time.Second))
	}
	i0.suspects.RecordCrash(8, "s", start)
	i0.suspects.Clear(8, start.Add(5*time.Second))
	i1.suspects.RecordCrash(8, "s", start.Add(5500*time.Millisecond))
	ask := func(from, to *Node) (told bool) {
		from.port.Send(netip.MustParseAddrPort(to.port.Address()), dgram.CrashQuery{Known: digestOf(from.suspects.Recent(time.Now()))})
		to.handleMessage(<-to.port.Messages())
		select {
		case m := <-from.port.Messages():
			from.handleMessage(m)
			return true
		case <-time.After(100 * time.Millisecond):
			return false
		}
	}
	is.True(ask(i0, i1))
	is.True(ask(i1, i0))
	is.True(!ask(i0, i1))
	is.True(!ask(i1, i0))
	is.Equal(len(i0.suspects.Recent(time.Now())), 5) // two crashes of 7, and responses to the three others
}
