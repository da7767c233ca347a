package lease

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/shard"
)

const (
	// contactValidity is for how long the result of a check counts.
	contactValidity = 2 * time.Second
	// maxContactChecks is the maximum number of checks that run at the same time.
	maxContactChecks = 64
)

// contacts tracks which servers without keys accept connections. The directory lists a crashed server until its
// entry expires. If such a server got keys, they would have no owner until its lease, which it may never
// have had, has expired.
type contacts struct {
	mu sync.Mutex
	// results holds the last results by server, wanted the servers that are to be checked.
	results map[string]contact
	wanted  map[string]shard.Owner
	running int
}

// contact is the result of a check. It counts until validUntil, pending means that there is none yet.
type contact struct {
	reachable  bool
	pending    bool
	validUntil time.Time
}

func newContacts() *contacts {
	return &contacts{results: map[string]contact{}, wanted: map[string]shard.Owner{}}
}

// reachable reports whether a server accepted a connection lately. If that is not known, the server will be checked.
func (c *contacts) reachable(server shard.Owner, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, found := c.results[server.Server]
	if found && (last.pending || now.Before(last.validUntil)) {
		return last.reachable
	}
	c.wanted[server.Server] = server
	return false
}

// next returns the servers whose checks are to start now.
func (c *contacts) next(now time.Time) []shard.Owner {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, last := range c.results {
		if !last.pending && now.After(last.validUntil) {
			delete(c.results, id)
		}
	}
	var out []shard.Owner
	for id, server := range c.wanted {
		if c.running == maxContactChecks {
			break
		}
		c.running++
		c.results[id] = contact{pending: true}
		out = append(out, server)
	}
	clear(c.wanted)
	slices.SortFunc(out, func(a, b shard.Owner) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// record records the result of a check that next has started.
func (c *contacts) record(server string, reachable bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	c.results[server] = contact{reachable: reachable, validUntil: now.Add(contactValidity)}
}

// startContactChecks starts the checks that the last decisions asked for.
func (lm *Manager) startContactChecks(ctx context.Context, now time.Time) {
	for _, server := range lm.contacts.next(now) {
		lm.jobs.Add(1)
		go func() {
			defer lm.jobs.Done()
			checkCtx, cancel := context.WithTimeout(ctx, grantTimeout)
			defer cancel()
			err := lm.LeaseClient.Connect(checkCtx, server)
			if err != nil {
				lm.Events.Record(event.StateChange, "server-unreachable", "server", server.Server, "error", err)
			}
			lm.contacts.record(server.Server, err == nil, time.Now())
		}()
	}
}
