package node

import (
	"bytes"
	"context"
	"time"

	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/pack"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/worker"
)

// foreignDigestInterval is the time between two digests to the other failure domains.
const foreignDigestInterval = 2 * time.Second

// digestLoop sends heartbeats to the hubs of a large failure domain and, if this instance is one of them, digests to the
// others, until the context ends.
func (n *Node) digestLoop(ctx context.Context) error {
	var foreignAt time.Time
	for worker.Sleep(ctx, roster.DigestInterval) {
		if !n.roster.LargeDomain(n.settings.Domain) {
			continue
		}
		now := time.Now()
		hubs := n.roster.Hubs(now)
		h := n.newHeartbeat()
		n.roster.RecordHeartbeat(h, now)
		for i, hub := range hubs {
			if hub.Name != n.settings.Name {
				n.sendHeartbeat(hub, h, false)
				continue
			}
			digest, err := n.newDigest(h, now)
			if err != nil {
				n.events.Record(event.StateChange, "message-not-sent", "error", err)
				continue
			}
			n.sendDigest(digest, hubs)
			if i == 0 && !now.Before(foreignAt) {
				foreignAt = now.Add(foreignDigestInterval)
				n.sendForeignDigest(digest, now)
			}
		}
	}
	return ctx.Err()
}

// newDigest returns a digest with the heartbeat of this instance.
func (n *Node) newDigest(h roster.Heartbeat, now time.Time) (dgram.Digest, error) {
	reports := n.roster.Reports(now, n.leases.Clock.Now())
	for i, r := range reports {
		reports[i] = r.ToWire()
	}
	var packed bytes.Buffer
	err := pack.Encode(&packed, reports)
	return dgram.Digest{Heartbeat: h, Reports: packed.Bytes()}, err
}

// sendDigest sends a digest to the instances of the own failure domain, to each with the echo of its last heartbeat. The
// other hubs have heard the same instances and need none.
func (n *Node) sendDigest(d dgram.Digest, hubs []roster.Peer) {
	isHub := map[string]bool{}
	for _, hub := range hubs {
		isHub[hub.Name] = true
	}
	for _, p := range n.roster.Others() {
		if to, ok := peerAddress(p); ok && p.Domain == n.settings.Domain && !isHub[p.Name] {
			d.EchoAt = p.Heartbeat.SentAt
			n.port.Send(to, d)
		}
	}
}

// sendForeignDigest sends a digest to the other failure domains through a relay in each.
func (n *Node) sendForeignDigest(d dgram.Digest, now time.Time) {
	d.EchoAt = 0
	data, err := dgram.Encode(d)
	if err != nil {
		n.events.Record(event.StateChange, "message-not-sent", "error", err)
		return
	}
	_, relays := n.roster.Relays(now)
	n.port.SendAll(addresses(relays), dgram.Relay{Data: data})
}

// handleDigest processes the heartbeat of a hub and what it has heard of the instances of its failure domain.
func (n *Node) handleDigest(m dgram.Digest) {
	reports, err := pack.Decode[[]roster.Report](m.Reports)
	if err != nil {
		n.events.Record(event.StateChange, "message-malformed", "from", m.Name, "error", err)
		return
	}
	for i, r := range reports {
		reports[i] = r.FromWire()
	}
	n.handleHeartbeat(m.Heartbeat)
	n.roster.RecordDigest(m.Name, m.SentAt, reports, time.Now(), n.leases.Clock.Now())
}
