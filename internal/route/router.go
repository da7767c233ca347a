package route

import (
	"cmp"
	"slices"
	"sync/atomic"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// Member is an entry instance that accepts forwarded requests now.
type Member struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Address is the host and port for forwarded requests.
	Address string `json:"address"`
}

// Home is a range of a service's hash space with the failure domain that may serve it.
type Home struct {
	Domain string
	Range  keys.Range
}

// View is the state that destinations are computed from.
type View struct {
	// Self and Domain are the name and failure domain of this instance.
	Self   string
	Domain string
	// Bundle is the bundle in force, or nil.
	Bundle *bundle.Bundle
	// Homes holds the homes of each divided service, sorted by range.
	Homes map[string][]Home
	// Table is the newest routing table of this domain, or nil.
	Table *Table
	// Members are the live instances of all domains, this one included.
	Members []Member
}

// Router implements Finder with the newest View. It is safe for concurrent use.
type Router struct {
	index atomic.Pointer[routeIndex]
}

// NewRouter returns a Router with an empty View.
func NewRouter() *Router {
	r := &Router{}
	r.Set(View{})
	return r
}

// Set replaces the view.
func (r *Router) Set(v View) {
	r.index.Store(newIndex(v))
}

// Find implements Finder.
func (r *Router) Find(service string, hash uint64) Destination {
	return r.index.Load().find(service, hash)
}

// FindHome returns the destination of a non-idempotent request with an id. For a service that
// is not divided this is the gate in the domain that policy.HomeDomain returns, so that a
// resend reaches the instance that holds the idempotency record. For a divided service it is
// the destination that Find returns.
func (r *Router) FindHome(service string, hash uint64) Destination {
	return r.index.Load().findHome(service, hash)
}

// Owner returns the owner of a hash in the routing table of this domain, and false if there is
// none.
func (r *Router) Owner(service string, hash uint64) (Owner, bool) {
	s, found := r.index.Load().services[service]
	if !found {
		return Owner{}, false
	}
	i := keys.FindBy(s.owners, hash, func(o Owner) keys.Range { return o.Range })
	if i < 0 {
		return Owner{}, false
	}
	return s.owners[i], true
}

// routeIndex is a View indexed for lookup.
type routeIndex struct {
	view     View
	services map[string]*serviceIndex
	// members holds the members by name.
	members map[string]Member
	// domains holds the addresses of the members of each domain.
	domains map[string][]string
}

// serviceIndex holds what the View says about one service.
type serviceIndex struct {
	service *bundle.Service
	homes   []Home
	// owners is sorted by range.
	owners  []Owner
	servers map[string]*bundle.Server
	// gates holds the name of the gate instance of each server.
	gates map[string]string
	// pool holds the servers of this domain that are not leaving. It is used only if the
	// service is not divided.
	pool []Target
	// poolGate is the gate of the pool: all its servers have the same gate.
	poolGate string
	// otherDomains lists the domains other than this one with servers that are not leaving.
	otherDomains []string
	// domains lists all domains with servers of the service.
	domains []string
}

func newIndex(v View) *routeIndex {
	x := &routeIndex{
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
		x.addServer(&s.Servers[i], v.Domain)
	}
	if v.Table != nil {
		x.addTable(v.Table)
	}
	return x
}

func (x *serviceIndex) addServer(server *bundle.Server, domain string) {
	x.servers[server.Name] = server
	if !slices.Contains(x.domains, server.Domain) {
		x.domains = append(x.domains, server.Domain)
	}
	switch {
	case server.Leaving:
	case server.Domain == domain:
		x.pool = append(x.pool, Target{Server: server})
	case !slices.Contains(x.otherDomains, server.Domain):
		x.otherDomains = append(x.otherDomains, server.Domain)
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

func (x *routeIndex) find(service string, hash uint64) Destination {
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

func (x *routeIndex) findHome(service string, hash uint64) Destination {
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

func (x *routeIndex) findOwner(s *serviceIndex, hash uint64) Destination {
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

func (x *routeIndex) findPool(s *serviceIndex) Destination {
	if len(s.pool) == 0 {
		return x.forwardToDomains(s, s.otherDomains)
	}
	return x.viaGate(s, s.poolGate, s.pool)
}

// viaGate returns Local if this instance is the gate, else the way to the gate.
func (x *routeIndex) viaGate(s *serviceIndex, gate string, targets []Target) Destination {
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

// forwardToDomains forwards to the first of the domains that has a live instance.
func (x *routeIndex) forwardToDomains(s *serviceIndex, domains []string) Destination {
	for _, domain := range domains {
		if addresses := x.domains[domain]; len(addresses) > 0 {
			return Forward{Service: s.service, Domain: domain, Addresses: addresses}
		}
	}
	return Unavailable{Reason: ReasonDomainUnreachable}
}
