package roster

import "time"

// Each instance sends heartbeats to all others, so the interval grows with their number to limit the load.
// Instances of the same failure domain get heartbeats more often than others: they take over when the
// sender is lost, and should do so before the leases that it renewed expire. Instances of other domains
// notice the loss when their requests are not answered.
const (
	minInterval     = 250 * time.Millisecond
	intervalPerPeer = 12 * time.Millisecond
	// maxMissedHeartbeats is the number of intervals without a heartbeat after which others take over the
	// work of an instance: two heartbeats in a row may be lost, and the third may be late.
	maxMissedHeartbeats = 3.2
	// maxLeaderInterval limits the interval of the leader's heartbeats to all instances.
	maxLeaderInterval = 500 * time.Millisecond
)

// HeartbeatInterval returns the interval of heartbeats to instances of other failure domains.
func (r *Roster) HeartbeatInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return interval(len(r.peers))
}

// DomainHeartbeatInterval returns the interval of heartbeats to the leader and to instances of this
// instance's failure domain.
func (r *Roster) DomainHeartbeatInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return interval(r.domainSizes[r.domain])
}

// LeaderHeartbeatInterval returns the interval of the leader's heartbeats to all instances. They confirm that
// nothing has changed; without them the views of the others grow too old to act on.
func (r *Roster) LeaderHeartbeatInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaderInterval()
}

func (r *Roster) leaderInterval() time.Duration {
	return min(interval(len(r.peers)), maxLeaderInterval)
}

// interval returns the interval of heartbeats to a number of instances.
func interval(peers int) time.Duration { return max(minInterval, time.Duration(peers)*intervalPerPeer) }

// intervalOf returns the interval of the heartbeats that an instance sends to this one.
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

// heartbeatTimeout returns the time after its last heartbeat at which an instance no longer counts as alive.
func (r *Roster) heartbeatTimeout(p *Peer) time.Duration {
	return time.Duration(maxMissedHeartbeats * float64(r.intervalOf(p)))
}

// SetLeading sets whether this instance is the leader. All others send heartbeats to the leader as often as
// to their own failure domain, so the leader can expect them at shorter intervals.
func (r *Roster) SetLeading(leads bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshAt = time.Time{}
	if leads {
		// Those that have reached their timeout do not get another one.
		for _, p := range r.sorted {
			if !r.alive(p, now) {
				p.suspected = true
			}
		}
		r.leadingSince = now
		return
	}
	r.leadingSince = time.Time{}
}
