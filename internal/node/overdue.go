package node

import (
	"sync"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/logpos"
)

// maxOverdue is how long this instance allows for news of the directory that it lacks. Another instance may be wrong about them.
const maxOverdue = 10 * time.Second

// overdueNews tells since when another instance is known to have news of the directory that this one lacks.
type overdueNews struct {
	mu     sync.Mutex
	ownEnd logpos.Pos
	// since is zero if nothing is known to be missing. confirmedAt is when an instance last stated that it has the news.
	since, confirmedAt time.Time
}

// observe takes in the end of the directory that another instance has stated, and the one that this instance knows.
func (o *overdueNews) observe(peerEnd, ownEnd logpos.Pos, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if ownEnd != o.ownEnd {
		o.ownEnd, o.since = ownEnd, time.Time{}
	}
	if peerEnd <= ownEnd {
		return
	}
	if o.since.IsZero() {
		o.since = now
	}
	o.confirmedAt = now
}

// directoryState is what this instance knows of the directory and of how late it is, at a time.
type directoryState struct {
	now time.Time
	// end is the end of the directory that is known, and age how long ago nothing was missing before it.
	end logpos.Pos
	age time.Duration
	// heartbeats is the interval of heartbeats, drainTime how long a server may get requests after its leave, and sendDelay by how much
	// what this instance sends takes longer to arrive than drainTime allows for.
	heartbeats, drainTime, sendDelay time.Duration
}

// outdated reports whether the time of a server that has left may be over, without the news of its leave. News that are missing were
// written when nothing was missing or later, and at most one heartbeat before another instance stated them.
//
// For as long as they have not come, what this instance sends may take as well.
func (o *overdueNews) outdated(d directoryState) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() || d.end != o.ownEnd || d.now.Sub(o.confirmedAt) > 2*d.heartbeats || d.now.Sub(o.since) > maxOverdue {
		return false
	}
	writtenAfter := d.now.Add(-d.age)
	if earliest := o.since.Add(-d.heartbeats); writtenAfter.Before(earliest) {
		writtenAfter = earliest
	}
	late := max(d.now.Sub(o.since)-drainReserve, d.sendDelay)
	return d.now.After(writtenAfter.Add(d.drainTime - late))
}

// pending reports whether news are missing.
func (o *overdueNews) pending() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.since.IsZero()
}

// DirectoryOutdated implements edge.Cluster.
func (n *Node) DirectoryOutdated() bool {
	if !n.overdue.pending() {
		return false
	}
	end, asOf := n.watches[n.platform.ServersTopic].Known()
	return n.overdue.outdated(directoryState{
		now: time.Now(), end: end, age: clock.Boot{}.Now().Sub(asOf), heartbeats: n.roster.HeartbeatInterval(),
		drainTime: n.cluster.drainTime, sendDelay: n.excessSendDelay(),
	})
}
