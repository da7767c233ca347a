package rules

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// serverShards is the number of maps that a ServerSet consists of.
const serverShards = 64

// ServerSet is an immutable set of servers by id. A copy with a few changes costs about as much as the changes, whatever
// the size of the set. The zero value is empty.
type ServerSet struct {
	shards [serverShards]map[string]Server
	size   int
}

// NewServerSet returns a set of the servers in a map.
func NewServerSet(servers map[string]Server) *ServerSet {
	return new(ServerSet).With(servers, nil)
}

func shardOf(id string) uint64 { return xxhash.Sum64String(id) % serverShards }

// Get returns the server with an id, and whether there is one.
func (s *ServerSet) Get(id string) (Server, bool) {
	server, found := s.shards[shardOf(id)][id]
	return server, found
}

// Has reports whether there is a server with an id.
func (s *ServerSet) Has(id string) bool {
	_, found := s.Get(id)
	return found
}

// Len returns the number of servers.
func (s *ServerSet) Len() int { return s.size }

// All returns the servers by id, in no particular order.
func (s *ServerSet) All() iter.Seq2[string, Server] {
	return func(yield func(string, Server) bool) {
		for _, shard := range s.shards {
			for id, server := range shard {
				if !yield(id, server) {
					return
				}
			}
		}
	}
}

// With returns a copy of the set with servers put in and others removed.
func (s *ServerSet) With(put map[string]Server, removed []string) *ServerSet {
	out := &ServerSet{shards: s.shards, size: s.size}
	var copied [serverShards]bool
	shard := func(id string) map[string]Server {
		at := shardOf(id)
		if !copied[at] {
			copied[at] = true
			out.shards[at] = maps.Clone(out.shards[at])
			if out.shards[at] == nil {
				out.shards[at] = map[string]Server{}
			}
		}
		return out.shards[at]
	}
	for id, server := range put {
		m := shard(id)
		if _, found := m[id]; !found {
			out.size++
		}
		m[id] = server
	}
	for _, id := range removed {
		if m := shard(id); len(m) > 0 {
			if _, found := m[id]; found {
				out.size--
			}
			delete(m, id)
		}
	}
	return out
}
