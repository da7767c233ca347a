package edge

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// The limits of a CrashTracker.
const (
	// maxCrashedServers is the number of lost servers after which a request is quarantined. It
	// is more than one because other requests that ran on the server at the same time are
	// suspected too; the next response clears them.
	maxCrashedServers = 2
	// crashRetention is how long a request is tracked after its last crash.
	crashRetention = 2 * time.Minute
	// maxTrackedRequests bounds the memory; beyond it, the request that expires first is dropped.
	maxTrackedRequests = 1024
	// maxTrackedServers bounds the lost servers of a request.
	maxTrackedServers = 16
	// maxRecentCrashes is the maximum number of crashes that Recent returns. Each has some 30 bytes in a message.
	maxRecentCrashes = 500
	// mergeSlack is how much later a crash must be than the known one of the same server, or than a response, to count. Times
	// that instances tell each other arrive later by the delay of the messages.
	mergeSlack = time.Second
	// expiryReserve is the part of crashRetention in which a request is told to no other instance, since it may have expired
	// there already.
	expiryReserve = 5 * time.Second
)

// Crash is the loss of a server while it ran a request, or, if Cleared is set, a response to the request, which shows that
// earlier losses had another cause.
type Crash struct {
	Fingerprint uint64
	Server      string
	Cleared     bool
	At          time.Time
}

// trackedRequest is a request during which servers were lost.
type trackedRequest struct {
	// crashedAt holds when each server was lost.
	crashedAt map[string]time.Time
	// clearedAt is when the request last got a response after a crash. It outlasts the crashes, since other instances may
	// still tell of them.
	clearedAt time.Time
	// lastAt is the time of the last crash or response.
	lastAt time.Time
}

// expired reports whether a request is no longer tracked.
func (r *trackedRequest) expired(now time.Time) bool { return now.Sub(r.lastAt) > crashRetention }

// quarantines reports whether enough servers were lost.
func (r *trackedRequest) quarantines() bool { return len(r.crashedAt) >= maxCrashedServers }

// CrashTracker finds requests that crash the servers that run them. Callers retry such a request
// under another ID and at any instance, so the instances report crashes to each other.
type CrashTracker struct {
	mu sync.Mutex
	// requests holds the tracked requests by fingerprint.
	requests map[uint64]*trackedRequest
}

// NewCrashTracker returns a tracker without any requests.
func NewCrashTracker() *CrashTracker { return &CrashTracker{requests: map[uint64]*trackedRequest{}} }

// RecordCrash records that a server was lost while it ran the request with a fingerprint. Crashes
// of the same server count once.
func (c *CrashTracker) RecordCrash(print uint64, server string, now time.Time) {
	c.Merge([]Crash{{Fingerprint: print, Server: server, At: now}}, now)
}

// Clear drops the crashes of the request with a fingerprint because it got a response. It reports whether there were any.
func (c *CrashTracker) Clear(print uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[print]
	return r != nil && r.clear(now)
}

// Merge adds crashes and responses that this or another instance has seen, and returns how many of them changed something.
func (c *CrashTracker) Merge(crashes []Crash, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := 0
	for _, k := range crashes {
		if c.add(k, now) {
			changes++
		}
	}
	return changes
}

// add adds a crash or a response and reports whether it changed something. The lock is held.
func (c *CrashTracker) add(k Crash, now time.Time) bool {
	r := c.requests[k.Fingerprint]
	if r != nil && r.expired(now) {
		delete(c.requests, k.Fingerprint)
		r = nil
	}
	if r == nil {
		if now.Sub(k.At) > crashRetention {
			return false
		}
		c.evict(now)
		r = &trackedRequest{crashedAt: map[string]time.Time{}}
		c.requests[k.Fingerprint] = r
	}
	if k.Cleared {
		return r.clear(k.At)
	}
	known, found := r.crashedAt[k.Server]
	if k.At.Sub(r.clearedAt) <= mergeSlack || found && k.At.Sub(known) <= mergeSlack {
		return false
	}
	r.lastAt = later(r.lastAt, k.At)
	if !found && len(r.crashedAt) >= maxTrackedServers {
		return false
	}
	r.crashedAt[k.Server] = k.At
	return true
}

// clear drops the crashes that a response shows to have had another cause. It reports whether that changed something.
func (r *trackedRequest) clear(at time.Time) bool {
	known := len(r.crashedAt)
	maps.DeleteFunc(r.crashedAt, func(_ string, crashedAt time.Time) bool { return crashedAt.Sub(at) <= mergeSlack })
	if len(r.crashedAt) == known && !r.clearedAt.IsZero() {
		return false
	}
	r.clearedAt, r.lastAt = later(r.clearedAt, at), later(r.lastAt, at)
	return true
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// evict drops all expired requests, and the one that expires first if no room is left. The lock is held.
func (c *CrashTracker) evict(now time.Time) {
	maps.DeleteFunc(c.requests, func(_ uint64, r *trackedRequest) bool { return r.expired(now) })
	if len(c.requests) < maxTrackedRequests {
		return
	}
	delete(c.requests, slices.MinFunc(slices.Collect(maps.Keys(c.requests)), func(a, b uint64) int {
		return c.requests[a].lastAt.Compare(c.requests[b].lastAt)
	}))
}

// Quarantined reports whether the request with a fingerprint must not be sent again for now.
func (c *CrashTracker) Quarantined(print uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[print]
	return r != nil && r.quarantines() && !r.expired(now)
}

// Recent returns what another instance has to know: the crashes of the requests during which most servers were lost first, and
// the newest of each request first. It leaves out requests that expire soon, and what is too much for a message.
func (c *CrashTracker) Recent(now time.Time) []Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	prints := slices.Collect(maps.Keys(c.requests))
	slices.SortFunc(prints, func(a, b uint64) int {
		ra, rb := c.requests[a], c.requests[b]
		return cmp.Or(cmp.Compare(len(rb.crashedAt), len(ra.crashedAt)), rb.lastAt.Compare(ra.lastAt), cmp.Compare(a, b))
	})
	var out []Crash
	for _, print := range prints {
		r := c.requests[print]
		if now.Sub(r.lastAt) > crashRetention-expiryReserve {
			continue
		}
		first := len(out)
		for server, at := range r.crashedAt {
			out = append(out, Crash{Fingerprint: print, Server: server, At: at})
		}
		if !r.clearedAt.IsZero() {
			out = append(out, Crash{Fingerprint: print, Cleared: true, At: r.clearedAt})
		}
		slices.SortFunc(out[first:], func(a, b Crash) int {
			return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Server, b.Server))
		})
	}
	return out[:min(len(out), maxRecentCrashes)]
}
