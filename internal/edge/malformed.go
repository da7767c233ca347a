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

// malformed holds, by what it was about, the servers whose malformed statements have been logged.
type malformed struct{ loads, limits, leaves, rests malformedSet }

// logMalformed logs, once for each server and kind, that the server stated something malformed.
func (e *Edge) logMalformed(server string, info ResponseInfo) {
	for _, statement := range []struct {
		name    string
		err     error
		servers *malformedSet
	}{
		{"load-malformed", info.LoadErr, &e.malformed.loads},
		{"limit-malformed", info.LimitErr, &e.malformed.limits},
		{"leaving-malformed", info.LeavingErr, &e.malformed.leaves},
		{"rest-malformed", info.RestErr, &e.malformed.rests},
	} {
		if statement.err != nil && statement.servers.add(server) {
			e.Events.Record(event.StateChange, statement.name, "server", server, "error", statement.err)
		}
	}
}
