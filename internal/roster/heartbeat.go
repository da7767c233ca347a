package roster

import "time"

// The pace of heartbeats. Each instance tells all others, so that the pace falls with their number. It tells
// those of its failure domain more often than the others: they take its place when it is lost, and should do
// so before the leases run out that it renewed. Those of other domains notice by themselves when it does not
// answer.
const (
	minInterval     = 250 * time.Millisecond
	intervalPerPeer = 12 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeats that may be missing before others do the work of
	// an instance: two in a row may be lost, and the third may be late.
	maxMissedHeartbeats = 3.2
	// maxLeaderInterval bounds the time between two heartbeats of the leader to all.
	maxLeaderInterval = 500 * time.Millisecond
)

// HeartbeatInterval returns the time between two heartbeats to those of other failure domains.
func (r *Roster) HeartbeatInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return interval(len(r.peers))
}

// DomainHeartbeatInterval returns the time between two heartbeats to those of the own failure domain, and to the leader.
func (r *Roster) DomainHeartbeatInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return interval(r.domainSizes[r.domain])
}

// LeaderHeartbeatInterval returns the time between two heartbeats of the leader: they carry the word that
// nothing has changed, which the others must not miss for long.
func (r *Roster) LeaderHeartbeatInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaderInterval()
}

func (r *Roster) leaderInterval() time.Duration {
	return min(interval(len(r.peers)), maxLeaderInterval)
}

func interval(peers int) time.Duration { return max(minInterval, time.Duration(peers)*intervalPerPeer) }

// intervalOf returns the time between two heartbeats of an instance to this one.
func (r *Roster) intervalOf(p *Peer) time.Duration {
	switch {
	case p.Heartbeat.Leads:
		return r.leaderInterval()
	case p.Domain == r.domain, !r.leadingSince.IsZero():
		return interval(r.domainSizes[p.Domain])
	default:
		return interval(len(r.peers))
	}
}

// heartbeatTimeout returns for how long an instance may not be heard before it counts as silent.
func (r *Roster) heartbeatTimeout(p *Peer) time.Duration {
	return time.Duration(maxMissedHeartbeats * float64(r.intervalOf(p)))
}

// SetLeading takes in whether this instance leads: all others then send it heartbeats as often as to their own
// domain.
func (r *Roster) SetLeading(leads bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshAt = time.Time{}
	if leads {
		r.leadingSince = now
		return
	}
	r.leadingSince = time.Time{}
}
