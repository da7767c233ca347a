package edge

import (
	"sync"
	"time"
)

// The bounds of what is kept of requests that crash servers.
const (
	// crashesMost is the number of servers that a request may take down before it is blocked.
	// One that merely ran beside the cause is cleared by its next answer.
	crashesMost = 2
	// crashTime is how long a request is remembered.
	crashTime = 2 * time.Minute
	// suspectsMost bounds the memory; the oldest give way.
	suspectsMost = 1024
)

// suspect is a request at whose run servers were lost.
type suspect struct {
	servers map[string]struct{}
	until   time.Time
}

// CrashTracker finds requests that crash the servers which run them. Such a request comes again,
// under another id and at any instance, so all instances tell one another of losses.
type CrashTracker struct {
	mu    sync.Mutex
	known map[uint64]*suspect
}

// NewCrashTracker returns an empty memory.
func NewCrashTracker() *CrashTracker { return &CrashTracker{known: map[uint64]*suspect{}} }

// RecordCrash takes in that a server was lost while a request ran there.
func (s *CrashTracker) RecordCrash(print uint64, server string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[print]
	if k == nil {
		s.makeRoom(now)
		k = &suspect{servers: map[string]struct{}{}}
		s.known[print] = k
	}
	k.servers[server] = struct{}{}
	k.until = now.Add(crashTime)
}

// makeRoom forgets what is old, and the one that ends first if that is not enough.
func (s *CrashTracker) makeRoom(now time.Time) {
	var oldest uint64
	var until time.Time
	for print, k := range s.known {
		if now.After(k.until) {
			delete(s.known, print)
			continue
		}
		if until.IsZero() || k.until.Before(until) {
			oldest, until = print, k.until
		}
	}
	if len(s.known) >= suspectsMost {
		delete(s.known, oldest)
	}
}

// Clear takes in that a request had an answer. It reports whether the request was suspected.
func (s *CrashTracker) Clear(print uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.known[print]
	delete(s.known, print)
	return known
}

// Quarantined reports whether a request must not run again.
func (s *CrashTracker) Quarantined(print uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[print]
	return k != nil && len(k.servers) >= crashesMost && now.Before(k.until)
}
