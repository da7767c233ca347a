package node

import (
	"time"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/event"
)

// observeLimit takes in the limit that a server has stated in the response to a request, or that it has stated none.
func (n *Node) observeLimit(done admit.Completion, sentAt, now time.Time) {
	stated := done.Limit
	if stated.Rate == 0 && done.Outcome != admit.Answered {
		// Only what a server answers as usual shows that it states no limit any more.
		return
	}
	if n.cluster.limits.Observe(done.Server, stated, sentAt, now) {
		n.limitChanged(done.Server, "response")
	}
}

// limitChanged applies and logs the change of the limit of a server, which was learned from a source.
func (n *Node) limitChanged(server, source string) {
	n.events.Record(event.StateChange, "server-limit", "server", server, "per-second", n.cluster.limits.Rate(server), "source", source)
	n.cluster.republish(server)
	n.serversChanged()
}
