package entry

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"example.org/mustardring/pkg/grant"
)

// maxHeldLease is the longest lease that this instance accepts for a grant.
const maxHeldLease = 1100 * time.Millisecond

// errNoGrant is returned when this instance has never got a grant for a server that does not check
// grants itself.
var errNoGrant = errors.New("entry: no grant held for server")

// grantHolders keeps the grants that this instance holds on behalf of servers that do not check
// grants themselves, and this instance's own vote.
type grantHolders struct {
	incarnation uint64
	now         func() grant.Instant
	mu          sync.Mutex
	byName      map[grantHolderName]*grant.Holder
	// wasValid says which holders had a valid grant at the last call of newlyExpired.
	wasValid map[grantHolderName]bool
}

type grantHolderName struct {
	service string
	server  string
}

func newGrantHolders(incarnation uint64, clock func() grant.Instant) *grantHolders {
	return &grantHolders{incarnation: incarnation, now: clock, byName: make(map[grantHolderName]*grant.Holder), wasValid: make(map[grantHolderName]bool)}
}

// exchange answers an exchange of the leader. It accepts any server name, because the leader decides
// which instance is the gate of which server.
func (h *grantHolders) exchange(x grant.Exchange) grant.Answer {
	return h.get(grantHolderName{service: x.Service, server: x.Server}).Exchange(x)
}

// get returns the holder of a server, which it creates if needed.
func (h *grantHolders) get(name grantHolderName) *grant.Holder {
	h.mu.Lock()
	defer h.mu.Unlock()
	holder, found := h.byName[name]
	if !found {
		holder = grant.NewHolder(grant.HolderConfig{
			Service:     name.service,
			Server:      name.server,
			Incarnation: h.incarnation,
			Clock:       h.now,
			MaxLease:    maxHeldLease,
		})
		h.byName[name] = holder
	}
	return holder
}

// begin starts a request for a key hash under the grant held here for a server. It returns an
// error if there is no such grant or the grant does not cover the hash.
func (h *grantHolders) begin(service, server string, hash uint64) (*grant.Work, error) {
	h.mu.Lock()
	holder, found := h.byName[grantHolderName{service: service, server: server}]
	h.mu.Unlock()
	if !found {
		return nil, fmt.Errorf("%w: %s", errNoGrant, server)
	}
	return holder.Begin(hash)
}

// newlyExpired returns the holders whose grant has expired since the last call.
func (h *grantHolders) newlyExpired() []grantHolderName {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []grantHolderName
	for name, holder := range h.byName {
		valid := holder.Valid()
		if h.wasValid[name] && !valid {
			names = append(names, name)
		}
		h.wasValid[name] = valid
	}
	return names
}
