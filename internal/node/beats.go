package node

import (
	"context"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/gram"
	"example.org/mustardring/internal/roster"
)

// beat sends heartbeats to all instances in turn, and, as soon as what it confirms has changed,
// to the leader, which may wait for that.
func (n *Node) beat(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		all := false
		select {
		case <-timer.C:
			all = true
			timer.Reset(n.beatPause())
		case <-n.beatAll:
			all = true
		case <-n.beatNow:
		case <-ctx.Done():
			return ctx.Err()
		}
		b := n.heartbeat()
		n.roster.Heard(b, time.Now())
		if all {
			for _, p := range n.roster.Others() {
				n.beatTo(p, b)
			}
			continue
		}
		if leader, found := n.roster.Leader(time.Now()); found && leader.Name != n.settings.Name {
			n.beatTo(leader, b)
		}
	}
}

// beatPause returns the time to the next heartbeat to all.
func (n *Node) beatPause() time.Duration {
	if n.holder.Leads() {
		return n.roster.LeaderEvery()
	}
	return n.roster.Every()
}

// beatTo sends a heartbeat to one instance, with the echo of its last one.
func (n *Node) beatTo(p roster.Peer, b roster.Beat) {
	if to, ok := address(p); ok {
		b.EchoAt = p.Beat.SentAt
		n.port.Send(to, gram.Heartbeat{Beat: b})
	}
}

// knownAgeMost is the age from which on knowledge of the owners is of no use to others.
const knownAgeMost = 30 * time.Second

func (n *Node) heartbeat() roster.Beat {
	version, end := n.known()
	n.world.mu.Lock()
	up := !n.world.storeDown && n.holder.StoreOK()
	n.world.mu.Unlock()
	age := int64(-1)
	if a := n.holder.Age(); a < knownAgeMost {
		age = a.Milliseconds() + 1
	}
	proven := clock.Instant(n.provenAt.Load())
	return roster.Beat{
		Proven:   proven != 0 && clock.Boot{}.Now().Sub(proven) < n.pollLeader()+provenSlack,
		Complete: n.completeAge(),
		SentAt:   int64(clock.Boot{}.Now()), KnownAge: age,
		Name: n.settings.Name, Incarnation: n.incarnation, Confirmed: n.holder.Confirmed(),
		Known: n.holder.Owners().End, StoreOK: up,
		Stopping: n.stopped(), Config: version, Servers: end, Failing: n.holder.Failing(),
	}
}

// completeAge returns how old the knowledge is that this instance misses nothing of the
// configuration and the directory, in milliseconds, negative if it is of no use to others.
func (n *Node) completeAge() int64 {
	age := max(n.topics[n.around.Config].Age(), n.topics[n.around.Servers].Age())
	if age > knownAgeMost {
		return -1
	}
	return age.Milliseconds() + 1
}

// hearComplete takes in that another instance misses nothing. Who knows less than that one must
// read instead.
func (n *Node) hearComplete(b roster.Beat, version uint64, end int64) {
	if b.Complete < 0 {
		return
	}
	age := time.Duration(b.Complete) * time.Millisecond
	if b.Config <= version {
		n.topics[n.around.Config].Refresh(age)
	}
	if b.Servers <= end {
		n.topics[n.around.Servers].Refresh(age)
	}
}

// hearBeat takes in the heartbeat of another instance, and reads again what that one knows more
// of.
func (n *Node) hearBeat(b roster.Beat) {
	now := time.Now()
	n.roster.Heard(b, now)
	n.holder.Hear(b)
	version, end := n.known()
	if n.compare(n.around.Owners, b.Known, n.holder.Owners().End, now) {
		n.askForOwners(b.Name)
	}
	n.compare(n.around.Config, int64(b.Config), int64(version), now)
	n.compare(n.around.Servers, b.Servers, end, now)
	n.hearComplete(b, version, end)
}

// known returns the version in force and the end of what is known of the directory.
func (n *Node) known() (version uint64, end int64) {
	if c := n.world.config.Load(); c != nil {
		version = c.Version
	}
	return version, n.world.end.Load()
}

// compare reads a topic again, and reports so, if this instance is behind another one for too long.
func (n *Node) compare(topic string, theirs, mine int64, now time.Time) bool {
	if !n.behind[topic].hear(theirs, mine, now) {
		return false
	}
	n.events.Note(event.Belief, "behind", "topic", topic, "known", mine, "known-elsewhere", theirs)
	n.readAgain(topic)
	return true
}
