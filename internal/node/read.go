package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/duty"
	"example.org/mustardring/internal/follow"
)

// The pace of what a node does.
const (
	// pollWait is how long a read of a topic waits for news where others rely on nobody's reads,
	// pollLeast and pollMost bound that time for the leader.
	pollWait  = 20 * time.Second
	pollLeast = 400 * time.Millisecond
	pollMost  = 1500 * time.Millisecond
	// ownersEvery is how often the owners are read. The leader reads often: its heartbeats keep
	// the others' knowledge fresh, which bridges outages of the store. Who has not heard for
	// ownersAge reads as well, well before its knowledge is too old to act on.
	ownersEvery       = 3 * time.Second
	ownersEveryLeader = 1500 * time.Millisecond
	ownersAge         = 6 * time.Second
	// settleLeast, and settleEach for each instance, join the changes of servers that come close
	// together into one call, as when 300 start one after the other within 8 seconds. It is a
	// part of the two seconds and more in which a leaving server must be known.
	settleLeast = 200 * time.Millisecond
	settleEach  = 9 * time.Millisecond
	settleMost  = 800 * time.Millisecond
	configPause = 10 * time.Millisecond
)

// newTopics returns what follows the topics of the store.
func (n *Node) newTopics() map[string]*follow.Watch {
	calm := func() time.Duration { return configPause }
	out := map[string]*follow.Watch{
		n.around.ConfigTopic:  {ReadsStore: n.reads, PollTimeout: n.pollWait, BatchDelay: calm, CatchUpFromSnapshot: true, MaxStaleness: n.overdue},
		n.around.ServersTopic: {ReadsStore: n.reads, PollTimeout: n.pollWait, BatchDelay: n.settle, MaxStaleness: n.overdue},
		n.around.OwnersTopic:  {ReadsStore: n.readsOwners, ReadInterval: n.ownersEvery, BatchDelay: calm},
	}
	for name, t := range out {
		t.Store, t.Topic, t.Clock, t.Out = n.around.Store, name, clock.Boot{}, n.updates
		t.ReadNow, t.PeerUpdates, t.RetryDelay = n.again[name], n.news[name], n.retryPause
	}
	return out
}

func (n *Node) follow(duties *duty.Group) {
	for name, t := range n.topics {
		duties.Go("follow-"+name, func(ctx context.Context) error {
			if name == n.around.OwnersTopic && !n.awaitRegistration(ctx) {
				return ctx.Err()
			}
			return t.Run(ctx)
		})
	}
}

// awaitRegistration waits until a record of this instance may be in the register: what is read of the owners counts
// from there on.
func (n *Node) awaitRegistration(ctx context.Context) bool {
	select {
	case <-n.registered:
		return true
	case <-ctx.Done():
		return false
	}
}

// The times of reading although others should.
const (
	// overdueSlack is how late the word of the leader may come that nothing is missing.
	overdueSlack = 250 * time.Millisecond
	// overdueReserve is kept of the time in which news must be known everywhere: the slack and the
	// spread, the pause between two looks at the age, a read, and what follows from it.
	overdueReserve = time.Second
	// overdueSpread, overdueEach for each instance, keeps instances from reading at the same
	// moment: the first that reads tells the others, which takes a read and a message.
	overdueSpread = 300 * time.Millisecond
	overdueEach   = 25 * time.Millisecond
	// retryLeast, or retryEach for each instance that is heard, is the mean pause after a read that failed,
	// retryMost the longest. So all instances that hear one another together call as often whatever their number:
	// the first that is answered tells the others.
	retryLeast = 250 * time.Millisecond
	retryEach  = 40 * time.Millisecond
	retryMost  = 10 * time.Second
	// provenSlack is how much longer than the leader waits for an answer the store counts as
	// proven to answer an instance: the leader is to stay what it is.
	provenSlack = 500 * time.Millisecond
)

// overdue returns the age of the knowledge that nothing is missing from which on this instance
// reads for itself.
func (n *Node) overdue() time.Duration {
	spread := min(overdueSpread, time.Duration(n.instances())*overdueEach)
	part := float64(xxhash.Sum64String(n.settings.Name)>>11) / (1 << 53)
	return n.pollLeader() + n.roster.LeaderHeartbeatInterval() + overdueSlack + time.Duration(part*float64(spread))
}

// retryPause returns the pause after a read that failed. It varies by a half each way, so that instances that lost the
// store together do not go on calling it together.
func (n *Node) retryPause() time.Duration {
	heard := len(n.roster.Alive(time.Now()))
	mean := min(max(retryLeast, time.Duration(heard)*retryEach), retryMost)
	return mean/2 + rand.N(mean)
}

// reads reports whether this instance reads configuration and directory from the store: the
// leader does, and tells the others. Three more that read as well cost a seventh of all calls (66 of
// 458) and were of no more use than the others are, each of which reads when word is overdue.
func (n *Node) reads() bool { return n.holder.Leads() }

// readsOwners reports whether this instance reads the owners from the store: the leader does,
// and who has not heard from others for some time that nothing has changed.
func (n *Node) readsOwners() bool { return n.holder.Leads() || n.holder.Age() > ownersAge }

func (n *Node) settle() time.Duration {
	return min(max(settleLeast, time.Duration(n.instances())*settleEach), settleMost)
}

func (n *Node) pollWait() time.Duration {
	if n.holder.Leads() {
		return n.pollLeader()
	}
	return pollWait
}

// pollLeader returns how long a read of the leader waits for news. Should the leader be lost, the
// others read for themselves after that time and the pause between two heartbeats, and must still
// know within the bounds of the users.
func (n *Node) pollLeader() time.Duration {
	bound := n.settings.Bounds.DrainSeconds
	if c := n.settings.Bounds.ConfigSeconds; c > 0 {
		bound = min(bound, c)
	}
	wait := time.Duration(bound*float64(time.Second)) - overdueReserve - n.roster.LeaderHeartbeatInterval()
	return min(max(wait, pollLeast), pollMost)
}

func (n *Node) ownersEvery() time.Duration {
	if n.holder.Leads() {
		return ownersEveryLeader
	}
	return ownersEvery
}
