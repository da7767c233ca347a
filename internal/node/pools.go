package node

import (
	"math/rand/v2"

	"example.org/mustardring/internal/permit"
	"example.org/mustardring/internal/rules"
)

// pools knows the pools of all services, and which of them this instance asks. It is guarded by the lock of
// permits.
type pools struct {
	name    string
	domain  string
	members map[string][]rules.Server
	pickers map[string]*permit.Picker
}

func newPools(name, domain string) *pools {
	return &pools{name: name, domain: domain, members: map[string][]rules.Server{}, pickers: map[string]*permit.Picker{}}
}

// servers returns the servers of a pool, or of a service that is divided by key.
func (p *pools) servers(pool string) []rules.Server { return p.members[pool] }

// picker returns what chooses the pools of a service.
func (p *pools) picker(service string) *permit.Picker {
	k := p.pickers[service]
	if k == nil {
		k = p.pick([]permit.Pool{{Name: service, Service: service}})
		p.pickers[service] = k
	}
	return k
}

func (p *pools) pick(all []permit.Pool) *permit.Picker {
	return permit.NewPicker(p.name, p.domain, all, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// arrange takes in the servers and the configuration. Servers that leave get no more requests, but have
// their keys until these are moved.
func (p *pools) arrange(servers map[string]rules.Server, c *rules.Config) {
	divided := func(service string) bool { return c != nil && c.Services[service].Divided }
	services := map[string][]rules.Server{}
	for _, s := range servers {
		if divided(s.Service) || !s.Leaving() {
			services[s.Service] = append(services[s.Service], s)
		}
	}
	p.members, p.pickers = map[string][]rules.Server{}, map[string]*permit.Picker{}
	for service, members := range services {
		all := []permit.Pool{{Name: service, Service: service, Servers: members}}
		if !divided(service) {
			all = permit.SplitIntoPools(service, members)
		}
		for _, pool := range all {
			p.members[pool.Name] = pool.Servers
		}
		p.pickers[service] = p.pick(all)
	}
}
