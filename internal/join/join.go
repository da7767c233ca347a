// Package join decides from which instances a starting one gets its state, and registers starting instances together.
// It does no I/O.
//
// An instance that starts asks a seed, whose address is in its settings. The seed names parents: instances of the same
// failure domain that have the state or will have it soon. When all instances start at once, these parents form a tree
// in each domain below the seed, so that few instances read the store and none serves more than a few others.
package join

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
)

const (
	// fanout is the number of starting instances that get their state from one that starts as well.
	fanout = 3
	// directReaders is the number of instances of each failure domain that read the store as the seed does if they start
	// together with it, so that others do not have to wait for a slow seed.
	directReaders = 1
	// batchTime is how long an instance counts as starting.
	batchTime = 10 * time.Second
	// maxPending is the maximum number of registrations that wait to be written. An instance whose registration is
	// dropped writes it itself.
	maxPending = 4096
)

const (
	// WriteTime is how long a seed tries to write a registration after the last request. After that the instance may have
	// it written another way.
	WriteTime = 2500 * time.Millisecond
	// WrittenTime is how long a seed remembers that it has written a registration, or may have, after the instance last asked.
	WrittenTime = 5 * time.Second
	// maxWrittenTime bounds that time for instances that ask again and again.
	maxWrittenTime = time.Minute
)

// Request is sent by an instance that starts.
type Request struct {
	Name  string       `json:"name"`
	Entry roster.Entry `json:"entry"`
	// Register asks the receiver to write the registration to the store.
	Register bool `json:"register"`
	// KnownOffset is the offset after the last record of the register that the sender knows, KnownEra its era; zero if the
	// sender is of a release that does not know eras.
	KnownOffset int64      `json:"known"`
	KnownEra    logpos.Era `json:"known-era,omitempty"`

	// writeUntil is when the receiver gives up writing the registration.
	writeUntil time.Time
}

// known returns the position after the last record of the register that the sender knows, which is in the given era if the
// sender states none.
func (r Request) known(era logpos.Era) logpos.Pos {
	if r.KnownEra > logpos.MaxEra || !logpos.Valid(r.KnownOffset) {
		return 0
	}
	return logpos.At(r.KnownEra, r.KnownOffset).In(era)
}

// Reply is the answer to a Request.
type Reply struct {
	// Parents holds the addresses of the instances to ask for the state, in the order of preference.
	Parents []string `json:"parents"`
	// Registers says that the sender writes the registration of the instance to the store.
	Registers bool `json:"registers"`
	// Loaded says that the sender has the state itself.
	Loaded bool `json:"loaded"`
	// Position is the number of instances that the sender knows to have started shortly before the receiver, Starters the
	// number of all that it knows to have started shortly before the reply, the receiver included.
	Position int `json:"position"`
	Starters int `json:"starters"`
}

// Book holds the instances that started lately, as one seed knows them. Its owner must serialize the calls.
type Book struct {
	// self is the address of the seed.
	self    string
	domains map[string][]starter
	pending []Request
	// written holds the registrations that the seed has written lately, by the name of the instance: an instance asks again
	// before it knows that it is registered.
	written map[string]writtenEntry
}

// writtenEntry is a registration that was written.
type writtenEntry struct {
	incarnation uint64
	// end is the offset after the record, zero if it is not known whether it was written.
	end logpos.Pos
	// until is until when the seed remembers it, but no longer than latest.
	until  time.Time
	latest time.Time
}

// starter is a starting instance.
type starter struct {
	name    string
	address string
	// position is the number of starting instances that were known before this one.
	position int
	until    time.Time
}

// NewBook returns the book of the seed at an address.
func NewBook(self string) *Book {
	return &Book{self: self, domains: map[string][]starter{}, written: map[string]writtenEntry{}}
}

// Add records a starting instance and returns the reply to it. Running holds the addresses of the instances of its
// failure domain that are known to run, loaded says whether the seed has the state.
func (b *Book) Add(r Request, running []string, loaded bool, now time.Time) Reply {
	domain := r.Entry.Domain
	b.dropStarters(now)
	starters := b.domains[domain]
	position := slices.IndexFunc(starters, func(s starter) bool { return s.name == r.Name })
	if position < 0 {
		position = len(starters)
		starters = append(starters, starter{name: r.Name, position: b.starters()})
	}
	starters[position].address, starters[position].until = r.Entry.Address, now.Add(batchTime)
	b.domains[domain] = starters
	reply := Reply{Registers: r.Register && b.Register(r, now), Loaded: loaded, Position: starters[position].position, Starters: b.starters()}
	running = slices.DeleteFunc(slices.Clone(running), func(a string) bool { return a == r.Entry.Address })
	if !loaded && position < directReaders {
		return reply
	}
	if position < len(running) {
		reply.Parents = append(reply.Parents, pick(running, r.Name)...)
	} else {
		for at := position; at > 0 && len(reply.Parents) < 2; {
			at = (at - 1) / fanout
			reply.Parents = append(reply.Parents, starters[at].address)
		}
	}
	reply.Parents = append(reply.Parents, b.self)
	return reply
}

// dropStarters drops the instances that do not count as starting any more.
func (b *Book) dropStarters(now time.Time) {
	for domain, starters := range b.domains {
		b.domains[domain] = slices.DeleteFunc(starters, func(s starter) bool { return now.After(s.until) })
	}
}

// starters returns the number of starting instances.
func (b *Book) starters() int {
	count := 0
	for _, starters := range b.domains {
		count += len(starters)
	}
	return count
}

// pick returns up to two of the addresses, which differ from one starting instance to the next.
func pick(addresses []string, name string) []string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	first := int(h.Sum64() % uint64(len(addresses)))
	out := []string{addresses[first]}
	if second := (first + 1) % len(addresses); second != first {
		out = append(out, addresses[second])
	}
	return out
}

// Register adds a registration that is to be written within WriteTime, unless it has been written lately. It reports false
// if there is no room.
//
// An instance that cannot read the register asks again although its registration has been written. It is written again only
// if the instance knows later records than that.
func (b *Book) Register(r Request, now time.Time) bool {
	if w, found := b.written[r.Name]; found && w.incarnation == r.Entry.Incarnation && now.Before(w.until) && (w.end == 0 || r.known(w.end.Era()) < w.end) {
		if w.end > 0 {
			w.until = clock.Earlier(now.Add(WrittenTime), w.latest)
			b.written[r.Name] = w
		}
		return true
	}
	r.writeUntil = now.Add(WriteTime)
	return b.enqueue(r)
}

// enqueue adds a registration that is to be written, in place of an earlier one of the same instance. It reports
// whether there is room.
func (b *Book) enqueue(r Request) bool {
	if at := slices.IndexFunc(b.pending, func(p Request) bool { return p.Name == r.Name }); at >= 0 {
		b.pending[at] = r
		return true
	}
	if len(b.pending) >= maxPending {
		return false
	}
	b.pending = append(b.pending, r)
	return true
}

// Written records that registrations were written, and the offset after them, zero if it is not known whether they were.
func (b *Book) Written(requests []Request, end logpos.Pos, now time.Time) {
	for _, r := range requests {
		b.written[r.Name] = writtenEntry{incarnation: r.Entry.Incarnation, end: end, until: now.Add(WrittenTime), latest: now.Add(maxWrittenTime)}
	}
}

// DropUnwritten drops the registrations that were not written within WriteTime, and returns their number.
func (b *Book) DropUnwritten(now time.Time) int {
	maps.DeleteFunc(b.written, func(_ string, w writtenEntry) bool { return now.After(w.until) })
	before := len(b.pending)
	b.pending = slices.DeleteFunc(b.pending, func(r Request) bool { return now.After(r.writeUntil) })
	return before - len(b.pending)
}

// Take returns up to most registrations that are to be written, and removes them.
func (b *Book) Take(most int) []Request {
	n := min(most, len(b.pending))
	out := slices.Clone(b.pending[:n])
	b.pending = slices.Delete(b.pending, 0, n)
	return out
}

// Return adds registrations back that were not written.
func (b *Book) Return(requests []Request) {
	for _, r := range requests {
		if !slices.ContainsFunc(b.pending, func(p Request) bool { return p.Name == r.Name }) {
			b.enqueue(r)
		}
	}
}
