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

func newCore(maxFullMesh int) *member.Core {
	return member.New(member.Config{
		Self: instance("a", 1), HeartbeatInterval: 100 * time.Millisecond, CrossDomainInterval: time.Second,
		HeartbeatTimeout: 500 * time.Millisecond, CrossDomainTimeout: 2 * time.Second, MaxFullMesh: maxFullMesh, ContactsPerDomain: 2, MaxGossip: 8,
	})
}

func received(i member.Instance, count uint64, change func(*member.Heartbeat)) member.HeartbeatReceived {
	h := member.HeartbeatReceived{Heartbeat: member.Heartbeat{Instance: i, Count: count}}
	if change != nil {
		change(&h.Heartbeat)
	}
	return h
}

func listsA(h *member.Heartbeat) {
	h.Direct = []member.Process{{Name: "a", Incarnation: 1}}
}

// A link is cut in one direction. Heartbeats of b arrive, but b does not receive those of this
// instance. Work sent to b would be lost, so the view must show the link as one-way although b
// is live.
func TestLinkCutOneWay(t *testing.T) {
	b := instance("b", 7)
	tests := map[string]struct {
		heartbeat member.HeartbeatReceived
		link      member.Link
	}{
		"both ways":    {heartbeat: received(b, 1, listsA), link: member.LinkBoth},
		"inbound only": {heartbeat: received(b, 1, nil), link: member.LinkIn},
		"reply":        {heartbeat: member.HeartbeatReceived{Heartbeat: member.Heartbeat{Instance: b, Count: 1}, IsReply: true}, link: member.LinkBoth},
		"known by gossip": {heartbeat: received(instance("c", 1), 1, func(h *member.Heartbeat) {
			h.Gossip = []member.HeartbeatCount{{Process: b.Process, Count: 1}}
		}), link: member.LinkNone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore(8)
			c.Handle(second, member.Discovered{Instance: b})
			c.Handle(second, test.heartbeat)
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

// The network delivers a heartbeat a second time, long after it was sent. The copy must not
// extend the time for which its sender counts as live.
func TestRepeatedHeartbeatIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCore(8)
	c.Handle(second, received(instance("b", 7), 3, nil))
	c.Handle(second+400*millisecond, received(instance("b", 7), 3, nil))
	c.Handle(second+500*millisecond, member.Ticked{})
	is.Equal(len(c.View().Live), 1)
}

// b was replaced and the new process sends heartbeats, but the platform's list still shows the
// old one. The new process must stay live until the list catches up. Then the old one is
// removed.
func TestLaggingListDoesNotHideNewProcess(t *testing.T) {
	is := is.New(t)
	c := newCore(8)
	old, fresh := instance("b", 9), instance("b", 7)
	c.Handle(second, received(fresh, 1, listsA))
	c.Handle(second, member.InstancesListed{Instances: []member.ListedInstance{{Instance: old}}})
	is.Equal(c.View().Live[1].Process, fresh.Process)
	is.Equal(len(c.View().Removed), 0)
	c.Handle(second, member.InstancesListed{Instances: []member.ListedInstance{{Instance: fresh}}})
	is.Equal(c.View().Live[1].Process, fresh.Process)
	is.Equal(c.View().Removed, []member.Process{old.Process})
}

// This process was paused for so long that the platform replaced it. It must be notified of
// that once, even if its peers still answer it.
func TestRemovedProcessIsNotifiedOnce(t *testing.T) {
	self := member.ListedInstance{Instance: instance("a", 1)}
	other := member.ListedInstance{Instance: instance("a", 2)}
	tests := map[string]struct {
		lists   [][]member.ListedInstance
		removed int
	}{
		"not listed yet":                 {lists: [][]member.ListedInstance{{}, {}}},
		"still listed":                   {lists: [][]member.ListedInstance{{self}, {self}}},
		"no longer listed":               {lists: [][]member.ListedInstance{{self}, {}, {}}, removed: 1},
		"replaced":                       {lists: [][]member.ListedInstance{{self}, {other}}, removed: 1},
		"old list shows the predecessor": {lists: [][]member.ListedInstance{{other}, {self}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore(8)
			removed := 0
			for n, list := range test.lists {
				for _, e := range c.Handle(member.Time(n+1)*second, member.InstancesListed{Instances: list}) {
					if _, ok := e.(member.Removed); ok {
						removed++
					}
				}
			}
			is.Equal(removed, test.removed)
		})
	}
}

// The leader b of term 2 steps down, and c, which does not know that yet, still names it as
// leader. The outdated heartbeat of c must not restore the leader. A leader of a higher term is
// accepted.
func TestLeaderThatSteppedDownStaysDown(t *testing.T) {
	is := is.New(t)
	c := newCore(8)
	b, d := instance("b", 7), instance("d", 9)
	leads := func(i member.Instance, term uint64) func(*member.Heartbeat) {
		return func(h *member.Heartbeat) { h.Leader, h.Term = i.Process, grant.Term{Log: term} }
	}
	c.Handle(second, received(b, 1, leads(b, 2)))
	is.Equal(c.View().Leader, b.Process)
	c.Handle(second, received(b, 2, leads(member.Instance{}, 2)))
	is.Equal(c.View().Leader, member.Process{})
	c.Handle(second, received(instance("c", 8), 1, leads(b, 2)))
	is.Equal(c.View().Leader, member.Process{})
	c.Handle(second, received(d, 1, leads(d, 3)))
	is.Equal(c.View().Leader, d.Process)
	c.Handle(second+600*millisecond, member.Ticked{})
	is.Equal(c.View().Leader, member.Process{}) // d is not live
}

// The only instance of a domain sends no heartbeats and is live in its own view.
func TestDomainOfOne(t *testing.T) {
	is := is.New(t)
	c := newCore(8)
	effects := c.Handle(second, member.Ticked{})
	is.Equal(len(effects), 1)
	is.Equal(c.View().Live, []member.LiveInstance{{Instance: instance("a", 1), Link: member.LinkBoth}})
	is.Equal(c.View().Rank("a"), 0)
}

// In a group of 200 each instance sends heartbeats to a few contacts. Every instance must be
// live in every view by gossip, at a cost per instance that grows with the logarithm of the
// group.
func TestLargeGroupIsLiveByGossip(t *testing.T) {
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
