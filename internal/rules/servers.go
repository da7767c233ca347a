package rules

import (
	"iter"

	"github.com/benbjohnson/immutable"
)

// ServerSet is an immutable set of servers by id. A copy with a few changes costs about as much as the changes, whatever
// the size of the set. The zero value is empty.
type ServerSet struct {
	servers *immutable.Map[string, Server]
}

// NewServerSet returns a set of the servers in a map.
func NewServerSet(servers map[string]Server) *ServerSet {
	return new(ServerSet).With(servers, nil)
}

// Get returns the server with an id, and whether there is one.
func (s *ServerSet) Get(id string) (Server, bool) {
	if s.servers == nil {
		return Server{}, false
	}
	return s.servers.Get(id)
}

// Has reports whether there is a server with an id.
func (s *ServerSet) Has(id string) bool {
	_, found := s.Get(id)
	return found
}

// Len returns the number of servers.
func (s *ServerSet) Len() int {
	if s.servers == nil {
		return 0
	}
	return s.servers.Len()
}

// All returns the servers by id, in no particular order.
func (s *ServerSet) All() iter.Seq2[string, Server] {
	return func(yield func(string, Server) bool) {
		if s.servers == nil {
			return
		}
		for i := s.servers.Iterator(); !i.Done(); {
			if id, server, _ := i.Next(); !yield(id, server) {
				return
			}
		}
	}
}

// With returns a copy of the set with servers put in and others removed.
func (s *ServerSet) With(put map[string]Server, removed []string) *ServerSet {
	servers := s.servers
	if servers == nil {
		servers = immutable.NewMap[string, Server](nil)
	}
	for id, server := range put {
		servers = servers.Set(id, server)
	}
	for _, id := range removed {
		servers = servers.Delete(id)
	}
	return &ServerSet{servers: servers}
}
