package node

import (
	"fmt"
	"time"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/fair"
)

// controllerOptions returns what the settings turn on in the controllers of a service of this instance. Keys move with the
// speeds of servers; requests without a key just go elsewhere, so that their controllers follow each change at once.
func (n *Node) controllerOptions(service string) admit.Options {
	o := n.settings.Overload
	return admit.Options{
		FairShares: o.FairShares, Floors: fair.Floors(o.PriorityFloors), KeptReturns: o.KeptReturns,
		SpeedRanges: o.SpeedRanges && isDivided(n.cluster.config.Load(), service),
	}
}

// identityOf returns what tells callers apart according to the settings.
func identityOf(o config.Overload) edge.Identity {
	switch o.CallerIdentity {
	case config.CallerAddress:
		return edge.CallerAddress{}
	case config.CallerHeader:
		return edge.CallerHeader{Name: o.CallerHeader}
	default:
		return edge.AnyCaller{}
	}
}

// callerNames returns what names callers in the lines of requests, nil if the settings want no names.
func callerNames(o config.Overload) *edge.CallerNames {
	if !o.LogCallers {
		return nil
	}
	return edge.NewCallerNames()
}

// settleSlack is how much longer than the entries of servers take the leases may after a start: the instance registers, and
// reads the entries.
const settleSlack = 450 * time.Millisecond

// OwnersSettleAt returns when the leases are renewed again if all instances have started together with this one: a renewal
// waits until the entry of its server is newer than the connection.
func (n *Node) OwnersSettleAt() time.Time {
	return n.startedAt.Add(entryTime(n.settings.EntrySeconds) + settleSlack)
}

// bodyMemory returns how many bytes bodies and replies may take according to the settings, zero for no limit.
func bodyMemory(s config.Serve) int64 {
	return int64(s.Overload.BodyMemoryShare * float64(s.MemoryMB) * (1 << 20))
}

const (
	// replyMemoryShare is the part of the memory of an instance that responses take while they are read. The heap grows to
	// about twice that.
	replyMemoryShare = 0.125
	// minReplyMemory is the size in bytes of that part if the settings state less, or no memory.
	minReplyMemory = 16 << 20
)

// replyMemory returns how many bytes responses may take while they are read, according to the settings.
func replyMemory(s config.Serve) int64 {
	return max(int64(replyMemoryShare*float64(s.MemoryMB)*(1<<20)), minReplyMemory)
}

// loadCounts returns what the controllers of this instance did under load since they were made.
func (ad *admissions) loadCounts() (out admit.LoadCounts) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	for _, c := range ad.controllers {
		counts := c.LoadCounts()
		out.Kept += counts.Kept
		out.Met += counts.Met
		out.Missed += counts.Missed
		out.Refused += counts.Refused
		out.PushedOut += counts.PushedOut
	}
	return out
}

// outstanding returns the admissions that the controllers of this instance have granted and that have not ended, and the
// requests that wait there.
func (ad *admissions) outstanding() (admitted, waiting int) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	for _, c := range ad.controllers {
		a, w := c.Outstanding()
		admitted, waiting = admitted+a, waiting+w
	}
	return admitted, waiting
}

// overloadMetrics returns the lines of the metrics of operation under load.
func (n *Node) overloadMetrics() []string {
	c := n.admissions.loadCounts()
	admitted, waiting := n.admissions.outstanding()
	lines := []string{
		fmt.Sprintf("admissions{state=\"admitted\"} %d\n", admitted), fmt.Sprintf("admissions{state=\"waiting\"} %d\n", waiting),
		fmt.Sprintf("admissions{state=\"requested\"} %d\n", n.admissions.client.openCount()),
		fmt.Sprintf("carried_requests %d\n", n.carried.Load()),
		fmt.Sprintf("returns{result=\"kept\"} %d\n", c.Kept), fmt.Sprintf("returns{result=\"met\"} %d\n", c.Met),
		fmt.Sprintf("returns{result=\"missed\"} %d\n", c.Missed), fmt.Sprintf("returns{result=\"refused\"} %d\n", c.Refused),
		fmt.Sprintf("share_rejects{reason=\"pushed-out\"} %d\n", c.PushedOut),
	}
	if n.settings.Overload.SpeedRanges {
		lines = append(lines, n.planMetrics()...)
	}
	for service, counts := range n.edge.RetryBudget.Counts() {
		lines = append(lines, fmt.Sprintf("repeats{service=%q,result=\"sent\"} %d\n", service, counts.Sent),
			fmt.Sprintf("repeats{service=%q,result=\"refused\"} %d\n", service, counts.Refused),
			fmt.Sprintf("repeats{service=%q,result=\"refunded\"} %d\n", service, counts.Refunded))
	}
	return lines
}
