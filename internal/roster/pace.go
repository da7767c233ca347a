package roster

import "time"

// The pace of heartbeats. Each instance tells all others, so that the pace falls with their number. It tells
// those of its failure domain more often than the others: they take its place when it is lost, and should do
// so before the leases run out that it renewed. Those of other domains notice by themselves when it does not
// answer.
const (
	beatLeast = 250 * time.Millisecond
	beatEach  = 12 * time.Millisecond
	// silentBeats is the number of heartbeats that may be missing before others do the work of
	// an instance: two in a row may be lost, and the third may be late.
	silentBeats = 3.2
	// leaderBeatMost bounds the time between two heartbeats of the leader to all.
	leaderBeatMost = 500 * time.Millisecond
)

// HeartbeatInterval returns the time between two heartbeats to those of other failure domains.
func (r *Roster) HeartbeatInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return pace(len(r.peers))
}

// DomainHeartbeatInterval returns the time between two heartbeats to those of the own failure domain, and to the leader.
func (r *Roster) DomainHeartbeatInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return pace(r.sizes[r.domain])
}

// LeaderHeartbeatInterval returns the time between two heartbeats of the leader: they carry the word that
// nothing has changed, which the others must not miss for long.
func (r *Roster) LeaderHeartbeatInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaderPace()
}

func (r *Roster) leaderPace() time.Duration { return min(pace(len(r.peers)), leaderBeatMost) }

func pace(peers int) time.Duration { return max(beatLeast, time.Duration(peers)*beatEach) }

// paceOf returns the time between two heartbeats of an instance to this one.
func (r *Roster) paceOf(p *Peer) time.Duration {
	switch {
	case p.Heartbeat.Leads:
		return r.leaderPace()
	case p.Domain == r.domain, !r.leadsSince.IsZero():
		return pace(r.sizes[p.Domain])
	default:
		return pace(len(r.peers))
	}
}

// quietOf returns for how long an instance may not be heard before it counts as silent.
func (r *Roster) quietOf(p *Peer) time.Duration {
	return time.Duration(silentBeats * float64(r.paceOf(p)))
}

// SetLeading takes in whether this instance leads: all others then send it heartbeats as often as to their own
// domain.
func (r *Roster) SetLeading(leads bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reviewAt = time.Time{}
	if leads {
		r.leadsSince = now
		return
	}
	r.leadsSince = time.Time{}
}
