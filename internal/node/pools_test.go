package node

import (
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/rules"
)

// Guards against pools that keep servers that are gone because the name of their service contains the separator of pool
// names.
func TestPoolsOfAnyServiceNameAreRefreshed(t *testing.T) {
	for _, service := range []string{"desk", "desk/north"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			c := newTestState()
			ad := newAdmissions(&Node{cluster: c})
			update := func(put map[string]rules.Server, removed ...string) {
				c.snapshot.Store(c.servers().With(put, removed))
				changed := map[string]struct{}{}
				for id := range put {
					changed[id] = struct{}{}
				}
				for _, id := range removed {
					changed[id] = struct{}{}
				}
				ad.updateServers(changed)
			}
			servers := func() int {
				ad.candidates(service)
				return len(ad.pools.serversOf(service, c.servers(), nil))
			}
			update(map[string]rules.Server{"a": {ID: "a", Service: service, Slots: 2}, "b": {ID: "b", Service: service, Slots: 2}})
			ad.mu.Lock()
			ad.controller(service)
			ad.mu.Unlock()
			is.Equal(servers(), 2)
			update(nil, "a")
			ad.mu.Lock()
			ad.refreshControlled(c.missingUntil.Add(maxPoolAge))
			is.Equal(ad.pools.serviceOf(service), service)
			ad.mu.Unlock()
			is.Equal(servers(), 1)
		})
	}
}

// Guards against a server of a service that is now divided by key and is still looked up by its former pool.
func TestDividedServiceHasNoPools(t *testing.T) {
	is := is.New(t)
	servers := rules.NewServerSet(map[string]rules.Server{"a": {ID: "a", Service: "desk", Slots: 2}})
	config := func(divided bool) *rules.Config {
		return &rules.Config{Services: map[string]rules.Service{"desk": {Divided: divided}}}
	}
	p := newPools("i0", "d0")
	p.rebuild(servers, config(false))
	is.Equal(p.poolOf["a"], "desk")
	p.rebuild(servers, config(true))
	_, pooled := p.poolOf["a"]
	is.True(!pooled)
}
