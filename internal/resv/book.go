// Package resv holds what the controller of backend servers knows of callers that return after a
// rejection, and the capacity that it reserves for them. It performs no I/O, and its types are not
// safe for concurrent use.
//
// A Book that is lost does no harm: callers that it does not know are treated as new ones.
package resv

import (
	"time"

	"example.org/mustardring/internal/fair"
)

const (
	// maxOrigins is the number of origins in a Book. lifetime is how long an origin is known after
	// its last try, and how far ahead capacity is reserved.
	maxOrigins = 2048
	lifetime   = 5 * time.Second
	// grace is how long after its time a reservation ends. A return may be early by tolerance, as
	// Retry-After is rounded to milliseconds and clocks differ in speed.
	grace     = 150 * time.Millisecond
	tolerance = 10 * time.Millisecond
	// minWork is the least that is reserved for a request.
	minWork = time.Millisecond
)

// Book holds the returning callers and the reservations of one controller.
type Book struct {
	origins recent[uint64, origin]
	servers recent[string, server]
	learned lessons
	counts  Counts
	// epoch is the time of the first reservation. Tags of queues are seconds since then.
	epoch        time.Time
	lastSequence uint64
}

// origin is a request that its caller may send several times.
type origin struct {
	firstAt time.Time
	returns int32
	// rejected reports whether the last try was rejected, so that the next one is a return.
	rejected bool
	// try is the rejected try of which is not yet known whether the caller returns, nil if none is.
	try *try
	// reservation is nil if there is none.
	reservation *reservation
}

// server holds the reservations at a server: those to which the caller has not come yet, by time,
// and the reserved time.
type server struct {
	pending fair.Queue[*reservation]
	timeline
}

// reservation is a reservation to which the caller has not come yet.
type reservation struct {
	// item has the time as its tag.
	item   fair.Item[*reservation]
	origin *origin
	server *server
	span   span
}

// Known is what is known of earlier tries of a request.
type Known struct {
	// Returns is how often the caller has come back with the request, 0 for a first try.
	Returns int
	// FirstAt is when the first try arrived, zero for a first try.
	FirstAt time.Time
	// Kept reports whether this return has a reservation that is due now. One that is not due yet
	// stays, for the next return.
	Kept bool
}

// Reservation asks for capacity for the return of a rejected request.
type Reservation struct {
	Origin uint64
	// Server is the ID of the server, empty for those of a pool together.
	Server string
	// Work is the expected time in a slot of mean speed.
	Work time.Duration
	// Slots is the capacity of the server, in slots of mean speed, and Demand the part of it that
	// new requests ask for now.
	Slots  float64
	Demand float64
	// Wait is the predicted wait of a new request.
	Wait time.Duration
	// Earliest and Latest bound the time at which the caller is told to come back.
	Earliest time.Time
	Latest   time.Time
}

// Counts counts reservations since the start. Those that are replaced, or whose request is answered
// before their time, are neither met nor missed.
type Counts struct {
	// Kept counts the reservations made, Met those to which the caller came, and Missed those to
	// which it did not come in time.
	Kept, Met, Missed int
	// Refused counts the requests for which no capacity was left.
	Refused int
}

// NewBook returns a book that knows nothing.
func NewBook() *Book {
	return &Book{origins: newRecent[uint64, origin](), servers: newRecent[string, server](), learned: newLessons()}
}

// Arrive takes in that a request with an origin asks for admission, and returns what is known of
// earlier tries. A try counts as a return only after Rejected or Reserve: the router's own retries
// have the same origin. Origin 0 is unknown.
func (b *Book) Arrive(now time.Time, id uint64) Known {
	if id == 0 {
		return Known{}
	}
	o := b.use(now, id)
	var known Known
	if now.Sub(o.firstAt) > lifetime {
		// A caller that asks for the same thing from time to time begins anew.
		o.firstAt, o.returns, o.rejected = now, 0, false
	}
	if o.rejected {
		o.rejected = false
		o.returns++
		known.Kept = b.meet(now, o.reservation)
	}
	if o.try != nil {
		o.try.returned, o.try = true, nil
	}
	if o.returns > 0 {
		known.Returns, known.FirstAt = int(o.returns), o.firstAt
	}
	return known
}

// meet ends a reservation if it is due, and reports whether it is. Its time stays reserved, as the
// request now uses it.
func (b *Book) meet(now time.Time, r *reservation) (kept bool) {
	if r == nil {
		return false
	}
	b.expireServer(now, r.server)
	if r.origin.reservation == nil || b.tag(now.Add(tolerance)) < r.item.Tag {
		return false
	}
	b.counts.Met++
	r.server.pending.Remove(&r.item)
	r.origin.reservation = nil
	return true
}

// Rejected records that a try ended rejected, so that its caller may return. The route names the
// kind of request.
func (b *Book) Rejected(now time.Time, id uint64, route string) {
	if id == 0 {
		return
	}
	o := b.use(now, id)
	if !o.rejected || o.try == nil {
		o.rejected, o.try = true, b.learned.add(now, route, int(o.returns))
	}
}

// Retried takes in that the router itself sends a request again whose try was recorded as rejected.
func (b *Book) Retried(id uint64) {
	e := b.origins.get(id)
	if e == nil {
		return
	}
	o := &e.value
	o.rejected = false
	b.release(o)
	if o.try != nil {
		o.try.void, o.try = true, nil
	}
}

// Served forgets an origin whose request was answered.
func (b *Book) Served(id uint64) {
	if e := b.origins.get(id); e != nil {
		b.forget(e)
	}
}

// LastTry reports whether callers of a route rarely return after that many returns. While too few
// tries have been seen, all but first tries are taken for the last one.
func (b *Book) LastTry(route string, returns int) bool { return b.learned.last(route, returns) }

// Reserve sets aside capacity of a server for a rejected request. It returns when the caller should
// come back, false if no capacity that new requests leave over comes free before the latest time.
// An earlier reservation of the origin is given up.
func (b *Book) Reserve(now time.Time, want Reservation) (at time.Time, ok bool) {
	if want.Origin == 0 {
		return time.Time{}, false
	}
	o := b.use(now, want.Origin)
	o.rejected = true
	b.release(o)
	e, _ := b.servers.use(now, want.Server)
	s := &e.value
	b.expireServer(now, s)
	want.Work = max(want.Work, minWork)
	at, reserved, ok := s.find(now, want)
	if !ok {
		b.counts.Refused++
		return time.Time{}, false
	}
	b.counts.Kept++
	s.reserve(reserved)
	if b.epoch.IsZero() {
		b.epoch = now
	}
	b.lastSequence++
	r := &reservation{origin: o, server: s, span: reserved}
	r.item = fair.Item[*reservation]{Value: r, Tag: b.tag(at), Sequence: b.lastSequence, Work: want.Work}
	s.pending.Push(&r.item)
	o.reservation = r
	return at, true
}

// Pending returns the reserved work at a server that is due before a time and has not come yet.
func (b *Book) Pending(now time.Time, id string, before time.Time) time.Duration {
	e := b.servers.get(id)
	if e == nil {
		return 0
	}
	b.expireServer(now, &e.value)
	work, _ := e.value.pending.Ahead(b.tag(before), 0)
	return work
}

// Counts returns the counts since the start. A missed reservation counts once its origin or its
// server is used again, or after five seconds.
func (b *Book) Counts() Counts { return b.counts }

// tag orders reservations by time.
func (b *Book) tag(t time.Time) float64 { return t.Sub(b.epoch).Seconds() }

// use drops what has expired and returns an origin, a new one if it is not known.
func (b *Book) use(now time.Time, id uint64) *origin {
	b.learned.resolve(now)
	for e := b.origins.expired(now); e != nil; e = b.origins.expired(now) {
		b.drop(e)
	}
	for e := b.servers.expired(now); e != nil; e = b.servers.expired(now) {
		b.expireServer(now, &e.value)
		b.servers.remove(e.key)
	}
	e, known := b.origins.use(now, id)
	if !known {
		e.value.firstAt = now
	}
	if len(b.origins.entries) > maxOrigins {
		b.drop(b.origins.oldest())
	}
	return &e.value
}

// drop forgets an origin whose request was not answered.
func (b *Book) drop(e *entry[uint64, origin]) {
	if e.value.reservation != nil {
		b.counts.Missed++
	}
	b.forget(e)
}

func (b *Book) forget(e *entry[uint64, origin]) {
	b.release(&e.value)
	b.origins.remove(e.key)
}

// release gives up the reservation of an origin, if it has one.
func (b *Book) release(o *origin) {
	if r := o.reservation; r != nil {
		r.server.pending.Remove(&r.item)
		r.server.release(r.span)
		o.reservation = nil
	}
}

// expireServer ends the reservations at a server to which nobody came in time.
func (b *Book) expireServer(now time.Time, s *server) {
	s.advance(now)
	for first := s.pending.First(); first != nil && b.tag(now.Add(-grace)) >= first.Tag; first = s.pending.First() {
		b.counts.Missed++
		b.release(first.Value.origin)
	}
}
