package replay

import (
	"cmp"
	"slices"
	"sort"

	"example.org/mustardring/internal/place"
	"example.org/mustardring/internal/sketch"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// Parameters of the search for hot keys, as the leader uses them.
const (
	// hotCounters is the number of counters of the sketch of one domain.
	hotCounters = 512
	// hotPart is the part of one server's share of the load from which a key is hot.
	hotPart = 0.05
	// hotDecay is what the past counts after each record of requests.
	hotDecay = 0.25
)

// member is a server of a part.
type member struct {
	name   string
	slots  int
	state  State
	warmAt Time
}

// part is a divided service in one failure domain. Each domain places its own keys.
type part struct {
	service string
	domain  string
	weights bundle.Weights
	homes   []keys.Range
	// hashes are the keys of the part, sorted, with their names and loads.
	hashes []uint64
	names  []string
	loads  []float64
	// sums[i] is the load of the first i keys.
	sums    []float64
	members []member
	sketch  *sketch.Sketch
	hot     []uint64
	// measuredAt is when the loads were last recorded; fresh says that a record is in force.
	measuredAt Time
	// fair is the share of each member by slots after the last change of members.
	fair []float64
}

// newPart returns the part of a service in a domain, given all keys of the service.
func newPart(s *bundle.Service, domain string, homes []keys.Range, names map[uint64]string) *part {
	p := &part{service: s.Name, domain: domain, weights: s.Weights, homes: homes, sketch: sketch.New(hotCounters)}
	for hash := range names {
		if keys.Find(homes, hash) >= 0 {
			p.hashes = append(p.hashes, hash)
		}
	}
	slices.Sort(p.hashes)
	for _, hash := range p.hashes {
		p.names = append(p.names, names[hash])
	}
	p.loads = make([]float64, len(p.hashes))
	p.sums = make([]float64, len(p.hashes)+1)
	for _, b := range s.Servers {
		if b.Domain == domain {
			p.members = append(p.members, member{name: b.Name, slots: b.Slots, state: StateUp})
		}
	}
	slices.SortFunc(p.members, func(a, b member) int { return cmp.Compare(a.name, b.name) })
	p.fair = p.shares()
	return p
}

// find returns the index of a member, or -1.
func (p *part) find(name string) int {
	return slices.IndexFunc(p.members, func(m member) bool { return m.name == name })
}

// shares returns the share of each member by slots, nil when none accepts.
func (p *part) shares() []float64 {
	slots := 0
	for _, m := range p.members {
		if m.state == StateUp {
			slots += m.slots
		}
	}
	if slots == 0 {
		return nil
	}
	shares := make([]float64, len(p.members))
	for i, m := range p.members {
		if m.state == StateUp {
			shares[i] = float64(m.slots) / float64(slots)
		}
	}
	return shares
}

// reshare returns the least share of keys that must move so that shares stay equal to slots
// after a change of members, and remembers the new shares.
func (p *part) reshare() float64 {
	before := p.fair
	p.fair = p.shares()
	if before == nil || p.fair == nil {
		return 0
	}
	gained := 0.0
	for i := range p.fair {
		gained += max(0, p.fair[i]-before[i])
	}
	return gained
}

// measure takes the loads of a record of requests and finds the hot keys.
func (p *part) measure(now Time, loads map[uint64]float64) {
	p.measuredAt = now
	p.sketch.Decay(hotDecay)
	for i, hash := range p.hashes {
		p.loads[i] = loads[hash]
		p.sums[i+1] = p.sums[i] + p.loads[i]
		if p.loads[i] > 0 {
			p.sketch.Add(hash, p.loads[i])
		}
	}
	rule := sketch.RuleFor(len(p.members), hotPart, place.DefaultMaxHotKeys)
	p.hot = sketch.HotKeys(p.sketch, p.hot, rule)
}

// load returns the load of a range.
func (p *part) load(r keys.Range) float64 {
	first := sort.Search(len(p.hashes), func(i int) bool { return p.hashes[i] >= r.First })
	last := sort.Search(len(p.hashes), func(i int) bool { return p.hashes[i] > r.Last })
	return p.sums[last] - p.sums[first]
}

// capacity returns the slots of a member that count now: fewer while it is cold, none when
// it does not accept.
func (p *part) capacity(i int, now Time) float64 {
	m := p.members[i]
	switch {
	case m.state != StateUp:
		return 0
	case now < m.warmAt:
		return float64(m.slots) * place.DefaultColdShare
	default:
		return float64(m.slots)
	}
}
