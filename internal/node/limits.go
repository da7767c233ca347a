package node

import (
	"context"
	"slices"
	"time"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/worker"
)

const (
	// limitTellInterval is the time between two messages about a limit. The next one makes up for one that was lost.
	limitTellInterval = 400 * time.Millisecond
	// limitTellTime is for how long a limit is told after it was last seen in a response.
	limitTellTime = 10 * time.Second
)

// observeLimit takes in the limit that a server has stated in the response to a request, or that it has stated none.
func (n *Node) observeLimit(done admit.Completion, sentAt, now time.Time) {
	stated := done.Limit
	if stated.Rate == 0 && done.Outcome != admit.Answered {
		// Only what a server answers as usual shows that it states no limit any more.
		return
	}
	if n.cluster.limits.Observe(done.Server, stated, sentAt, now) {
		n.limitChanged(done.Server, "response")
		n.tellLimit(done.Server, n.cluster.limits.Rate(done.Server), now)
	}
}

// handleLimit takes in the limit of a server that another instance has seen.
func (n *Node) handleLimit(m dgram.ServerLimit) {
	if _, found := n.cluster.servers().Get(m.Server); found && n.cluster.limits.Tell(m.Server, m.Rate, time.Now()) {
		n.limitChanged(m.Server, "instance")
	}
}

// limitChanged applies and logs the change of the limit of a server, which was learned from a source.
func (n *Node) limitChanged(server, source string) {
	n.events.Record(event.StateChange, "server-limit", "server", server, "per-second", n.cluster.limits.Rate(server), "source", source)
	n.cluster.republish(server)
	n.serversChanged()
}

// limitLoop tells the limits that this instance has seen, and drops those that are outdated, until the context ends.
func (n *Node) limitLoop(ctx context.Context) error {
	for worker.Sleep(ctx, limitTellInterval) {
		now := time.Now()
		for _, server := range n.cluster.limits.Expire(n.cluster.servers().Has, now) {
			n.limitChanged(server, "expired")
		}
		for server, rate := range n.cluster.limits.Seen(limitTellTime, now) {
			n.tellLimit(server, rate, now)
		}
	}
	return ctx.Err()
}

// tellLimit tells the limit of a server to those that may decide about its requests and keys: the other controllers, and
// the leader. Only a controller tells, so that the number of messages does not depend on that of the instances.
func (n *Node) tellLimit(server string, rate float64, now time.Time) {
	n.admissions.mu.Lock()
	receivers := n.admissions.controllersOf(server, now)
	n.admissions.mu.Unlock()
	if !contains(receivers, n.settings.Name) {
		return
	}
	if leader, found := n.roster.Leader(now); found && !contains(receivers, leader.Name) {
		receivers = append(receivers, leader)
	}
	for _, p := range receivers {
		if to, ok := peerAddress(p); ok && p.Name != n.settings.Name {
			n.port.Send(to, dgram.ServerLimit{Server: server, Rate: rate})
		}
	}
}

// contains reports whether an instance is among peers.
func contains(peers []roster.Peer, name string) bool {
	return slices.ContainsFunc(peers, func(p roster.Peer) bool { return p.Name == name })
}
