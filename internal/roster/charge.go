package roster

import (
	"slices"
	"time"
)

// Suspect drops an instance from those alive before its silence shows by time, as when it did
// not answer a question.
func (r *Roster) Suspect(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[name]; p != nil && name != r.self && now.Sub(p.HeardAt) > r.quietOf(p)/2 {
		p.doubted = true
		r.review(p, now)
	}
}

// SinceHeartbeat returns for how long nothing was heard of the instance.
func (p *Peer) SinceHeartbeat(now time.Time) time.Duration {
	if p.HeardAt.After(p.KnownAt) {
		return now.Sub(p.HeardAt)
	}
	return now.Sub(p.KnownAt)
}

// CutOff reports whether a failure domain seems to be cut off: all of its instances fell silent,
// the last of them no longer ago than the given time. It still does for backTime after they were
// heard again.
func (r *Roster) CutOff(domain string, most time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	least := time.Duration(-1)
	for _, p := range r.sorted {
		if p.Domain != domain || p.Heartbeat.Stopping {
			continue
		}
		silent := p.SinceHeartbeat(now)
		if r.alive(p, now) {
			if now.Sub(p.BackAt) > backTime {
				return false
			}
			silent = 0
		}
		if least < 0 || silent < least {
			least = silent
		}
	}
	return least >= 0 && least <= most
}

// backTime is how long after the end of a cut the entries of servers behind it may be missing.
const backTime = 2500 * time.Millisecond

// Leader returns the instance that decides about owners: of those that reach the store, the
// one with the most processor time. Those that have had an answer of the store lately go first: others
// may have lost it with the leader without knowing, and each would lead in vain for a while. Who it is
// matters for cost only, as the store's order decides between two that both think they lead.
func (r *Roster) Leader(now time.Time) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *Peer
	for _, p := range r.sorted {
		if !r.alive(p, now) || p.Heartbeat.Stopping || !p.Heartbeat.StoreOK {
			continue
		}
		if best == nil || p.Heartbeat.StoreAnswered && !best.Heartbeat.StoreAnswered || p.Heartbeat.StoreAnswered == best.Heartbeat.StoreAnswered && p.Share > best.Share {
			best = p
		}
	}
	if best == nil {
		return Peer{}, false
	}
	return *best, true
}

// Relays returns who is told of news first: the others of this instance's failure domain, and of each other
// domain the strongest that can be given work, which tells the rest of it. Of a domain with few instances
// these are all.
//
// One that told hundreds of others by itself filled its link for a quarter of a second with each plan, and most
// of the bytes went between domains.
func (r *Roster) Relays(now time.Time) (direct, relays []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	strongest := map[string]*Peer{}
	for _, p := range r.sorted {
		if p.Name == r.self {
			continue
		}
		if p.Domain == r.domain || r.sizes[p.Domain] <= relayLeast {
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

// relayLeast is the number of instances of a domain up to which each is told directly: a relay that has just
// been lost would cost more than it saves.
const relayLeast = 8

// Reachable reports whether the instance at an address is heard, as far as is known: one that is not
// registered may have just started.
func (r *Roster) Reachable(address string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.addresses[address]
	return p == nil || r.alive(p, now)
}

// Unconfirmed returns the instances that may still act on records before an offset: the
// registered ones that have not confirmed it, and those that were removed, as far as this
// instance knows, after the given time.
func (r *Roster) Unconfirmed(offset int64, removedAfter time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, p := range r.sorted {
		if p.Heartbeat.Confirmed <= offset {
			out = append(out, p.Name)
		}
	}
	for name, l := range r.linger {
		if l.since.After(removedAfter) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
