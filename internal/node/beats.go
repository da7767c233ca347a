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

// beat sends heartbeats to the instances of its domain and, less often, to all, and, as soon as what it
// confirms has changed, to the leader, which may wait for that.
func (n *Node) beat(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var asked asking
	var allAt time.Time
	for {
		whom := toLeader
		select {
		case <-timer.C:
			whom = toDomain
			timer.Reset(n.pauseNear())
		case <-n.beatAll:
			whom = toAll
		case <-n.beatNow:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := time.Now()
		if whom == toDomain && !now.Before(allAt) {
			whom = toAll
		}
		if whom == toAll {
			allAt = now.Add(n.pauseToAll())
		}
		n.beatOnce(whom, &asked, now)
	}
}

// pauseNear returns the time to the next heartbeat to the own domain.
func (n *Node) pauseNear() time.Duration {
	if n.holder.Leads() {
		return min(n.roster.DomainHeartbeatInterval(), n.roster.LeaderHeartbeatInterval())
	}
	return n.roster.DomainHeartbeatInterval()
}

// pauseToAll returns the time to the next heartbeat to all. It goes with one to the own domain, the nearest in
// time.
func (n *Node) pauseToAll() time.Duration {
	every := n.roster.HeartbeatInterval()
	if n.holder.Leads() {
		every = n.roster.LeaderHeartbeatInterval()
	}
	return every - n.pauseNear()/2
}

// beatOnce sends a heartbeat to the leader and to those in a scope.
//
// What came from them is taken down before what this instance says: by the echo of a heartbeat that came
// in between, they would date its word by a moment after it.
func (n *Node) beatOnce(whom scope, asked *asking, now time.Time) {
	others := n.roster.Others()
	leader, found := n.roster.Leader(now)
	b := n.heartbeat()
	n.roster.RecordHeartbeat(b, now)
	if found && leader.Name != n.settings.Name {
		n.beatTo(leader, b, asked.due(leader.Name, now))
	}
	for _, p := range others {
		if p.Name != leader.Name && (whom == toAll || whom == toDomain && p.Domain == n.settings.Domain) {
			n.beatTo(p, b, false)
		}
	}
}

// askEvery is the pause between two heartbeats that ask the leader for one at once. The time from one
// that it gets to the next that it sends is half a second else, and its news would seem older by that.
const askEvery = 2 * time.Second

// asking is who was asked last for a heartbeat at once, and when to ask again.
type asking struct {
	name  string
	again time.Time
}

// due reports whether an instance should be asked, and notes that it is.
func (a *asking) due(name string, now time.Time) bool {
	if a.name == name && now.Before(a.again) {
		return false
	}
	*a = asking{name, now.Add(askEvery)}
	return true
}

// beatTo sends a heartbeat to one instance, with the echo of its last one.
func (n *Node) beatTo(p roster.Peer, b roster.Heartbeat, ask bool) {
	if to, ok := address(p); ok {
		b.EchoAt, b.ReplyNow = p.Heartbeat.SentAt, ask
		n.port.Send(to, gram.Heartbeat{Heartbeat: b})
	}
}

// knownAgeMost is the age from which on knowledge of the owners is of no use to others.
const knownAgeMost = 30 * time.Second

func (n *Node) heartbeat() roster.Heartbeat {
	// The time of sending is taken first: an age that is told with a later one would make what is known
	// seem younger by what passed between, a good part of a tenth of a second where a part of a core is a quota.
	sentAt := clock.Boot{}.Now()
	complete, config, servers := n.complete(sentAt)
	reached := n.reaches()
	age := int64(-1)
	if a := n.holder.Age(); a < knownAgeMost {
		age = a.Milliseconds() + 1
	}
	proven := clock.Instant(n.provenAt.Load())
	return roster.Heartbeat{
		StoreAnswered: proven != 0 && clock.Boot{}.Now().Sub(proven) < n.pollLeader()+provenSlack,
		CompleteAge:   complete,
		SentAt:        int64(sentAt), KnownAge: age,
		Name: n.settings.Name, Incarnation: n.incarnation, Confirmed: n.holder.ConfirmedOffset(),
		Known: n.holder.View().End, StoreOK: reached.owners && reached.directory,
		Stopping: n.stopped(), Leads: n.holder.Leads(), ConfigEnd: config, ServersEnd: servers, Failing: n.holder.Failing(),
	}
}

// complete returns the ends of the configuration and the directory that this instance acts by, and how
// old the knowledge is at an instant that nothing is missing before them, in milliseconds, negative if
// it is of no use to others.
func (n *Node) complete(at clock.Instant) (age, config, servers int64) {
	config, configUntil := n.topics[n.around.ConfigTopic].Known()
	servers, serversUntil := n.topics[n.around.ServersTopic].Known()
	return millis(at, min(configUntil, serversUntil)), config, servers
}

// millis returns the age at an instant of knowledge up to another, negative if it is of no use to others.
func millis(at, until clock.Instant) int64 {
	age := at.Sub(until)
	if until == 0 || age > knownAgeMost {
		return -1
	}
	return max(age.Milliseconds()+1, 0)
}

// hearComplete takes in that another instance misses nothing before the ends it knows. Who knows less
// than that one must read instead.
func (n *Node) hearComplete(b roster.Heartbeat) {
	sentAt, dated := n.roster.EarliestSendTime(b.Name, b.SentAt, clock.Boot{}.Now())
	if b.CompleteAge < 0 || !dated {
		return
	}
	until := sentAt.Add(-time.Duration(b.CompleteAge) * time.Millisecond)
	n.topics[n.around.ConfigTopic].ConfirmCurrent(b.ConfigEnd, until)
	n.topics[n.around.ServersTopic].ConfirmCurrent(b.ServersEnd, until)
}

// hearBeat takes in the heartbeat of another instance, and reads again what that one knows more
// of.
func (n *Node) hearBeat(b roster.Heartbeat) {
	now := time.Now()
	n.roster.RecordHeartbeat(b, now)
	n.roster.RecordEcho(b, clock.Boot{}.Now())
	if b.ReplyNow {
		n.answerBeat(b.Name)
	}
	n.holder.HandleHeartbeat(b)
	if n.compare(n.around.OwnersTopic, b.Known, n.holder.View().End, now) {
		n.askForOwners(b.Name)
	}
	config, _ := n.topics[n.around.ConfigTopic].Known()
	servers, _ := n.topics[n.around.ServersTopic].Known()
	n.compare(n.around.ConfigTopic, b.ConfigEnd, config, now)
	n.compare(n.around.ServersTopic, b.ServersEnd, servers, now)
	n.hearComplete(b)
}

// answerBeat sends a heartbeat at once to who asked for it.
func (n *Node) answerBeat(name string) {
	if p, known := n.roster.Peer(name); known {
		n.beatTo(p, n.heartbeat(), false)
	}
}

// compare reads a topic again, and reports so, if this instance is behind another one for too long.
func (n *Node) compare(topic string, theirs, mine int64, now time.Time) bool {
	if !n.behind[topic].hear(theirs, mine, n.patience(), now) {
		return false
	}
	n.events.Note(event.Belief, "behind", "topic", topic, "known", mine, "known-elsewhere", theirs)
	n.readAgain(topic)
	return true
}
