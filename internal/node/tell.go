package node

import (
	"context"
	"net/netip"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/duty"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/gram"
	"example.org/mustardring/internal/roster"
)

// tellAll sends a message to all other instances: those of the own failure domain directly, those of others
// through one of them.
func (n *Node) tellAll(m gram.Message) {
	data, err := gram.Encode(m)
	if err != nil {
		n.events.Note(event.Belief, "message-not-sent", "error", err)
		return
	}
	direct, relays := n.roster.Relays(time.Now())
	n.port.SendAll(addresses(relays), gram.Relay{Data: data})
	n.port.SendData(addresses(direct), data)
}

// passOn hands a message to the others of this instance's failure domain and takes it in.
func (n *Node) passOn(from netip.AddrPort, m gram.Relay) {
	inner, err := gram.Decode(m.Data)
	if _, nested := inner.(gram.Relay); err != nil || nested {
		n.events.Note(event.Belief, "message-malformed", "from", from, "error", err)
		return
	}
	var near []roster.Peer
	for _, p := range n.roster.Others() {
		if p.Domain == n.settings.Domain {
			near = append(near, p)
		}
	}
	n.port.SendData(addresses(near), m.Data)
	n.handle(gram.Received{From: from, Message: inner})
}

func addresses(peers []roster.Peer) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(peers))
	for _, p := range peers {
		if at, ok := address(p); ok {
			out = append(out, at)
		}
	}
	return out
}

const (
	// largestNews is the largest message with news, partsMost the number of messages of one read. What is
	// larger the others read from the store.
	largestNews = 24 << 10
	partsMost   = 12
	// newsTime is how long news may fill the link of this instance. A reader on a link of 10
	// Mbit/s that told 80 others of each of three configurations a second was cut off by it.
	newsTime = 100 * time.Millisecond
	// partSpacing is the pause after a part, in multiples of the time that the link needs for it: whoever passes
	// it on may have a slower one.
	partSpacing = 2
)

// sendTime returns how long the link of this instance needs for news of a size to all.
func (n *Node) sendTime(size int) time.Duration {
	direct, relays := n.roster.Relays(time.Now())
	bits := float64(8 * size * (len(direct) + len(relays)))
	return time.Duration(bits / (n.settings.LinkMbps * 1e6) * float64(time.Second))
}

// affordable reports whether this instance can tell all others of news of a size.
func (n *Node) affordable(size int) bool {
	return size <= largestNews && n.sendTime(size) <= newsTime
}

// toldMost is the number of updates of a topic that may wait to be told.
const toldMost = 16

// tellLater passes an update to the duty that tells the others of its topic.
func (n *Node) tellLater(u follow.Update) {
	told, has := n.told[u.Topic]
	if !has {
		return
	}
	select {
	case told <- u:
	default:
		// The others learn from heartbeats that they are behind.
		n.events.Note(event.Belief, "news-not-told", "topic", u.Topic, "end", u.End)
	}
}

// tellUpdates returns a duty that tells the others of a topic. Each topic has its own: the parts of a large directory
// are paced, and a configuration must not wait for them.
func (n *Node) tellUpdates(topic string) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case u := <-n.told[topic]:
				n.relay(ctx, u)
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// relay tells the others what this instance has read.
func (n *Node) relay(ctx context.Context, u follow.Update) {
	if u.Err != nil || u.StartedAt == 0 || !u.Overdue && !n.reads() {
		return
	}
	if u.Overdue {
		// The others wait for the same word.
		n.announceToAll()
	}
	if len(u.Records) == 0 || u.Snapshot && u.Topic != n.around.ConfigTopic {
		return
	}
	if u.Snapshot {
		// What came before it does not count.
		u.From = 0
	}
	parts := partsOf(u)
	if len(parts) > partsMost || u.Snapshot && len(parts) > 1 || !n.affordable(largest(parts)) {
		// Too large to pass on: the others hear that there is news, and read it themselves. From
		// heartbeats alone they would know half a second later.
		parts = []follow.Batch{{End: u.End}}
		u.From, u.Snapshot = u.End, false
	}
	sentAt := clock.Boot{}.Now()
	for i, part := range parts {
		news := follow.PeerUpdate{From: u.From, RecordAge: n.ageOf(u).Milliseconds() + 1, Staleness: -1, Batch: part, Snapshot: u.Snapshot}
		if i == len(parts)-1 {
			news.Staleness = millis(sentAt, u.CurrentAsOf)
		}
		n.tellAll(gram.News{Topic: u.Topic, Sender: n.settings.Name, SentAt: int64(sentAt), PeerUpdate: news})
		u.From = part.End
		if i < len(parts)-1 {
			// Sent at once, the next part would find the link full and be lost to all.
			duty.Pause(ctx, partSpacing*n.sendTime(sizeOf(part.Records...)))
		}
	}
}

// partsOf cuts what was read into runs of records that each fit into a message. The end of the last one is that
// of the topic.
func partsOf(u follow.Update) []follow.Batch {
	var out []follow.Batch
	part, size := follow.Batch{}, 0
	for _, r := range u.Records {
		if size += sizeOf(r); len(part.Records) > 0 && size > largestNews {
			out = append(out, part)
			part, size = follow.Batch{}, sizeOf(r)
		}
		part.Records, part.End = append(part.Records, r), r.Offset+1
	}
	part.End = u.End
	return append(out, part)
}

// sizeOf returns the size of some records.
func sizeOf(records ...follow.Record) int {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	return size
}

// largest returns the size of the largest of some runs of records.
func largest(parts []follow.Batch) int {
	most := 0
	for _, part := range parts {
		most = max(most, sizeOf(part.Records...))
	}
	return most
}
