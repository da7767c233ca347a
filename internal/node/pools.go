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
	// servers holds the servers by pool, or by service for services that are divided by key.
	servers map[string][]rules.Server
	// pickers holds, by service, what chooses the pools that a request asks.
	pickers map[string]*admit.Picker
}

func newPools(name, domain string) *pools {
	return &pools{name: name, domain: domain, servers: map[string][]rules.Server{}, pickers: map[string]*admit.Picker{}}
}

// serversOf returns the servers of a pool, or of a service that is divided by key.
func (p *pools) serversOf(pool string) []rules.Server { return p.servers[pool] }

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

// rebuild replaces the pools after a change of servers or configuration. Servers that leave get no new requests,
// except for keys that they still own.
func (p *pools) rebuild(servers map[string]rules.Server, c *rules.Config) {
	divided := func(service string) bool { return c != nil && c.Services[service].Divided }
	services := map[string][]rules.Server{}
	for _, s := range servers {
		if divided(s.Service) || !s.Leaving() {
			services[s.Service] = append(services[s.Service], s)
		}
	}
	p.servers, p.pickers = map[string][]rules.Server{}, map[string]*admit.Picker{}
	for service, members := range services {
		all := []admit.Pool{{Name: service, Service: service, Servers: members}}
		if !divided(service) {
			all = admit.SplitIntoPools(service, members)
		}
		for _, pool := range all {
			p.servers[pool.Name] = pool.Servers
		}
		p.pickers[service] = p.newPicker(all)
	}
}
