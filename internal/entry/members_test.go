package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/meter"
	"example.org/mustardring/pkg/grant"
)

const testStep = leader.Time(100 * time.Millisecond)

// testInstance is one instance as far as heartbeats go, without sockets.
type testInstance struct {
	peers *peers
	state InstanceState
}

func newTestInstance(name string, incarnation uint64) *testInstance {
	settings := config.Run{Name: name, Domain: "klet", PeerAddress: name + ":1", ForwardAddress: name + ":2"}
	return &testInstance{
		peers: newPeers(settings, incarnation, nil, meter.NewCounters()),
		state: InstanceState{
			Name: name, Domain: "klet", Incarnation: incarnation,
			PeerAddress: settings.PeerAddress, ForwardAddress: settings.ForwardAddress,
		},
	}
}

// call sends a heartbeat to another instance and returns the request and the answer as they are
// sent, without the fields that are left out.
func (t *testInstance) call(now leader.Time, to *testInstance) (request, answer Heartbeat) {
	request = t.peers.nextHeartbeat(now, to.state.Name, t.state)
	to.peers.receive(now, request, false)
	answer = to.peers.reply(now, request, to.state)
	t.peers.receive(now, answer.restore(request, to.state.Name), true)
	return request, answer
}

// hasCurrentState reports whether this instance has the current state of the other one and takes it
// for live.
func (t *testInstance) hasCurrentState(other *testInstance) bool {
	r := t.peers.remote(other.state.Name)
	return r != nil && stateID(r.state) == stateID(other.state) && len(t.peers.liveInDomain()) == 1
}

// Heartbeats carry the state of the sender only until the receiver has it. Guards against a state
// that is not sent again after a change or a restart, which would leave the receiver with an outdated
// leader, table or address.
func TestChangedStateReachesPeers(t *testing.T) {
	tests := map[string]func(a, b *testInstance) (*testInstance, *testInstance){
		"nothing changes":             func(a, b *testInstance) (*testInstance, *testInstance) { return a, b },
		"the caller changes":          func(a, b *testInstance) (*testInstance, *testInstance) { a.state.TableSerial = 7; return a, b },
		"the called instance changes": func(a, b *testInstance) (*testInstance, *testInstance) { b.state.Leading = true; return a, b },
		"both change": func(a, b *testInstance) (*testInstance, *testInstance) {
			a.state.BundleVersion, b.state.Term = 2, grant.Term{Log: 3}
			return a, b
		},
		"the caller starts again":          func(_, b *testInstance) (*testInstance, *testInstance) { return newTestInstance("a", 11), b },
		"the called instance starts again": func(a, _ *testInstance) (*testInstance, *testInstance) { return a, newTestInstance("b", 12) },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := newTestInstance("a", 1), newTestInstance("b", 2)
			now := testStep
			for range 3 {
				a.call(now, b)
				now += testStep
			}
			is.True(a.hasCurrentState(b) && b.hasCurrentState(a))
			request, answer := a.call(now, b)
			is.True(request.State == nil && answer.State == nil)
			is.True(!request.NotHearing && !answer.NotHearing)
			a, b = change(a, b)
			now += leader.Time(unreachableAfter)
			for range 3 {
				a.call(now, b)
				now += testStep
			}
			is.True(a.hasCurrentState(b) && b.hasCurrentState(a))
			request, answer = a.call(now, b)
			is.True(request.State == nil && answer.State == nil)
		})
	}
}

// Guards against a list service that restarts without its entries while all instances are running: if
// its lists were trusted, each instance would take the others for gone permanently. A single instance
// that is missing from the list, however, is gone.
func TestListThatLostInstancesIsNotTrusted(t *testing.T) {
	all := []string{"a", "b", "c"}
	tests := map[string]struct {
		lists      [][]string
		trusted    bool
		registered bool
	}{
		"as before":                   {lists: [][]string{all, all}, trusted: true, registered: true},
		"another one is missing":      {lists: [][]string{all, {"a", "b"}}, trusted: true, registered: true},
		"the others are missing":      {lists: [][]string{all, {"a"}}, trusted: true, registered: true},
		"this one is missing":         {lists: [][]string{all, {"b", "c"}}, trusted: true, registered: true},
		"all are missing":             {lists: [][]string{all, {}}},
		"all but one are missing":     {lists: [][]string{all, {"b"}}},
		"not all have returned":       {lists: [][]string{all, {}, {"a"}}},
		"not listed yet at the start": {lists: [][]string{{}, {"b"}}, trusted: true, registered: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := listTracker{registered: true}
			now := time.Unix(100, 0)
			trusted := false
			for _, names := range test.lists {
				now = now.Add(listInterval)
				trusted = l.isTrusted(now, "a", names)
			}
			is.Equal(trusted, test.trusted)
			is.Equal(l.registered, test.registered)
			is.True(l.isTrusted(now.Add(reregisterTime), "a", all))
		})
	}
}

// The leader's answer to a gate's heartbeat is overtaken by a heartbeat of the leader with a newer
// table. The answer says that the leader's state is unchanged. Guards against taking it for a
// confirmation of the newer table, which would extend a gate lease that the leader did not confirm.
func TestOvertakenAnswerIsIgnored(t *testing.T) {
	is := is.New(t)
	a, b := newTestInstance("a", 1), newTestInstance("b", 2)
	now := testStep
	for range 3 {
		a.call(now, b)
		now += testStep
	}
	request := a.peers.nextHeartbeat(now, "b", a.state)
	b.peers.receive(now, request, false)
	answer := b.peers.reply(now, request, b.state)
	b.state.TableSerial = 8
	b.call(now, a)
	is.True(a.hasCurrentState(b))
	_, _, accepted := a.peers.receive(now, answer.restore(request, "b"), true)
	is.True(!accepted)
}
