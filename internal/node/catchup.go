package node

import (
	"net/netip"
	"slices"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/gram"
	"example.org/mustardring/internal/holder"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/shard"
)

// requestView asks a peer for its view of the owners if this instance cannot read the store.
func (n *Node) requestView(name string) {
	if n.leases.StoreOK() {
		return
	}
	p, known := n.roster.Peer(name)
	if to, ok := peerAddress(p); known && ok {
		n.port.Send(to, gram.ViewRequest{End: n.leases.View().End})
	}
}

// sendView answers a ViewRequest with the view of this instance if that is newer than the sender's.
func (n *Node) sendView(from netip.AddrPort, m gram.ViewRequest) {
	view := n.leases.View()
	if view.End <= m.End {
		return
	}
	snapshot := gram.ViewSnapshot{End: view.End, Maps: map[string][]byte{}, Instances: map[string][]byte{}}
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
func (n *Node) adoptView(m gram.ViewSnapshot) {
	view := &holder.View{End: m.End, Maps: map[string]*shard.Map{}, Instances: map[string]roster.Entry{}}
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
		n.broadcast(gram.RegisterUpdate{Records: part})
	}
}

// handleRegisterUpdate passes records of the register, which the leader broadcasts, to the lease manager. If its
// queue is full, the topic is read from the store instead.
func (n *Node) handleRegisterUpdate(m gram.RegisterUpdate) {
	select {
	case n.leases.RegisterUpdates() <- m.Records:
	default:
		n.requestRead(n.platform.OwnersTopic)
	}
}
