package edge

import (
	"sync"
	"time"
)

// The bounds of what is kept of requests that crash servers.
const (
	// maxCrashedServers is the number of servers that a request may take down before it is blocked.
	// One that merely ran beside the cause is cleared by its next answer.
	maxCrashedServers = 2
	// crashRetention is how long a request is remembered.
	crashRetention = 2 * time.Minute
	// maxTrackedRequests bounds the memory; the oldest give way.
	maxTrackedRequests = 1024
)

// trackedRequest is a request at whose run servers were lost.
type trackedRequest struct {
	servers   map[string]struct{}
	expiresAt time.Time
}

// CrashTracker finds requests that crash the servers which run them. Such a request comes again,
// under another id and at any instance, so all instances tell one another of losses.
type CrashTracker struct {
	mu       sync.Mutex
	requests map[uint64]*trackedRequest
}

// NewCrashTracker returns an empty memory.
func NewCrashTracker() *CrashTracker { return &CrashTracker{requests: map[uint64]*trackedRequest{}} }

// RecordCrash takes in that a server was lost while a request ran there.
func (s *CrashTracker) RecordCrash(print uint64, server string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.requests[print]
	if k == nil {
		s.evict(now)
		k = &trackedRequest{servers: map[string]struct{}{}}
		s.requests[print] = k
	}
	k.servers[server] = struct{}{}
	k.expiresAt = now.Add(crashRetention)
}

// evict forgets what is old, and the one that ends first if that is not enough.
func (s *CrashTracker) evict(now time.Time) {
	var oldest uint64
	var until time.Time
	for print, k := range s.requests {
		if now.After(k.expiresAt) {
			delete(s.requests, print)
			continue
		}
		if until.IsZero() || k.expiresAt.Before(until) {
			oldest, until = print, k.expiresAt
		}
	}
	if len(s.requests) >= maxTrackedRequests {
		delete(s.requests, oldest)
	}
}

// Clear takes in that a request had an answer. It reports whether the request was suspected.
func (s *CrashTracker) Clear(print uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.requests[print]
	delete(s.requests, print)
	return known
}

// Quarantined reports whether a request must not run again.
func (s *CrashTracker) Quarantined(print uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.requests[print]
	return k != nil && len(k.servers) >= maxCrashedServers && now.Before(k.expiresAt)
}
