package roster

import (
	"slices"
	"time"

	"example.org/mustardring/internal/logpos"
)

// Suspect marks an instance as suspected, so that it does not count as alive until its next heartbeat.
// Callers use it when a request to the instance got no answer. It has no effect if the last heartbeat is
// at most half the timeout old.
func (r *Roster) Suspect(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[name]; p != nil && name != r.self && now.Sub(p.HeartbeatAt) > r.heartbeatTimeout(p)/2 {
		p.suspected = true
		r.refreshPeer(p, now)
	}
}

// SinceHeartbeat returns the time since the last heartbeat of the instance, or since its registration was
// read if that is later.
func (p *Peer) SinceHeartbeat(now time.Time) time.Duration {
	if p.HeartbeatAt.After(p.IncarnationSince) {
		return now.Sub(p.HeartbeatAt)
	}
	return now.Sub(p.IncarnationSince)
}

// CutOff reports whether a failure domain seems to be cut off: none of its instances is alive, and the most
// recent heartbeat of any is at most maxSilence old. It still reports true for directoryLag after heartbeats
// have resumed. Instances that are stopping are ignored.
func (r *Roster) CutOff(domain string, maxSilence time.Duration, now time.Time) bool {
	return r.cutOff(domain, maxSilence, now, func(p *Peer) bool { return r.alive(p, now) })
}

// MayBeCutOff reports whether a failure domain seems to be cut off to an instance that has not heard yet from all instances
// which it takes for alive, as it has started only recently. Only a heartbeat shows that a domain is not cut off.
func (r *Roster) MayBeCutOff(domain string, maxSilence time.Duration, now time.Time) bool {
	return r.cutOff(domain, maxSilence, now, func(p *Peer) bool {
		return r.alive(p, now) && (p.Name == r.self || p.HeartbeatAt.After(p.IncarnationSince))
	})
}

// cutOff implements CutOff. Reached reports whether an instance is known to be reached; the lock is held then.
func (r *Roster) cutOff(domain string, maxSilence time.Duration, now time.Time, reached func(p *Peer) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	shortest := time.Duration(-1)
	for _, p := range r.sorted {
		if p.Domain != domain || p.Heartbeat.Stopping {
			continue
		}
		silence := p.SinceHeartbeat(now)
		if reached(p) {
			if now.Sub(p.ResumedAt) > directoryLag {
				return false
			}
			silence = 0
		}
		if shortest < 0 || silence < shortest {
			shortest = silence
		}
	}
	return shortest >= 0 && shortest <= maxSilence
}

// directoryLag is the time after the end of a network partition for which the directory entries of the
// servers behind it may still be missing.
const directoryLag = 2500 * time.Millisecond

// Leader returns the instance that decides about owners: of the instances that are alive and can reach the
// store, the one with the largest share. Instances that recently had an answer from the store are preferred:
// others may have lost the store together with the previous leader without having noticed, and each would
// lead for a while without effect. The choice affects only cost, not safety: if two instances both act as
// leader, the order of records in the store decides between them.
func (r *Roster) Leader(now time.Time) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *Peer
	for _, p := range r.sorted {
		if !r.alive(p, now) || p.Heartbeat.Stopping || !p.Heartbeat.StoreOK {
			continue
		}
		if best == nil || p.leadsBefore(best) {
			best = p
		}
	}
	if best == nil {
		return Peer{}, false
	}
	return *best, true
}

// leadsBefore reports whether an instance that may lead goes before another one: if only it had an answer of the store
// lately, else if only it reaches servers, else by its share.
func (p *Peer) leadsBefore(o *Peer) bool {
	h, other := p.Heartbeat, o.Heartbeat
	switch {
	case h.StoreAnswered != other.StoreAnswered:
		return h.StoreAnswered
	case h.ReachesNone() != other.ReachesNone():
		return !h.ReachesNone()
	default:
		return p.Share > o.Share
	}
}

// Relays returns the instances to which this one sends a broadcast. The direct ones are the others of its
// own failure domain and all instances of domains with few of them. The relays are, of each other domain,
// the instance with the largest share that is alive, which forwards the message within its domain.
//
// Sending a plan to hundreds of instances directly fills the link of the sender for a quarter of a second,
// and most of the traffic is between domains.
func (r *Roster) Relays(now time.Time) (direct, relays []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	strongest := map[string]*Peer{}
	for _, p := range r.sorted {
		if p.Name == r.self {
			continue
		}
		if p.Domain == r.domain || r.domainSizes[p.Domain] <= maxDirectSize {
			direct = append(direct, *p)
			continue
		}
		best := strongest[p.Domain]
		if best == nil || r.alive(p, now) && (!r.alive(best, now) || p.Share > best.Share) {
			strongest[p.Domain] = p
		}
	}
	for _, p := range strongest {
		relays = append(relays, *p)
	}
	return direct, relays
}

// maxDirectSize is the size of a failure domain up to which broadcasts go directly to each of its
// instances: a relay that has just failed would cost more than relaying saves.
const maxDirectSize = 8

// Reachable reports whether the instance at an address is alive. It also returns true if none is registered
// at the address, because the instance may have just started.
func (r *Roster) Reachable(address string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.byAddress[address]
	return p == nil || r.alive(p, now)
}

// AliveNamed reports whether the instance with a name is alive.
func (r *Roster) AliveNamed(name string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[name]
	return p != nil && r.alive(p, now)
}

// Unconfirmed returns the names of the instances that may still act on a view without the record at an
// offset: the registered ones that have not confirmed it, and those whose removal this instance learned of
// after the given time.
func (r *Roster) Unconfirmed(offset logpos.Pos, removedAfter time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, p := range r.sorted {
		if p.Heartbeat.Confirmed <= offset {
			out = append(out, p.Name)
		}
	}
	for name, m := range r.removed {
		if m.since.After(removedAfter) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
