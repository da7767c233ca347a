package edge

import (
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
)

// trackedRequest is a request during which servers were lost.
type trackedRequest struct {
	servers   map[string]struct{}
	expiresAt time.Time
}

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
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[print]
	if r == nil {
		c.evict(now)
		r = &trackedRequest{servers: map[string]struct{}{}}
		c.requests[print] = r
	}
	r.servers[server] = struct{}{}
	r.expiresAt = now.Add(crashRetention)
}

// evict drops all expired requests, and the one that expires first if no room is left.
func (c *CrashTracker) evict(now time.Time) {
	var oldest uint64
	var oldestExpiry time.Time
	for print, r := range c.requests {
		if now.After(r.expiresAt) {
			delete(c.requests, print)
			continue
		}
		if oldestExpiry.IsZero() || r.expiresAt.Before(oldestExpiry) {
			oldest, oldestExpiry = print, r.expiresAt
		}
	}
	if len(c.requests) >= maxTrackedRequests {
		delete(c.requests, oldest)
	}
}

// Clear drops the request with a fingerprint because it got a response. It reports whether the
// request was tracked.
func (c *CrashTracker) Clear(print uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.requests[print]
	delete(c.requests, print)
	return known
}

// Quarantined reports whether the request with a fingerprint must not be sent again for now.
func (c *CrashTracker) Quarantined(print uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[print]
	return r != nil && len(r.servers) >= maxCrashedServers && now.Before(r.expiresAt)
}
