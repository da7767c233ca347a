package edge

import (
	"sync"

	"example.org/mustardring/internal/event"
)

// maxMalformedLoads bounds the memory of servers whose load could not be read.
const maxMalformedLoads = 4096

// malformedLoads remembers servers, so that each gets one line.
type malformedLoads struct {
	mu      sync.Mutex
	servers map[string]struct{}
}

// add reports whether a server was not known.
func (o *malformedLoads) add(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.servers[server]; known {
		return false
	}
	if o.servers == nil || len(o.servers) >= maxMalformedLoads {
		o.servers = map[string]struct{}{}
	}
	o.servers[server] = struct{}{}
	return true
}

// logMalformedLoad logs, once for each server, that it stated a load that cannot be read.
func (e *Edge) logMalformedLoad(server string, err error) {
	if e.malformedLoads.add(server) {
		e.Events.Note(event.Belief, "load-malformed", "server", server, "error", err)
	}
}
