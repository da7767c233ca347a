package member_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/member"
	"example.org/mustardring/pkg/grant"
)

// An instance is replaced while the platform's list is unavailable. The list showed the old
// process, so nothing proves that it has ended. Without ReplaceDelay the new process would stay
// unknown until the list returns, possibly for hours.
func TestReplacedWhileListUnavailable(t *testing.T) {
	old, fresh := instance("b", 7), instance("b", 9)
	tests := map[string]struct {
		leaving  bool
		silence  member.Time
		replaced bool
	}{
		"live":                      {silence: 400 * millisecond},
		"unreachable":               {silence: 3400 * millisecond},
		"unreachable for the delay": {silence: 3500 * millisecond, replaced: true},
		"live and leaving":          {silence: 400 * millisecond, leaving: true},
		"unreachable after it left": {silence: 500 * millisecond, leaving: true, replaced: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := member.New(member.Config{
				Self: instance("a", 1), HeartbeatInterval: 100 * time.Millisecond, CrossDomainInterval: time.Second,
				HeartbeatTimeout: 500 * time.Millisecond, CrossDomainTimeout: 2 * time.Second, MaxFullMesh: 8, ReplaceDelay: 3 * time.Second,
			})
			c.Handle(second, member.InstancesListed{Instances: []member.ListedInstance{{Instance: old}}})
			c.Handle(second, received(old, 1, func(b *member.Heartbeat) { b.Leaving = test.leaving }))
			c.Handle(second+test.silence, received(fresh, 1, nil))
			is.Equal(c.IsCurrent(fresh.Process), test.replaced)
			is.Equal(c.IsCurrent(old.Process), !test.replaced)
			is.Equal(len(c.View().Removed), 0) // only the list proves that a process ended
		})
	}
}

// A heartbeat in which b states that it leads arrives after a newer one in which it no longer
// does. If the older one were accepted, followers would send requests to an instance that does
// not lead.
func TestDelayedHeartbeatNamesNoLeader(t *testing.T) {
	is := is.New(t)
	c := newCore(8)
	b := instance("b", 7)
	c.Handle(second, received(b, 2, nil))
	c.Handle(second, received(b, 1, func(h *member.Heartbeat) {
		h.Leader, h.Term = b.Process, grant.Term{Log: 2}
	}))
	is.Equal(c.View().Leader, member.Process{})
}

// Of each pair of instances one sends heartbeats and the other replies. A follower sends to its
// leader in each interval, because the lease of a gate depends on the replies of the leader. A
// pair of followers exchanges heartbeats in every second interval only.
func TestOneOfEachPairSends(t *testing.T) {
	is := is.New(t)
	cores := make(map[string]*member.Core)
	names := []string{"a", "b", "c"}
	for n, name := range names {
		cores[name] = member.New(member.Config{
			Self: instance(name, uint64(n+1)), HeartbeatInterval: 100 * time.Millisecond, CrossDomainInterval: time.Second,
			HeartbeatTimeout: 500 * time.Millisecond, CrossDomainTimeout: 2 * time.Second, MaxFullMesh: 8,
		})
		for m, other := range names {
			cores[name].Handle(0, member.Discovered{Instance: instance(other, uint64(m+1))})
		}
	}
	cores["b"].Handle(0, member.LeaderReported{Leader: instance("b", 2).Process, Term: grant.Term{Log: 1}})
	sent := make(map[string]int)
	for now := second; now < 4*second; now += 50 * millisecond {
		for _, name := range names {
			for _, effect := range cores[name].Handle(now, member.Ticked{}) {
				send, isSend := effect.(member.SendHeartbeat)
				if !isSend {
					continue
				}
				to := cores[send.To.Name]
				to.Handle(now, member.HeartbeatReceived{Heartbeat: send.Heartbeat})
				cores[name].Handle(now, member.HeartbeatReceived{Heartbeat: to.NextHeartbeat(now), IsReply: true})
				if now >= 2*second {
					sent[name+send.To.Name]++
				}
			}
		}
	}
	is.Equal(sent, map[string]int{"ab": 20, "cb": 20, "ac": 10})
	for _, name := range names {
		live := cores[name].View().Live
		is.Equal(len(live), 3)
		is.True(!slices.ContainsFunc(live, func(l member.LiveInstance) bool { return l.Link != member.LinkBoth }))
	}
}
