package node

import (
	"sync"
	"sync/atomic"
	"time"

	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/lease"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/stated"
)

// entryReturnTime is how long the entries of live servers may be missing after an outage of the store: they expired
// meanwhile, and are written again within this time.
const entryReturnTime = 2 * time.Second

// clusterState holds the configuration, the servers and the evacuations as this instance knows them.
type clusterState struct {
	events *event.Log
	// drainTime is how long a server may get requests after it has stated that it leaves.
	drainTime time.Duration
	// evacuationTime is the same for the servers of a failure domain that is evacuated.
	evacuationTime time.Duration
	config         atomic.Pointer[rules.Config]
	// snapshot holds the servers as requests see them.
	snapshot atomic.Pointer[rules.ServerSet]
	// snapshotVersion counts how often snapshot was replaced.
	snapshotVersion atomic.Uint64
	owners          func() *lease.View

	mu sync.Mutex
	// changed is closed and replaced when the owners change.
	changed     chan struct{}
	directory   *directory
	evacuations *evacuations
	// statements holds what servers state in their responses.
	statements *stated.Table
	// unseen holds the ids of the servers that have changed in snapshot since the last call of takeUnseen.
	unseen map[string]struct{}
	// storeDown says that the last read of the directory failed. Until missingUntil, missing entries do not mean that
	// servers are gone.
	storeDown    bool
	missingUntil time.Time
	// completedMoves holds the fencing tokens of ranges whose moves are complete, although no record says so yet, by
	// service and first key.
	completedMoves map[moveKey]uint64
}

// moveKey identifies a range by its service and first key.
type moveKey struct {
	service string
	from    uint16
}

// maxRememberedMoves bounds the number of completedMoves. When it is reached, all of them are dropped.
const maxRememberedMoves = 4096

// drainReserve is kept free at the end of the time within which a leaving server must get its last request. It covers
// the transfer of the request to the server: a saturated slow link delays packets behind each large answer. Longer delays are
// measured and come on top, see Node.excessSendDelay.
const drainReserve = 250 * time.Millisecond

func newClusterState(events *event.Log, drainTime, evacuationTime time.Duration) *clusterState {
	c := &clusterState{
		events: events, drainTime: drainTime, evacuationTime: evacuationTime, changed: make(chan struct{}),
		directory: newDirectory(events), statements: stated.NewTable(), unseen: map[string]struct{}{}, evacuations: newEvacuations(events), completedMoves: map[moveKey]uint64{},
	}
	c.snapshot.Store(&rules.ServerSet{})
	return c
}

// servers returns the servers as requests see them.
func (c *clusterState) servers() *rules.ServerSet { return c.snapshot.Load() }

// dividedServices returns the services that are divided by key, whose keys have owners.
func (c *clusterState) dividedServices() []string {
	cfg := c.config.Load()
	if cfg == nil {
		return nil
	}
	var out []string
	for name, s := range cfg.Services {
		if s.Divided {
			out = append(out, name)
		}
	}
	return out
}

// defaultTarget is the target latency of a service without a route.
const defaultTarget = time.Second

// shortestTarget returns the shortest target latency of the routes of a service. A configuration must be known.
func (c *clusterState) shortestTarget(service string) time.Duration {
	shortest := time.Duration(0)
	for _, routes := range c.config.Load().Hosts {
		for _, r := range routes {
			for _, p := range r.Services {
				if p.Service == service && r.TargetLatency > 0 && (shortest == 0 || r.TargetLatency < shortest) {
					shortest = r.TargetLatency
				}
			}
		}
	}
	if shortest == 0 {
		return defaultTarget
	}
	return shortest
}

// applyConfig applies a configuration unless its version is not newer than that in force.
func (c *clusterState) applyConfig(cfg *rules.Config) {
	if old := c.config.Load(); old != nil && old.Version >= cfg.Version {
		return
	}
	c.config.Store(cfg)
	c.events.Record(event.StateChange, "configuration", "version", cfg.Version, "hosts", len(cfg.Hosts), "services", len(cfg.Services))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publish()
}

// applyServers applies an update of the directory, whose oldest record can have been written as long ago as age. It
// reports whether the directory was updated, false after a failed read.
func (c *clusterState) applyServers(u follow.Update, age time.Duration, decode decodeEntry) bool {
	startedAt := time.Now()
	// Decoding takes long where there are thousands of servers, and a configuration must not wait for the lock.
	entries := decodeEntries(u, startedAt, decode)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if u.Err != nil {
		if !c.storeDown {
			c.events.Record(event.StateChange, "directory-unread", "error", u.Err)
		}
		c.storeDown = true
		return false
	}
	if c.storeDown {
		c.storeDown = false
		c.missingUntil = now.Add(entryReturnTime)
		c.events.Record(event.StateChange, "directory-regained", "offset", u.End)
	}
	if u.Returned {
		// Entries that only the lost records held are written again.
		c.missingUntil = now.Add(entryReturnTime)
	}
	leaveBy := startedAt.Add(c.drainTime - age)
	before := len(c.directory.missing)
	c.directory.apply(u, entries, now, leaveBy)
	if u.Returned {
		c.events.Record(event.StateChange, "directory-returned", "offset", u.End, "entries", len(u.Records), "servers", len(c.directory.servers),
			"missing", len(c.directory.missing)-before)
	}
	if !now.Before(c.missingUntil) {
		c.directory.removeMissing()
	}
	if !u.Returned {
		c.directory.close(leaveBy)
	}
	c.publishChanged()
	return true
}

// publish replaces the snapshot by the servers of the directory, with the effects of the configuration and of
// evacuations, which may concern all of them. The lock is held.
func (c *clusterState) publish() {
	for id := range c.directory.servers {
		c.directory.changed[id] = struct{}{}
	}
	c.publishChanged()
}

// republish updates one server in the snapshot.
func (c *clusterState) republish(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directory.changed[server] = struct{}{}
	c.publishChanged()
}

// publishChanged updates the snapshot by the servers that have changed in the directory. The lock is held.
func (c *clusterState) publishChanged() {
	services := map[string]rules.Service{}
	if cfg := c.config.Load(); cfg != nil {
		services = cfg.Services
	}
	put, removed := map[string]rules.Server{}, []string(nil)
	for id := range c.directory.takeChanged() {
		c.unseen[id] = struct{}{}
		if s, found := c.directory.servers[id]; found {
			put[id] = c.statements.Apply(c.evacuations.apply(s, services[s.Service]))
		} else {
			removed = append(removed, id)
		}
	}
	c.snapshot.Store(c.snapshot.Load().With(put, removed))
	c.snapshotVersion.Add(1)
}

// takeUnseen returns the ids of the servers that have changed in the snapshot since the last call.
func (c *clusterState) takeUnseen() map[string]struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.unseen
	c.unseen = map[string]struct{}{}
	return out
}

// removeMissing removes the servers whose entries did not reappear in time. It reports whether there were any.
func (c *clusterState) removeMissing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeDown || time.Now().Before(c.missingUntil) || !c.directory.removeMissing() {
		return false
	}
	c.publishChanged()
	return true
}

// markMovesComplete records that the moves of ranges are complete.
func (c *clusterState) markMovesComplete(ranges []dgram.MovedRange) {
	c.mu.Lock()
	for _, r := range ranges {
		if len(c.completedMoves) >= maxRememberedMoves {
			clear(c.completedMoves)
		}
		c.completedMoves[moveKey{r.Service, r.From}] = r.Fence
	}
	c.mu.Unlock()
	c.ownersChanged()
}

// isMoveComplete reports whether the move that gave a range its fencing token is known to be complete.
func (c *clusterState) isMoveComplete(service string, from uint16, fence uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completedMoves[moveKey{service, from}] == fence
}

// ownersChanged wakes the requests that wait for a change of owners.
func (c *clusterState) ownersChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// ownersChange returns a channel that is closed at the next change of owners.
func (c *clusterState) ownersChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
