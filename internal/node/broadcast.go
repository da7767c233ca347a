package node

import (
	"context"
	"net/netip"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/worker"
)

// broadcast sends a message to all other instances: directly to those of the own failure domain and of small ones,
// and to those of other domains through a relay in each.
func (n *Node) broadcast(m dgram.Message) {
	data, err := dgram.Encode(m)
	if err != nil {
		n.events.Record(event.StateChange, "message-not-sent", "error", err)
		return
	}
	if len(data) > dgram.MaxSize {
		// From the heartbeat the others learn that they lack something, and fetch it.
		n.events.Record(event.StateChange, "message-too-large", "bytes", len(data))
		n.sendHeartbeatToAll()
		return
	}
	direct, relays := n.roster.Relays(time.Now())
	n.port.SendAll(addresses(relays), dgram.Relay{Data: data})
	n.port.SendData(addresses(direct), data)
}

// forward sends a relayed message to the other instances of this instance's failure domain, then handles it.
func (n *Node) forward(from netip.AddrPort, m dgram.Relay) {
	inner, err := dgram.Decode(m.Data)
	if _, nested := inner.(dgram.Relay); err != nil || nested {
		n.events.Record(event.StateChange, "message-malformed", "from", from, "error", err)
		return
	}
	var peers []roster.Peer
	for _, p := range n.roster.Others() {
		if p.Domain == n.settings.Domain {
			peers = append(peers, p)
		}
	}
	n.port.SendData(addresses(peers), m.Data)
	n.handleMessage(dgram.Received{From: from, Message: inner})
}

// addresses returns the valid addresses of peers.
func addresses(peers []roster.Peer) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(peers))
	for _, p := range peers {
		if at, ok := peerAddress(p); ok {
			out = append(out, at)
		}
	}
	return out
}

const (
	// maxUpdateSize is the maximum size in bytes of the records in one message, maxUpdateParts the maximum number of
	// messages for one update. The other instances read larger updates from the store.
	maxUpdateSize  = 24 << 10
	maxUpdateParts = 12
	// maxLinkTime is the maximum time for which an update may fill the link of this instance. An instance on a link of
	// 10 Mbit/s that broadcast three configurations a second to 80 others was cut off by that.
	maxLinkTime = 100 * time.Millisecond
	// partSpacing is the delay after a part, as a multiple of the time that the link needs for it: a relay that passes
	// the part on may have a slower link.
	partSpacing = 2
)

// sendTime returns how long the link of this instance needs to broadcast a message of a size in bytes.
func (n *Node) sendTime(size int) time.Duration {
	direct, relays := n.roster.Relays(time.Now())
	bits := float64(8 * size * (len(direct) + len(relays)))
	return time.Duration(bits / (n.settings.LinkMbps * 1e6) * float64(time.Second))
}

// canBroadcast reports whether a message of a size in bytes may be broadcast.
func (n *Node) canBroadcast(size int) bool {
	return size <= maxUpdateSize && n.sendTime(size) <= maxLinkTime
}

// maxQueuedBroadcasts is the maximum number of updates of a topic that wait to be broadcast.
const maxQueuedBroadcasts = 16

// queueBroadcast passes an update to the worker that broadcasts those of its topic, if there is one.
func (n *Node) queueBroadcast(u follow.Update) {
	queue, found := n.broadcasts[u.Topic]
	if !found {
		return
	}
	select {
	case queue <- u:
	default:
		// The other instances learn from heartbeats that they are behind.
		n.events.Record(event.StateChange, "news-not-told", "topic", u.Topic, "end", u.End)
	}
}

// broadcastLoop returns the worker that broadcasts the updates of a topic. Each topic has its own: the parts of a
// large directory are sent with pauses, and a configuration must not wait for them.
func (n *Node) broadcastLoop(topic string) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case u := <-n.broadcasts[topic]:
				n.broadcastUpdate(ctx, u)
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// broadcastUpdate broadcasts what this instance has read, if it reads for the others or they may lack it as well.
func (n *Node) broadcastUpdate(ctx context.Context, u follow.Update) {
	if u.Err != nil || u.StartedAt == 0 || !u.Overdue && !n.readsStore() {
		return
	}
	if u.Overdue {
		// The other instances lack the same confirmation.
		n.sendHeartbeatToAll()
	}
	if len(u.Records) == 0 || u.Snapshot && u.Topic != n.platform.ConfigTopic {
		return
	}
	if u.Snapshot {
		// A snapshot replaces all earlier records.
		u.From = 0
	}
	parts := splitUpdate(u)
	if len(parts) > maxUpdateParts || u.Snapshot && len(parts) > 1 || !n.canBroadcast(maxPartSize(parts)) {
		// Too large to broadcast: send only the new end of the topic, so that the others read it from the store. From
		// heartbeats alone they would learn of it half a second later.
		parts = []follow.Batch{{End: u.End}}
		u.From, u.Snapshot = u.End, false
	}
	sentAt := clock.Boot{}.Now()
	for i, part := range parts {
		update := follow.PeerUpdate{From: u.From, RecordAge: n.updateAge(u).Milliseconds() + 1, Staleness: -1, Batch: part, Snapshot: u.Snapshot}
		if i == len(parts)-1 {
			update.Staleness = ageMillis(sentAt, u.CurrentAsOf)
		}
		n.broadcast(dgram.TopicUpdate{Topic: u.Topic, Sender: n.settings.Name, SentAt: int64(sentAt), PeerUpdate: update})
		u.From = part.End
		if i < len(parts)-1 {
			// Without a pause, the next part would find the link full and be lost to all.
			worker.Sleep(ctx, partSpacing*n.sendTime(recordsSize(part.Records...)))
		}
	}
}

// splitUpdate splits an update into runs of records that each fit into a message. The last run ends where the topic
// does.
func splitUpdate(u follow.Update) []follow.Batch {
	var parts []follow.Batch
	part, size := follow.Batch{}, 0
	for _, r := range u.Records {
		if size += recordsSize(r); len(part.Records) > 0 && size > maxUpdateSize {
			parts = append(parts, part)
			part, size = follow.Batch{}, recordsSize(r)
		}
		part.Records, part.End = append(part.Records, r), r.Offset+1
	}
	part.End = u.End
	return append(parts, part)
}

// recordsSize returns the total size of the keys and values of records in bytes.
func recordsSize(records ...follow.Record) int {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	return size
}

// maxPartSize returns the size of the largest of some runs of records in bytes.
func maxPartSize(parts []follow.Batch) int {
	largest := 0
	for _, part := range parts {
		largest = max(largest, recordsSize(part.Records...))
	}
	return largest
}
