package lease

import (
	"cmp"
	"context"
	"maps"
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

// contacts tracks which servers accept connections, by checks that are made when the answer is asked for. The directory
// lists a crashed server until its entry expires. If such a server got keys, they would have no owner until its lease,
// which it may never have had, has expired.
type contacts struct {
	// check connects to a server.
	check func(ctx context.Context, server shard.Owner) error
	// timeout limits a check.
	timeout time.Duration

	mu sync.Mutex
	// results holds the last results by server, wanted the servers that are to be checked.
	results map[string]contact
	wanted  map[string]shard.Owner
	// suspected holds the servers that did not answer this instance since the last check that succeeded.
	suspected map[string]struct{}
	running   int
}

// contact is the result of a check. It counts until validUntil, pending means that there is none yet.
type contact struct {
	reachable  bool
	pending    bool
	validUntil time.Time
}

func newContacts(check func(ctx context.Context, server shard.Owner) error, timeout time.Duration) *contacts {
	return &contacts{
		check: check, timeout: timeout, results: map[string]contact{}, wanted: map[string]shard.Owner{}, suspected: map[string]struct{}{},
	}
}

// reachable reports whether a server accepted a connection lately. If that is not known, the server will be checked.
func (c *contacts) reachable(server shard.Owner, now time.Time) bool {
	last, known := c.last(server, now)
	return known && last.reachable
}

// unreachable reports whether a server accepted no connection lately. If that is not known, the server will be checked.
func (c *contacts) unreachable(server shard.Owner, now time.Time) bool {
	last, known := c.last(server, now)
	return known && !last.reachable
}

// last returns the result of the last check of a server, and false if there is none that counts. The server will be
// checked then.
func (c *contacts) last(server shard.Owner, now time.Time) (contact, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, found := c.results[server.Server]
	if found && last.pending {
		return contact{}, false
	}
	if found && now.Before(last.validUntil) {
		return last, true
	}
	c.wanted[server.Server] = server
	return contact{}, false
}

// suspect records that a server did not answer this instance.
func (c *contacts) suspect(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspected[server] = struct{}{}
	delete(c.results, server)
}

// isSuspected reports whether a server did not answer this instance since the last check that succeeded.
func (c *contacts) isSuspected(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, found := c.suspected[server]
	return found
}

// retain forgets the servers for which exists returns false.
func (c *contacts) retain(exists func(server string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.suspected, func(server string, _ struct{}) bool { return !exists(server) })
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
	if reachable {
		delete(c.suspected, server)
	}
}

// startContactChecks starts the checks that the last decisions asked for.
func (lm *Manager) startContactChecks(ctx context.Context, now time.Time) {
	for _, c := range []*contacts{lm.contacts, lm.anyPath} {
		c.retain(lm.Servers().Has)
		for _, server := range c.next(now) {
			lm.jobs.Add(1)
			go func() {
				defer lm.jobs.Done()
				lm.checkContact(ctx, c, server)
			}()
		}
	}
}

// checkContact checks whether a server accepts a connection.
func (lm *Manager) checkContact(ctx context.Context, c *contacts, server shard.Owner) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	err := c.check(ctx, server)
	if err != nil {
		lm.Events.Record(event.StateChange, "server-unreachable", "server", server.Server, "any-path", c == lm.anyPath, "error", err)
	}
	c.record(server.Server, err == nil, time.Now())
}
