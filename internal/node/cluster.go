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

// entryReturnTime is how long after the store is back entries of servers that live may be missing:
// they lapsed while the store was away, and are written again within this time.
const entryReturnTime = 2 * time.Second

// clusterState is what the instance knows of configuration and servers.
type clusterState struct {
	events *event.Log
	// drainTime is how long after it has said that it leaves a server may get requests.
	drainTime time.Duration
	// evacuationTime is the same for the servers of a failure domain that is evacuated.
	evacuationTime time.Duration
	config         atomic.Pointer[rules.Config]
	// snapshot is never changed, only replaced.
	snapshot atomic.Pointer[map[string]rules.Server]
	// snapshotVersion counts how often it was replaced.
	snapshotVersion atomic.Uint64
	owners          func() *holder.Owners

	mu sync.Mutex
	// changed is closed when owners change.
	changed   chan struct{}
	directory *directory
	evacuated *evacuations
	// awayUntil is when missing entries are believed to be gone for good.
	storeDown    bool
	missingUntil time.Time
	// completedMoves holds the ranges that have come to their new owners although no record says so
	// yet, by service and first key, with the fence.
	completedMoves map[moveKey]uint64
}

type moveKey struct {
	service string
	from    uint16
}

// maxRememberedMoves bounds the memory of settled ranges.
const maxRememberedMoves = 4096

// drainReserve is kept of the time in which a leaving server must get its last request, for the way from the
// first byte to the server: a thin link that is full holds packets for each large answer.
const drainReserve = 250 * time.Millisecond

func newClusterState(events *event.Log, drain, evacuate time.Duration) *clusterState {
	w := &clusterState{
		events: events, drainTime: drain, evacuationTime: evacuate, changed: make(chan struct{}),
		directory: newDirectory(events), evacuated: newEvacuations(events), completedMoves: map[moveKey]uint64{},
	}
	w.snapshot.Store(&map[string]rules.Server{})
	return w
}

func (w *clusterState) servers() map[string]rules.Server { return *w.snapshot.Load() }

// dividedServices returns the services whose keys have owners.
func (w *clusterState) dividedServices() []string {
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

// shortestTarget returns the shortest target of the routes of a service.
func (w *clusterState) shortestTarget(service string) time.Duration {
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

// applyConfig takes in a configuration, unless a newer one is in force.
func (w *clusterState) applyConfig(c *rules.Config) {
	if old := w.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	w.config.Store(c)
	w.events.Note(event.Belief, "configuration", "version", c.Version, "hosts", len(c.Hosts), "services", len(c.Services))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publish()
}

// applyServers takes in news of the directory, the oldest of which can have been written the given
// time ago. It reports whether anything changed.
func (w *clusterState) applyServers(u follow.Update, age time.Duration, decode decodeEntry) bool {
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
		w.missingUntil = now.Add(entryReturnTime)
		w.events.Note(event.Belief, "directory-regained", "offset", u.End)
	}
	leaveBy := now.Add(w.drainTime - age)
	w.directory.apply(u, now, leaveBy, decode)
	if !now.Before(w.missingUntil) {
		w.directory.removeMissing()
	}
	w.directory.close(leaveBy)
	w.publish()
	return true
}

// publish lets the others see the directory, with what the operator says of services and failure domains; the lock is
// held.
func (w *clusterState) publish() {
	services := map[string]rules.Service{}
	if c := w.config.Load(); c != nil {
		services = c.Services
	}
	servers := make(map[string]rules.Server, len(w.directory.servers))
	for id, s := range w.directory.servers {
		servers[id] = w.evacuated.apply(s, services[s.Service])
	}
	w.snapshot.Store(&servers)
	w.snapshotVersion.Add(1)
}

// removeMissing removes the servers whose entries did not come back. It reports whether there were
// any.
func (w *clusterState) removeMissing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeDown || time.Now().Before(w.missingUntil) || !w.directory.removeMissing() {
		return false
	}
	w.publish()
	return true
}

// markMovesComplete takes in that ranges have come to their new owners.
func (w *clusterState) markMovesComplete(ranges []gram.MovedRange) {
	w.mu.Lock()
	for _, r := range ranges {
		if len(w.completedMoves) >= maxRememberedMoves {
			clear(w.completedMoves)
		}
		w.completedMoves[moveKey{r.Service, r.From}] = r.Fence
	}
	w.mu.Unlock()
	w.ownersChanged()
}

func (w *clusterState) isMoveComplete(service string, from uint16, fence uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.completedMoves[moveKey{service, from}] == fence
}

// ownersChanged wakes those who wait for owners.
func (w *clusterState) ownersChanged() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *clusterState) ownersChange() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}
