package node

import (
	"context"
	"math/rand/v2"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
)

// scope says which instances get a heartbeat, besides the leader, which always does.
type scope int

// The scopes. Each includes those before it.
const (
	toLeader scope = iota
	toDomain
	toAll
)

// heartbeatLoop sends heartbeats to the instances of the own failure domain and, less often, to all. When the confirmed
// offset or other state of this instance has changed, it sends one at once to the leader, which may be waiting for it.
func (n *Node) heartbeatLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var echo echoRequest
	var allAt time.Time
	spread := false
	for {
		to := toLeader
		select {
		case <-timer.C:
			to = toDomain
			timer.Reset(n.domainHeartbeatInterval())
		case <-n.heartbeatAllNow:
			to = toAll
		case <-n.heartbeatLeaderNow:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := time.Now()
		if !spread && n.roster.Len() > 1 {
			// Instances that start together would otherwise fill all links with their first heartbeats. Until then
			// each takes the others to be alive.
			spread, allAt = true, now.Add(rand.N(n.roster.HeartbeatInterval()))
		}
		if to == toDomain && !now.Before(allAt) {
			to = toAll
		}
		if to == toAll {
			allAt = now.Add(n.allHeartbeatInterval())
		}
		n.sendHeartbeats(to, &echo, now)
	}
}

// domainHeartbeatInterval returns the time to the next heartbeat to the own failure domain.
func (n *Node) domainHeartbeatInterval() time.Duration {
	if n.leases.Leads() {
		return min(n.roster.DomainHeartbeatInterval(), n.roster.LeaderHeartbeatInterval())
	}
	return n.roster.DomainHeartbeatInterval()
}

// allHeartbeatInterval returns the minimum time to the next heartbeat to all instances. It is shortened by half a
// domain interval, so that the heartbeat goes out with the nearest one to the own domain.
func (n *Node) allHeartbeatInterval() time.Duration {
	interval := n.roster.HeartbeatInterval()
	if n.leases.Leads() {
		interval = n.roster.LeaderHeartbeatInterval()
	}
	return interval - n.domainHeartbeatInterval()/2
}

// sendHeartbeats sends a heartbeat to the leader and to the instances in a scope. The instances of large failure domains
// hear of each other by digests instead, except of the leader and of an instance that stops.
//
// The peers, whose last heartbeats are echoed, are read before the heartbeat is made. If a heartbeat that arrived in
// between were echoed, its sender would take the content of this one for newer than it is.
func (n *Node) sendHeartbeats(to scope, echo *echoRequest, now time.Time) {
	others := n.roster.Others()
	leader, found := n.roster.Leader(now)
	h := n.newHeartbeat()
	n.roster.RecordHeartbeat(h, now)
	if found && leader.Name != n.settings.Name {
		n.sendHeartbeat(leader, h, echo.due(leader.Name, now))
	}
	everyone := to == toAll && (n.leases.Leads() || n.isStopping())
	digests := !everyone && n.roster.LargeDomain(n.settings.Domain)
	large := map[string]bool{}
	for _, p := range others {
		if _, known := large[p.Domain]; !known {
			large[p.Domain] = n.roster.LargeDomain(p.Domain)
		}
		inScope := to == toAll || to == toDomain && p.Domain == n.settings.Domain
		if p.Name != leader.Name && inScope && (!digests || !large[p.Domain]) {
			n.sendHeartbeat(p, h, false)
		}
	}
}

// echoRequestInterval is the time between two heartbeats that ask the leader to reply at once. Without these, half a
// second passes between a heartbeat that the leader gets and the next that it sends, and its information would seem
// older by that.
const echoRequestInterval = 2 * time.Second

// echoRequest is the peer that was last asked to reply at once, and when to ask again.
type echoRequest struct {
	peer   string
	nextAt time.Time
}

// due reports whether a peer is to be asked now, and if so records the request.
func (e *echoRequest) due(name string, now time.Time) bool {
	if e.peer == name && now.Before(e.nextAt) {
		return false
	}
	*e = echoRequest{name, now.Add(echoRequestInterval)}
	return true
}

// sendHeartbeat sends a heartbeat to one peer, with the echo of the peer's last one. Ask asks for a reply at once.
func (n *Node) sendHeartbeat(p roster.Peer, h roster.Heartbeat, ask bool) {
	if to, ok := peerAddress(p); ok {
		h.EchoAt, h.ReplyNow = p.Heartbeat.SentAt, ask
		n.port.Send(to, dgram.Heartbeat{Heartbeat: h})
	}
}

// maxKnowledgeAge is the age from which on a view of the owners, the configuration or the directory is of no use to
// peers.
const maxKnowledgeAge = 30 * time.Second

// newHeartbeat returns the heartbeat of this instance, without the fields that depend on the receiver.
func (n *Node) newHeartbeat() roster.Heartbeat {
	// Take the send time first. If it were taken after the ages, the view would seem younger by the time in between,
	// which is a large part of a tenth of a second where the share of a core is a quota.
	sentAt := clock.Boot{}.Now()
	complete, configEnd, serversEnd := n.completeness(sentAt)
	reached := n.currentReach()
	age := int64(-1)
	if a := n.leases.Age(); a < maxKnowledgeAge {
		age = a.Milliseconds() + 1
	}
	answeredAt := clock.Instant(n.storeAnsweredAt.Load())
	return roster.Heartbeat{
		StoreAnswered: answeredAt != 0 && clock.Boot{}.Now().Sub(answeredAt) < n.leaderPollTimeout()+storeAnswerSlack,
		CompleteAge:   complete,
		SentAt:        int64(sentAt), KnownAge: age,
		Name: n.settings.Name, Incarnation: n.incarnation, Confirmed: n.leases.ConfirmedOffset(),
		Known: n.leases.View().End, StoreOK: reached.owners && reached.directory,
		Stopping: n.isStopping(), Leads: n.leases.Leads(), ConfigEnd: configEnd, ServersEnd: serversEnd, Failing: n.failing(),
		LatestEra: n.leases.LatestEra(), ReadEnd: n.leases.UnopenedEnd(),
	}
}

// failing returns the content of roster.Heartbeat.Failing.
func (n *Node) failing() []string {
	out := n.leases.Failing()
	if n.dialer.Table.ReachesNone() {
		out = append(out, roster.AllServers)
	}
	return out
}

// completeness returns the end offsets of the configuration and the directory that this instance acts on, and how long
// before an instant they were last known to be the ends of their topics, in milliseconds; negative if that is too long
// ago to be of use to peers.
func (n *Node) completeness(at clock.Instant) (age int64, configEnd, serversEnd logpos.Pos) {
	configEnd, configUntil := n.watches[n.platform.ConfigTopic].Known()
	serversEnd, serversUntil := n.watches[n.platform.ServersTopic].Known()
	return ageMillis(at, min(configUntil, serversUntil)), configEnd, serversEnd
}

// ageMillis returns the age in milliseconds, at an instant, of a view that is current as of another; negative if it
// is of no use to peers.
func ageMillis(at, until clock.Instant) int64 {
	age := at.Sub(until)
	if until == 0 || age > maxKnowledgeAge {
		return -1
	}
	return max(age.Milliseconds()+1, 0)
}

// confirmCurrent uses the statement of a peer that it misses nothing before the ends that it knows: a watch of this
// instance with the same end is current as of the same time. A watch with a lower end must read the store instead.
func (n *Node) confirmCurrent(h roster.Heartbeat) {
	sentAt, dated := n.roster.EarliestSendTime(h.Name, h.SentAt, clock.Boot{}.Now())
	if h.CompleteAge < 0 || !dated {
		return
	}
	until := sentAt.Add(-time.Duration(h.CompleteAge) * time.Millisecond)
	n.watches[n.platform.ConfigTopic].ConfirmCurrent(h.ConfigEnd, until)
	n.watches[n.platform.ServersTopic].ConfirmCurrent(h.ServersEnd, until)
}

// handleHeartbeat processes the heartbeat of a peer, and reads the topics of which the peer knows more.
func (n *Node) handleHeartbeat(h roster.Heartbeat) {
	now := time.Now()
	h.EchoAt = ownEcho(h.EchoAt, n.startedInstant, n.leases.Clock.Now())
	h = h.InEras(n.leases.View().End.Era(), n.topicEra(n.platform.ConfigTopic), n.topicEra(n.platform.ServersTopic))
	n.roster.RecordHeartbeat(h, now)
	n.roster.RecordEcho(h, clock.Boot{}.Now())
	if h.ReplyNow {
		n.replyWithHeartbeat(h.Name)
	}
	n.leases.HandleHeartbeat(h)
	n.checkLag(n.platform.OwnersTopic, h.Name, max(h.Known, logpos.At(h.LatestEra, 0), h.ReadEnd), n.leases.Read().End, now)
	configEnd, _ := n.watches[n.platform.ConfigTopic].Known()
	n.noteConfigEnd(h.ConfigEnd)
	serversEnd, _ := n.watches[n.platform.ServersTopic].Known()
	n.checkLag(n.platform.ConfigTopic, h.Name, h.ConfigEnd, configEnd, now)
	n.checkLag(n.platform.ServersTopic, h.Name, h.ServersEnd, serversEnd, now)
	n.overdue.observe(h.ServersEnd, serversEnd, now)
	n.confirmCurrent(h)
}

// ownEcho returns the time at which this process has sent the heartbeat that is echoed, zero if an earlier process of the instance
// has sent it. The clock of another machine may have been ahead: its times would make a view seem the newest for as long.
func ownEcho(echoAt int64, startedAt, now clock.Instant) int64 {
	if at := clock.Instant(echoAt); at.Before(startedAt) || now.Before(at) {
		return 0
	}
	return echoAt
}

// noteConfigEnd takes in the end of the topic of the configuration that another instance knows.
func (n *Node) noteConfigEnd(end logpos.Pos) {
	for known := n.configEnd.Load(); int64(end) > known; known = n.configEnd.Load() {
		if n.configEnd.CompareAndSwap(known, int64(end)) {
			return
		}
	}
}

// ConfigOutdated implements edge.Cluster.
func (n *Node) ConfigOutdated() bool {
	known, _ := n.watches[n.platform.ConfigTopic].Known()
	return int64(known) < n.configEnd.Load()
}

// topicEra returns the era of the store of which this instance knows a topic.
func (n *Node) topicEra(topic string) logpos.Era {
	if topic == n.platform.OwnersTopic {
		return n.leases.Read().End.Era()
	}
	end, _ := n.watches[topic].Known()
	return end.Era()
}

// replyWithHeartbeat sends a heartbeat at once to the peer that asked for it.
func (n *Node) replyWithHeartbeat(name string) {
	if p, known := n.roster.Peer(name); known {
		n.sendHeartbeat(p, n.newHeartbeat(), false)
	}
}

// checkLag requests a read of a topic, and logs it, if this instance has known less of the topic than a peer for too long.
func (n *Node) checkLag(topic, peer string, peerEnd, ownEnd logpos.Pos, now time.Time) {
	if n.lag[topic].observe(peerEnd, ownEnd, n.lagTimeout(), now) {
		n.events.Record(event.StateChange, "behind", "topic", topic, "known", ownEnd, "known-elsewhere", peerEnd)
		n.peersAhead.Store(topic, peer)
		n.watches[topic].RequireEnd(peerEnd)
		n.requestRead(topic)
	}
}
