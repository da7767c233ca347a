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

// Parameters of the detection of hot keys in replays. Package entry, which detects them in an
// instance, has its own.
const (
	// sketchCounters is the number of counters of the sketch in each domain.
	sketchCounters = 512
	// hotShare is the load from which a key is hot, as a fraction of the mean load of the servers.
	hotShare = 0.05
	// sketchDecay is the factor by which the older counts of the sketch are multiplied at each
	// record of requests.
	sketchDecay = 0.25
)

// serverState is a backend server and its current state.
type serverState struct {
	name  string
	slots int
	state State
	// warmAt is when the cold start of the server ends.
	warmAt Time
}

// domainPart is the part of a divided service that is in one failure domain. Each domain places
// the keys in its homes on its own servers.
type domainPart struct {
	service string
	domain  string
	weights bundle.Weights
	homes   []keys.Range
	// hashes are the hashes of the keys of the part, sorted. keyNames and loads have the names of
	// the same keys and their loads in requests per second.
	hashes   []uint64
	keyNames []string
	loads    []float64
	// loadSums[i] is the load of the first i keys.
	loadSums  []float64
	servers   []serverState
	sketch    *sketch.Sketch
	hotHashes []uint64
	// measuredAt is when the loads were last set.
	measuredAt Time
	// slotShares is the result of currentSlotShares after the last change of a server.
	slotShares []float64
}

// newDomainPart returns the part of a service in a domain. The parameter names has all keys of
// the service by hash.
func newDomainPart(s *bundle.Service, domain string, homes []keys.Range, names map[uint64]string) *domainPart {
	p := &domainPart{service: s.Name, domain: domain, weights: s.Weights, homes: homes, sketch: sketch.New(sketchCounters)}
	for hash := range names {
		if keys.Find(homes, hash) >= 0 {
			p.hashes = append(p.hashes, hash)
		}
	}
	slices.Sort(p.hashes)
	for _, hash := range p.hashes {
		p.keyNames = append(p.keyNames, names[hash])
	}
	p.loads = make([]float64, len(p.hashes))
	p.loadSums = make([]float64, len(p.hashes)+1)
	for _, b := range s.Servers {
		if b.Domain == domain {
			p.servers = append(p.servers, serverState{name: b.Name, slots: b.Slots, state: StateUp})
		}
	}
	slices.SortFunc(p.servers, func(a, b serverState) int { return cmp.Compare(a.name, b.name) })
	p.slotShares = p.currentSlotShares()
	return p
}

// serverIndex returns the index of the server with the given name, or -1.
func (p *domainPart) serverIndex(name string) int {
	return slices.IndexFunc(p.servers, func(b serverState) bool { return b.name == name })
}

// currentSlotShares returns the share of each server in the slots of the servers that accept
// keys, or nil if no server accepts keys.
func (p *domainPart) currentSlotShares() []float64 {
	slots := 0
	for _, b := range p.servers {
		if b.state == StateUp {
			slots += b.slots
		}
	}
	if slots == 0 {
		return nil
	}
	shares := make([]float64, len(p.servers))
	for i, b := range p.servers {
		if b.state == StateUp {
			shares[i] = float64(b.slots) / float64(slots)
		}
	}
	return shares
}

// updateSlotShares sets slotShares after a change of a server. It returns the least share of the
// keys that must move if the keys of each server are to stay proportional to its slots.
func (p *domainPart) updateSlotShares() float64 {
	before := p.slotShares
	p.slotShares = p.currentSlotShares()
	if before == nil || p.slotShares == nil {
		return 0
	}
	gained := 0.0
	for i := range p.slotShares {
		gained += max(0, p.slotShares[i]-before[i])
	}
	return gained
}

// setLoads sets the loads of the keys, given by hash in requests per second, and finds the hot
// keys.
func (p *domainPart) setLoads(now Time, loads map[uint64]float64) {
	p.measuredAt = now
	p.sketch.Decay(sketchDecay)
	for i, hash := range p.hashes {
		p.loads[i] = loads[hash]
		p.loadSums[i+1] = p.loadSums[i] + p.loads[i]
		if p.loads[i] > 0 {
			p.sketch.Add(hash, p.loads[i])
		}
	}
	rule := sketch.RuleFor(len(p.servers), hotShare, place.DefaultMaxHotKeys)
	p.hotHashes = sketch.HotKeys(p.sketch, p.hotHashes, rule)
}

// rangeLoad returns the sum of the loads of the keys in a range.
func (p *domainPart) rangeLoad(r keys.Range) float64 {
	first := sort.Search(len(p.hashes), func(i int) bool { return p.hashes[i] >= r.First })
	last := sort.Search(len(p.hashes), func(i int) bool { return p.hashes[i] > r.Last })
	return p.loadSums[last] - p.loadSums[first]
}

// capacity returns the number of slots of server i that count now: a reduced number while the
// server is cold, and zero if it does not accept keys.
func (p *domainPart) capacity(i int, now Time) float64 {
	b := p.servers[i]
	switch {
	case b.state != StateUp:
		return 0
	case now < b.warmAt:
		return float64(b.slots) * place.DefaultColdShare
	default:
		return float64(b.slots)
	}
}
