package node

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/holder"
	"example.org/mustardring/internal/rules"
)

// returnTime is how long after the store is back entries of servers that live may be missing:
// they lapsed while the store was away, and are written again within this time.
const returnTime = 2 * time.Second

// world is what the instance knows of configuration and servers.
type world struct {
	events *event.Log
	// drainTime is how long after it has said that it leaves a server may get requests.
	drainTime time.Duration
	config    atomic.Pointer[rules.Config]
	// directory is never changed, only replaced.
	directory atomic.Pointer[map[string]rules.Server]
	owners    func() *holder.Owners
	// end is the offset behind the newest entry that was read.
	end atomic.Int64

	mu sync.Mutex
	// changed is closed when owners change.
	changed chan struct{}
	// awayUntil is when missing entries are believed to be gone for good; missing holds since
	// when they are missing.
	storeDown bool
	awayUntil time.Time
	missing   map[string]time.Time
	// settled holds the ranges that have come to their new owners although no record says so
	// yet, by service and first key, with the fence.
	settled map[settledKey]uint64
}

type settledKey struct {
	service string
	from    uint16
}

// settledMost bounds the memory of settled ranges.
const settledMost = 4096

// drainReserve is kept of the time in which a leaving server must get its last request: its way
// and a busy processor take a moment.
const drainReserve = 250 * time.Millisecond

func newWorld(events *event.Log, drain time.Duration) *world {
	w := &world{events: events, drainTime: drain, changed: make(chan struct{}), missing: map[string]time.Time{}, settled: map[settledKey]uint64{}}
	w.directory.Store(&map[string]rules.Server{})
	return w
}

func (w *world) servers() map[string]rules.Server { return *w.directory.Load() }

// divided returns the services whose keys have owners.
func (w *world) divided() []string {
	c := w.config.Load()
	if c == nil {
		return nil
	}
	var out []string
	for name, s := range c.Services {
		if s.Divided {
			out = append(out, name)
		}
	}
	return out
}

// defaultTarget is assumed of a service without a route.
const defaultTarget = time.Second

// target returns the shortest target of the routes of a service.
func (w *world) target(service string) time.Duration {
	least := time.Duration(0)
	for _, routes := range w.config.Load().Hosts {
		for _, r := range routes {
			for _, p := range r.Parts {
				if p.Service == service && r.Target > 0 && (least == 0 || r.Target < least) {
					least = r.Target
				}
			}
		}
	}
	if least == 0 {
		return defaultTarget
	}
	return least
}

// putConfig takes in a configuration, unless a newer one is in force.
func (w *world) putConfig(c *rules.Config) {
	if old := w.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	w.config.Store(c)
	w.events.Note(event.Belief, "configuration", "version", c.Version, "hosts", len(c.Hosts), "services", len(c.Services))
}

// putServers takes in news of the directory, the oldest of which can have been written the given
// time ago. It reports whether anything changed.
func (w *world) putServers(u follow.Update, age time.Duration, decode func(id string, data []byte, readAt time.Time) (rules.Server, error)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if u.Err != nil {
		if !w.storeDown {
			w.events.Note(event.Belief, "directory-unread", "error", u.Err)
		}
		w.storeDown = true
		return false
	}
	if w.storeDown {
		w.storeDown = false
		w.awayUntil = now.Add(returnTime)
		w.events.Note(event.Belief, "directory-regained", "offset", u.End)
	}
	w.end.Store(max(w.end.Load(), u.End))
	next := maps.Clone(w.servers())
	leaveBy := now.Add(w.drainTime - age)
	seen := map[string]bool{}
	for _, r := range u.Records {
		if len(r.Value) == 0 {
			w.miss(r.Key, now)
			continue
		}
		s, err := decode(r.Key, r.Value, now)
		if err != nil {
			w.events.Note(event.Belief, "entry-malformed", "server", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		seen[s.ID] = true
		delete(w.missing, s.ID)
		if old, known := next[s.ID]; !known || old.Draining != s.Draining {
			w.events.Note(event.Belief, "server", "server", s.ID, "service", s.Service, "address", s.Address,
				"domain", s.Domain, "draining", s.Draining, "warm-in", s.WarmAt.Sub(now), "offset", r.Offset)
		}
		if s.Draining {
			s.LeaveBy = leaveBy
			if old, known := next[s.ID]; known && old.Draining {
				s.LeaveBy = old.LeaveBy
			}
		}
		next[s.ID] = s
	}
	if u.Whole {
		for id := range next {
			if !seen[id] {
				w.miss(id, now)
			}
		}
	}
	w.forget(next, now)
	for id := range w.missing {
		// The entry may come back, but if the server has left it must not get requests for
		// longer than one that drains.
		if s, known := next[id]; known && s.LeaveBy.IsZero() {
			s.LeaveBy = leaveBy
			next[id] = s
		}
	}
	w.directory.Store(&next)
	return true
}

func (w *world) miss(id string, now time.Time) {
	if _, known := w.missing[id]; !known {
		w.missing[id] = now
	}
}

// forget removes the missing servers, unless the store was away so lately that their entries
// may come back.
func (w *world) forget(next map[string]rules.Server, now time.Time) {
	if now.Before(w.awayUntil) {
		return
	}
	for id := range w.missing {
		if s, known := next[id]; known {
			w.events.Note(event.Belief, "server-gone", "server", id, "service", s.Service)
			delete(next, id)
		}
		delete(w.missing, id)
	}
}

// expire removes the servers whose entries did not come back. It reports whether there were
// any.
func (w *world) expire() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if len(w.missing) == 0 || w.storeDown || now.Before(w.awayUntil) {
		return false
	}
	next := maps.Clone(w.servers())
	w.forget(next, now)
	w.directory.Store(&next)
	return true
}

// settle takes in that a range has come to its new owner.
func (w *world) settle(service string, from uint16, fence uint64) {
	w.mu.Lock()
	if len(w.settled) >= settledMost {
		clear(w.settled)
	}
	w.settled[settledKey{service, from}] = fence
	w.mu.Unlock()
	w.ownersChanged()
}

func (w *world) isSettled(service string, from uint16, fence uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settled[settledKey{service, from}] == fence
}

// ownersChanged wakes those who wait for owners.
func (w *world) ownersChanged() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) change() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}
