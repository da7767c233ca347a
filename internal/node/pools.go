package node

import (
	"math/rand/v2"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/rules"
)

// pools holds the pools of all services and chooses which of them requests ask. The lock of admissions guards it.
type pools struct {
	name   string
	domain string
	// servers holds the servers by pool, but for services that are divided by key. services holds the services by server.
	servers  map[string][]rules.Server
	services map[string]string
	// byPool holds the service of each pool that there ever was: its controller may outlive it.
	byPool map[string]string
	// poolOf holds the pool of each server of the services that are not divided by key.
	poolOf map[string]string
	// domains holds the failure domain of each pool whose servers are all in one.
	domains map[string]string
	// outdated holds the services whose servers have changed since their pools were made.
	outdated map[string]struct{}
	// pickers holds, by service, what chooses the pools that a request asks.
	pickers map[string]*admit.Picker
}

func newPools(name, domain string) *pools {
	return &pools{name: name, domain: domain, servers: map[string][]rules.Server{}, services: map[string]string{}, byPool: map[string]string{}, domains: map[string]string{}, poolOf: map[string]string{}, outdated: map[string]struct{}{}, pickers: map[string]*admit.Picker{}}
}

// isDivided reports whether a service is divided by key.
func isDivided(c *rules.Config, service string) bool { return c != nil && c.Services[service].Divided }

// serviceOf returns the service of a pool. A service that is divided by key is a pool of its own.
func (p *pools) serviceOf(pool string) string {
	if service, found := p.byPool[pool]; found {
		return service
	}
	return pool
}

// serversOf returns the servers of a pool, or of a service that is divided by key.
func (p *pools) serversOf(pool string, servers *rules.ServerSet, c *rules.Config) []rules.Server {
	if isDivided(c, pool) {
		return membersOf(pool, servers, true)
	}
	return p.servers[pool]
}

// membersOf returns the servers of a service, with or without those that are leaving.
func membersOf(service string, servers *rules.ServerSet, leaving bool) []rules.Server {
	var out []rules.Server
	for _, s := range servers.All() {
		if s.Service == service && (leaving || !s.Leaving()) {
			out = append(out, s)
		}
	}
	return out
}

// note records the service of a server, or forgets a server that is gone.
func (p *pools) note(id string, s rules.Server, found bool) {
	if found {
		p.services[id] = s.Service
		return
	}
	delete(p.services, id)
	delete(p.poolOf, id)
}

// picker returns the picker of a service. A service without servers has one empty pool.
func (p *pools) picker(service string) *admit.Picker {
	picker := p.pickers[service]
	if picker == nil {
		picker = p.newPicker([]admit.Pool{{Name: service, Service: service}})
		p.pickers[service] = picker
	}
	return picker
}

// newPicker returns a picker for the pools of one service.
func (p *pools) newPicker(all []admit.Pool) *admit.Picker {
	return admit.NewPicker(p.name, p.domain, all, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// rebuild replaces all pools after a change of the configuration.
func (p *pools) rebuild(servers *rules.ServerSet, c *rules.Config) {
	p.servers, p.pickers, p.services = map[string][]rules.Server{}, map[string]*admit.Picker{}, map[string]string{}
	clear(p.outdated)
	clear(p.poolOf)
	clear(p.domains)
	for id, s := range servers.All() {
		p.services[id] = s.Service
	}
	services := map[string]struct{}{}
	for _, service := range p.services {
		services[service] = struct{}{}
	}
	for service := range services {
		if !isDivided(c, service) {
			p.rebuildService(service, servers)
		}
	}
}

// rebuildService replaces the pools of a service that is not divided by key. Servers that leave get no new requests.
func (p *pools) rebuildService(service string, servers *rules.ServerSet) {
	delete(p.outdated, service)
	for pool := range p.servers {
		if p.serviceOf(pool) == service {
			delete(p.servers, pool)
		}
	}
	all := admit.SplitIntoPools(service, membersOf(service, servers, false))
	for _, pool := range all {
		p.servers[pool.Name], p.byPool[pool.Name], p.domains[pool.Name] = pool.Servers, service, pool.Domain
		for _, s := range pool.Servers {
			p.poolOf[s.ID] = pool.Name
		}
	}
	p.pickers[service] = p.newPicker(all)
}
