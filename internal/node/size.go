package node

import (
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/roster"
)

// shareOf returns this instance's share of a limit that holds for all instances together, or false while it does not know
// how many share it.
func (n *Node) shareOf(limit float64) (float64, bool) {
	switch size := n.roster.Size().(type) {
	case roster.Known:
		return limit / float64(size.Instances), true
	case roster.Unknown:
	}
	return 0, false
}

// scaled returns a time that grows with the number of instances up to a limit, which it is while that number is not known.
func (n *Node) scaled(perInstance, limit time.Duration) time.Duration {
	switch size := n.roster.Size().(type) {
	case roster.Known:
		return min(time.Duration(size.Instances)*perInstance, limit)
	case roster.Unknown:
	}
	return limit
}

// logSize logs when the number of instances becomes known. Until then this instance uses no share of what all share.
func (n *Node) logSize() {
	if size, known := n.roster.Size().(roster.Known); known && !n.sizeLogged {
		n.sizeLogged = true
		n.events.Record(event.StateChange, "size-known", "instances", size.Instances, "owners-end", n.leases.View().End, "owners-age", n.leases.Age())
	}
}
