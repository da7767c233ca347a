package node

import (
	"math/rand/v2"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/lease"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/worker"
)

const (
	// followerPollTimeout is how long a read of a topic waits for records while no other instance relies on it.
	// minLeaderPollTimeout and maxLeaderPollTimeout bound that time for the leader.
	followerPollTimeout  = 20 * time.Second
	minLeaderPollTimeout = 400 * time.Millisecond
	maxLeaderPollTimeout = 1500 * time.Millisecond
	// followerOwnersReadInterval and leaderOwnersReadInterval are the delays between reads of the owners. The leader
	// reads often: its heartbeats keep the views of the others current, which bridges outages of the store. An
	// instance whose view has not been confirmed for maxOwnersAge reads as well, well before the view is too old to
	// act on.
	followerOwnersReadInterval = 3 * time.Second
	leaderOwnersReadInterval   = 1500 * time.Millisecond
	maxOwnersAge               = 6 * time.Second
	// minBatchDelay, or batchDelayPerInstance for each instance if that is more, is the delay that combines changes of
	// servers into one read, as when 300 servers start within 8 seconds. It is part of the time, at least two seconds,
	// within which a leaving server must be known.
	minBatchDelay         = 200 * time.Millisecond
	batchDelayPerInstance = 9 * time.Millisecond
	maxBatchDelay         = 800 * time.Millisecond
	configBatchDelay      = 10 * time.Millisecond
)

// newWatches returns the watches of the three topics, by topic.
func (n *Node) newWatches() map[string]*follow.Watch {
	configDelay := func() time.Duration { return configBatchDelay }
	watches := map[string]*follow.Watch{
		n.platform.ConfigTopic:  {ReadsStore: n.readsStore, PollTimeout: n.pollTimeout, BatchDelay: configDelay, CatchUpFromSnapshot: true, MaxStaleness: n.maxStaleness},
		n.platform.ServersTopic: {ReadsStore: n.readsStore, PollTimeout: n.pollTimeout, BatchDelay: n.batchDelay, MaxStaleness: n.maxStaleness},
		n.platform.OwnersTopic:  {ReadsStore: n.readsOwners, ReadInterval: n.ownersReadInterval, BatchDelay: configDelay, MaxStaleness: n.maxOwnersStaleness, Staleness: n.leases.ReadAge},
	}
	for topic, w := range watches {
		w.Store, w.Topic, w.Clock, w.Out = n.platform.Store, topic, clock.Boot{}, n.updates[topic]
		w.ReadNow, w.PeerUpdates, w.RetryDelay = n.readRequests[topic], n.peerUpdates[topic], n.topicRetryDelay(w)
		w.Peers, w.StoreDeadline = n, n.storeDeadline(topic)
	}
	return watches
}

// startWatches runs the watches in a group.
func (n *Node) startWatches(group *worker.Group) {
	for topic, w := range n.watches {
		group.Go("follow-"+topic, w.Run)
	}
}

// Delays after which an instance reads although others should, and after failed reads.
const (
	// stalenessSlack is how late the leader's confirmation may arrive that no record is missing.
	stalenessSlack = 250 * time.Millisecond
	// stalenessReserve is kept of the time within which a change must be known everywhere. It covers the slack and the
	// spread, the interval between two checks of the age, a read, and what follows from it.
	stalenessReserve = time.Second
	// maxStalenessSpread, or stalenessSpreadPerInstance for each instance if that is less, is the range over which the
	// instances spread their reads, so that they do not read at the same moment: the first that reads
	// broadcasts what it has read, which takes a read and a message.
	maxStalenessSpread         = 300 * time.Millisecond
	stalenessSpreadPerInstance = 25 * time.Millisecond
	// minRetryDelay, or retryDelayPerInstance for each live instance if that is more, is the mean delay after a failed
	// read, maxRetryDelay the limit of that mean. So the instances that reach one another call the store equally often in
	// total whatever their number; the first that gets an answer broadcasts it.
	minRetryDelay         = 250 * time.Millisecond
	retryDelayPerInstance = 40 * time.Millisecond
	maxRetryDelay         = 10 * time.Second
	// maxUnknownDoublings is how often the delay for a known topic doubles while it is not known how many instances call
	// the store. Afterwards the topic must come into force in time.
	maxUnknownDoublings = 3
	// storeAnswerSlack is how much longer than the poll timeout of the leader an answer of the store counts as proof
	// that an instance reaches the store, so that the leader does not lose its role while it waits for the next
	// answer.
	storeAnswerSlack = 500 * time.Millisecond
)

// maxStaleness returns the age from which on this instance reads by itself because its view has not been confirmed. It
// is lower for an instance than for those that ask it.
func (n *Node) maxStaleness() time.Duration {
	spread := n.scaled(stalenessSpreadPerInstance, maxStalenessSpread)
	return n.leaderPollTimeout() + n.roster.LeaderHeartbeatInterval() + stalenessSlack + time.Duration(n.treePart()*float64(spread))
}

// treePart returns the part of the instances, from 0 to 1, that are above this one in the tree of its failure domain, or of
// those that start together before the register is known.
func (n *Node) treePart() float64 {
	switch n.roster.Size().(type) {
	case roster.Known:
		return n.place().Part()
	case roster.Unknown:
	}
	s, _ := n.knownStart()
	return min(float64(s.Position*len(n.settings.Seeds))/float64(max(n.starters.Load(), 1)), 1)
}

const (
	// storeReadReserve is kept of the time within which a change must be known everywhere, for a read of the store after
	// other instances were asked in vain.
	storeReadReserve = 400 * time.Millisecond
	// minPeerTime is how long other instances are given to answer although the copy is older than that leaves.
	minPeerTime = 150 * time.Millisecond
)

// storeDeadline returns the function that decides when the store is read for a topic although other instances were asked,
// given the age of what this instance knows. It is earlier for an instance than for those that ask it.
func (n *Node) storeDeadline(topic string) func(age time.Duration, starting bool) time.Time {
	return func(age time.Duration, starting bool) time.Time {
		if starting {
			return n.startDeadline(topic)
		}
		spread := time.Duration((1 - n.treePart()) * float64(maxStalenessSpread))
		bound := n.newsBound()
		if topic == n.platform.OwnersTopic && age >= maxOwnersAge {
			// The owners are to be confirmed before they are too old to act on.
			bound = age + (lease.MaxViewAge-age)/2
		}
		return time.Now().Add(max(bound-storeReadReserve-spread-age, minPeerTime))
	}
}

// newsBound returns the time within which a change must be known everywhere.
func (n *Node) newsBound() time.Duration {
	bound := n.settings.Bounds.DrainSeconds
	if c := n.settings.Bounds.ConfigSeconds; c > 0 {
		bound = min(bound, c)
	}
	return time.Duration(bound * float64(time.Second))
}

// retryDelay returns the delay after a failed read. It varies by half the mean each way, so that instances that lost
// the store together do not keep calling it together.
//
// An instance that starts does not know how many others call the store as well, so its delay doubles with each failure,
// unless it is one of the few that read for the others.
func (n *Node) retryDelay(startFailures int) time.Duration {
	callers := len(n.roster.Alive(time.Now()))
	if n.startsAsReader() {
		startFailures = 0
	}
	if startFailures > 0 {
		callers = max(callers, int(n.starters.Load()))
	}
	mean := max(minRetryDelay, time.Duration(callers)*retryDelayPerInstance)
	mean = min(mean<<min(max(startFailures-1, 0), 8), maxRetryDelay)
	return mean/2 + rand.N(mean)
}

// topicRetryDelay returns the function that decides about the delay after a failed read of a watch. While it is not known
// how many instances call the store, a known topic is retried like one that is not known yet, but not as rarely.
func (n *Node) topicRetryDelay(w *follow.Watch) func(startFailures int) time.Duration {
	return func(startFailures int) time.Duration {
		if _, unknown := n.roster.Size().(roster.Unknown); unknown {
			startFailures = max(startFailures, min(w.Failures(), maxUnknownDoublings+1))
		}
		return n.retryDelay(startFailures)
	}
}

// readsStore reports whether this instance reads configuration and directory from the store: only the leader does,
// and broadcasts them. Three more readers cost a seventh of all calls (66 of 458) and were of no more use than any
// other instance, which reads when no confirmation arrives.
func (n *Node) readsStore() bool { return n.leases.Leads() }

// readsOwners reports whether this instance reads the owners from the store: the leader does, and an instance that
// might lead in its place.
func (n *Node) readsOwners() bool { return n.leases.Leads() || n.challengesLeader() }

// challengerFactor is how much more capacity than the leader an instance must have to take its place: with each new
// leader, all others learn of it only after some heartbeats.
const challengerFactor = 2

// challengesLeader reports whether this instance should lead in place of one with much less capacity. Only instances
// that the store has answered lately are eligible, so this instance reads the store until it leads.
func (n *Node) challengesLeader() bool {
	place := n.place()
	return place.Index == 0 && n.leases.Registered() && place.Leader.Share > 0 && n.workShare() > challengerFactor*place.Leader.Share
}

// maxOwnersStaleness returns the age of the owners from which on this instance reads them by itself. It is lower for an
// instance than for those that ask it.
func (n *Node) maxOwnersStaleness() time.Duration {
	return maxOwnersAge + time.Duration(n.treePart()*float64(maxStalenessSpread))
}

// batchDelay returns the delay between a read that returned records of the directory and the next one.
func (n *Node) batchDelay() time.Duration {
	return max(minBatchDelay, n.scaled(batchDelayPerInstance, maxBatchDelay))
}

// pollTimeout returns how long a read of this instance waits for records.
func (n *Node) pollTimeout() time.Duration {
	if n.leases.Leads() {
		return n.leaderPollTimeout()
	}
	return followerPollTimeout
}

// leaderPollTimeout returns how long a read of the leader waits for records. If the leader is lost, the others read
// by themselves after that time and the interval of its heartbeats, and must still know of a change within the time
// limits in the settings.
func (n *Node) leaderPollTimeout() time.Duration {
	wait := n.newsBound() - stalenessReserve - n.roster.LeaderHeartbeatInterval()
	return min(max(wait, minLeaderPollTimeout), maxLeaderPollTimeout)
}

// ownersReadInterval returns the delay between two reads of the owners.
func (n *Node) ownersReadInterval() time.Duration {
	if n.leases.Leads() {
		return leaderOwnersReadInterval
	}
	return followerOwnersReadInterval
}
