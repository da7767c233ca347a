package node

import (
	"fmt"

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

// overloadMetrics returns the lines of the metrics of operation under load.
func (n *Node) overloadMetrics() []string {
	c := n.admissions.loadCounts()
	lines := []string{
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
