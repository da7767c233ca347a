package entry

import (
	"cmp"
	"slices"

	"example.org/mustardring/internal/leader"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// voterService is the name of the pseudo-service whose servers are the entry instances that vote.
const voterService = "entry-instances"

// leaderConfig returns the configuration of the leader core of a domain: the services of the bundle
// with the servers of the domain, and as homes the ranges that the domain is allowed to serve. The
// entry instances that vote are added as servers of voterService.
func leaderConfig(b *bundle.Bundle, domain string, allowed map[string][]keys.Range) leader.Configured {
	c := leader.Configured{Version: b.Version}
	for i := range b.Services {
		s := leaderService(&b.Services[i], domain)
		s.Homes = allowed[s.Name]
		c.Services = append(c.Services, s)
	}
	if s := voterServiceOf(b, domain); len(s.Servers) > 0 {
		c.Services = append(c.Services, s)
	}
	return c
}

// leaderService returns the configuration of one service in a domain, without its homes.
func leaderService(s *bundle.Service, domain string) leader.Service {
	svc := leader.Service{
		Name:          s.Name,
		Divided:       s.Divided,
		Isolation:     cmp.Or(s.Isolation, bundle.IsolationHold),
		Weights:       s.Weights,
		RequestMillis: s.Limits.RequestMillis,

		ColdStartMillis: s.Limits.ColdStartMillis,
	}
	for _, v := range s.Servers {
		if v.Domain != domain {
			continue
		}
		svc.Servers = append(svc.Servers, leader.Server{
			Name:         v.Name,
			ChecksGrants: v.ChecksGrants,
			Votes:        v.ChecksGrants,
			Slots:        v.Slots,
			Leaving:      v.Leaving,
		})
	}
	if !s.Divided {
		return svc
	}
	for _, key := range s.HotKeys {
		svc.HotHashes = append(svc.HotHashes, keys.Hash(s.Name, key))
	}
	slices.Sort(svc.HotHashes)
	return svc
}

// voterServiceOf returns the pseudo-service of the entry instances of a domain that vote.
func voterServiceOf(b *bundle.Bundle, domain string) leader.Service {
	svc := leader.Service{Name: voterService}
	voters := b.Voters(domain)
	for _, i := range b.Instances {
		if i.Domain == domain && slices.Contains(voters, i.Name) {
			svc.Servers = append(svc.Servers, leader.Server{Name: i.Name, Votes: true})
		}
	}
	return svc
}
