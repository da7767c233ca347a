package roster

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/mustardring/internal/clock"
)

// Ranks is the number of instances that are in charge of a thing in turn.
const Ranks = 3

// subjectsMost bounds the memory of things that were asked about; what was forgotten is ranked anew.
const subjectsMost = 1 << 15

// ranking keeps who is in charge of each thing that was asked about. A ranking is brought up to date when an
// instance joins or leaves those that can be given work, for that instance alone, so that a question costs
// the same however many instances and things there are.
//
// Ranked anew for each question, some hundred servers take a small instance among hundreds most of its processor
// time.
type ranking struct {
	// able holds the instances that can be given work, by domain and name.
	able     map[string]map[string]*Peer
	subjects map[subject]*ranked
	// version changes with each join and leave.
	version uint64
	// weighed counts how often an instance was weighed for a thing.
	weighed int
}

// subject is a thing, and the failure domain whose instances are preferred for it.
type subject struct {
	thing  string
	domain string
}

// ranked holds the first in rank. If not complete, one of them has left and its successor is not known.
type ranked struct {
	hash     uint64
	first    []candidate
	complete bool
}

// candidate is an instance as it is ranked for a subject.
type candidate struct {
	peer   *Peer
	near   bool
	weight float64
}

// before reports whether one instance is in charge before another.
func (c candidate) before(o candidate) bool {
	if c.near != o.near {
		return c.near
	}
	return c.weight < o.weight
}

func newRanking() ranking {
	return ranking{able: map[string]map[string]*Peer{}, subjects: map[subject]*ranked{}}
}

// holds reports whether a life of an instance is among those that can be given work.
func (k *ranking) holds(p *Peer) bool { return k.able[p.Domain][p.Name] == p }

// join adds an instance to those that can be given work.
func (k *ranking) join(p *Peer) {
	if k.able[p.Domain] == nil {
		k.able[p.Domain] = map[string]*Peer{}
	}
	k.able[p.Domain][p.Name] = p
	k.version++
	for at, s := range k.subjects {
		if s.complete {
			s.take(k.weigh(p, at, s.hash))
		}
	}
}

// leave takes an instance from those that can be given work.
func (k *ranking) leave(p *Peer) {
	delete(k.able[p.Domain], p.Name)
	if len(k.able[p.Domain]) == 0 {
		delete(k.able, p.Domain)
	}
	k.version++
	for _, s := range k.subjects {
		if slices.ContainsFunc(s.first, func(o candidate) bool { return o.peer == p }) {
			s.complete = false
		}
	}
}

func (k *ranking) weigh(p *Peer, at subject, hash uint64) candidate {
	k.weighed++
	return candidate{peer: p, near: p.Domain == at.domain, weight: p.weigh(hash)}
}

// take takes an instance in if it is among the first.
func (s *ranked) take(next candidate) {
	i := len(s.first)
	for i > 0 && next.before(s.first[i-1]) {
		i--
	}
	if i == Ranks {
		return
	}
	s.first = slices.Insert(s.first, i, next)
	s.first = s.first[:min(len(s.first), Ranks)]
}

// of returns the first in rank for a thing.
func (k *ranking) of(thing, domain string) []candidate {
	at := subject{thing, domain}
	s := k.subjects[at]
	if s == nil {
		if len(k.subjects) >= subjectsMost {
			clear(k.subjects)
		}
		s = &ranked{hash: xxhash.Sum64String(thing)}
		k.subjects[at] = s
	}
	if !s.complete {
		k.fill(at, s)
	}
	return s.first
}

// fill ranks the instances for a subject anew: those of the preferred domain, and, if they are too few, the
// others.
func (k *ranking) fill(at subject, s *ranked) {
	s.first, s.complete = s.first[:0], true
	for _, p := range k.able[at.domain] {
		s.take(k.weigh(p, at, s.hash))
	}
	if len(s.first) == Ranks {
		return
	}
	for domain, peers := range k.able {
		if domain == at.domain {
			continue
		}
		for _, p := range peers {
			s.take(k.weigh(p, at, s.hash))
		}
	}
}

// review brings the ranking up to date with one instance; the lock is held.
func (r *Roster) review(p *Peer, now time.Time) {
	able := r.peers[p.Name] == p && r.alive(p, now) && !p.Heartbeat.Stopping
	switch held := r.ranking.holds(p); {
	case able && !held:
		r.ranking.join(p)
		r.reviewAt = clock.Earlier(r.reviewAt, r.silentAt(p))
	case held && !able:
		r.ranking.leave(p)
	}
}

// reviewMost bounds the time between two looks at who fell silent.
const reviewMost = time.Second

// reviewSilent brings the ranking up to date with the instances that fell silent; the lock is held.
func (r *Roster) reviewSilent(now time.Time) {
	if now.Before(r.reviewAt) {
		return
	}
	r.reviewAt = now.Add(reviewMost)
	for _, p := range r.sorted {
		r.review(p, now)
		if p.Name != r.self && r.ranking.holds(p) {
			r.reviewAt = clock.Earlier(r.reviewAt, r.silentAt(p))
		}
	}
}

// Rank returns the first instances, of those that can be given work, in the order in which
// they are in charge of a thing: those of the preferred domain first, then by a hash that
// spreads things over instances and changes little when one comes or goes.
func (r *Roster) Rank(thing, domain string, now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reviewSilent(now)
	out := make([]Peer, 0, Ranks)
	for _, s := range r.ranking.of(thing, domain) {
		out = append(out, *s.peer)
	}
	return out
}

// Responsible reports whether a server is this instance's to look after: the first in rank does, and each
// further one if all before it say that they do not reach it.
func (r *Roster) Responsible(server, domain string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reviewSilent(now)
	for _, s := range r.ranking.of(server, domain) {
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
	r.reviewSilent(now)
	return r.ranking.version
}

// weigh returns a number that is smallest at the instance in charge: an exponential variate
// whose rate is the instance's processor time, so that each gets things in proportion to it.
func (p *Peer) weigh(thing uint64) float64 {
	uniform := (float64(mix(p.hash^thing)>>11) + 1) / (1 << 53)
	return -math.Log(uniform) / max(p.Share, 0.01)
}

// mix spreads the bits of a hash (the last steps of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
