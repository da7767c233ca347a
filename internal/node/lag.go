package node

import (
	"time"

	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
)

// minLagTimeout is how long an instance may know less than a peer before it asks for the update: usually that is on its
// way to it. Where there are many instances, those that do not lead wait longer, by lagTimeoutPerInstance for each up
// to maxLagTimeout: the leader reads and broadcasts the update, which takes longer, and the others need not ask as well.
const (
	minLagTimeout         = 150 * time.Millisecond
	lagTimeoutPerInstance = 4 * time.Millisecond
	maxLagTimeout         = 500 * time.Millisecond
)

// lagDetector detects that this instance knows less of a topic than its peers although the update should have
// arrived: a read that waits for records may have lost its answer, or a message was lost.
type lagDetector struct {
	// ownEnd is the end of the topic that this instance knew when it fell behind. since is when that was, or when the
	// lag was last reported.
	ownEnd logpos.Pos
	since  time.Time
}

// lagTimeout returns for how long this instance may know less than a peer before it reads the store.
func (n *Node) lagTimeout() time.Duration {
	_, unknown := n.roster.Size().(roster.Unknown)
	if n.leases.Leads() || unknown {
		// No update is on its way to an instance that does not know the register.
		return minLagTimeout
	}
	return minLagTimeout + n.scaled(lagTimeoutPerInstance, maxLagTimeout-minLagTimeout)
}

// observe compares the ends of the topic that a peer and this instance know. It returns true when this instance has
// been behind for longer than the timeout and should read the topic again.
//
// Only progress of this instance restarts the timeout. Heartbeats of peers that know no more must not: while an
// update is missing, most peers lack it, and their heartbeats arrive in between.
func (d *lagDetector) observe(peerEnd, ownEnd logpos.Pos, timeout time.Duration, now time.Time) bool {
	if peerEnd <= ownEnd {
		return false
	}
	if d.since.IsZero() || d.ownEnd != ownEnd {
		d.ownEnd, d.since = ownEnd, now
		return false
	}
	if now.Sub(d.since) < timeout {
		return false
	}
	d.since = now
	return true
}
