package node

import (
	"net/netip"
	"time"

	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/lease"
	"example.org/mustardring/internal/rules"
)

// queryIncarnation asks the instances that have probably renewed the leases of a server whether its incarnation still runs.
func (n *Node) queryIncarnation(s rules.Server, serial uint64) {
	var asked []string
	for _, p := range n.roster.LikelyRenewers(s.ID, s.Domain, time.Now()) {
		if to, ok := peerAddress(p); ok {
			n.port.Send(to, dgram.IncarnationQuery{Server: s.ID, Serial: serial})
			asked = append(asked, p.Name)
		}
	}
	n.events.Record(event.StateChange, "incarnation-queried", "server", s.ID, "serial", serial, "instances", asked)
}

// handleIncarnationQuery passes the query of another instance on. If too many wait it is dropped, and the sender repeats it.
func (n *Node) handleIncarnationQuery(from netip.AddrPort, m dgram.IncarnationQuery) {
	reply := func() { n.port.Send(from, dgram.IncarnationAnswer(m)) }
	select {
	case n.leases.IncarnationQueries() <- lease.IncarnationQuery{Server: m.Server, Reply: reply}:
	default:
		n.events.Record(event.StateChange, "incarnation-not-answered", "server", m.Server, "error", "too many queries wait")
	}
}
