package node

import (
	"context"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/gram"
	"example.org/mustardring/internal/roster"
)

// scope says whom a heartbeat goes to, besides the leader.
type scope int

// The scopes, each of which holds those before it.
const (
	toLeader scope = iota
	toDomain
	toAll
)

// heartbeatLoop sends heartbeats to the instances of its domain and, less often, to all, and, as soon as what it
// confirms has changed, to the leader, which may wait for that.
func (n *Node) heartbeatLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var asked echoRequest
	var allAt time.Time
	for {
		whom := toLeader
		select {
		case <-timer.C:
			whom = toDomain
			timer.Reset(n.domainHeartbeatInterval())
		case <-n.heartbeatAllNow:
			whom = toAll
		case <-n.heartbeatLeaderNow:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := time.Now()
		if whom == toDomain && !now.Before(allAt) {
			whom = toAll
		}
		if whom == toAll {
			allAt = now.Add(n.allHeartbeatInterval())
		}
		n.sendHeartbeats(whom, &asked, now)
	}
}

// domainHeartbeatInterval returns the time to the next heartbeat to the own domain.
func (n *Node) domainHeartbeatInterval() time.Duration {
	if n.leases.Leads() {
		return min(n.roster.EveryNear(), n.roster.LeaderEvery())
	}
	return n.roster.EveryNear()
}

// allHeartbeatInterval returns the time to the next heartbeat to all. It goes with one to the own domain, the nearest in
// time.
func (n *Node) allHeartbeatInterval() time.Duration {
	every := n.roster.Every()
	if n.leases.Leads() {
		every = n.roster.LeaderEvery()
	}
	return every - n.domainHeartbeatInterval()/2
}

// sendHeartbeats sends a heartbeat to the leader and to those in a scope.
//
// What came from them is taken down before what this instance says: by the echo of a heartbeat that came
// in between, they would date its word by a moment after it.
func (n *Node) sendHeartbeats(whom scope, asked *echoRequest, now time.Time) {
	others := n.roster.Others()
	leader, found := n.roster.Leader(now)
	b := n.newHeartbeat()
	n.roster.Heard(b, now)
	if found && leader.Name != n.settings.Name {
		n.sendHeartbeat(leader, b, asked.due(leader.Name, now))
	}
	for _, p := range others {
		if p.Name != leader.Name && (whom == toAll || whom == toDomain && p.Domain == n.settings.Domain) {
			n.sendHeartbeat(p, b, false)
		}
	}
}

// echoRequestInterval is the pause between two heartbeats that ask the leader for one at once. The time from one
// that it gets to the next that it sends is half a second else, and its news would seem older by that.
const echoRequestInterval = 2 * time.Second

// echoRequest is who was asked last for a heartbeat at once, and when to ask again.
type echoRequest struct {
	peer   string
	nextAt time.Time
}

// due reports whether an instance should be asked, and notes that it is.
func (a *echoRequest) due(name string, now time.Time) bool {
	if a.peer == name && now.Before(a.nextAt) {
		return false
	}
	*a = echoRequest{name, now.Add(echoRequestInterval)}
	return true
}

// sendHeartbeat sends a heartbeat to one instance, with the echo of its last one.
func (n *Node) sendHeartbeat(p roster.Peer, b roster.Beat, ask bool) {
	if to, ok := peerAddress(p); ok {
		b.EchoAt, b.Ask = p.Beat.SentAt, ask
		n.port.Send(to, gram.Heartbeat{Beat: b})
	}
}

// maxKnowledgeAge is the age from which on knowledge of the owners is of no use to others.
const maxKnowledgeAge = 30 * time.Second

func (n *Node) newHeartbeat() roster.Beat {
	// The time of sending is taken first: an age that is told with a later one would make what is known
	// seem younger by what passed between, a good part of a tenth of a second where a part of a core is a quota.
	sentAt := clock.Boot{}.Now()
	complete, config, servers := n.completeness(sentAt)
	reached := n.currentReach()
	age := int64(-1)
	if a := n.leases.Age(); a < maxKnowledgeAge {
		age = a.Milliseconds() + 1
	}
	proven := clock.Instant(n.storeAnsweredAt.Load())
	return roster.Beat{
		Proven:   proven != 0 && clock.Boot{}.Now().Sub(proven) < n.leaderPollTimeout()+storeAnswerSlack,
		Complete: complete,
		SentAt:   int64(sentAt), KnownAge: age,
		Name: n.settings.Name, Incarnation: n.incarnation, Confirmed: n.leases.Confirmed(),
		Known: n.leases.Owners().End, StoreOK: reached.owners && reached.directory,
		Stopping: n.isStopping(), Leads: n.leases.Leads(), Config: config, Servers: servers, Failing: n.leases.Failing(),
	}
}

// completeness returns the ends of the configuration and the directory that this instance acts by, and how
// old the knowledge is at an instant that nothing is missing before them, in milliseconds, negative if
// it is of no use to others.
func (n *Node) completeness(at clock.Instant) (age, config, servers int64) {
	config, configUntil := n.watches[n.platform.ConfigTopic].Known()
	servers, serversUntil := n.watches[n.platform.ServersTopic].Known()
	return ageMillis(at, min(configUntil, serversUntil)), config, servers
}

// ageMillis returns the age at an instant of knowledge up to another, negative if it is of no use to others.
func ageMillis(at, until clock.Instant) int64 {
	age := at.Sub(until)
	if until == 0 || age > maxKnowledgeAge {
		return -1
	}
	return max(age.Milliseconds()+1, 0)
}

// confirmCurrent takes in that another instance misses nothing before the ends it knows. Who knows less
// than that one must read instead.
func (n *Node) confirmCurrent(b roster.Beat) {
	sentAt, dated := n.roster.Date(b.Name, b.SentAt, clock.Boot{}.Now())
	if b.Complete < 0 || !dated {
		return
	}
	until := sentAt.Add(-time.Duration(b.Complete) * time.Millisecond)
	n.watches[n.platform.ConfigTopic].Refresh(b.Config, until)
	n.watches[n.platform.ServersTopic].Refresh(b.Servers, until)
}

// handleHeartbeat takes in the heartbeat of another instance, and reads again what that one knows more
// of.
func (n *Node) handleHeartbeat(b roster.Beat) {
	now := time.Now()
	n.roster.Heard(b, now)
	n.roster.Echoed(b, clock.Boot{}.Now())
	if b.Ask {
		n.replyWithHeartbeat(b.Name)
	}
	n.leases.Hear(b)
	if n.checkLag(n.platform.OwnersTopic, b.Known, n.leases.Owners().End, now) {
		n.requestView(b.Name)
	}
	config, _ := n.watches[n.platform.ConfigTopic].Known()
	servers, _ := n.watches[n.platform.ServersTopic].Known()
	n.checkLag(n.platform.ConfigTopic, b.Config, config, now)
	n.checkLag(n.platform.ServersTopic, b.Servers, servers, now)
	n.confirmCurrent(b)
}

// replyWithHeartbeat sends a heartbeat at once to who asked for it.
func (n *Node) replyWithHeartbeat(name string) {
	if p, known := n.roster.Peer(name); known {
		n.sendHeartbeat(p, n.newHeartbeat(), false)
	}
}

// checkLag reads a topic again, and reports so, if this instance is behind another one for too long.
func (n *Node) checkLag(topic string, theirs, mine int64, now time.Time) bool {
	if !n.lag[topic].observe(theirs, mine, n.lagTimeout(), now) {
		return false
	}
	n.events.Note(event.Belief, "behind", "topic", topic, "known", mine, "known-elsewhere", theirs)
	n.requestRead(topic)
	return true
}
