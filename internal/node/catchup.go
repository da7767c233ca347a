package node

import (
	"net/netip"
	"slices"

	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/lease"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/shard"
)

// sendView answers a ViewRequest, which only instances of an earlier release send, with the view of this instance if that
// is newer than the sender's.
func (n *Node) sendView(from netip.AddrPort, m dgram.ViewRequest) {
	view := n.leases.View()
	if view.End <= m.End {
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

// adoptView passes the view of a peer to the lease manager.
func (n *Node) adoptView(m dgram.ViewSnapshot) {
	view := &lease.View{End: m.End, Maps: map[string]*shard.Map{}, Instances: map[string]roster.Entry{}}
	for service, data := range m.Maps {
		ranges, err := shard.Decode(data)
		if err != nil {
			n.events.Record(event.StateChange, "owners-malformed", "service", service, "error", err)
			return
		}
		view.Maps[service] = ranges
	}
	for name, data := range m.Instances {
		entry, err := roster.Decode(data)
		if err != nil {
			n.events.Record(event.StateChange, "owners-malformed", "instance", name, "error", err)
			return
		}
		view.Instances[name] = entry
	}
	select {
	case n.leases.PeerViews() <- view:
	default:
		// Another view is being adopted. The next heartbeat of a peer that knows more asks again.
	}
}

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
