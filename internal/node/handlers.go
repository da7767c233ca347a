package node

import (
	"context"
	"slices"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/lease"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
	"example.org/mustardring/internal/worker"
)

// checkInterval is the time between two checks for changes that no update announces: servers whose entries stay
// missing, the reachability of the store, and evacuated failure domains that become empty.
const checkInterval = 100 * time.Millisecond

// checkLoop checks for changes that no update announces until the context ends.
func (n *Node) checkLoop(ctx context.Context) error {
	for worker.Sleep(ctx, checkInterval) {
		if n.cluster.removeMissing() {
			n.serversChanged()
		}
		if n.cluster.endUnlisted() {
			n.cluster.takeUnseen()
			n.admissions.setServers()
		}
		n.logReach()
		n.logSize()
		n.logEmptied()
	}
	return ctx.Err()
}

// updateLoop returns the worker that applies the updates of a topic. Each topic has its own: the directory may take long
// to decode and the owners wait for the lease manager, and a configuration must wait for neither.
func (n *Node) updateLoop(topic string) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case u := <-n.updates[topic]:
				n.applyUpdate(ctx, u)
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// applyUpdate passes an update to what depends on its topic, and queues it for the broadcast to peers.
func (n *Node) applyUpdate(ctx context.Context, u follow.Update) {
	n.logRead(u)
	if u.Err == nil && u.StartedAt != 0 {
		n.storeAnsweredAt.Store(int64(clock.Boot{}.Now()))
	}
	n.retryUnanswered(u)
	if u.Topic == n.platform.ConfigTopic {
		u = n.withNewestConfig(u)
	}
	if topic := n.topics[u.Topic]; topic != nil {
		topic.apply(u)
	}
	switch u.Topic {
	case n.platform.ConfigTopic:
		n.applyConfigTopic(u)
		n.watches[u.Topic].MarkApplied(u)
		u = n.withEvacuations(u)
	case n.platform.ServersTopic:
		n.logDirectoryUpdate(u)
		if n.cluster.applyServers(u, n.updateAge(u), n.platform.DecodeServer) {
			n.serversChanged()
		}
		n.watches[u.Topic].MarkApplied(u)
	case n.platform.OwnersTopic:
		select {
		case n.leases.StoreUpdates() <- u:
		case <-ctx.Done():
		}
	}
	n.queueBroadcast(u)
}

// retryUnanswered asks for a read of the topics whose last read failed when the read of another topic has succeeded.
// Each topic has its own retry delay, and an instance may lead only if all topics can be read.
func (n *Node) retryUnanswered(u follow.Update) {
	if u.Err != nil || u.StartedAt == 0 {
		return
	}
	for name, t := range n.watches {
		if name != u.Topic && t.LastReadFailed() {
			n.requestRead(name)
		}
	}
}

// logRead counts a read of the store by topic and reason, and logs it. Updates of peers have no reason and are left
// out.
func (n *Node) logRead(u follow.Update) {
	if u.Reason == "" {
		return
	}
	n.storeCalls.Add("read "+u.Topic+" "+string(u.Reason), 1)
	if u.Err != nil {
		n.storeCalls.Add("read-failed "+u.Topic, 1)
	}
	age := n.watches[u.Topic].Age()
	if u.Topic == n.platform.OwnersTopic {
		age = n.leases.Age()
	}
	n.events.Record(event.StateChange, "store-read", "topic", u.Topic, "reason", u.Reason, "from", u.From, "end", u.End,
		"records", len(u.Records), "wait", u.WaitDeadline.Sub(u.StartedAt), "took", u.EndedAt.Sub(u.StartedAt),
		"knowledge-age", age, "error", u.Err)
}

// currentReach returns whether the store answered the last calls about owners and about the directory. A leader needs
// both.
func (n *Node) currentReach() storeReach {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return storeReach{owners: n.leases.StoreOK(), directory: !n.cluster.storeDown}
}

// logReach logs which topics of the store are reachable, when that changes.
func (n *Node) logReach() {
	now := n.currentReach()
	if now != n.loggedReach {
		n.loggedReach = now
		n.events.Record(event.StateChange, "store-reached", "owners", now.owners, "directory", now.directory)
	}
}

// logDirectoryUpdate logs how records of the directory arrived and how old they may be.
func (n *Node) logDirectoryUpdate(u follow.Update) {
	if u.Err != nil || len(u.Records) == 0 {
		return
	}
	from, took := "instance", time.Duration(0)
	if u.StartedAt != 0 {
		from, took = "store", clock.Boot{}.Now().Sub(u.StartedAt)
	}
	n.events.Record(event.StateChange, "directory-news", "from", from, "records", len(u.Records), "whole", u.Snapshot, "overdue", u.Overdue,
		"took", took, "age", n.updateAge(u), "end", u.End)
}

// unknownAge stands for an age that is not known: it exceeds every time limit that an age is compared with.
const unknownAge = maxKnowledgeAge

// updateAge returns how long ago the oldest record of an update can have been written.
//
// An instance that has just started does not know. If it took the records for new, it would give a server that is
// already leaving its whole drain time again.
func (n *Node) updateAge(u follow.Update) time.Duration {
	if u.WrittenAfter == 0 {
		return unknownAge
	}
	return max(clock.Boot{}.Now().Sub(u.WrittenAfter), 0)
}

// handleTopicUpdate passes on what a peer has read to the watch of the topic. If its queue is full, the update is
// dropped, and heartbeats show later that this instance is behind.
func (n *Node) handleTopicUpdate(m dgram.TopicUpdate) {
	update := m.In(n.topicEra(m.Topic))
	if sentAt, dated := n.roster.EarliestSendTime(m.Sender, m.SentAt, clock.Boot{}.Now()); dated {
		update.SentAt = sentAt
	}
	select {
	case n.peerUpdates[m.Topic] <- update:
	default:
	}
}

// withNewestConfig returns an update of ConfigTopic in which an older configuration than the newest that is known is replaced
// by that one: the store may hold it after it has come back from a copy, and other instances are to get the newest.
func (n *Node) withNewestConfig(u follow.Update) follow.Update {
	if u.Err != nil {
		return u
	}
	u.Records = slices.Clone(u.Records)
	for i, r := range u.Records {
		if r.Key != n.platform.ConfigKey || len(r.Value) == 0 {
			continue
		}
		c, err := n.platform.DecodeConfig(r.Value)
		switch {
		case err != nil:
			// It is logged where it is applied.
		case c.Version >= n.newestConfig.version:
			n.newestConfig = configRecord{c.Version, r.Value}
		default:
			n.events.Record(event.StateChange, "configuration-outdated", "version", c.Version, "known", n.newestConfig.version, "offset", r.Offset,
				"returned", u.Returned)
			u.Records[i].Value = n.newestConfig.value
		}
	}
	if u.Returned && n.newestConfig.value != nil && !slices.ContainsFunc(u.Records, func(r follow.Record) bool { return r.Key == n.platform.ConfigKey }) {
		// The copy may be empty, and the position before its end of the era before.
		last := max(u.End-1, logpos.At(u.End.Era(), 0))
		u.Records = append(u.Records, follow.Record{Key: n.platform.ConfigKey, Value: n.newestConfig.value, Offset: last})
	}
	return u
}

// configRecord is a configuration with its version as the store holds it.
type configRecord struct {
	version uint64
	value   []byte
}

// applyConfigTopic applies the evacuations and the configuration in an update of ConfigTopic.
func (n *Node) applyConfigTopic(u follow.Update) {
	if u.Err != nil {
		n.events.Record(event.StateChange, "configuration-unread", "error", u.Err)
		return
	}
	changed := n.cluster.applyEvacuations(u, n.updateAge(u), n.platform.DecodeEvacuation)
	for _, r := range u.Records {
		if r.Key != n.platform.ConfigKey || len(r.Value) == 0 {
			continue
		}
		c, err := n.platform.DecodeConfig(r.Value)
		if err != nil {
			n.events.Record(event.StateChange, "configuration-malformed", "offset", r.Offset, "error", err)
			continue
		}
		n.cluster.applyConfig(c)
		changed = true
	}
	if changed {
		n.cluster.takeUnseen()
		n.admissions.setServers()
	}
}

// serversChanged updates what depends on the servers: admission controllers and pools, and connections, which are
// closed for servers that are gone.
func (n *Node) serversChanged() {
	n.admissions.updateServers(n.cluster.takeUnseen())
	n.edge.ConnPool.Retain(n.cluster.servers().Has)
	n.dialer.Table.Retain(n.cluster.servers().Has)
}

// ownersChanged wakes the requests that wait for a change of owners.
func (n *Node) ownersChanged() { n.cluster.ownersChanged() }

// receiveLoop handles the messages of other instances until the context ends.
func (n *Node) receiveLoop(ctx context.Context) error {
	for {
		select {
		case m := <-n.port.Messages():
			n.handleMessage(m)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handleMessage dispatches a message by its type.
func (n *Node) handleMessage(r dgram.Received) {
	switch m := r.Message.(type) {
	case dgram.Relay:
		n.forward(r.From, m)
	case dgram.Heartbeat:
		n.noteHeard(r.From, m.Heartbeat)
		n.handleHeartbeat(m.Heartbeat)
	case dgram.Digest:
		n.noteHeard(r.From, m.Heartbeat)
		n.handleDigest(m)
	case dgram.AdmissionRequest:
		n.admissions.handleRequest(r.From, m)
	case dgram.AdmissionDecision:
		n.admissions.client.handleDecision(r.From, m)
	case dgram.Completion:
		n.admissions.handleCompletion(r.From, m)
	case dgram.Cancel:
		n.admissions.handleCancel(r.From, m)
	case dgram.AdmissionCheck:
		n.admissions.client.handleCheck(r.From, m)
	case dgram.LoadReport:
		n.loadTracker.add(m, time.Now())
	case dgram.ServerReport:
		n.loadTracker.learn(m, time.Now())
	case dgram.OwnerChange:
		n.handleOwnerChange(m)
	case dgram.RegisterUpdate:
		n.handleRegisterUpdate(m)
	case dgram.ViewRequest:
		n.sendView(r.From, m)
	case dgram.TopicUpdate:
		n.handleTopicUpdate(m)
	case dgram.CompletedMoves:
		n.cluster.markMovesComplete(m.Ranges)
	case dgram.CrashReport:
		n.handleCrashReport(m)
	case dgram.CrashQuery:
		n.handleCrashQuery(r.From, m)
	case dgram.CrashHistory:
		n.handleCrashHistory(r.From, m)
	case dgram.ServerLimit:
		n.handleLimit(m)
	case dgram.ServerLeave:
		n.handleLeave(m)
	case dgram.ServerRest:
		n.handleRest(r.From, m)
	case dgram.IncarnationQuery:
		n.handleIncarnationQuery(r.From, m)
	case dgram.IncarnationAnswer:
		n.leases.IncarnationRuns(m.Server, m.Serial)
	}
}

// leadershipChanged announces to all instances whether this one leads. A new leader also ends the long polls of its
// watches, since the other instances now rely on its reads.
func (n *Node) leadershipChanged(leading bool) {
	n.sendHeartbeatToAll()
	if !leading {
		n.plans.Clear()
		return
	}
	n.requestRead(n.platform.ConfigTopic)
	n.requestRead(n.platform.ServersTopic)
}

// handleOwnerChange passes a record of owners that a peer wrote to the lease manager. If its queue is full, the topic
// is read from the store instead.
func (n *Node) handleOwnerChange(m dgram.OwnerChange) {
	select {
	case n.leases.OwnerChanges() <- lease.OwnerChange{Service: m.Service, Offset: m.Offset, Records: m.Records, Fence: m.Fence, Changes: m.Changes}:
	default:
		n.requestRead(n.platform.OwnersTopic)
	}
}

// broadcastOwnerChange broadcasts a change of owners that this instance wrote.
func (n *Node) broadcastOwnerChange(c lease.OwnerChange) {
	n.broadcast(dgram.OwnerChange{Service: c.Service, Offset: c.Offset, Fence: c.Fence, Changes: c.Changes, Records: c.Records})
}

// Config implements edge.Cluster. It returns nil before a configuration is known.
func (n *Node) Config() *rules.Config { return n.cluster.config.Load() }

// Server implements edge.Cluster.
func (n *Node) Server(id string) (rules.Server, bool) {
	s, found := n.cluster.servers().Get(id)
	if !s.LeaveBy.IsZero() {
		s.LeaveBy = s.LeaveBy.Add(-n.excessSendDelay())
	}
	return s, found
}

// ObserveSendDelay implements edge.Cluster.
func (n *Node) ObserveSendDelay(took time.Duration, now time.Time) { n.sendDelay.Observe(took, now) }

// excessSendDelay returns by how much what this instance sends has lately taken longer to arrive than drainReserve allows for.
func (n *Node) excessSendDelay() time.Duration {
	return max(n.sendDelay.Allowance(time.Now())-drainReserve, 0)
}

// Owner implements edge.Cluster. The former owners of a range are left out if its move is known to be complete,
// although no record says so yet.
func (n *Node) Owner(service string, key uint16) (shard.Range, bool, <-chan struct{}) {
	changed := n.cluster.ownersChange()
	m := n.leases.View().Maps[service]
	if m == nil {
		// The owners are not in force yet, but most of them may still have their leases, and the others refuse requests.
		m = n.leases.Read().Maps[service]
	}
	if m == nil {
		return shard.Range{}, false, changed
	}
	i := m.Find(key)
	if i < 0 {
		return shard.Range{}, false, changed
	}
	r := m.Ranges[i]
	if len(r.FormerOwners) > 0 && n.cluster.isMoveComplete(service, r.From, r.Fence) {
		r.FormerOwners = nil
	}
	return r, true, changed
}

// CountRequest implements edge.Cluster. It counts a request for the load report.
func (n *Node) CountRequest(service string, key uint16) { n.loadTracker.count(service, key) }
