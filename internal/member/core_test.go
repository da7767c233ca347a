package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/member"
	"example.org/mustardring/pkg/grant"
)

func instance(name string, incarnation uint64) member.Instance {
	return member.Instance{Process: member.Process{Name: name, Incarnation: incarnation}, Domain: "klet"}
}

func newCore(all int) *member.Core {
	return member.New(member.Config{
		Self: instance("a", 1), HeartbeatInterval: 100 * time.Millisecond, CrossDomainInterval: time.Second,
		HeartbeatTimeout: 500 * time.Millisecond, CrossDomainTimeout: 2 * time.Second, MaxFullMesh: all, ContactsPerDomain: 2, MaxGossip: 8,
	})
}

func hear(i member.Instance, count uint64, change func(*member.Heartbeat)) member.HeartbeatReceived {
	h := member.HeartbeatReceived{Heartbeat: member.Heartbeat{Instance: i, Count: count}}
	if change != nil {
		change(&h.Heartbeat)
	}
	return h
}

func hearsA(b *member.Heartbeat) {
	b.Direct = []member.Process{{Name: "a", Incarnation: 1}}
}

// A link is cut one way only. Heartbeats of b arrive, but b does not hear this instance: work
// sent to b would be lost, so it must show, although b lives.
func TestLinkCutOneWay(t *testing.T) {
	b := instance("b", 7)
	tests := map[string]struct {
		heard member.HeartbeatReceived
		link  member.Link
	}{
		"both ways":        {heard: hear(b, 1, hearsA), link: member.LinkBoth},
		"it does not hear": {heard: hear(b, 1, nil), link: member.LinkIn},
		"it answered":      {heard: member.HeartbeatReceived{Heartbeat: member.Heartbeat{Instance: b, Count: 1}, IsReply: true}, link: member.LinkBoth},
		"by hearsay": {heard: hear(instance("c", 1), 1, func(beat *member.Heartbeat) {
			beat.Gossip = []member.HeartbeatCount{{Process: b.Process, Count: 1}}
		}), link: member.LinkNone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore(8)
			c.Handle(second, member.Discovered{Instance: b})
			c.Handle(second, test.heard)
			links := make(map[string]member.Link)
			for _, l := range c.View().Live {
				links[l.Name] = l.Link
			}
			is.Equal(links["b"], test.link)
			c.Handle(second+499*millisecond, member.Ticked{})
			is.True(len(c.View().Live) > 1)
			c.Handle(second+500*millisecond, member.Ticked{})
			is.Equal(len(c.View().Live), 1)
		})
	}
}

// The network repeats a heartbeat long after it was sent. That is no sign of life.
func TestRepeatedHeartbeatIsNoLife(t *testing.T) {
	is := is.New(t)
	c := newCore(8)
	c.Handle(second, hear(instance("b", 7), 3, nil))
	c.Handle(second+400*millisecond, hear(instance("b", 7), 3, nil))
	c.Handle(second+500*millisecond, member.Ticked{})
	is.Equal(len(c.View().Live), 1)
}

// b was replaced and the new process is heard, but the platform's list still shows the old
// one. The new one must not vanish until the list catches up, and then the old one is gone.
func TestLaggingListDoesNotHideNewProcess(t *testing.T) {
	is := is.New(t)
	c := newCore(8)
	old, fresh := instance("b", 9), instance("b", 7)
	c.Handle(second, hear(fresh, 1, hearsA))
	c.Handle(second, member.InstancesListed{Instances: []member.ListedInstance{{Instance: old}}})
	is.Equal(c.View().Live[1].Process, fresh.Process)
	is.Equal(len(c.View().Gone), 0)
	c.Handle(second, member.InstancesListed{Instances: []member.ListedInstance{{Instance: fresh}}})
	is.Equal(c.View().Live[1].Process, fresh.Process)
	is.Equal(c.View().Gone, []member.Process{old.Process})
}

// This process was paused for so long that the platform gave its place away. It must learn
// so once, though its peers would still talk to it.
func TestRemovedProcessIsTold(t *testing.T) {
	self := member.ListedInstance{Instance: instance("a", 1)}
	other := member.ListedInstance{Instance: instance("a", 2)}
	tests := map[string]struct {
		lists [][]member.ListedInstance
		told  int
	}{
		"not listed yet":                    {lists: [][]member.ListedInstance{{}, {}}},
		"still listed":                      {lists: [][]member.ListedInstance{{self}, {self}}},
		"no more listed":                    {lists: [][]member.ListedInstance{{self}, {}, {}}, told: 1},
		"replaced":                          {lists: [][]member.ListedInstance{{self}, {other}}, told: 1},
		"old list shows the process before": {lists: [][]member.ListedInstance{{other}, {self}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore(8)
			told := 0
			for n, list := range test.lists {
				for _, e := range c.Handle(member.Time(n+1)*second, member.InstancesListed{Instances: list}) {
					if _, ok := e.(member.Removed); ok {
						told++
					}
				}
			}
			is.Equal(told, test.told)
		})
	}
}

// The leader b of term 2 steps down, and c, which has not heard of that, still calls it
// leader. The late news must not bring the leadership back; a higher term does.
func TestLeaderThatSteppedDownStaysDown(t *testing.T) {
	is := is.New(t)
	c := newCore(8)
	b, d := instance("b", 7), instance("d", 9)
	lead := func(i member.Instance, term uint64) func(*member.Heartbeat) {
		return func(beat *member.Heartbeat) { beat.Leader, beat.Term = i.Process, grant.Term{Log: term} }
	}
	c.Handle(second, hear(b, 1, lead(b, 2)))
	is.Equal(c.View().Leader, b.Process)
	c.Handle(second, hear(b, 2, lead(member.Instance{}, 2)))
	is.Equal(c.View().Leader, member.Process{})
	c.Handle(second, hear(instance("c", 8), 1, lead(b, 2)))
	is.Equal(c.View().Leader, member.Process{})
	c.Handle(second, hear(d, 1, lead(d, 3)))
	is.Equal(c.View().Leader, d.Process)
	c.Handle(second+600*millisecond, member.Ticked{})
	is.Equal(c.View().Leader, member.Process{}) // silent
}

// A domain with one instance has nobody to talk to and is whole all the same.
func TestDomainOfOne(t *testing.T) {
	is := is.New(t)
	c := newCore(8)
	effects := c.Handle(second, member.Ticked{})
	is.Equal(len(effects), 1)
	is.Equal(c.View().Live, []member.LiveInstance{{Instance: instance("a", 1), Link: member.LinkBoth}})
	is.Equal(c.View().Rank("a"), 0)
}

// A group of 200 sends heartbeats to a few contacts each. All must live in each view, by
// hearsay, at a cost that grows with the logarithm of the group.
func TestLargeGroupLivesByHearsay(t *testing.T) {
	is := is.New(t)
	const size = 200
	cores := make(map[string]*member.Core)
	var all []member.Instance
	for n := range size {
		all = append(all, instance(fmt.Sprintf("i%03d", n), uint64(n+1)))
	}
	for _, self := range all {
		c := member.New(member.Config{
			Self: self, HeartbeatInterval: 100 * time.Millisecond, CrossDomainInterval: time.Second,
			HeartbeatTimeout: 2 * time.Second, CrossDomainTimeout: 4 * time.Second, MaxFullMesh: 16, ContactsPerDomain: 2, MaxGossip: 64,
		})
		for _, other := range all {
			c.Handle(second, member.Discovered{Instance: other})
		}
		cores[self.Name] = c
	}
	sent := 0
	for now := second; now < 4*second; now += 100 * millisecond {
		for _, self := range all {
			for _, effect := range cores[self.Name].Handle(now, member.Ticked{}) {
				send, ok := effect.(member.SendHeartbeat)
				if !ok {
					continue
				}
				sent++
				to := cores[send.To.Name]
				to.Handle(now, member.HeartbeatReceived{Heartbeat: send.Heartbeat})
				cores[self.Name].Handle(now, member.HeartbeatReceived{Heartbeat: to.NextHeartbeat(now), IsReply: true})
			}
		}
	}
	for _, c := range cores {
		is.Equal(len(c.View().Live), size)
	}
	is.Equal(sent, 30*size*8) // 8 contacts each: distances 1 to 128
}
