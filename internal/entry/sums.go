package entry

import (
	"maps"
	"slices"

	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/internal/sketch"
	"example.org/mustardring/pkg/keys"
)

// When a key is set apart: it brings this part of one server's share of the load.
const (
	hotPart = 0.25
	maxHot  = 32
	// minHotRate keeps an idle service from setting apart the few keys that are asked for.
	minHotRate = 20
)

// sums adds up the loads of several gates.
type sums struct {
	services map[string]*serviceSum
}

type serviceSum struct {
	ranges  map[keys.Range]float64
	hot     map[uint64]sketch.Counter
	total   float64
	servers map[string]bool
}

// newSums starts every range of a table at zero.
func newSums(t *route.Table) *sums {
	s := &sums{services: make(map[string]*serviceSum)}
	if t == nil {
		return s
	}
	for _, o := range t.Owners {
		v := s.of(o.Service)
		v.ranges[o.Range] = 0
		v.servers[o.Server] = true
	}
	return s
}

func (s *sums) of(service string) *serviceSum {
	v, found := s.services[service]
	if !found {
		v = &serviceSum{
			ranges:  make(map[keys.Range]float64),
			hot:     make(map[uint64]sketch.Counter),
			servers: make(map[string]bool),
		}
		s.services[service] = v
	}
	return v
}

// add adds a report. Loads of ranges that the table does not have any more are left out: the
// ranges were split, merged or moved since.
func (s *sums) add(r LoadReport) {
	for _, l := range r.Services {
		v := s.of(l.Service)
		for _, part := range l.Loads {
			v.total += part.Load
			if _, found := v.ranges[part.Range]; found {
				v.ranges[part.Range] += part.Load
			}
		}
		for _, h := range l.Hot {
			sum := v.hot[h.Hash]
			sum.Count += h.Count
			sum.Error += h.Error
			v.hot[h.Hash] = sum
		}
	}
}

// measured returns one event for each service. Present has the hot keys until now.
func (s *sums) measured(present map[string][]uint64) []leader.Measured {
	var all []leader.Measured
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		m := leader.Measured{Service: name, HotHashes: v.hottest(present[name])}
		for r, load := range v.ranges {
			m.Loads = append(m.Loads, leader.RangeLoad{Range: r, Load: load})
		}
		slices.SortFunc(m.Loads, func(a, b leader.RangeLoad) int { return compareRanges(a.Range, b.Range) })
		all = append(all, m)
	}
	return all
}

// hottest returns the hashes of the hot keys, sorted, the hottest if there are many.
func (v *serviceSum) hottest(present []uint64) []uint64 {
	rule := sketch.RuleFor(len(v.servers), hotPart, maxHot)
	var hot []uint64
	for hash, c := range v.hot {
		was := slices.Contains(present, hash)
		if c.Count < minHotRate {
			continue
		}
		if c.Count-c.Error >= rule.EnterShare*v.total || was && c.Count >= rule.LeaveShare*v.total {
			hot = append(hot, hash)
		}
	}
	slices.SortFunc(hot, func(a, b uint64) int {
		if v.hot[a].Count > v.hot[b].Count {
			return -1
		}
		return 1
	})
	hot = hot[:min(len(hot), maxHot)]
	slices.Sort(hot)
	return hot
}
