package node

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/lease"
)

// sendView answers a ViewRequest, which only instances of an earlier release send, with the view of this instance if that
// is newer than the sender's.
func (n *Node) sendView(from netip.AddrPort, m dgram.ViewRequest) {
	view := n.leases.View()
	if view.End <= m.End.In(view.End.Era()) {
		return
	}
	snapshot := dgram.ViewSnapshot{End: view.End, Maps: map[string][]byte{}, Instances: map[string][]byte{}}
	for service, ranges := range view.Maps {
		data, err := ranges.Encode()
		if err != nil {
			n.events.Record(event.StateChange, "owners-not-told", "service", service, "error", err)
			return
		}
		snapshot.Maps[service] = data
	}
	for name, entry := range view.Instances {
		data, err := entry.Encode()
		if err != nil {
			n.events.Record(event.StateChange, "owners-not-told", "instance", name, "error", err)
			return
		}
		snapshot.Instances[name] = data
	}
	n.port.Send(from, snapshot)
}

// requestView asks viewLoop to get the view of another instance, unless it is getting one.
func (n *Node) requestView(instance string) {
	select {
	case n.viewRequests <- instance:
	default:
	}
}

// viewLoop gets the views of other instances that know records of owners that the store has lost, until the context ends.
func (n *Node) viewLoop(ctx context.Context) error {
	for {
		select {
		case instance := <-n.viewRequests:
			n.fetchView(ctx, instance)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fetchView gets the view of another instance and passes it to the lease manager.
func (n *Node) fetchView(ctx context.Context, instance string) {
	peer, known := n.roster.Peer(instance)
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	request := follow.PeerRequest{Topic: n.platform.OwnersTopic, From: -1, InForce: true}
	startedAt := n.leases.Clock.Now()
	p, err := n.fetchFrom(ctx, peer.Address, request, func() {})
	n.recordFetch(request, peer.Address, p, n.leases.Clock.Now().Sub(startedAt), err)
	if err != nil || !p.Snapshot {
		return
	}
	view, faults := lease.NewView(p)
	for _, err := range faults {
		n.events.Record(event.StateChange, "owners-malformed", "instance", instance, "error", err)
	}
	select {
	case n.leases.PeerViews() <- view:
	case <-ctx.Done():
	}
}

// viewTimeout limits a request for the view of another instance.
const viewTimeout = 2 * time.Second

// maxRegisterRecords is the maximum number of records in a RegisterUpdate. Each has some 100 bytes.
const maxRegisterRecords = 200

// broadcastRegister broadcasts records of the register of instances, in messages of limited size.
func (n *Node) broadcastRegister(records []follow.Record) {
	for part := range slices.Chunk(records, maxRegisterRecords) {
		n.broadcast(dgram.RegisterUpdate{Records: part})
	}
}

// handleRegisterUpdate passes records of the register, which the leader broadcasts, to the lease manager. If its
// queue is full, the topic is read from the store instead.
func (n *Node) handleRegisterUpdate(m dgram.RegisterUpdate) {
	select {
	case n.leases.RegisterUpdates() <- m.Records:
	default:
		n.requestRead(n.platform.OwnersTopic)
	}
}
