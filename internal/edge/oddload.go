package edge

import (
	"sync"

	"example.org/mustardring/internal/event"
)

// oddLoadsMost bounds the memory of servers whose load could not be read.
const oddLoadsMost = 4096

// oddLoads remembers servers, so that each gets one line.
type oddLoads struct {
	mu      sync.Mutex
	servers map[string]struct{}
}

// add reports whether a server was not known.
func (o *oddLoads) add(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.servers[server]; known {
		return false
	}
	if o.servers == nil || len(o.servers) >= oddLoadsMost {
		o.servers = map[string]struct{}{}
	}
	o.servers[server] = struct{}{}
	return true
}

// noteOddLoad logs, once for each server, that it stated a load that cannot be read.
func (e *Edge) noteOddLoad(server string, err error) {
	if e.oddLoads.add(server) {
		e.Events.Note(event.Belief, "load-malformed", "server", server, "error", err)
	}
}
