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

// askForOwners asks another instance for what it knows of the owners, if the store refuses this one.
func (n *Node) askForOwners(name string) {
	if n.holder.StoreOK() {
		return
	}
	p, known := n.roster.Peer(name)
	if to, ok := address(p); known && ok {
		n.port.Send(to, gram.Behind{End: n.holder.View().End})
	}
}

// help tells an instance that is behind what this one knows of the owners.
func (n *Node) help(from netip.AddrPort, m gram.Behind) {
	known := n.holder.View()
	if known.End <= m.End {
		return
	}
	all := gram.Known{End: known.End, Maps: map[string][]byte{}, Instances: map[string][]byte{}}
	for service, ranges := range known.Maps {
		data, err := ranges.Encode()
		if err != nil {
			n.events.Note(event.Belief, "owners-not-told", "service", service, "error", err)
			return
		}
		all.Maps[service] = data
	}
	for name, entry := range known.Instances {
		data, err := entry.Encode()
		if err != nil {
			n.events.Note(event.Belief, "owners-not-told", "instance", name, "error", err)
			return
		}
		all.Instances[name] = data
	}
	n.port.Send(from, all)
}

// hearKnown takes in what another instance knows of the owners.
func (n *Node) hearKnown(m gram.Known) {
	known := &holder.View{End: m.End, Maps: map[string]*shard.Map{}, Instances: map[string]roster.Entry{}}
	for service, data := range m.Maps {
		ranges, err := shard.Decode(data)
		if err != nil {
			n.events.Note(event.Belief, "owners-malformed", "service", service, "error", err)
			return
		}
		known.Maps[service] = ranges
	}
	for name, data := range m.Instances {
		entry, err := roster.Decode(data)
		if err != nil {
			n.events.Note(event.Belief, "owners-malformed", "instance", name, "error", err)
			return
		}
		known.Instances[name] = entry
	}
	select {
	case n.holder.PeerViews() <- known:
	default:
		// Another one is being taken in; the next heartbeat asks again.
	}
}

// registerMost is the number of records of instances in one message, each of some 100 bytes.
const registerMost = 200

// tellRegister tells all others of records of the register.
func (n *Node) tellRegister(records []follow.Record) {
	for part := range slices.Chunk(records, registerMost) {
		n.tellAll(gram.Register{Records: part})
	}
}

// hearRegister takes in records of the register that the leader tells of.
func (n *Node) hearRegister(m gram.Register) {
	select {
	case n.holder.RegisterUpdates() <- m.Records:
	default:
		n.readAgain(n.around.OwnersTopic)
	}
}
