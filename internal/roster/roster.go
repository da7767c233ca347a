// Package roster tracks the membership of the system: which instances are registered in the shared store,
// which are alive according to their heartbeats, and which is responsible for what. It does no I/O.
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

	"example.org/mustardring/internal/logpos"
)

// Entry is the registration of an instance. It is stored in the shared store under the instance's name.
type Entry struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Incarnation is drawn at random at each start of the process.
	Incarnation uint64 `json:"incarnation"`
	// Share is the capacity of the instance for work on behalf of others, relative to the other
	// instances: its share of a core, or less if its link is slow.
	Share float64 `json:"share"`
	// Ended says that the process has shut down in an orderly way and no longer acts.
	Ended bool `json:"ended,omitempty"`
	// Removed says that the others consider the instance failed. It may still act on its view until
	// that is too old.
	Removed bool `json:"removed,omitempty"`
}

// Acts reports whether the process runs, as far as the registration says.
func (e Entry) Acts() bool { return !e.Ended && !e.Removed }

// Decode decodes a registration from its JSON form.
func Decode(data []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("roster: malformed registration of an instance: %w", err)
	}
	return e, nil
}

// Encode returns the JSON form of a registration.
func (e Entry) Encode() ([]byte, error) { return json.Marshal(e) }

// Heartbeat is a message that an instance sends to others at regular intervals. It is encoded by position:
// its fields keep their order.
type Heartbeat struct {
	// Name and Incarnation identify the sender.
	Name        string
	Incarnation uint64
	// Confirmed is the offset after the newest record of owners that the instance acts on: no grant that
	// it sent because of an older record is in transit any more.
	Confirmed logpos.Pos
	// Known is the offset after the newest record of owners that the instance knows.
	Known logpos.Pos
	// StoreOK says that the last call of the instance to the shared store did not fail, StoreAnswered
	// that the store answered one of its recent calls.
	StoreOK       bool
	StoreAnswered bool
	// Stopping says that the instance is shutting down and takes no more work.
	Stopping bool
	// Leads says that the sender is the leader, which decides about owners and sends heartbeats to all
	// instances at LeaderHeartbeatInterval.
	Leads bool
	// SentAt is the time of sending by the lease clock of the sender, in nanoseconds. EchoAt is the
	// SentAt of the last heartbeat that the sender received from the receiver, so the content of this
	// one is current as of EchoAt by the clock of the receiver, or later.
	SentAt int64
	EchoAt int64
	// KnownAge is the time in milliseconds since the instance knew that there is no record of owners
	// after Known. It is negative if the instance does not know.
	KnownAge int64
	// CompleteAge is the time in milliseconds since the instance knew that it misses no record of the
	// configuration and the directory before ConfigEnd and ServersEnd. It is negative if the instance
	// does not know.
	CompleteAge int64
	// ConfigEnd and ServersEnd are the offsets after the last records of the configuration and the
	// directory that the instance acts on.
	ConfigEnd  logpos.Pos
	ServersEnd logpos.Pos
	// ReplyNow asks the receiver to send a heartbeat at once. The shorter the time to the echo, the more
	// closely the age of what the receiver sends can be determined.
	ReplyNow bool
	// Failing lists the ids of the servers that do not answer the instance's lease renewals. AllServers among them says
	// that the instance has lost its own paths to all servers, as far as it can tell.
	Failing []string
	// LatestEra is the latest era of the store that the sender knows of. It may be later than that of Known: after the store
	// has come back from a copy, instances act on what they know until the owners are in force in the new era.
	LatestEra logpos.Era `msgpack:"-"`
	// ReadEnd is the position up to which the sender has read the owners and the register in the latest era, zero unless the
	// owners are not in force there yet.
	ReadEnd logpos.Pos `msgpack:"-"`
}

// AllServers stands for all servers in Heartbeat.Failing. Instances of releases that do not know it take it for the id of a
// server that is not listed; they could not decode a further field.
const AllServers = "*"

// ReachesNone reports whether the sender has lost its own paths to all servers.
func (h Heartbeat) ReachesNone() bool { return slices.Contains(h.Failing, AllServers) }

// Peer is a registered instance, which may be this one.
type Peer struct {
	Entry
	Name string
	// IncarnationSince is the time at which the registration of this incarnation was first read,
	// RegisteredSince the time since which the name has been registered without interruption, and
	// HeartbeatAt the time at which the last heartbeat was received.
	IncarnationSince time.Time
	RegisteredSince  time.Time
	HeartbeatAt      time.Time
	// HeardSince is the time of the first heartbeat of this incarnation, zero before.
	HeardSince time.Time
	// ResumedAt is the time at which heartbeats last resumed after the instance had reached its timeout.
	ResumedAt time.Time
	// Heartbeat is the last heartbeat received.
	Heartbeat Heartbeat

	// direct is the last heartbeat that came from the instance itself, and directAt when that was.
	direct   Heartbeat
	directAt time.Time
	// clockOffset converts times of the instance's lease clock to those of the local one.
	clockOffset clockOffset
	// former is the incarnation that was registered before, zero for none.
	former uint64
	// passive says that the instance does not renew leases yet.
	passive bool
	// suspected says that the instance has not answered a request since its last heartbeat.
	suspected bool
	// hash is the hash of the name.
	hash uint64
}

// Roster holds the instances of the system as one of them, self, sees them. Its methods are safe for
// concurrent use.
type Roster struct {
	self   string
	domain string

	mu sync.Mutex
	// peers holds the registered instances by name, sorted holds them in the order of their names.
	peers  map[string]*Peer
	sorted []*Peer
	// registeredOnce says that self has been registered, in any incarnation.
	registeredOnce bool
	// byAddress holds the registered instances by address. Of several with the same address it holds the
	// last by name.
	byAddress map[string]*Peer
	// ranking holds the instances that are alive and not stopping, connected those of them that reach servers themselves and
	// may renew leases.
	ranking   ranking
	connected ranking
	// refreshAt is the earliest time at which an instance of the ranking may reach its timeout.
	refreshAt time.Time
	// removed holds, by name, the instances that were removed and may still act.
	removed map[string]removal
	// unregistered holds, by name, the time of the last heartbeat of each sender that is not registered as
	// far as this instance knows. Such senders may know records that this instance does not.
	unregistered map[string]time.Time
	// otherIncarnations holds, by name, the incarnation of the last heartbeat of a sender that is not registered in that
	// incarnation as far as this instance knows.
	otherIncarnations map[string]heardIncarnation
	// departed holds, by name, the instances that are no longer registered.
	departed map[string]departure
	// domainSizes holds the number of registered instances of each failure domain.
	domainSizes map[string]int
	// leadingSince is the time since which this instance has been the leader, zero if it is not.
	leadingSince time.Time
}

// heardIncarnation is an incarnation of an instance from which heartbeats have come since a time.
type heardIncarnation struct {
	incarnation uint64
	since       time.Time
}

// removal is an instance that was removed while it may still act.
type removal struct {
	entry Entry
	// since is the time at which this instance learned of the removal.
	since time.Time
}

// New returns the roster of the instance self in a failure domain. It holds no instances, not even that one.
func New(self, domain string) *Roster {
	return &Roster{
		self: self, domain: domain, domainSizes: make(map[string]int), byAddress: make(map[string]*Peer), ranking: newRanking(MaxRanked), connected: newRanking(MaxConnected),
		peers: make(map[string]*Peer), removed: make(map[string]removal), unregistered: make(map[string]time.Time), otherIncarnations: make(map[string]heardIncarnation), departed: make(map[string]departure),
	}
}

// add adds a registered instance. The lock is held.
func (r *Roster) add(p *Peer) {
	at, _ := slices.BinarySearchFunc(r.sorted, p, byName)
	r.sorted = slices.Insert(r.sorted, at, p)
	r.peers[p.Name] = p
	r.domainSizes[p.Domain]++
	if other := r.byAddress[p.Address]; other == nil || other.Name < p.Name {
		r.byAddress[p.Address] = p
	}
	// Heartbeat timeouts depend on the number of instances.
	r.refreshAt = time.Time{}
}

// drop removes a registered instance, before its Entry changes or because it is no longer registered. The
// lock is held.
func (r *Roster) drop(p *Peer) {
	at, _ := slices.BinarySearchFunc(r.sorted, p, byName)
	r.sorted = slices.Delete(r.sorted, at, at+1)
	delete(r.peers, p.Name)
	r.domainSizes[p.Domain]--
	if r.byAddress[p.Address] == p {
		delete(r.byAddress, p.Address)
		for _, other := range r.sorted {
			if other.Address == p.Address {
				r.byAddress[p.Address] = other
			}
		}
	}
	r.ranking.set(p, false)
	r.connected.set(p, false)
	r.refreshAt = time.Time{}
}

func byName(a, b *Peer) int { return cmp.Compare(a.Name, b.Name) }

// Put adds or updates an instance with its registration, which was read at the given time.
func (r *Roster) Put(name string, e Entry, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(name, e, now)
}

// Update adds or updates instances, and removes those whose registrations were deleted from the store, in one step: nobody
// sees a part of the register.
func (r *Roster) Update(registered map[string]Entry, deleted []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, e := range registered {
		r.put(name, e, now)
	}
	for _, name := range deleted {
		r.delete(name, now)
	}
}

// put adds or updates an instance. The lock is held.
func (r *Roster) put(name string, e Entry, now time.Time) {
	known := r.peers[name]
	if known != nil && !e.Acts() && e.Incarnation != known.Incarnation {
		// Another process of the same name has ended. The registered one may act until its own end is known.
		return
	}
	if known != nil {
		r.drop(known)
	}
	if !e.Acts() {
		if known != nil {
			r.departed[name] = departure{known.Domain, now}
		}
		if _, found := r.removed[name]; !found && e.Removed {
			r.removed[name] = removal{entry: e, since: now}
		}
		if !e.Removed && known != nil && known.former != 0 && now.Sub(known.IncarnationSince) < unregisteredTimeout {
			// The registration and the end were those of an earlier process, both late, if the one that was registered before runs.
			r.removed[name] = removal{entry: e, since: known.IncarnationSince}
		}
		return
	}
	delete(r.removed, name)
	delete(r.unregistered, name)
	if known == nil || known.Incarnation != e.Incarnation {
		since, former := now, uint64(0)
		if known != nil {
			since, former = known.RegisteredSince, known.Incarnation
		}
		known = &Peer{Name: name, IncarnationSince: now, RegisteredSince: since, former: former, hash: xxhash.Sum64String(name)}
		if heard := r.otherIncarnations[name]; heard.incarnation == e.Incarnation {
			known.HeardSince = heard.since
		}
	}
	delete(r.otherIncarnations, name)
	known.Entry = e
	r.add(known)
	r.registeredOnce = r.registeredOnce || name == r.self
}

// Remove removes an instance whose registration was deleted from the store. It can no longer act.
func (r *Roster) Remove(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delete(name, now)
}

// delete removes an instance. The lock is held.
func (r *Roster) delete(name string, now time.Time) {
	if p, found := r.peers[name]; found {
		r.departed[name] = departure{p.Domain, now}
		r.drop(p)
	}
	delete(r.removed, name)
	delete(r.unregistered, name)
	delete(r.otherIncarnations, name)
}

// LastHeard reports whether the last heartbeat from an instance was of an incarnation, registered or not.
func (r *Roster) LastHeard(name string, incarnation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if other, found := r.otherIncarnations[name]; found {
		return other.incarnation == incarnation
	}
	p := r.peers[name]
	return p != nil && p.Incarnation == incarnation && !p.HeardSince.IsZero()
}

// ReplacedSince returns since when heartbeats come from another incarnation of an instance than the registered one, zero if
// they do not.
func (r *Roster) ReplacedSince(name string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.otherIncarnations[name].since
}

// SetPassive sets which instances do not renew leases yet, by name. Others renew in their place.
func (r *Roster) SetPassive(passive map[string]bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.sorted {
		if p.passive != passive[p.Name] {
			p.passive = passive[p.Name]
			r.refreshPeer(p, now)
		}
	}
}

// HasRemoved reports whether there are instances that were removed and may still act.
func (r *Roster) HasRemoved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.removed) > 0
}

// RemovedBefore returns the names of the instances whose removal this instance learned of before a time.
func (r *Roster) RemovedBefore(before time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for name, m := range r.removed {
		if m.since.Before(before) {
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

// RecordHeartbeat updates the sender of a heartbeat. It reports whether there is a relevant change: the sender
// had reached its timeout, or its Confirmed or the number of servers in Failing has changed.
func (r *Roster) RecordHeartbeat(h Heartbeat, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[h.Name]
	if p == nil || p.Incarnation != h.Incarnation {
		r.unregistered[h.Name] = now
		if p != nil && h.Incarnation == p.former {
			// It was on its way when the process ended.
			return false
		}
		if r.otherIncarnations[h.Name].incarnation != h.Incarnation {
			r.otherIncarnations[h.Name] = heardIncarnation{h.Incarnation, now}
		}
		return false
	}
	if p.HeardSince.IsZero() {
		p.HeardSince = now
	}
	delete(r.otherIncarnations, h.Name)
	timeout := r.heartbeatTimeout(p)
	changed := now.Sub(p.HeartbeatAt) > timeout || h.Confirmed != p.Heartbeat.Confirmed || len(h.Failing) != len(p.Heartbeat.Failing)
	if r.resumes(p, now) {
		p.ResumedAt = now
	}
	if !slices.Equal(h.Failing, p.Heartbeat.Failing) {
		r.ranking.version++
	}
	p.HeartbeatAt, p.Heartbeat, p.suspected = now, h, false
	p.directAt, p.direct = now, h
	r.refreshPeer(p, now)
	return changed
}

// alive reports whether an instance counts as alive. One that has not sent a heartbeat yet does so for the
// time that the first one takes: otherwise instances that start together would each consider themselves the
// only one and renew the leases of all servers. The lock is held.
func (r *Roster) alive(p *Peer, now time.Time) bool {
	switch {
	case p.Name == r.self:
		return true
	case p.suspected:
		return false
	default:
		return !now.After(r.aliveUntil(p))
	}
}

// aliveUntil returns the time until which an instance counts as alive if it sends no further heartbeat. The
// lock is held.
func (r *Roster) aliveUntil(p *Peer) time.Time {
	if p.HeartbeatAt.IsZero() {
		return p.IncarnationSince.Add(r.intervalOf(p) + startTime)
	}
	since := p.HeartbeatAt
	if since.Before(r.leadingSince) {
		// The interval of a leader applies only from the time at which this instance became one.
		since = r.leadingSince
	}
	return since.Add(r.heartbeatTimeout(p))
}

// resumes reports whether a heartbeat of an instance at a time ends a silence that was longer than its timeout, or than the
// time that the first heartbeat takes. The lock is held.
func (r *Roster) resumes(p *Peer, heardAt time.Time) bool {
	if p.HeartbeatAt.IsZero() {
		return heardAt.After(r.aliveUntil(p))
	}
	return heardAt.Sub(p.HeartbeatAt) > r.heartbeatTimeout(p)
}

// startTime is the time that an instance needs to start and to read the registrations, before the interval
// to its first heartbeat, even with a small share of a core.
const startTime = 300 * time.Millisecond

// Others returns the registered instances except this one, sorted by name.
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

// Peer returns the registered instance with a name, and whether there is one.
func (r *Roster) Peer(name string) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[name]
	if p == nil {
		return Peer{}, false
	}
	return *p, true
}

// unregisteredTimeout is the time after its last heartbeat for which an unregistered sender prevents AllAgree
// from reporting agreement. It is longer than an instance may act on its view.
const unregisteredTimeout = 15 * time.Second

// agrees reports whether an instance has stated that it knows no record of owners behind a position of this instance's view.
// One that knows of a later era of the store agrees only with those that know the same records: what this one knows more
// may be lost, and it may be the only one that acts on it.
func (p *Peer) agrees(end logpos.Pos) bool {
	h := &p.Heartbeat
	return h.Known == end || h.Known < end && h.LatestEra <= end.Era()
}

// AllAgree reports whether all other instances that may decide about owners agree that there is no record of
// owners at offset end or later. An instance agrees if it has said so after it received a heartbeat that this
// one sent at the time since or later, by its lease clock, in nanoseconds. Instances that were removed but
// may still act, and senders that are not registered, cannot agree.
func (r *Roster) AllAgree(since int64, end logpos.Pos, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.unregistered, func(name string, last time.Time) bool {
		if now.Sub(last) <= unregisteredTimeout {
			return false
		}
		delete(r.otherIncarnations, name)
		return true
	})
	for _, p := range r.peers {
		if p.Name != r.self && (p.Heartbeat.EchoAt < since || p.Heartbeat.Known > end) {
			return false
		}
	}
	return len(r.peers) > 0 && len(r.removed) == 0 && len(r.unregistered) == 0
}

// Alive returns the instances that are alive and not stopping, sorted by name. This instance always counts as
// alive.
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
