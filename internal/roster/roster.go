// Package roster knows the instances of the system: which are registered in the shared store,
// which were heard of lately, and which of them does what. It has no input or output.
package roster

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
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
	Incarnation uint64 `json:"incarnation"`
	// Share is what the instance can do for others, relative to the rest: its part of a core,
	// and less than that on a thin link.
	Share float64 `json:"share"`
	// Ended says that the process stopped in order, and does nothing any more.
	Ended bool `json:"ended,omitempty"`
	// Removed says that the others take the instance for lost. It may still act on what it knew
	// before, until that is too old.
	Removed bool `json:"removed,omitempty"`
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

// Heartbeat is the heartbeat of an instance.
type Heartbeat struct {
	Name        string
	Incarnation uint64
	// Confirmed is the offset behind the newest record of owners that the instance acts by:
	// no order that an older record gave rise to is on its way any more.
	Confirmed int64
	// Known is the offset behind the newest record of owners that the instance knows.
	Known int64
	// StoreOK says that the shared store did not fail the instance at its last call, Proven that
	// it answered a call of the instance lately.
	StoreOK       bool
	StoreAnswered bool
	Stopping      bool
	// Leads says that the sender decides about owners, and sends heartbeats to all as often as to its domain.
	Leads bool
	// SentAt is when the heartbeat was sent, by the lease clock of its sender. EchoAt is that of
	// the last heartbeat that the sender had from the receiver: what the sender knew when it
	// sent this one, it knew after the receiver's EchoAt.
	SentAt int64
	EchoAt int64
	// KnownAge is how old the knowledge is that nothing follows Known, in milliseconds; negative
	// for none.
	KnownAge int64
	// CompleteAge is how old the knowledge is that nothing of configuration and directory is missing
	// before the ends below, in milliseconds; negative for none.
	CompleteAge int64
	// ConfigEnd and Servers are the ends of what the instance acts by of the two.
	ConfigEnd  int64
	ServersEnd int64
	// ReplyNow asks the receiver for a heartbeat at once: its echo dates what the receiver sends.
	ReplyNow bool
	// Failing lists the servers that do not answer the instance's renewals.
	Failing []string
}

// Peer is an instance.
type Peer struct {
	Entry
	Name string
	// KnownAt is when the registration was read, SinceAt when the first of those registrations of this
	// name that followed one another was, HeardAt when the last heartbeat came.
	KnownAt time.Time
	SinceAt time.Time
	HeardAt time.Time
	// BackAt is when the instance was heard again after a silence.
	BackAt    time.Time
	Heartbeat Heartbeat

	// ahead dates what the instance sends.
	ahead ahead
	// doubted says that the instance did not answer a question since its last heartbeat.
	doubted bool
	// hash is that of the name.
	hash uint64
}

// Roster is the instances. Its methods may be called from any goroutine.
type Roster struct {
	self   string
	domain string

	mu     sync.Mutex
	peers  map[string]*Peer
	sorted []*Peer
	// addresses holds the instances by address.
	addresses map[string]*Peer
	ranking   ranking
	// reviewAt is when an instance of the ranking may next have fallen silent.
	reviewAt time.Time
	// linger holds the instances that were removed and may still act.
	linger map[string]lingering
	// strangers holds when instances were last heard that are not known to be registered: they may
	// know what this instance does not.
	strangers map[string]time.Time
	// left holds the instances that ceased to be registered.
	left map[string]departure
	// sizes holds the number of instances by domain.
	sizes map[string]int
	// leadsSince is when this instance began to lead, zero if it does not.
	leadsSince time.Time
}

// lingering is an instance that was removed while it may still act.
type lingering struct {
	entry Entry
	// since is when this instance heard of the removal.
	since time.Time
}

// New returns the roster of an instance.
func New(self, domain string) *Roster {
	return &Roster{
		self: self, domain: domain, sizes: make(map[string]int), addresses: make(map[string]*Peer), ranking: newRanking(),
		peers: make(map[string]*Peer), linger: make(map[string]lingering), strangers: make(map[string]time.Time), left: make(map[string]departure),
	}
}

// add takes a registered instance in; the lock is held.
func (r *Roster) add(p *Peer) {
	at, _ := slices.BinarySearchFunc(r.sorted, p, byName)
	r.sorted = slices.Insert(r.sorted, at, p)
	r.peers[p.Name] = p
	r.sizes[p.Domain]++
	if other := r.addresses[p.Address]; other == nil || other.Name < p.Name {
		r.addresses[p.Address] = p
	}
	// With the number of instances the time changes after which one is silent.
	r.reviewAt = time.Time{}
}

// drop takes a registered instance out, before what its record says of it changes; the lock is held.
func (r *Roster) drop(p *Peer) {
	at, _ := slices.BinarySearchFunc(r.sorted, p, byName)
	r.sorted = slices.Delete(r.sorted, at, at+1)
	delete(r.peers, p.Name)
	r.sizes[p.Domain]--
	if r.addresses[p.Address] == p {
		delete(r.addresses, p.Address)
		for _, other := range r.sorted {
			if other.Address == p.Address {
				r.addresses[p.Address] = other
			}
		}
	}
	if r.ranking.holds(p) {
		r.ranking.leave(p)
	}
	r.reviewAt = time.Time{}
}

func byName(a, b *Peer) int { return cmp.Compare(a.Name, b.Name) }

// Put takes in the record of an instance at a time.
func (r *Roster) Put(name string, e Entry, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.peers[name]
	if known != nil {
		r.drop(known)
	}
	if e.Ended || e.Removed {
		if known != nil {
			r.left[name] = departure{known.Domain, now}
		}
		if _, there := r.linger[name]; !there && e.Removed {
			r.linger[name] = lingering{entry: e, since: now}
		}
		return
	}
	delete(r.linger, name)
	delete(r.strangers, name)
	if known == nil || known.Incarnation != e.Incarnation {
		since := now
		if known != nil {
			since = known.SinceAt
		}
		known = &Peer{Name: name, KnownAt: now, SinceAt: since, hash: xxhash.Sum64String(name)}
	}
	known.Entry = e
	r.add(known)
}

// Remove takes in that the record of an instance was deleted: it cannot act any more.
func (r *Roster) Remove(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, there := r.peers[name]; there {
		r.left[name] = departure{p.Domain, now}
		r.drop(p)
	}
	delete(r.linger, name)
	delete(r.strangers, name)
}

// RemovedBefore returns the instances that have been known to be removed since before a time.
func (r *Roster) RemovedBefore(before time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for name, l := range r.linger {
		if l.since.Before(before) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Len returns the number of registered instances.
func (r *Roster) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.peers)
}

// RecordHeartbeat takes in a heartbeat. It reports whether it is news: the instance was silent before,
// or confirms more than before.
func (r *Roster) RecordHeartbeat(b Heartbeat, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[b.Name]
	if p == nil || p.Incarnation != b.Incarnation {
		r.strangers[b.Name] = now
		return false
	}
	quiet := r.quietOf(p)
	news := now.Sub(p.HeardAt) > quiet || b.Confirmed != p.Heartbeat.Confirmed || len(b.Failing) != len(p.Heartbeat.Failing)
	if !p.HeardAt.IsZero() && now.Sub(p.HeardAt) > quiet {
		p.BackAt = now
	}
	if !slices.Equal(b.Failing, p.Heartbeat.Failing) {
		r.ranking.version++
	}
	p.HeardAt, p.Heartbeat, p.doubted = now, b, false
	r.review(p, now)
	return news
}

// alive reports whether an instance can be given work. One that was never heard is given the time
// for a first heartbeat: instances that start together would each take themselves for the only one, and
// renew the grants of all servers.
func (r *Roster) alive(p *Peer, now time.Time) bool {
	switch {
	case p.Name == r.self:
		return true
	case p.doubted:
		return false
	default:
		return !now.After(r.silentAt(p))
	}
}

// silentAt returns until when an instance can be given work if it is not heard again.
func (r *Roster) silentAt(p *Peer) time.Time {
	if p.HeardAt.IsZero() {
		return p.KnownAt.Add(r.paceOf(p) + firstBeat)
	}
	heardAt := p.HeardAt
	if heardAt.Before(r.leadsSince) {
		// It sends more often only since this instance leads.
		heardAt = r.leadsSince
	}
	return heardAt.Add(r.quietOf(p))
}

// firstBeat is what an instance needs to start and to read the register, besides the pause between
// two heartbeats, also with a small part of a core.
const firstBeat = 300 * time.Millisecond

// Others returns the registered instances but this one.
func (r *Roster) Others() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Peer, 0, len(r.sorted))
	for _, p := range r.sorted {
		if p.Name != r.self {
			out = append(out, *p)
		}
	}
	return out
}

// Peer returns a registered instance.
func (r *Roster) Peer(name string) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[name]
	if p == nil {
		return Peer{}, false
	}
	return *p, true
}

// strangerTime is how long an instance that is not known to be registered counts after it was heard:
// longer than it may act on what it knows.
const strangerTime = 15 * time.Second

// AllAgree reports whether every other instance that may decide about owners has said, after it had
// a heartbeat that this one sent at or after a time of its lease clock, that it knows of no record
// behind an offset.
func (r *Roster) AllAgree(since, end int64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.strangers, func(_ string, heardAt time.Time) bool { return now.Sub(heardAt) > strangerTime })
	for _, p := range r.peers {
		if p.Name != r.self && (p.Heartbeat.EchoAt < since || p.Heartbeat.Known > end) {
			return false
		}
	}
	return len(r.peers) > 0 && len(r.linger) == 0 && len(r.strangers) == 0
}

// Alive returns the instances that can be given work, this one among them unless it stops.
func (r *Roster) Alive(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Peer, 0, len(r.sorted))
	for _, p := range r.sorted {
		if r.alive(p, now) && !p.Heartbeat.Stopping {
			out = append(out, *p)
		}
	}
	return out
}
