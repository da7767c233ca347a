package roster

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/mustardring/internal/clock"
)

const (
	// MaxRanked is the maximum number of instances that Rank returns.
	MaxRanked = 3
	// MaxConnected is the maximum number of instances that RankConnected returns. It is larger because each of them may
	// have lost its path to a server that others reach.
	MaxConnected = 6
	// successors is the number of instances in charge of a server that renew its leases in turn. If they all report that
	// it does not answer, the others in charge renew at the same time, as a lease does not last until they have all tried.
	successors = 2
)

// maxSubjects limits the number of subjects whose ranked instances are cached. When it is reached, the cache
// is cleared.
const maxSubjects = 1 << 15

// ranking caches, for each subject that was looked up, the instances with the highest ranks. When an instance
// becomes eligible or ceases to be, only its own rank is updated, so the cost of a lookup does not depend on
// the number of instances or subjects.
//
// Without the cache, ranking some hundred servers takes most of the processor time of a small instance in a
// system of hundreds of instances.
type ranking struct {
	// size is the number of instances that are ranked for a subject.
	size int
	// eligible holds the ranked instances by domain and name.
	eligible map[string]map[string]*Peer
	subjects map[subject]*ranked
	// version changes whenever a rank or the responsibility for a server may have changed.
	version uint64
	// scoreCount counts the scores that were computed. Tests check it.
	scoreCount int
}

// subject identifies what instances are ranked for, such as a server or a pool, and the failure domain whose
// instances are preferred.
type subject struct {
	name   string
	domain string
}

// ranked holds the highest ranks for a subject. If it is not complete, one of the instances is no longer
// eligible and its successor is not known.
type ranked struct {
	// hash is the hash of the subject's name.
	hash     uint64
	top      []candidate
	complete bool
}

// candidate is an instance with its score for a subject.
type candidate struct {
	peer      *Peer
	preferred bool
	score     float64
}

// before reports whether one instance ranks before another.
func (c candidate) before(o candidate) bool {
	if c.preferred != o.preferred {
		return c.preferred
	}
	return c.score < o.score
}

func newRanking(size int) ranking {
	return ranking{size: size, eligible: map[string]map[string]*Peer{}, subjects: map[subject]*ranked{}}
}

// contains reports whether an instance is eligible. Another incarnation of it does not count.
func (k *ranking) contains(p *Peer) bool { return k.eligible[p.Domain][p.Name] == p }

// add makes an instance eligible.
func (k *ranking) add(p *Peer) {
	if k.eligible[p.Domain] == nil {
		k.eligible[p.Domain] = map[string]*Peer{}
	}
	k.eligible[p.Domain][p.Name] = p
	k.version++
	for key, s := range k.subjects {
		if s.complete {
			s.insert(k.newCandidate(p, key, s.hash), k.size)
		}
	}
}

// remove makes an instance ineligible.
func (k *ranking) remove(p *Peer) {
	delete(k.eligible[p.Domain], p.Name)
	if len(k.eligible[p.Domain]) == 0 {
		delete(k.eligible, p.Domain)
	}
	k.version++
	for _, s := range k.subjects {
		if slices.ContainsFunc(s.top, func(c candidate) bool { return c.peer == p }) {
			s.complete = false
		}
	}
}

// set makes an instance eligible or not, and reports whether that is a change.
func (k *ranking) set(p *Peer, eligible bool) bool {
	switch contained := k.contains(p); {
	case eligible && !contained:
		k.add(p)
	case contained && !eligible:
		k.remove(p)
	default:
		return false
	}
	return true
}

// newCandidate scores an instance for a subject with the given hash.
func (k *ranking) newCandidate(p *Peer, key subject, hash uint64) candidate {
	k.scoreCount++
	return candidate{peer: p, preferred: p.Domain == key.domain, score: p.score(hash)}
}

// insert adds an instance if it is among the first ones, of which there are at most size.
func (s *ranked) insert(c candidate, size int) {
	i := len(s.top)
	for i > 0 && c.before(s.top[i-1]) {
		i--
	}
	if i == size {
		return
	}
	s.top = slices.Insert(s.top, i, c)
	s.top = s.top[:min(len(s.top), size)]
}

// topFor returns the highest ranks for a subject.
func (k *ranking) topFor(name, domain string) []candidate {
	key := subject{name, domain}
	s := k.subjects[key]
	if s == nil {
		if len(k.subjects) >= maxSubjects {
			clear(k.subjects)
		}
		s = &ranked{hash: xxhash.Sum64String(name)}
		k.subjects[key] = s
	}
	if !s.complete {
		k.rebuild(key, s)
	}
	return s.top
}

// rebuild computes the highest ranks for a subject from the instances of the preferred domain and, if they
// are less than size, all others.
func (k *ranking) rebuild(key subject, s *ranked) {
	s.top, s.complete = s.top[:0], true
	for _, p := range k.eligible[key.domain] {
		s.insert(k.newCandidate(p, key, s.hash), k.size)
	}
	if len(s.top) == k.size {
		return
	}
	for domain, peers := range k.eligible {
		if domain == key.domain {
			continue
		}
		for _, p := range peers {
			s.insert(k.newCandidate(p, key, s.hash), k.size)
		}
	}
}

// refreshPeer updates the ranking with the current state of one instance. The lock is held.
func (r *Roster) refreshPeer(p *Peer, now time.Time) {
	eligible := r.peers[p.Name] == p && r.alive(p, now) && !p.Heartbeat.Stopping
	if r.ranking.set(p, eligible) && eligible {
		r.refreshAt = clock.Earlier(r.refreshAt, r.aliveUntil(p))
	}
	r.connected.set(p, eligible && !p.passive && !p.Heartbeat.ReachesNone())
}

// maxRefreshInterval limits the time between two checks of all instances for missing heartbeats.
const maxRefreshInterval = time.Second

// refreshAll updates the ranking with the current state of all instances if one of them may have reached its
// timeout since the last time. The lock is held.
func (r *Roster) refreshAll(now time.Time) {
	if now.Before(r.refreshAt) {
		return
	}
	r.refreshAt = now.Add(maxRefreshInterval)
	for _, p := range r.sorted {
		r.refreshPeer(p, now)
		if p.Name != r.self && r.ranking.contains(p) {
			r.refreshAt = clock.Earlier(r.refreshAt, r.aliveUntil(p))
		}
	}
}

// Rank returns up to MaxRanked instances that are alive and not stopping, in the order in which they are
// responsible for a subject, such as a server or a pool. Instances of the preferred domain come first, then
// the order follows weighted rendezvous hashing, which distributes subjects over instances by their shares
// and changes little when an instance joins or leaves.
func (r *Roster) Rank(name, domain string, now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshAll(now)
	out := make([]Peer, 0, MaxRanked)
	for _, c := range r.ranking.topFor(name, domain) {
		out = append(out, *c.peer)
	}
	return out
}

// First returns the name of the first instance that Rank returns, empty if there is none.
func (r *Roster) First(name, domain string, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshAll(now)
	for _, c := range r.ranking.topFor(name, domain) {
		return c.peer.Name
	}
	return ""
}

// RankConnected returns up to MaxConnected instances in the order of Rank, of those that reach servers themselves. If there
// are none it returns the same as Rank.
func (r *Roster) RankConnected(name, domain string, now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshAll(now)
	out := make([]Peer, 0, MaxConnected)
	for _, c := range r.connectedFor(name, domain) {
		out = append(out, *c.peer)
	}
	return out
}

// connectedFor returns the highest ranks for a subject among the instances that reach servers themselves, or among all
// if there are none. The lock is held.
func (r *Roster) connectedFor(name, domain string) []candidate {
	if len(r.connected.eligible) == 0 {
		return r.ranking.topFor(name, domain)
	}
	return r.connected.topFor(name, domain)
}

// Responsible reports whether this instance is to renew the leases of a server: the first instance in the rank of those
// that reach servers is, the second if the first reports that the server does not answer it, and all others in the rank if
// both do.
func (r *Roster) Responsible(server, domain string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshAll(now)
	for i, c := range r.connectedFor(server, domain) {
		if c.peer.Name == r.self {
			return true
		}
		if i < successors && !slices.Contains(c.peer.Heartbeat.Failing, server) {
			return false
		}
	}
	return false
}

// maxRenewers is the maximum number of instances that LikelyRenewers returns.
const maxRenewers = 3

// LikelyRenewers returns the other instances that have most probably renewed the leases of a server lately: the first of those
// that are in charge of it or are stopping.
func (r *Roster) LikelyRenewers(server, domain string, now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshAll(now)
	key := subject{server, domain}
	var first ranked
	for _, c := range r.connectedFor(server, domain) {
		if c.peer.Name != r.self {
			first.insert(c, maxRenewers)
		}
	}
	hash := xxhash.Sum64String(server)
	for _, p := range r.sorted {
		if p.Heartbeat.Stopping && p.Name != r.self && r.alive(p, now) {
			first.insert(r.connected.newCandidate(p, key, hash), maxRenewers)
		}
	}
	out := make([]Peer, 0, maxRenewers)
	for _, c := range first.top {
		out = append(out, *c.peer)
	}
	return out
}

// RankVersion returns a number that changes whenever the results of Rank, RankConnected and Responsible may have changed.
func (r *Roster) RankVersion(now time.Time) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshAll(now)
	return r.ranking.version + r.connected.version
}

// score returns the score of the instance for the hash of a subject. The instance with the lowest score is
// responsible. The score is an exponential variate whose rate is the instance's share, so that the number of
// subjects of an instance is proportional to its share.
func (p *Peer) score(subject uint64) float64 {
	uniform := (float64(mix(p.hash^subject)>>11) + 1) / (1 << 53)
	return -math.Log(uniform) / max(p.Share, 0.01)
}

// mix mixes the bits of a hash (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
