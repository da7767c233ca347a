package leader

import (
	"slices"

	"example.org/mustardring/internal/place"
	"example.org/mustardring/pkg/keys"
)

// service is the configuration of a service and what was observed of its ranges.
type service struct {
	Service
	loads map[keys.Range]load
	moves map[keys.Range]move
	// measuredHotHashes are the hashes of the keys that were measured to be hot, sorted.
	measuredHotHashes []uint64
	// hasUnchecked says that at least one server with slots does not check grants.
	hasUnchecked bool
}

type load struct {
	value float64
	at    Time
}

// move is the newest known change of the owner of a range.
type move struct {
	server string
	at     Time
}

// voterSet is a set of voters, by name.
type voterSet map[string]bool

// configure replaces the configuration. What was observed of a service is kept if the service
// is still there.
func (c *Core) configure(ev Configured) {
	old := c.services
	c.services = nil
	for _, s := range ev.Services {
		c.services = append(c.services, newService(s, old))
	}
	c.changeVoters(votersOf(ev.Services))
	c.bundleVersion = ev.Version
	if c.lead != nil {
		c.chooseGates()
		c.updateHolders()
		c.placeSoon()
	}
}

func newService(s Service, old []*service) *service {
	made := &service{Service: s, loads: make(map[keys.Range]load), moves: make(map[keys.Range]move)}
	for _, o := range old {
		if o.Name == s.Name {
			made.loads, made.moves, made.measuredHotHashes = o.loads, o.moves, o.measuredHotHashes
		}
	}
	made.hasUnchecked = slices.ContainsFunc(s.Servers, func(b Server) bool { return b.Slots > 0 && !b.ChecksGrants })
	return made
}

func votersOf(services []Service) voterSet {
	voters := make(voterSet)
	for _, s := range services {
		for _, b := range s.Servers {
			if b.Votes {
				voters[b.Name] = true
			}
		}
	}
	return voters
}

// changeVoters makes a voter set the current one. A leader or candidate needs a majority of the
// previous sets too until its term ends: an instance without the new bundle may be elected by
// the previous set, and its majority must share a voter with that of this leader.
func (c *Core) changeVoters(voters voterSet) {
	if len(c.voterSets) > 0 && equalVoters(c.voterSets[len(c.voterSets)-1], voters) {
		return
	}
	if c.lead == nil {
		c.voterSets = []voterSet{voters}
		return
	}
	c.voterSets = append(c.voterSets, voters)
}

func equalVoters(a, b voterSet) bool {
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

// handleMeasured replaces the measured loads of a service.
func (c *Core) handleMeasured(ev Measured) {
	s := c.serviceOf(ev.Service)
	if s == nil {
		return
	}
	s.measuredHotHashes = ev.HotHashes
	clear(s.loads)
	for _, l := range ev.Loads {
		s.loads[l.Range] = load{value: l.Load, at: c.now}
	}
}

// hotHashes returns the hashes of the keys that the bundle lists as hot or that were measured
// to be hot, sorted and without duplicates.
func (s *service) hotHashes() []uint64 {
	all := slices.Concat(s.HotHashes, s.measuredHotHashes)
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

// pruneMoves removes the moves of ranges that no longer exist, once these are many.
func (s *service) pruneMoves(owned []place.Owned) {
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
