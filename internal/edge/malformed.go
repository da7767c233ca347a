package edge

import (
	"sync"

	"example.org/mustardring/internal/event"
)

// maxMalformed is the number of servers to remember; beyond it, all are forgotten.
const maxMalformed = 4096

// malformedSet is the set of servers of which something malformed has been logged. It keeps a server
// from being logged with every response.
type malformedSet struct {
	mu      sync.Mutex
	servers map[string]struct{}
}

// add adds a server and reports whether it was new.
func (m *malformedSet) add(server string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.servers[server]; known {
		return false
	}
	if m.servers == nil || len(m.servers) >= maxMalformed {
		m.servers = map[string]struct{}{}
	}
	m.servers[server] = struct{}{}
	return true
}

// logMalformedLoad logs, once for each server, that the server stated a malformed load.
func (e *Edge) logMalformedLoad(server string, err error) {
	if e.malformedLoads.add(server) {
		e.Events.Record(event.StateChange, "load-malformed", "server", server, "error", err)
	}
}

// logMalformedLimit logs, once for each server, that the server stated a malformed limit.
func (e *Edge) logMalformedLimit(server string, err error) {
	if e.malformedLimits.add(server) {
		e.Events.Record(event.StateChange, "limit-malformed", "server", server, "error", err)
	}
}
