package edge

import (
	"sync"

	"example.org/mustardring/internal/event"
)

// maxMalformedLoads is the number of servers to remember; beyond it, all are forgotten.
const maxMalformedLoads = 4096

// malformedLoads is the set of servers whose malformed load has been logged. It keeps a server
// from being logged with every response.
type malformedLoads struct {
	mu      sync.Mutex
	servers map[string]struct{}
}

// add adds a server and reports whether it was new.
func (m *malformedLoads) add(server string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.servers[server]; known {
		return false
	}
	if m.servers == nil || len(m.servers) >= maxMalformedLoads {
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
