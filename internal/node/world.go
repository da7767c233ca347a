package node

import (
	"sync"
	"sync/atomic"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/gram"
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
	// evacuateTime is the same for the servers of a failure domain that is evacuated.
	evacuateTime time.Duration
	config       atomic.Pointer[rules.Config]
	// directory is never changed, only replaced.
	directory atomic.Pointer[map[string]rules.Server]
	// published counts how often it was replaced.
	published atomic.Uint64
	owners    func() *holder.View

	mu sync.Mutex
	// changed is closed when owners change.
	changed   chan struct{}
	listed    *directory
	evacuated *evacuations
	// awayUntil is when missing entries are believed to be gone for good.
	storeDown bool
	awayUntil time.Time
	// settled holds the ranges that have come to their new owners although no record says so
	// yet, by service and first key, with the fence.
	settled map[settledKey]uint64
}

type settledKey struct {
	service string
	from    uint16
}

// rememberedMost bounds the memory of settled ranges.
const rememberedMost = 4096

// drainReserve is kept of the time in which a leaving server must get its last request, for the way from the
// first byte to the server: a thin link that is full holds packets for each large answer.
const drainReserve = 250 * time.Millisecond

func newWorld(events *event.Log, drain, evacuate time.Duration) *world {
	w := &world{
		events: events, drainTime: drain, evacuateTime: evacuate, changed: make(chan struct{}),
		listed: newDirectory(events), evacuated: newEvacuations(events), settled: map[settledKey]uint64{},
	}
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
			for _, p := range r.Services {
				if p.Service == service && r.TargetLatency > 0 && (least == 0 || r.TargetLatency < least) {
					least = r.TargetLatency
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
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publish()
}

// putServers takes in news of the directory, the oldest of which can have been written the given
// time ago. It reports whether anything changed.
func (w *world) putServers(u follow.Update, age time.Duration, decode decodeEntry) bool {
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
	leaveBy := now.Add(w.drainTime - age)
	w.listed.take(u, now, leaveBy, decode)
	if !now.Before(w.awayUntil) {
		w.listed.forget()
	}
	w.listed.close(leaveBy)
	w.publish()
	return true
}

// publish lets the others see the directory, with what the operator says of services and failure domains; the lock is
// held.
func (w *world) publish() {
	services := map[string]rules.Service{}
	if c := w.config.Load(); c != nil {
		services = c.Services
	}
	servers := make(map[string]rules.Server, len(w.listed.servers))
	for id, s := range w.listed.servers {
		servers[id] = w.evacuated.apply(s, services[s.Service])
	}
	w.directory.Store(&servers)
	w.published.Add(1)
}

// expire removes the servers whose entries did not come back. It reports whether there were
// any.
func (w *world) expire() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeDown || time.Now().Before(w.awayUntil) || !w.listed.forget() {
		return false
	}
	w.publish()
	return true
}

// settle takes in that ranges have come to their new owners.
func (w *world) settle(ranges []gram.SettledRange) {
	w.mu.Lock()
	for _, r := range ranges {
		if len(w.settled) >= rememberedMost {
			clear(w.settled)
		}
		w.settled[settledKey{r.Service, r.From}] = r.Fence
	}
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
