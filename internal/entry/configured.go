package entry

import (
	"cmp"
	"slices"

	"example.org/mustardring/internal/leader"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// voterService is the service under which entry instances vote.
const voterService = "entry-instances"

// configured returns what a bundle asks of one domain, which may serve the allowed ranges of
// its divided services.
func configured(b *bundle.Bundle, domain string, allowed map[string][]keys.Range) leader.Configured {
	c := leader.Configured{Version: b.Version}
	for i := range b.Services {
		s := domainService(&b.Services[i], domain)
		s.Homes = allowed[s.Name]
		c.Services = append(c.Services, s)
	}
	if s := instanceVoters(b, domain); len(s.Servers) > 0 {
		c.Services = append(c.Services, s)
	}
	return c
}

func domainService(s *bundle.Service, domain string) leader.Service {
	made := leader.Service{
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
		made.Servers = append(made.Servers, leader.Server{
			Name:         v.Name,
			ChecksGrants: v.ChecksGrants,
			Votes:        v.ChecksGrants,
			Slots:        v.Slots,
			Leaving:      v.Leaving,
		})
	}
	if !s.Divided {
		return made
	}
	for _, key := range s.HotKeys {
		made.HotHashes = append(made.HotHashes, keys.Hash(s.Name, key))
	}
	slices.Sort(made.HotHashes)
	return made
}

// instanceVoters has the entry instances of a domain that vote by the bundle.
func instanceVoters(b *bundle.Bundle, domain string) leader.Service {
	made := leader.Service{Name: voterService}
	voters := b.Voters(domain)
	for _, i := range b.Instances {
		if i.Domain == domain && slices.Contains(voters, i.Name) {
			made.Servers = append(made.Servers, leader.Server{Name: i.Name, Votes: true})
		}
	}
	return made
}
