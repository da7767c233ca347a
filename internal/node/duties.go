package node

import (
	"context"
	"net"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/gram"
	"example.org/mustardring/internal/holder"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// lookEvery is the pause between two looks at what changes by itself: servers whose entries stay away, the reach of the
// store, evacuated failure domains.
const lookEvery = 100 * time.Millisecond

// update takes in news from the store.
func (n *Node) update(ctx context.Context) error {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case u := <-n.updates:
			n.take(ctx, u)
		case <-ticker.C:
			if n.world.expire() {
				n.serversChanged()
			}
			n.noteReach()
			n.noteEmptied()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Node) take(ctx context.Context, u follow.Update) {
	n.noteRead(u)
	if u.Err == nil && u.StartedAt != 0 {
		n.provenAt.Store(int64(clock.Boot{}.Now()))
	}
	n.resume(u)
	switch u.Topic {
	case n.around.ConfigTopic:
		n.takeConfig(u)
		n.topics[u.Topic].MarkApplied(u)
		u = n.withEvacuations(u)
	case n.around.ServersTopic:
		n.noteNews(u)
		if n.world.putServers(u, n.ageOf(u), n.around.DecodeServer) {
			n.serversChanged()
		}
		n.topics[u.Topic].MarkApplied(u)
	case n.around.OwnersTopic:
		select {
		case n.holder.StoreUpdates() <- u:
		case <-ctx.Done():
		}
	}
	n.tellLater(u)
}

// resume asks for the topics whose last read had no answer when another one has got its own: each is in a pause of
// its own, and an instance may lead only if all are read.
func (n *Node) resume(u follow.Update) {
	if u.Err != nil || u.StartedAt == 0 {
		return
	}
	for name, t := range n.topics {
		if name != u.Topic && t.LastReadFailed() {
			n.readAgain(name)
		}
	}
}

// noteRead counts a read of the store by its reason.
func (n *Node) noteRead(u follow.Update) {
	if u.Reason == "" {
		return
	}
	n.calls.Add("read "+u.Topic+" "+string(u.Reason), 1)
	if u.Err != nil {
		n.calls.Add("read-failed "+u.Topic, 1)
	}
	age := n.topics[u.Topic].Age()
	if u.Topic == n.around.OwnersTopic {
		age = n.holder.Age()
	}
	n.events.Note(event.Belief, "store-read", "topic", u.Topic, "reason", u.Reason, "from", u.From, "end", u.End,
		"records", len(u.Records), "wait", u.WaitDeadline.Sub(u.StartedAt), "took", u.EndedAt.Sub(u.StartedAt),
		"knowledge-age", age, "error", u.Err)
}

// reaches reports whether the store answered the last calls about owners and about the directory. Who leads
// needs both.
func (n *Node) reaches() reach {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return reach{owners: n.holder.StoreOK(), directory: !n.world.storeDown}
}

// noteReach logs which of the store's topics this instance takes for reachable, when that changes.
func (n *Node) noteReach() {
	now := n.reaches()
	if now != n.reachNoted {
		n.reachNoted = now
		n.events.Note(event.Belief, "store-reached", "owners", now.owners, "directory", now.directory)
	}
}

// noteNews logs how news of the directory came and how old it is taken to be.
func (n *Node) noteNews(u follow.Update) {
	if u.Err != nil || len(u.Records) == 0 {
		return
	}
	from, took := "instance", time.Duration(0)
	if u.StartedAt != 0 {
		from, took = "store", clock.Boot{}.Now().Sub(u.StartedAt)
	}
	n.events.Note(event.Belief, "directory-news", "from", from, "records", len(u.Records), "whole", u.Snapshot, "overdue", u.Overdue,
		"took", took, "age", n.ageOf(u), "end", u.End)
}

// unknownAge stands for the age of records of which nothing is known: older than any time that counts.
const unknownAge = knownAgeMost

// ageOf returns how long ago the oldest record of an update can have been written.
//
// An instance that has just started does not know. Taken for new, the word of a leaving server would give that
// server its whole time once more.
func (n *Node) ageOf(u follow.Update) time.Duration {
	if u.WrittenAfter == 0 {
		return unknownAge
	}
	return max(clock.Boot{}.Now().Sub(u.WrittenAfter), 0)
}

// hearNews takes in what another instance has read.
func (n *Node) hearNews(m gram.News) {
	news := m.PeerUpdate
	if sentAt, dated := n.roster.EarliestSendTime(m.Sender, m.SentAt, clock.Boot{}.Now()); dated {
		news.SentAt = sentAt
	}
	select {
	case n.news[m.Topic] <- news:
	default:
	}
}

func (n *Node) takeConfig(u follow.Update) {
	if u.Err != nil {
		n.events.Note(event.Belief, "configuration-unread", "error", u.Err)
		return
	}
	changed := n.world.takeEvacuations(u, n.ageOf(u), n.around.DecodeEvacuation)
	for _, r := range u.Records {
		if r.Key != n.around.ConfigKey || len(r.Value) == 0 {
			continue
		}
		c, err := n.around.DecodeConfig(r.Value)
		if err != nil {
			n.events.Note(event.Belief, "configuration-malformed", "offset", r.Offset, "error", err)
			continue
		}
		n.world.putConfig(c)
		changed = true
	}
	if changed {
		n.permits.setServers()
	}
}

func (n *Node) serversChanged() {
	servers := n.world.servers()
	n.permits.setServers()
	n.edge.ConnPool.Retain(func(id string) bool { _, there := servers[id]; return there })
}

func (n *Node) ownersChanged() { n.world.ownersChanged() }

// receive takes messages of other instances.
func (n *Node) receive(ctx context.Context) error {
	for {
		select {
		case m := <-n.port.In():
			n.handle(m)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Node) handle(r gram.Received) {
	switch m := r.Message.(type) {
	case gram.Relay:
		n.passOn(r.From, m)
	case gram.Heartbeat:
		n.hearBeat(m.Heartbeat)
	case gram.Ask:
		n.permits.asked(r.From, m)
	case gram.Verdict:
		n.permits.asker.told(r.From, m)
	case gram.Done:
		n.permits.returned(r.From, m)
	case gram.Withdraw:
		n.permits.withdrawn(r.From, m)
	case gram.Check:
		n.permits.asker.check(r.From, m)
	case gram.Loads:
		n.loads.take(m, time.Now())
	case gram.Owners:
		n.hearOwners(m)
	case gram.Register:
		n.hearRegister(m)
	case gram.Behind:
		n.help(r.From, m)
	case gram.Known:
		n.hearKnown(m)
	case gram.News:
		n.hearNews(m)
	case gram.Settled:
		n.world.settle(m.Ranges)
	case gram.Crash:
		n.hearCrash(m)
	}
}

// leading tells all whether this instance leads, and shortens the reads that wait if the others now rely on
// it.
func (n *Node) leading(leads bool) {
	n.announceToAll()
	if !leads {
		return
	}
	n.readAgain(n.around.ConfigTopic)
	n.readAgain(n.around.ServersTopic)
}

// hearOwners takes in a record of owners that another instance wrote.
func (n *Node) hearOwners(m gram.Owners) {
	select {
	case n.holder.OwnerChanges() <- holder.OwnerChange{Service: m.Service, Offset: m.Offset, Fence: m.Fence, Changes: m.Changes}:
	default:
		n.readAgain(n.around.OwnersTopic)
	}
}

func (n *Node) tellOwners(service string, offset int64, fence uint64, changes []shard.Range) {
	n.tellAll(gram.Owners{Service: service, Offset: offset, Fence: fence, Changes: changes})
}

// Config implements edge.World.
func (n *Node) Config() *rules.Config { return n.world.config.Load() }

// Server implements edge.World.
func (n *Node) Server(id string) (rules.Server, bool) {
	s, found := n.world.servers()[id]
	return s, found
}

// Owner implements edge.World.
func (n *Node) Owner(service string, key uint16) (shard.Range, bool, <-chan struct{}) {
	changed := n.world.change()
	m := n.holder.View().Maps[service]
	if m == nil {
		return shard.Range{}, false, changed
	}
	i := m.Find(key)
	if i < 0 {
		return shard.Range{}, false, changed
	}
	r := m.Ranges[i]
	if len(r.FormerOwners) > 0 && n.world.isSettled(service, r.From, r.Fence) {
		r.FormerOwners = nil
	}
	return r, true, changed
}

// CountRequest implements edge.World.
func (n *Node) CountRequest(service string, key uint16) { n.loads.count(service, key) }

// Quarantined implements edge.World.
func (n *Node) Quarantined(print uint64) bool { return n.suspects.Quarantined(print, time.Now()) }

// crashProbe bounds the look whether a server whose connection was lost still takes new ones.
const crashProbe = 300 * time.Millisecond

// ReportCrash implements edge.World. Servers also break off single answers, so a lost connection
// counts as a crash only if the server refuses a new one.
func (n *Node) ReportCrash(print uint64, s rules.Server) {
	go func() {
		c, err := net.DialTimeout("tcp4", s.Address, crashProbe)
		if err == nil {
			_ = c.Close()
			return
		}
		n.events.Note(event.Belief, "server-lost-in-request", "print", print, "server", s.ID, "error", err)
		n.suspects.RecordCrash(print, s.ID, time.Now())
		n.tellAll(gram.Crash{Print: print, Server: s.ID})
	}()
}

// ClearSuspicion implements edge.World.
func (n *Node) ClearSuspicion(print uint64) {
	if n.suspects.Clear(print) {
		n.tellAll(gram.Crash{Print: print, Cleared: true})
	}
}

// hearCrash takes in what another instance has seen of a request.
func (n *Node) hearCrash(m gram.Crash) {
	if m.Cleared {
		n.suspects.Clear(m.Print)
		return
	}
	n.suspects.RecordCrash(m.Print, m.Server, time.Now())
}
