package node

import "time"

// behindTime is how long an instance may know less than another one before it reads again:
// usually news is on its way to it. Who does not lead waits longer where there are many, by behindEach for
// each instance: the leader reads, and tells all, and they need not read as well.
const (
	minLagTimeout         = 150 * time.Millisecond
	lagTimeoutPerInstance = 4 * time.Millisecond
)

// lagDetector notices that this instance knows less of a topic than others, although news of it
// should have come: a read that waits for news may have lost its answer, or a message was lost.
type lagDetector struct {
	ownEnd int64
	since  time.Time
}

// lagTimeout returns how long this instance waits for news that others have.
func (n *Node) lagTimeout() time.Duration {
	if n.leases.Leads() {
		return minLagTimeout
	}
	return minLagTimeout + time.Duration(n.instances())*lagTimeoutPerInstance
}

// observe takes in what another instance knows, and what this one knows. It returns true when this
// instance has been behind for longer than it is patient, and should read the topic again.
//
// Only the instance's own progress starts the time anew. Word of others that know no more must
// not: most do not while news is missing, and their heartbeats come between.
func (b *lagDetector) observe(theirs, mine int64, patience time.Duration, now time.Time) bool {
	if theirs <= mine {
		return false
	}
	if b.since.IsZero() || b.ownEnd != mine {
		b.ownEnd, b.since = mine, now
		return false
	}
	if now.Sub(b.since) < patience {
		return false
	}
	b.since = now
	return true
}
