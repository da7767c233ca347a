package route

import (
	"cmp"
	"slices"
	"sync/atomic"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// Member is an entry instance that can take forwarded requests now.
type Member struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
}

// Home is the part of a service's hash space that belongs to one failure domain.
type Home struct {
	Domain string
	Range  keys.Range
}

// View is all that destinations depend on.
type View struct {
	Self   string
	Domain string
	// Bundle is the bundle in force, or nil.
	Bundle *bundle.Bundle
	// Homes has the division of each divided service's hash space, sorted by range.
	Homes map[string][]Home
	// Table is the newest routing table of this domain, or nil.
	Table *Table
	// Members are the live instances of all domains, this one included.
	Members []Member
}

// Router is a Finder over the newest View. It is safe for concurrent use.
type Router struct {
	index atomic.Pointer[index]
}

// NewRouter returns a directory without a bundle.
func NewRouter() *Router {
	d := &Router{}
	d.Set(View{})
	return d
}

// Set replaces the view.
func (d *Router) Set(v View) {
	d.index.Store(newIndex(v))
}

// Find implements Finder.
func (d *Router) Find(service string, hash uint64) Destination {
	return d.index.Load().find(service, hash)
}

// FindHome returns the destination of a request that must meet the memory of its first
// sending: in a service that is not divided, the gate in the domain that policy.Home names.
func (d *Router) FindHome(service string, hash uint64) Destination {
	return d.index.Load().findHome(service, hash)
}

// Owner returns the ownership of a hash by the routing table of this domain.
func (d *Router) Owner(service string, hash uint64) (Owner, bool) {
	s, found := d.index.Load().services[service]
	if !found {
		return Owner{}, false
	}
	i := keys.FindBy(s.owners, hash, func(o Owner) keys.Range { return o.Range })
	if i < 0 {
		return Owner{}, false
	}
	return s.owners[i], true
}

// index is a View arranged for look-up.
type index struct {
	view     View
	services map[string]*serviceIndex
	members  map[string]Member
	domains  map[string][]string
}

type serviceIndex struct {
	service *bundle.Service
	homes   []Home
	owners  []Owner
	servers map[string]*bundle.Server
	gates   map[string]string
	// pool are the servers of this domain that accept work, for a service that is not divided.
	pool     []Target
	poolGate string
	// elsewhere are the other domains with servers of the service, domains all of them.
	elsewhere []string
	domains   []string
}

func newIndex(v View) *index {
	x := &index{
		view:     v,
		services: make(map[string]*serviceIndex),
		members:  make(map[string]Member, len(v.Members)),
		domains:  make(map[string][]string),
	}
	for _, m := range v.Members {
		x.members[m.Name] = m
		x.domains[m.Domain] = append(x.domains[m.Domain], m.Address)
	}
	if v.Bundle == nil {
		return x
	}
	for i := range v.Bundle.Services {
		s := &v.Bundle.Services[i]
		x.services[s.Name] = newServiceIndex(s, v)
	}
	return x
}

func newServiceIndex(s *bundle.Service, v View) *serviceIndex {
	x := &serviceIndex{
		service: s,
		homes:   v.Homes[s.Name],
		servers: make(map[string]*bundle.Server, len(s.Servers)),
		gates:   make(map[string]string),
	}
	for i := range s.Servers {
		x.add(&s.Servers[i], v.Domain)
	}
	if v.Table != nil {
		x.addTable(v.Table)
	}
	return x
}

func (x *serviceIndex) add(server *bundle.Server, domain string) {
	x.servers[server.Name] = server
	if !slices.Contains(x.domains, server.Domain) {
		x.domains = append(x.domains, server.Domain)
	}
	switch {
	case server.Leaving:
	case server.Domain == domain:
		x.pool = append(x.pool, Target{Server: server})
	case !slices.Contains(x.elsewhere, server.Domain):
		x.elsewhere = append(x.elsewhere, server.Domain)
	}
}

func (x *serviceIndex) addTable(t *Table) {
	for _, o := range t.Owners {
		if o.Service == x.service.Name {
			x.owners = append(x.owners, o)
		}
	}
	slices.SortFunc(x.owners, func(a, b Owner) int { return cmp.Compare(a.Range.First, b.Range.First) })
	for _, g := range t.Gates {
		if g.Service != x.service.Name {
			continue
		}
		x.gates[g.Server] = g.Instance
		x.poolGate = g.Instance
	}
}

func (x *index) find(service string, hash uint64) Destination {
	if x.view.Bundle == nil {
		return Unavailable{Reason: ReasonNoBundle}
	}
	s, found := x.services[service]
	switch {
	case !found:
		return Unavailable{Reason: ReasonUnknownService}
	case s.service.Divided:
		return x.findOwner(s, hash)
	default:
		return x.findPool(s)
	}
}

func (x *index) findHome(service string, hash uint64) Destination {
	s, found := x.services[service]
	if !found || s.service.Divided {
		return x.find(service, hash)
	}
	domain := policy.HomeDomain(s.domains, hash)
	if domain == x.view.Domain {
		return x.findPool(s)
	}
	return x.forwardToDomains(s, []string{domain})
}

func (x *index) findOwner(s *serviceIndex, hash uint64) Destination {
	i := keys.FindBy(s.homes, hash, func(h Home) keys.Range { return h.Range })
	if i < 0 {
		return Unavailable{Reason: ReasonNoOwner}
	}
	if domain := s.homes[i].Domain; domain != x.view.Domain {
		return x.forwardToDomains(s, []string{domain})
	}
	i = keys.FindBy(s.owners, hash, func(o Owner) keys.Range { return o.Range })
	if i < 0 {
		return Unavailable{Reason: ReasonNoOwner}
	}
	owner := s.owners[i]
	server, found := s.servers[owner.Server]
	if !found {
		return Unavailable{Reason: ReasonNoOwner}
	}
	return x.viaGate(s, s.gates[owner.Server], []Target{{Server: server, Epoch: owner.Epoch}})
}

func (x *index) findPool(s *serviceIndex) Destination {
	if len(s.pool) == 0 {
		return x.forwardToDomains(s, s.elsewhere)
	}
	return x.viaGate(s, s.poolGate, s.pool)
}

func (x *index) viaGate(s *serviceIndex, gate string, targets []Target) Destination {
	if gate == "" {
		return Unavailable{Reason: ReasonNoGate}
	}
	if gate == x.view.Self {
		return Local{Service: s.service, Servers: targets}
	}
	m, live := x.members[gate]
	if !live {
		return Unavailable{Reason: ReasonNoGate}
	}
	return Forward{Service: s.service, Domain: m.Domain, Addresses: []string{m.Address}}
}

func (x *index) forwardToDomains(s *serviceIndex, domains []string) Destination {
	for _, domain := range domains {
		if addresses := x.domains[domain]; len(addresses) > 0 {
			return Forward{Service: s.service, Domain: domain, Addresses: addresses}
		}
	}
	return Unavailable{Reason: ReasonDomainUnreachable}
}
