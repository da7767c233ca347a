package roster

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/mustardring/internal/clock"
)

// MaxRanked is the number of instances that are in charge of a thing in turn.
const MaxRanked = 3

// maxSubjects bounds the memory of things that were asked about; what was forgotten is ranked anew.
const maxSubjects = 1 << 15

// ranking keeps who is in charge of each thing that was asked about. A ranking is brought up to date when an
// instance joins or leaves those that can be given work, for that instance alone, so that a question costs
// the same however many instances and things there are.
//
// Ranked anew for each question, some hundred servers take a small instance among hundreds most of its processor
// time.
type ranking struct {
	// eligible holds the instances that can be given work, by domain and name.
	eligible map[string]map[string]*Peer
	subjects map[subject]*ranked
	// version changes with each join and leave.
	version uint64
	// scored counts how often an instance was weighed for a thing.
	scored int
}

// subject is a thing, and the failure domain whose instances are preferred for it.
type subject struct {
	name   string
	domain string
}

// ranked holds the first in rank. If not complete, one of them has left and its successor is not known.
type ranked struct {
	hash     uint64
	top      []candidate
	complete bool
}

// candidate is an instance as it is ranked for a subject.
type candidate struct {
	peer      *Peer
	preferred bool
	score     float64
}

// before reports whether one instance is in charge before another.
func (c candidate) before(o candidate) bool {
	if c.preferred != o.preferred {
		return c.preferred
	}
	return c.score < o.score
}

func newRanking() ranking {
	return ranking{eligible: map[string]map[string]*Peer{}, subjects: map[subject]*ranked{}}
}

// contains reports whether a life of an instance is among those that can be given work.
func (k *ranking) contains(p *Peer) bool { return k.eligible[p.Domain][p.Name] == p }

// add adds an instance to those that can be given work.
func (k *ranking) add(p *Peer) {
	if k.eligible[p.Domain] == nil {
		k.eligible[p.Domain] = map[string]*Peer{}
	}
	k.eligible[p.Domain][p.Name] = p
	k.version++
	for at, s := range k.subjects {
		if s.complete {
			s.insert(k.newCandidate(p, at, s.hash))
		}
	}
}

// remove takes an instance from those that can be given work.
func (k *ranking) remove(p *Peer) {
	delete(k.eligible[p.Domain], p.Name)
	if len(k.eligible[p.Domain]) == 0 {
		delete(k.eligible, p.Domain)
	}
	k.version++
	for _, s := range k.subjects {
		if slices.ContainsFunc(s.top, func(o candidate) bool { return o.peer == p }) {
			s.complete = false
		}
	}
}

func (k *ranking) newCandidate(p *Peer, at subject, hash uint64) candidate {
	k.scored++
	return candidate{peer: p, preferred: p.Domain == at.domain, score: p.score(hash)}
}

// insert takes an instance in if it is among the first.
func (s *ranked) insert(next candidate) {
	i := len(s.top)
	for i > 0 && next.before(s.top[i-1]) {
		i--
	}
	if i == MaxRanked {
		return
	}
	s.top = slices.Insert(s.top, i, next)
	s.top = s.top[:min(len(s.top), MaxRanked)]
}

// topFor returns the first in rank for a thing.
func (k *ranking) topFor(thing, domain string) []candidate {
	at := subject{thing, domain}
	s := k.subjects[at]
	if s == nil {
		if len(k.subjects) >= maxSubjects {
			clear(k.subjects)
		}
		s = &ranked{hash: xxhash.Sum64String(thing)}
		k.subjects[at] = s
	}
	if !s.complete {
		k.rebuild(at, s)
	}
	return s.top
}

// rebuild ranks the instances for a subject anew: those of the preferred domain, and, if they are too few, the
// others.
func (k *ranking) rebuild(at subject, s *ranked) {
	s.top, s.complete = s.top[:0], true
	for _, p := range k.eligible[at.domain] {
		s.insert(k.newCandidate(p, at, s.hash))
	}
	if len(s.top) == MaxRanked {
		return
	}
	for domain, peers := range k.eligible {
		if domain == at.domain {
			continue
		}
		for _, p := range peers {
			s.insert(k.newCandidate(p, at, s.hash))
		}
	}
}

// refreshPeer brings the ranking up to date with one instance; the lock is held.
func (r *Roster) refreshPeer(p *Peer, now time.Time) {
	able := r.peers[p.Name] == p && r.alive(p, now) && !p.Heartbeat.Stopping
	switch held := r.ranking.contains(p); {
	case able && !held:
		r.ranking.add(p)
		r.refreshAt = clock.Earlier(r.refreshAt, r.aliveUntil(p))
	case held && !able:
		r.ranking.remove(p)
	}
}

// maxRefreshInterval bounds the time between two looks at who fell silent.
const maxRefreshInterval = time.Second

// refreshAll brings the ranking up to date with the instances that fell silent; the lock is held.
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

// Rank returns the first instances, of those that can be given work, in the order in which
// they are in charge of a thing: those of the preferred domain first, then by a hash that
// spreads things over instances and changes little when one comes or goes.
func (r *Roster) Rank(thing, domain string, now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshAll(now)
	out := make([]Peer, 0, MaxRanked)
	for _, s := range r.ranking.topFor(thing, domain) {
		out = append(out, *s.peer)
	}
	return out
}

// Responsible reports whether a server is this instance's to look after: the first in rank does, and each
// further one if all before it say that they do not reach it.
func (r *Roster) Responsible(server, domain string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshAll(now)
	for _, s := range r.ranking.topFor(server, domain) {
		if s.peer.Name == r.self {
			return true
		}
		if !slices.Contains(s.peer.Heartbeat.Failing, server) {
			return false
		}
	}
	return false
}

// RankVersion returns a number that changes whenever what Rank and Charged say may have changed.
func (r *Roster) RankVersion(now time.Time) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshAll(now)
	return r.ranking.version
}

// score returns a number that is smallest at the instance in charge: an exponential variate
// whose rate is the instance's processor time, so that each gets things in proportion to it.
func (p *Peer) score(thing uint64) float64 {
	uniform := (float64(mix(p.hash^thing)>>11) + 1) / (1 << 53)
	return -math.Log(uniform) / max(p.Share, 0.01)
}

// mix spreads the bits of a hash (the last steps of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
