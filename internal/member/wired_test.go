package member_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/member"
	"example.org/mustardring/pkg/grant"
)

// An instance is replaced while the platform's list can't be read. The list showed the old
// process, so nothing proves that it has ended, and the new one would stay unknown for hours.
func TestReplacedWithoutTheList(t *testing.T) {
	old, fresh := instance("b", 7), instance("b", 9)
	tests := map[string]struct {
		leaving bool
		silent  member.Time
		taken   bool
	}{
		"still heard":              {silent: 400 * millisecond},
		"silent":                   {silent: 3400 * millisecond},
		"silent for long":          {silent: 3500 * millisecond, taken: true},
		"still heard, leaving":     {silent: 400 * millisecond, leaving: true},
		"silent after it was left": {silent: 500 * millisecond, leaving: true, taken: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := member.New(member.Config{
				Self: instance("a", 1), HeartbeatInterval: 100 * time.Millisecond, CrossDomainInterval: time.Second,
				HeartbeatTimeout: 500 * time.Millisecond, CrossDomainTimeout: 2 * time.Second, MaxFullMesh: 8, ReplaceDelay: 3 * time.Second,
			})
			c.Handle(second, member.InstancesListed{Instances: []member.ListedInstance{{Instance: old}}})
			c.Handle(second, hear(old, 1, func(b *member.Heartbeat) { b.Leaving = test.leaving }))
			c.Handle(second+test.silent, hear(fresh, 1, nil))
			is.Equal(c.IsCurrent(fresh.Process), test.taken)
			is.Equal(c.IsCurrent(old.Process), !test.taken)
			is.Equal(len(c.View().Gone), 0) // silence proves nothing
		})
	}
}

// The heartbeat by which b said that it leads arrives after a newer one by which it leads no
// more. Followers would ask a leader that is none.
func TestOvertakenHeartbeatNamesNoLeader(t *testing.T) {
	is := is.New(t)
	c := newCore(8)
	b := instance("b", 7)
	c.Handle(second, hear(b, 2, nil))
	c.Handle(second, hear(b, 1, func(beat *member.Heartbeat) {
		beat.Leader, beat.Term = b.Process, grant.Term{Log: 2}
	}))
	is.Equal(c.View().Leader, member.Process{})
}

// Of two instances one sends and the other answers. A follower sends to its leader in each
// period, since a gate's right rests on the leader's answers; two followers in every second.
func TestOneOfTwoSends(t *testing.T) {
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
