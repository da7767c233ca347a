package leader

import (
	"slices"

	"example.org/mustardring/internal/place"
	"example.org/mustardring/pkg/keys"
)

// service is a Service with the loads and moves known of it.
type service struct {
	Service
	loads map[keys.Range]load
	moves map[keys.Range]move
	// hot are the hashes of keys that are hot by measurement, sorted.
	hot []uint64
	// unchecked says that at least one server does not check grants.
	unchecked bool
}

type load struct {
	value float64
	at    Time
}

// move is the newest known change of owner of a range.
type move struct {
	server string
	at     Time
}

// electorate is a set of voters, by name.
type electorate map[string]bool

func (c *Core) configure(ev Configured) {
	old := c.services
	c.services = nil
	for _, s := range ev.Services {
		c.services = append(c.services, newService(s, old))
	}
	c.changeVoters(votersOf(ev.Services))
	c.version = ev.Version
	if c.lead != nil {
		c.chooseGates()
		c.seat()
		c.placeSoon()
	}
}

func newService(s Service, old []*service) *service {
	made := &service{Service: s, loads: make(map[keys.Range]load), moves: make(map[keys.Range]move)}
	for _, o := range old {
		if o.Name == s.Name {
			made.loads, made.moves, made.hot = o.loads, o.moves, o.hot
		}
	}
	made.unchecked = slices.ContainsFunc(s.Servers, func(b Server) bool { return b.Slots > 0 && !b.ChecksGrants })
	return made
}

func votersOf(services []Service) electorate {
	voters := make(electorate)
	for _, s := range services {
		for _, b := range s.Servers {
			if b.Votes {
				voters[b.Name] = true
			}
		}
	}
	return voters
}

// changeVoters makes a set of voters the one that counts. A leader needs from then on a
// majority of the former sets too, as long as it leads: an instance that has not seen the
// new bundle may win by the set before, and must then meet a voter of this leader.
func (c *Core) changeVoters(voters electorate) {
	if len(c.electorates) > 0 && equalVoters(c.electorates[len(c.electorates)-1], voters) {
		return
	}
	if c.lead == nil {
		c.electorates = []electorate{voters}
		return
	}
	c.electorates = append(c.electorates, voters)
}

func equalVoters(a, b electorate) bool {
	if len(a) != len(b) {
		return false
	}
	for name := range a {
		if !b[name] {
			return false
		}
	}
	return true
}

func (c *Core) measured(ev Measured) {
	s := c.serviceOf(ev.Service)
	if s == nil {
		return
	}
	s.hot = ev.HotHashes
	clear(s.loads)
	for _, l := range ev.Loads {
		s.loads[l.Range] = load{value: l.Load, at: c.now}
	}
}

// hotHashes returns the hot keys of the bundle and of measurement, sorted.
func (s *service) hotHashes() []uint64 {
	all := slices.Concat(s.HotHashes, s.hot)
	slices.Sort(all)
	return slices.Compact(all)
}

func (c *Core) serviceOf(name string) *service {
	for _, s := range c.services {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// forgetMoves drops what is known of ranges that exist no more, when these have become many.
func (s *service) forgetMoves(owned []place.Owned) {
	if len(s.moves) < 4*len(owned)+100 {
		return
	}
	kept := make(map[keys.Range]move, len(owned))
	for _, o := range owned {
		if m, found := s.moves[o.Range]; found {
			kept[o.Range] = m
		}
	}
	s.moves = kept
}
