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

// talker is the membership of one instance without sockets.
type talker struct {
	peers     *peers
	heartbeat InstanceState
}

func newTalker(name string, incarnation uint64) *talker {
	settings := config.Run{Name: name, Domain: "klet", PeerAddress: name + ":1", ForwardAddress: name + ":2"}
	return &talker{
		peers: newPeers(settings, incarnation, nil, meter.NewControl()),
		heartbeat: InstanceState{
			Name: name, Domain: "klet", Incarnation: incarnation,
			PeerAddress: settings.PeerAddress, ForwardAddress: settings.ForwardAddress,
		},
	}
}

// call sends a heartbeat to another and returns both messages as they go over the wire.
func (t *talker) call(now leader.Time, to *talker) (asked, answer Heartbeat) {
	asked = t.peers.nextHeartbeat(now, to.heartbeat.Name, t.heartbeat)
	to.peers.receive(now, asked, false)
	answer = to.peers.reply(now, asked, to.heartbeat)
	t.peers.receive(now, answer.restore(asked, to.heartbeat.Name), true)
	return asked, answer
}

// knows reports whether an instance has what another says of itself now, and holds it live.
func (t *talker) knows(other *talker) bool {
	r := t.peers.remote(other.heartbeat.Name)
	return r != nil && stateID(r.state) == stateID(other.heartbeat) && len(t.peers.liveInDomain()) == 1
}

// Heartbeats carry statements only while the other lacks them. One that is never sent again
// after a change or a restart would leave the other with an old leader, table or address.
func TestStatementsReachThoseWhoLackThem(t *testing.T) {
	tests := map[string]func(a, b *talker) (*talker, *talker){
		"nothing changes":   func(a, b *talker) (*talker, *talker) { return a, b },
		"the asker changes": func(a, b *talker) (*talker, *talker) { a.heartbeat.TableSerial = 7; return a, b },
		"the asked changes": func(a, b *talker) (*talker, *talker) { b.heartbeat.Leading = true; return a, b },
		"both change": func(a, b *talker) (*talker, *talker) {
			a.heartbeat.BundleVersion, b.heartbeat.Term = 2, grant.Term{Log: 3}
			return a, b
		},
		"the asker starts again": func(_, b *talker) (*talker, *talker) { return newTalker("a", 11), b },
		"the asked starts again": func(a, _ *talker) (*talker, *talker) { return a, newTalker("b", 12) },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := newTalker("a", 1), newTalker("b", 2)
			now := testStep
			for range 3 {
				a.call(now, b)
				now += testStep
			}
			is.True(a.knows(b) && b.knows(a))
			asked, answer := a.call(now, b)
			is.True(asked.State == nil && answer.State == nil)
			is.True(!asked.NotHearing && !answer.NotHearing)
			a, b = change(a, b)
			now += leader.Time(suspectTimeout)
			for range 3 {
				a.call(now, b)
				now += testStep
			}
			is.True(a.knows(b) && b.knows(a))
			asked, answer = a.call(now, b)
			is.True(asked.State == nil && answer.State == nil)
		})
	}
}

// The list service restarts and has forgotten all instances, which run on. Taken as evidence,
// its lists would make each instance call the others gone for good. One instance that is
// missing is another matter: it is gone.
func TestForgetfulListIsNoEvidence(t *testing.T) {
	all := []string{"a", "b", "c"}
	tests := map[string]struct {
		lists      [][]string
		evidence   bool
		registered bool
	}{
		"as before":                   {lists: [][]string{all, all}, evidence: true, registered: true},
		"another one is missing":      {lists: [][]string{all, {"a", "b"}}, evidence: true, registered: true},
		"the others are missing":      {lists: [][]string{all, {"a"}}, evidence: true, registered: true},
		"this one is missing":         {lists: [][]string{all, {"b", "c"}}, evidence: true, registered: true},
		"all are missing":             {lists: [][]string{all, {}}},
		"all but one are missing":     {lists: [][]string{all, {"b"}}},
		"not all have returned":       {lists: [][]string{all, {}, {"a"}}},
		"not listed yet at the start": {lists: [][]string{{}, {"b"}}, evidence: true, registered: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := listTracker{registered: true}
			now := time.Unix(100, 0)
			evidence := false
			for _, names := range test.lists {
				now = now.Add(listInterval)
				evidence = l.isTrusted(now, "a", names)
			}
			is.Equal(evidence, test.evidence)
			is.Equal(l.registered, test.registered)
			is.True(l.isTrusted(now.Add(reregisterTime), "a", all))
		})
	}
}

// A gate asks its leader, whose answer is slow: meanwhile the leader publishes a table and its
// own heartbeat brings the news. Then the answer arrives, which only says that nothing was new.
// Taken for a confirmation of the new table, it would extend the right of a gate that the
// leader did not confirm.
func TestOvertakenAnswerConfirmsNothing(t *testing.T) {
	is := is.New(t)
	a, b := newTalker("a", 1), newTalker("b", 2)
	now := testStep
	for range 3 {
		a.call(now, b)
		now += testStep
	}
	asked := a.peers.nextHeartbeat(now, "b", a.heartbeat)
	b.peers.receive(now, asked, false)
	answer := b.peers.reply(now, asked, b.heartbeat)
	b.heartbeat.TableSerial = 8
	b.call(now, a)
	is.True(a.knows(b))
	_, _, held := a.peers.receive(now, answer.restore(asked, "b"), true)
	is.True(!held)
}
