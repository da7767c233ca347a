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
	// followerPollTimeout is how long a read of a topic waits for news where others rely on nobody's reads,
	// pollLeast and pollMost bound that time for the leader.
	followerPollTimeout  = 20 * time.Second
	minLeaderPollTimeout = 400 * time.Millisecond
	maxLeaderPollTimeout = 1500 * time.Millisecond
	// followerOwnersReadInterval is how often the owners are read. The leader reads often: its heartbeats keep
	// the others' knowledge fresh, which bridges outages of the store. Who has not heard for
	// ownersAge reads as well, well before its knowledge is too old to act on.
	followerOwnersReadInterval = 3 * time.Second
	leaderOwnersReadInterval   = 1500 * time.Millisecond
	maxOwnersAge               = 6 * time.Second
	// minBatchDelay, and settleEach for each instance, join the changes of servers that come close
	// together into one call, as when 300 start one after the other within 8 seconds. It is a
	// part of the two seconds and more in which a leaving server must be known.
	minBatchDelay         = 200 * time.Millisecond
	batchDelayPerInstance = 9 * time.Millisecond
	maxBatchDelay         = 800 * time.Millisecond
	configBatchDelay      = 10 * time.Millisecond
)

// newWatches returns what follows the topics of the store.
func (n *Node) newWatches() map[string]*follow.Topic {
	calm := func() time.Duration { return configBatchDelay }
	out := map[string]*follow.Topic{
		n.platform.ConfigTopic:  {Direct: n.readsStore, Wait: n.pollTimeout, Settle: calm, Latest: true, Overdue: n.maxStaleness},
		n.platform.ServersTopic: {Direct: n.readsStore, Wait: n.pollTimeout, Settle: n.batchDelay, Overdue: n.maxStaleness},
		n.platform.OwnersTopic:  {Direct: n.readsOwners, Every: n.ownersReadInterval, Settle: calm},
	}
	for name, t := range out {
		t.Store, t.Name, t.Clock, t.Out = n.platform.Store, name, clock.Boot{}, n.updates
		t.Again, t.News, t.Retry = n.readRequests[name], n.peerUpdates[name], n.retryDelay
	}
	return out
}

func (n *Node) startWatches(duties *duty.Group) {
	for name, t := range n.watches {
		duties.Go("follow-"+name, func(ctx context.Context) error {
			if name == n.platform.OwnersTopic && !n.awaitRegistration(ctx) {
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
	// stalenessSlack is how late the word of the leader may come that nothing is missing.
	stalenessSlack = 250 * time.Millisecond
	// stalenessReserve is kept of the time in which news must be known everywhere: the slack and the
	// spread, the pause between two looks at the age, a read, and what follows from it.
	stalenessReserve = time.Second
	// maxStalenessSpread, overdueEach for each instance, keeps instances from reading at the same
	// moment: the first that reads tells the others, which takes a read and a message.
	maxStalenessSpread         = 300 * time.Millisecond
	stalenessSpreadPerInstance = 25 * time.Millisecond
	// minRetryDelay, or retryEach for each instance that is heard, is the mean pause after a read that failed,
	// retryMost the longest. So all instances that hear one another together call as often whatever their number:
	// the first that is answered tells the others.
	minRetryDelay         = 250 * time.Millisecond
	retryDelayPerInstance = 40 * time.Millisecond
	maxRetryDelay         = 10 * time.Second
	// storeAnswerSlack is how much longer than the leader waits for an answer the store counts as
	// proven to answer an instance: the leader is to stay what it is.
	storeAnswerSlack = 500 * time.Millisecond
)

// maxStaleness returns the age of the knowledge that nothing is missing from which on this instance
// reads for itself.
func (n *Node) maxStaleness() time.Duration {
	spread := min(maxStalenessSpread, time.Duration(n.instances())*stalenessSpreadPerInstance)
	part := float64(xxhash.Sum64String(n.settings.Name)>>11) / (1 << 53)
	return n.leaderPollTimeout() + n.roster.LeaderEvery() + stalenessSlack + time.Duration(part*float64(spread))
}

// retryDelay returns the pause after a read that failed. It varies by a half each way, so that instances that lost the
// store together do not go on calling it together.
func (n *Node) retryDelay() time.Duration {
	heard := len(n.roster.Alive(time.Now()))
	mean := min(max(minRetryDelay, time.Duration(heard)*retryDelayPerInstance), maxRetryDelay)
	return mean/2 + rand.N(mean)
}

// readsStore reports whether this instance reads configuration and directory from the store: the
// leader does, and tells the others. Three more that read as well cost a seventh of all calls (66 of
// 458) and were of no more use than the others are, each of which reads when word is overdue.
func (n *Node) readsStore() bool { return n.leases.Leads() }

// readsOwners reports whether this instance reads the owners from the store: the leader does,
// and who has not heard from others for some time that nothing has changed.
func (n *Node) readsOwners() bool { return n.leases.Leads() || n.leases.Age() > maxOwnersAge }

func (n *Node) batchDelay() time.Duration {
	return min(max(minBatchDelay, time.Duration(n.instances())*batchDelayPerInstance), maxBatchDelay)
}

func (n *Node) pollTimeout() time.Duration {
	if n.leases.Leads() {
		return n.leaderPollTimeout()
	}
	return followerPollTimeout
}

// leaderPollTimeout returns how long a read of the leader waits for news. Should the leader be lost, the
// others read for themselves after that time and the pause between two heartbeats, and must still
// know within the bounds of the users.
func (n *Node) leaderPollTimeout() time.Duration {
	bound := n.settings.Bounds.DrainSeconds
	if c := n.settings.Bounds.ConfigSeconds; c > 0 {
		bound = min(bound, c)
	}
	wait := time.Duration(bound*float64(time.Second)) - stalenessReserve - n.roster.LeaderEvery()
	return min(max(wait, minLeaderPollTimeout), maxLeaderPollTimeout)
}

func (n *Node) ownersReadInterval() time.Duration {
	if n.leases.Leads() {
		return leaderOwnersReadInterval
	}
	return followerOwnersReadInterval
}
