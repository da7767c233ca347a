package replay

import (
	"fmt"
	"slices"

	"example.org/mustardring/internal/naive"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// placementInterval is the interval of the placements that no event triggers.
const placementInterval = Time(10_000)

// For shortIntervalPeriod after loads were recorded, placements follow at shortPlacementInterval:
// a leader places keys each second, and by the next placement it knows the loads of ranges that
// were just split.
const (
	shortPlacementInterval = Time(1000)
	shortIntervalPeriod    = 3 * shortPlacementInterval
)

// player replays one trace with all methods at once.
type player struct {
	header  Header
	costs   Costs
	methods []Method
	now     Time
	parts   []*domainPart
	// methodStates is indexed by part and method.
	methodStates [][]*methodState
	// totals has the totals of each method, by service.
	totals       map[string][]*totals
	services     []string
	minKeysMoved map[string]float64
	keyCount     map[string]int
	keyNames     map[string]map[uint64]string
	// shortIntervalUntil is when the use of shortPlacementInterval ends.
	shortIntervalUntil Time
	logDown            bool
	leaderLostAt       map[string]Time
	undivided          map[string]*undividedService
	uniformHashes      map[uniformKeySet][]uint64
	samples            []Sample
}

// Run replays a trace with the given methods and returns the report.
func Run(trace []TimedEvent, methods []Method) (Report, error) {
	p := &player{
		methods:       methods,
		totals:        map[string][]*totals{},
		minKeysMoved:  map[string]float64{},
		keyCount:      map[string]int{},
		keyNames:      keyNamesOf(trace),
		leaderLostAt:  map[string]Time{},
		undivided:     map[string]*undividedService{},
		uniformHashes: map[uniformKeySet][]uint64{},
	}
	for _, e := range trace {
		p.advance(e.At)
		if err := p.applyEvent(e.Event); err != nil {
			return Report{}, fmt.Errorf("replay: at %d ms: %w", e.At, err)
		}
	}
	return p.report(), nil
}

// keyNamesOf returns the names of all keys in a trace, by service and hash.
func keyNamesOf(trace []TimedEvent) map[string]map[uint64]string {
	names := map[string]map[uint64]string{}
	seen := map[uniformKeySet]bool{}
	for _, e := range trace {
		r, ok := e.Event.(Requests)
		if !ok {
			continue
		}
		if names[r.Service] == nil {
			names[r.Service] = map[uint64]string{}
		}
		for key := range r.Counts {
			names[r.Service][keys.Hash(r.Service, key)] = key
		}
		if r.Uniform == nil {
			continue
		}
		id := uniformKeySet{service: r.Service, prefix: r.Uniform.Prefix, keys: r.Uniform.Keys}
		if seen[id] {
			continue
		}
		seen[id] = true
		for i := range r.Uniform.Keys {
			key := r.Uniform.keyName(i)
			names[r.Service][keys.Hash(r.Service, key)] = key
		}
	}
	return names
}

// keyName returns the name of key i, counted from zero.
func (u *UniformRequests) keyName(i int) string {
	return fmt.Sprintf("%s%d", u.Prefix, i)
}

// applyEvent applies an event that happens now.
func (p *player) applyEvent(ev Event) error {
	switch ev := ev.(type) {
	case Header:
		p.header = ev
		p.costs = DefaultCosts(ev.OneWayMicros)
	case BundleInForce:
		return p.applyBundle(&ev.Bundle)
	case Requests:
		p.applyRequests(&ev)
	case ServerChange:
		return p.applyServerChange(ev)
	case InstanceChange:
		p.applyInstanceChange(ev)
	case LogChange:
		p.logDown = ev.State == StateDown
	case DomainChange, Ended:
		// A failure domain that is cut off keeps its ranges and its leader, so no key moves.
	}
	return nil
}

// advance advances the clock to the time of an event, with the placements that are due before it.
func (p *player) advance(to Time) {
	for next := p.nextPlacement(); next < to; next = p.nextPlacement() {
		p.advanceClock(next)
		for i := range p.parts {
			p.place(i, triggerInterval)
		}
	}
	p.advanceClock(to)
}

// nextPlacement returns the time of the next placement that no event triggers.
func (p *player) nextPlacement() Time {
	next := p.now - p.now%placementInterval + placementInterval
	if p.now < p.shortIntervalUntil {
		next = min(next, p.now+shortPlacementInterval)
	}
	return next
}

// advanceClock sets the clock, and adds the imbalance of the time in between to the totals and to
// the samples.
func (p *player) advanceClock(to Time) {
	millis := float64(to - p.now)
	if millis > 0 {
		for i, part := range p.parts {
			for j, s := range p.methodStates[i] {
				if s.imbalanceStale {
					s.imbalance, s.imbalanceStale = imbalanceOf(part, s.owners, p.now), false
				}
				p.totals[part.service][j].addImbalance(s.imbalance, millis)
			}
		}
		p.addSample()
	}
	p.markWarmedUp(to)
	p.now = to
}

// markWarmedUp marks the imbalance of each part in which a cold start ends between now and the
// given time as stale.
func (p *player) markWarmedUp(to Time) {
	for i, part := range p.parts {
		for _, b := range part.servers {
			if p.now < b.warmAt && b.warmAt <= to {
				p.markStale(i)
			}
		}
	}
}

// markStale marks the imbalance of part i as stale.
func (p *player) markStale(i int) {
	for _, s := range p.methodStates[i] {
		s.imbalanceStale = true
	}
}

// applyBundle creates the services, servers and homes of a bundle and places the keys for the
// first time. A trace has only one bundle.
func (p *player) applyBundle(b *bundle.Bundle) error {
	if len(p.parts) > 0 {
		return fmt.Errorf("%w: more than one bundle; servers are changed by server events", ErrTrace)
	}
	for i := range b.Services {
		s := &b.Services[i]
		if !s.Divided {
			p.undivided[s.Name] = newUndividedService(s, p.header.Seed)
			continue
		}
		p.services = append(p.services, s.Name)
		p.keyCount[s.Name] = len(p.keyNames[s.Name])
		for range p.methods {
			p.totals[s.Name] = append(p.totals[s.Name], &totals{millisByKey: map[string]float64{}})
		}
		for j, homes := range homesOf(s) {
			p.parts = append(p.parts, newDomainPart(s, s.Homes[j].Domain, homes, p.keyNames[s.Name]))
		}
	}
	for _, part := range p.parts {
		var states []*methodState
		for _, m := range p.methods {
			states = append(states, newMethodState(m, part))
		}
		p.methodStates = append(p.methodStates, states)
	}
	for i := range p.parts {
		p.place(i, triggerServers)
	}
	return nil
}

// homesOf divides the hash space among the homes of a service in proportion to their shares, in
// the order of the homes.
func homesOf(s *bundle.Service) [][]keys.Range {
	shares := 0
	for _, h := range s.Homes {
		shares += h.Share
	}
	units := keys.Split(keys.Full, max(shares, 1))
	homes := make([][]keys.Range, 0, len(s.Homes))
	next := 0
	for _, h := range s.Homes {
		first := units[next]
		next += h.Share
		homes = append(homes, []keys.Range{{First: first.First, Last: units[next-1].Last}})
	}
	return homes
}

// applyRequests applies a record of requests: it simulates them if the service is undivided, and
// sets the loads of the keys otherwise.
func (p *player) applyRequests(r *Requests) {
	if u := p.undivided[r.Service]; u != nil {
		u.play(p.now, r)
		return
	}
	p.shortIntervalUntil = p.now + shortIntervalPeriod
	seconds := float64(r.SpanMillis) / 1000
	loads := make(map[uint64]float64, len(p.keyNames[r.Service]))
	if r.Uniform != nil {
		perKey := float64(r.Uniform.Requests) / float64(r.Uniform.Keys) / seconds
		for _, hash := range p.hashesOf(r) {
			loads[hash] = perKey
		}
	}
	for key, count := range r.Counts {
		loads[keys.Hash(r.Service, key)] += float64(count) / seconds
	}
	for i, part := range p.parts {
		if part.service == r.Service {
			part.setLoads(p.now, loads)
			p.markStale(i)
			p.place(i, triggerLoad)
		}
	}
}

// uniformKeySet identifies the set of keys of a UniformRequests.
type uniformKeySet struct {
	service string
	prefix  string
	keys    int
}

// hashesOf returns the hashes of the keys of r.Uniform. It caches them, since most records have
// the same set of keys.
func (p *player) hashesOf(r *Requests) []uint64 {
	id := uniformKeySet{service: r.Service, prefix: r.Uniform.Prefix, keys: r.Uniform.Keys}
	if list, found := p.uniformHashes[id]; found {
		return list
	}
	list := make([]uint64, r.Uniform.Keys)
	for i := range list {
		list[i] = keys.Hash(r.Service, r.Uniform.keyName(i))
	}
	p.uniformHashes[id] = list
	return list
}

// applyServerChange applies a change of state of a backend server.
func (p *player) applyServerChange(ev ServerChange) error {
	for _, u := range p.undivided {
		if u.setServerState(p.now, ev) {
			return nil
		}
	}
	for i, part := range p.parts {
		at := part.serverIndex(ev.Name)
		if at < 0 {
			continue
		}
		b := &part.servers[at]
		b.state = ev.State
		if ev.State == StateUp {
			b.warmAt = p.now + ev.WarmMillis
		}
		p.minKeysMoved[part.service] += part.updateSlotShares() * float64(len(part.hashes))
		p.markStale(i)
		p.place(i, triggerServers)
		return nil
	}
	return fmt.Errorf("%w: unknown server %q", ErrTrace, ev.Name)
}

// trigger is the reason for a placement.
type trigger int

const (
	triggerInterval trigger = iota
	triggerLoad
	triggerServers
)

// reactsTo reports whether a method places keys on a trigger. A naive method does so when servers
// change, and if it uses loads, also when loads change.
func reactsTo(m Method, t trigger) bool {
	nm, ok := m.(NaiveMethod)
	if !ok || t == triggerServers {
		return true
	}
	_, bounded := nm.Method.(naive.BoundedRendezvous)
	return bounded && t == triggerLoad
}

// place places the keys of part i with each method that reacts to the trigger.
func (p *player) place(i int, tr trigger) {
	part := p.parts[i]
	for j, s := range p.methodStates[i] {
		if !reactsTo(s.method, tr) {
			continue
		}
		owners := s.wantedOwners(part, p.now)
		if slices.Equal(owners, s.owners) {
			continue
		}
		t := p.totals[part.service][j]
		if p.now > 0 && owners != nil {
			t.minKeysMoved += part.minKeysMoved(s.owners, owners, p.now)
		}
		p.applyOwners(part, s, t, owners)
	}
}
