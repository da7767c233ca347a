package entry

import (
	"maps"
	"slices"

	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/internal/sketch"
	"example.org/mustardring/pkg/keys"
)

// Bounds of hot keys.
const (
	// hotShare is the part of one server's share of the load that makes a single key hot.
	hotShare = 0.25
	// maxHotKeys is the maximum number of hot keys per service.
	maxHotKeys = 32
	// minHotRate is the minimum rate of a hot key in requests per second. Without it the few
	// keys of a nearly idle service would all be hot.
	minHotRate = 20
)

// loadSums adds up the loads of several gates, by service.
type loadSums struct {
	services map[string]*serviceSum
}

// serviceSum is the load of one service: the total, the load of each range of the routing table,
// and the counters of the most frequent keys by hash, all in requests per second. servers are the
// servers that own a range.
type serviceSum struct {
	ranges      map[keys.Range]float64
	hotCounters map[uint64]sketch.Counter
	total       float64
	servers     map[string]bool
}

// newLoadSums returns sums in which every range of the table has a load of zero.
func newLoadSums(t *route.Table) *loadSums {
	s := &loadSums{services: make(map[string]*serviceSum)}
	if t == nil {
		return s
	}
	for _, o := range t.Owners {
		v := s.service(o.Service)
		v.ranges[o.Range] = 0
		v.servers[o.Server] = true
	}
	return s
}

// service returns the sum of a service, which it creates if needed.
func (s *loadSums) service(name string) *serviceSum {
	v, found := s.services[name]
	if !found {
		v = &serviceSum{
			ranges:      make(map[keys.Range]float64),
			hotCounters: make(map[uint64]sketch.Counter),
			servers:     make(map[string]bool),
		}
		s.services[name] = v
	}
	return v
}

// add adds a report. The load of a range that is no longer in the table, because it was split,
// merged or moved, counts only towards the total.
func (s *loadSums) add(r LoadReport) {
	for _, l := range r.Services {
		v := s.service(l.Service)
		for _, part := range l.Loads {
			v.total += part.Load
			if _, found := v.ranges[part.Range]; found {
				v.ranges[part.Range] += part.Load
			}
		}
		for _, h := range l.HotKeys {
			sum := v.hotCounters[h.Hash]
			sum.Count += h.Count
			sum.Error += h.Error
			v.hotCounters[h.Hash] = sum
		}
	}
}

// measured returns one event for each service. present has the hashes of the keys that are hot so
// far.
func (s *loadSums) measured(present map[string][]uint64) []leader.Measured {
	var all []leader.Measured
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		m := leader.Measured{Service: name, HotHashes: v.hotHashes(present[name])}
		for r, load := range v.ranges {
			m.Loads = append(m.Loads, leader.RangeLoad{Range: r, Load: load})
		}
		slices.SortFunc(m.Loads, func(a, b leader.RangeLoad) int { return compareRanges(a.Range, b.Range) })
		all = append(all, m)
	}
	return all
}

// hotHashes returns the sorted hashes of the hot keys, at most the maxHotKeys hottest. A key that is
// hot already stays so down to a lower share of the load.
func (v *serviceSum) hotHashes(present []uint64) []uint64 {
	rule := sketch.RuleFor(len(v.servers), hotShare, maxHotKeys)
	var hot []uint64
	for hash, c := range v.hotCounters {
		was := slices.Contains(present, hash)
		if c.Count < minHotRate {
			continue
		}
		if c.Count-c.Error >= rule.EnterShare*v.total || was && c.Count >= rule.LeaveShare*v.total {
			hot = append(hot, hash)
		}
	}
	slices.SortFunc(hot, func(a, b uint64) int {
		if v.hotCounters[a].Count > v.hotCounters[b].Count {
			return -1
		}
		return 1
	})
	hot = hot[:min(len(hot), maxHotKeys)]
	slices.Sort(hot)
	return hot
}
