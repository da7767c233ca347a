package entry

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"example.org/mustardring/pkg/grant"
)

// holderLease is the longest lease that this instance accepts for the grants it holds.
const holderLease = 1100 * time.Millisecond

// errNoGrant says that this instance holds no grant for a server that does not check.
var errNoGrant = errors.New("entry: no grant is held for the server")

// holders keeps the grants that this instance holds in place of servers which do not check
// them, and its own vote.
type holders struct {
	incarnation uint64
	clock       func() grant.Instant
	mu          sync.Mutex
	holders     map[holderName]*grant.Holder
	// valid are the holders that had ranges at the last call of lapsed.
	valid map[holderName]bool
}

type holderName struct {
	service string
	server  string
}

func newHolders(incarnation uint64, clock func() grant.Instant) *holders {
	return &holders{incarnation: incarnation, clock: clock, holders: make(map[holderName]*grant.Holder), valid: make(map[holderName]bool)}
}

// exchange serves an exchange for any server name: the leader decides which instance is the
// gate of which server.
func (h *holders) exchange(x grant.Exchange) grant.Answer {
	return h.get(holderName{service: x.Service, server: x.Server}).Exchange(x)
}

func (h *holders) get(name holderName) *grant.Holder {
	h.mu.Lock()
	defer h.mu.Unlock()
	holder, found := h.holders[name]
	if !found {
		holder = grant.NewHolder(grant.HolderConfig{
			Service:     name.service,
			Server:      name.server,
			Incarnation: h.incarnation,
			Clock:       h.clock,
			MaxLease:    holderLease,
		})
		h.holders[name] = holder
	}
	return holder
}

// begin starts work on a hash under the grant held here for a server.
func (h *holders) begin(service, server string, hash uint64) (*grant.Work, error) {
	h.mu.Lock()
	holder, found := h.holders[holderName{service: service, server: server}]
	h.mu.Unlock()
	if !found {
		return nil, fmt.Errorf("%w: %s", errNoGrant, server)
	}
	return holder.Begin(hash)
}

// lapsed returns the holders whose grant ended since the last call.
func (h *holders) lapsed() []holderName {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []holderName
	for name, holder := range h.holders {
		valid := holder.Valid()
		if h.valid[name] && !valid {
			names = append(names, name)
		}
		h.valid[name] = valid
	}
	return names
}
