// Package roster knows the instances of the system: which are registered in the shared store,
// which were heard of lately, and which of them does what. It has no input or output.
package roster

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is the record of an instance in the shared store; its key is the instance's name.
type Entry struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Incarnation is drawn anew at each start of the process.
	Incarnation uint64  `json:"incarnation"`
	Share       float64 `json:"cpu-share"`
	// Ended says that the process stopped in order, and does nothing any more.
	Ended bool `json:"ended,omitempty"`
}

// Decode reads the record of an instance.
func Decode(data []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("roster: record of an instance: %w", err)
	}
	return e, nil
}

// Encode returns the record.
func (e Entry) Encode() ([]byte, error) { return json.Marshal(e) }

// Beat is the heartbeat of an instance.
type Beat struct {
	Name        string
	Incarnation uint64
	// Confirmed is the offset behind the newest record of owners that the instance acts by:
	// no order that an older record gave rise to is on its way any more.
	Confirmed int64
	// Known is the offset behind the newest record of owners that the instance knows.
	Known int64
	// StoreOK says that the shared store answers the instance.
	StoreOK  bool
	Stopping bool
	// Config is the version in force, Servers the end of what is known of the directory.
	Config  uint64
	Servers int64
	// Failing lists the servers that do not answer the instance's renewals.
	Failing []string
}

// Peer is an instance.
type Peer struct {
	Entry
	Name    string
	HeardAt time.Time
	Beat    Beat
}

// silence is how long an instance may be silent before others do its work. Heartbeats come
// each 250 ms, so that two in a row may be lost.
const silence = 800 * time.Millisecond

// Roster is the instances. Its methods may be called from any goroutine.
type Roster struct {
	self   string
	domain string

	mu     sync.Mutex
	peers  map[string]*Peer
	linger map[string]lingering
	quiet  time.Duration
}

// lingering is an instance that was removed from the store's records while it may still act.
type lingering struct {
	Peer
	removedAt time.Time
}

// New returns the roster of an instance.
func New(self, domain string) *Roster {
	return &Roster{
		self: self, domain: domain, quiet: silence,
		peers: make(map[string]*Peer), linger: make(map[string]lingering),
	}
}

// Put takes in the record of an instance.
func (r *Roster) Put(name string, e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.peers[name]
	if e.Ended {
		delete(r.peers, name)
		return
	}
	if known == nil || known.Incarnation != e.Incarnation {
		known = &Peer{Name: name}
		r.peers[name] = known
	}
	known.Entry = e
}

// Remove takes in that the record of an instance is gone. It may still act on what it read
// before.
func (r *Roster) Remove(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[name]; p != nil {
		r.linger[name] = lingering{Peer: *p, removedAt: now}
		delete(r.peers, name)
	}
}

// Names returns the registered instances.
func (r *Roster) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.peers))
	for name := range r.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Has reports whether this life of an instance is registered.
func (r *Roster) Has(name string, incarnation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[name]
	return p != nil && p.Incarnation == incarnation
}

// Heard takes in a heartbeat. It reports whether it is news: the instance was silent before,
// or confirms more than before.
func (r *Roster) Heard(b Beat, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[b.Name]
	if p == nil || p.Incarnation != b.Incarnation {
		return false
	}
	news := now.Sub(p.HeardAt) > r.quiet || b.Confirmed != p.Beat.Confirmed || len(b.Failing) != len(p.Beat.Failing)
	p.HeardAt, p.Beat = now, b
	return news
}

// Silent drops an instance from those alive before its silence shows by time, as when it did
// not answer a question.
func (r *Roster) Silent(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[name]; p != nil && name != r.self && now.Sub(p.HeardAt) > r.quiet/2 {
		p.HeardAt = time.Time{}
	}
}

// alive reports whether an instance can be given work.
func (r *Roster) alive(p *Peer, now time.Time) bool {
	return p.Name == r.self || now.Sub(p.HeardAt) <= r.quiet
}

// Others returns the registered instances but this one.
func (r *Roster) Others() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Peer, 0, len(r.peers))
	for _, p := range r.peers {
		if p.Name != r.self {
			out = append(out, *p)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Alive returns the instances that can be given work, this one among them unless it stops.
func (r *Roster) Alive(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Peer, 0, len(r.peers))
	for _, p := range r.peers {
		if r.alive(p, now) && !p.Beat.Stopping {
			out = append(out, *p)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Rank returns the instances that can be given work, in the order in which they are in charge
// of a thing: those of the preferred domain first, then by a hash that spreads things over
// instances and changes little when one comes or goes.
func (r *Roster) Rank(thing, domain string, now time.Time) []Peer {
	alive := r.Alive(now)
	type scored struct {
		Peer
		score uint64
	}
	list := make([]scored, len(alive))
	for i, p := range alive {
		list[i] = scored{p, xxhash.Sum64String(p.Name + "\x00" + thing)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if near := a.Domain == domain; near != (b.Domain == domain) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	for i := range list {
		alive[i] = list[i].Peer
	}
	return alive
}

// Leader returns the instance that decides about owners: of those that reach the store, the
// one with the most processor time. Who it is matters for cost only, as the store's order
// decides between two that both think they lead.
func (r *Roster) Leader(now time.Time) (Peer, bool) {
	var best *Peer
	for _, p := range r.Alive(now) {
		if !p.Beat.StoreOK {
			continue
		}
		if best == nil || p.Share > best.Share {
			best = &p
		}
	}
	if best == nil {
		return Peer{}, false
	}
	return *best, true
}

// Unconfirmed returns the instances that may still act on records before an offset: the
// registered ones that have not confirmed it, and those that were removed after the given
// time.
func (r *Roster) Unconfirmed(offset int64, removedAfter time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, p := range r.peers {
		if p.Beat.Confirmed <= offset {
			out = append(out, p.Name)
		}
	}
	for name, p := range r.linger {
		if p.removedAt.Before(removedAfter) {
			delete(r.linger, name)
			continue
		}
		if q := r.peers[name]; q == nil || q.Incarnation == p.Incarnation {
			out = append(out, name)
		}
	}
	return out
}
