// Package stated holds what backend servers state about themselves in their responses: a limit of requests, that they are
// about to leave, and that they want no requests of an instance for a time. It performs no I/O.
//
// What a server states in a response is as good as its entry in the directory, and may be known earlier: the directory
// cannot be read during an outage of the store.
package stated

import (
	"sync"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/rules"
)

// Statement is what one response states about its server, apart from its load and a limit.
type Statement struct {
	// Leaving says that the server is about to leave.
	Leaving bool
	// RestUntil is until when the server wants no more requests of the instance that got the response, zero if it does
	// not say so.
	RestUntil time.Time
}

// Empty reports whether the response states nothing.
func (s Statement) Empty() bool { return !s.Leaving && s.RestUntil.IsZero() }

// Source says which response made a statement.
type Source struct {
	// Request is the ID of the request of a caller, empty for a grant or a release of keys.
	Request string
	// Through is the instance that the request went through, empty if it was sent to the server directly.
	Through string
	Status  int
}

// unlistedTime is for how long statements of a server are kept after its entry in the directory is gone. The entry may come
// back after an outage of the store, and a server that leaves goes on running for a while.
const unlistedTime = 10 * time.Minute

const (
	// restForAllTime is for how long a rest for all instances counts that is not told again. The server may take requests
	// again before the rests that it has asked for are over.
	restForAllTime = 3 * time.Second
	// minRestNews is by how much such a rest must be longer than what was known to be worth a change.
	minRestNews = 500 * time.Millisecond
	// minLeaveNews is by how much the time of a leave must be earlier to be worth a change. What others tell differs by the
	// delays of messages, and the time allowed has a reserve.
	minLeaveNews = 50 * time.Millisecond
)

// maxUnlisted is the number of servers without an entry in the directory whose statements are kept.
const maxUnlisted = 4096

// Table holds the statements of servers, by the ID of their incarnation. Its methods are safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	servers map[string]*entry
}

// entry is what one server states.
type entry struct {
	limit limitEntry
	// leaveBy is when the server may get its last request, zero if it has not said that it leaves.
	leaveBy time.Time
	// middles holds the instances through which this one has heard that the server leaves.
	middles map[string]struct{}
	// restUntil is until when this instance sends the server no requests, zero if it has never asked for that.
	restUntil time.Time
	// restForAllUntil is until when the server wants no requests of any instance, as far as its controllers know, zero if that
	// is not so.
	restForAllUntil time.Time
	// dropAt is when the entry is dropped, zero while the server is listed in the directory.
	dropAt time.Time
}

// NewTable returns a table without statements.
func NewTable() *Table { return &Table{servers: map[string]*entry{}} }

// entry returns the entry of a server, a new one if there is none. The lock is held.
func (t *Table) entry(server string) *entry {
	e := t.servers[server]
	if e == nil {
		e = &entry{}
		t.servers[server] = e
	}
	return e
}

// ObserveLeave takes in that a server leaves and must get its last request by a time. Of several times the earliest counts,
// but for differences below minLeaveNews. It reports whether anything has changed.
//
// A server that has said that it leaves does not come back: a response without the statement was made earlier.
func (t *Table) ObserveLeave(server string, leaveBy time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(server)
	if !e.leaveBy.IsZero() && e.leaveBy.Sub(leaveBy) < minLeaveNews {
		return false
	}
	e.leaveBy = leaveBy
	return true
}

// HeardThrough records that this instance has heard through another one that a server leaves. It reports whether that is the
// first time.
func (t *Table) HeardThrough(server, instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(server)
	if _, heard := e.middles[instance]; heard {
		return false
	}
	if e.middles == nil {
		e.middles = map[string]struct{}{}
	}
	e.middles[instance] = struct{}{}
	return true
}

// Leaves returns the servers that have said that they leave, and when each may get its last request.
func (t *Table) Leaves() map[string]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]time.Time{}
	for server, e := range t.servers {
		if !e.leaveBy.IsZero() {
			out[server] = e.leaveBy
		}
	}
	return out
}

// ObserveRest takes in that a server wants no requests of this instance until a time. It reports whether that is later than
// what was known: a shorter rest does not end a longer one.
func (t *Table) ObserveRest(server string, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(server)
	if !until.After(e.restUntil) {
		return false
	}
	e.restUntil = until
	return true
}

// ObserveRestForAll takes in that a server wants no requests of any instance until a time, but no longer than
// restForAllTime if that is not told again. It reports whether what is known has changed by enough to matter.
func (t *Table) ObserveRestForAll(server string, until, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(server)
	until = clock.Earlier(until, now.Add(restForAllTime))
	if until.Sub(e.restForAllUntil) <= minRestNews {
		return false
	}
	e.restForAllUntil = until
	return true
}

// RestUntil returns until when this instance must send a server no requests; the zero time or one in the past if it may.
func (t *Table) RestUntil(server string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.servers[server]; e != nil {
		return e.restUntil
	}
	return time.Time{}
}

// Rests returns the servers to which this instance must send no requests now, and until when.
func (t *Table) Rests(now time.Time) map[string]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]time.Time{}
	for server, e := range t.servers {
		if now.Before(e.restUntil) {
			out[server] = e.restUntil
		}
	}
	return out
}

// Apply returns a server with what it states beside its entry in the directory.
func (t *Table) Apply(s rules.Server) rules.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[s.ID]
	if e == nil {
		return s
	}
	s.RateLimit, s.RestsUntil = e.limit.rate, e.restForAllUntil
	if !e.leaveBy.IsZero() {
		s.Draining = true
		if s.LeaveBy.IsZero() || e.leaveBy.Before(s.LeaveBy) {
			s.LeaveBy = e.leaveBy
		}
	}
	return s
}

// Ended names the servers whose limit or rest has ended.
type Ended struct{ Limits, Rests []string }

// Expire drops what does not count any more: limits that others have told and not repeated, rests that are over, and
// statements of servers that are not listed in the directory.
func (t *Table) Expire(listed func(server string) bool, now time.Time) Ended {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Ended
	unlisted := 0
	for server, e := range t.servers {
		isListed := listed(server)
		if e.limit.expired(now) || !isListed {
			if e.limit.rate != 0 {
				out.Limits = append(out.Limits, server)
			}
			e.limit = limitEntry{}
		}
		if !e.restUntil.IsZero() && !now.Before(e.restUntil) {
			out.Rests = append(out.Rests, server)
			e.restUntil = time.Time{}
		}
		if !now.Before(e.restForAllUntil) {
			e.restForAllUntil = time.Time{}
		}
		switch {
		case isListed:
			e.dropAt = time.Time{}
		case e.dropAt.IsZero():
			e.dropAt = now.Add(unlistedTime)
		}
		if !isListed {
			unlisted++
		}
		if e.empty() || !isListed && (now.After(e.dropAt) || unlisted > maxUnlisted) {
			delete(t.servers, server)
		}
	}
	return out
}

// empty reports whether the entry states nothing.
func (e *entry) empty() bool {
	return e.limit == (limitEntry{}) && e.leaveBy.IsZero() && e.restUntil.IsZero() && e.restForAllUntil.IsZero()
}
