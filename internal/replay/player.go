package replay

import (
	"fmt"
	"slices"

	"example.org/mustardring/internal/naive"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// tick is the time between placements that no event asks for.
const tick = Time(10_000)

// placing is the time between placements for a short while after loads were recorded: a
// leader places each second, and the loads of ranges that were just cut are known by then.
const (
	placing = Time(1000)
	soon    = 3 * placing
)

// player plays one trace.
type player struct {
	header  Header
	costs   Costs
	methods []Method
	now     Time
	parts   []*part
	// subjects are by part, in the order of methods.
	subjects [][]*subject
	tallies  map[string][]*tally
	services []string
	smallest map[string]float64
	keyCount map[string]int
	names    map[string]map[uint64]string
	// soonUntil is until when placements follow each other quickly.
	soonUntil Time
	logDown   bool
	leaderAt  map[string]Time
	undivided map[string]*crowd
	others    map[others][]uint64
	samples   []Sample
}

// Run plays a trace and returns the report.
func Run(trace []TimedEvent, methods []Method) (Report, error) {
	p := &player{
		methods:   methods,
		tallies:   map[string][]*tally{},
		smallest:  map[string]float64{},
		keyCount:  map[string]int{},
		names:     namesOf(trace),
		leaderAt:  map[string]Time{},
		undivided: map[string]*crowd{},
		others:    map[others][]uint64{},
	}
	for _, s := range trace {
		p.advance(s.At)
		if err := p.handle(s.Event); err != nil {
			return Report{}, fmt.Errorf("replay: at %d ms: %w", s.At, err)
		}
	}
	return p.report(), nil
}

// namesOf returns the keys of each service in a trace by hash.
func namesOf(trace []TimedEvent) map[string]map[uint64]string {
	names := map[string]map[uint64]string{}
	seen := map[others]bool{}
	for _, s := range trace {
		r, ok := s.Event.(Requests)
		if !ok {
			continue
		}
		if names[r.Service] == nil {
			names[r.Service] = map[uint64]string{}
		}
		for key := range r.Counts {
			names[r.Service][keys.Hash(r.Service, key)] = key
		}
		if r.Others == nil {
			continue
		}
		id := others{service: r.Service, prefix: r.Others.Prefix, keys: r.Others.Keys}
		if seen[id] {
			continue
		}
		seen[id] = true
		for i := range r.Others.Keys {
			key := r.Others.key(i)
			names[r.Service][keys.Hash(r.Service, key)] = key
		}
	}
	return names
}

// key returns the name of one of the keys.
func (o *Others) key(i int) string {
	return fmt.Sprintf("%s%d", o.Prefix, i)
}

// handle applies an event.
func (p *player) handle(ev Event) error {
	switch ev := ev.(type) {
	case Header:
		p.header = ev
		p.costs = DefaultCosts(ev.OneWayMicros)
	case Bundled:
		return p.bundled(&ev.Bundle)
	case Requests:
		p.requests(&ev)
	case Server:
		return p.server(ev)
	case Instance:
		p.instance(ev)
	case Log:
		p.logDown = ev.State == StateDown
	case Domain, Ended:
		// A domain that is cut off keeps its ranges and its own leader: nothing moves.
	}
	return nil
}

// advance lets time pass up to an event, with a placement at each tick.
func (p *player) advance(to Time) {
	for next := p.next(); next < to; next = p.next() {
		p.pass(next)
		for i := range p.parts {
			p.place(i, causeTick)
		}
	}
	p.pass(to)
}

// next returns when the next placement is due that no event asks for.
func (p *player) next() Time {
	next := p.now - p.now%tick + tick
	if p.now < p.soonUntil {
		next = min(next, p.now+placing)
	}
	return next
}

// pass notes the spread that held until now.
func (p *player) pass(to Time) {
	millis := float64(to - p.now)
	if millis > 0 {
		for i, part := range p.parts {
			for j, s := range p.subjects[i] {
				if s.stale {
					s.now, s.stale = spreadOf(part, s.owners, p.now), false
				}
				p.tallies[part.service][j].hold(s.now, millis)
			}
		}
		p.sample()
	}
	p.warm(to)
	p.now = to
}

// warm marks what changes when a cold start ends.
func (p *player) warm(to Time) {
	for i, part := range p.parts {
		for _, m := range part.members {
			if p.now < m.warmAt && m.warmAt <= to {
				p.mark(i)
			}
		}
	}
}

// mark says that the spread of a part has changed.
func (p *player) mark(i int) {
	for _, s := range p.subjects[i] {
		s.stale = true
	}
}

// bundled takes the first bundle: services, servers and homes.
func (p *player) bundled(b *bundle.Bundle) error {
	if len(p.parts) > 0 {
		return fmt.Errorf("%w: a second bundle; servers come and go by server events", ErrTrace)
	}
	for i := range b.Services {
		s := &b.Services[i]
		if !s.Divided {
			p.undivided[s.Name] = newCrowd(s, p.header.Seed)
			continue
		}
		p.services = append(p.services, s.Name)
		p.keyCount[s.Name] = len(p.names[s.Name])
		for range p.methods {
			p.tallies[s.Name] = append(p.tallies[s.Name], &tally{byKey: map[string]float64{}})
		}
		for domain, homes := range homesOf(s) {
			p.parts = append(p.parts, newPart(s, s.Homes[domain].Domain, homes, p.names[s.Name]))
		}
	}
	for _, part := range p.parts {
		var subjects []*subject
		for _, m := range p.methods {
			subjects = append(subjects, newSubject(m, part))
		}
		p.subjects = append(p.subjects, subjects)
	}
	for i := range p.parts {
		p.place(i, causeServers)
	}
	return nil
}

// homesOf divides the hash space between the homes of a service, in their order.
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

// requests spreads a record of requests over the keys.
func (p *player) requests(r *Requests) {
	if c := p.undivided[r.Service]; c != nil {
		c.play(p.now, r)
		return
	}
	p.soonUntil = p.now + soon
	seconds := float64(r.SpanMillis) / 1000
	loads := make(map[uint64]float64, len(p.names[r.Service]))
	if r.Others != nil {
		each := float64(r.Others.Requests) / float64(r.Others.Keys) / seconds
		for _, hash := range p.hashes(r) {
			loads[hash] = each
		}
	}
	for key, count := range r.Counts {
		loads[keys.Hash(r.Service, key)] += float64(count) / seconds
	}
	for i, part := range p.parts {
		if part.service == r.Service {
			part.measure(p.now, loads)
			p.mark(i)
			p.place(i, causeLoad)
		}
	}
}

// others identifies a set of keys that share requests.
type others struct {
	service string
	prefix  string
	keys    int
}

// hashes returns the hashes of the other keys of a record. They are kept, since most records
// have the same.
func (p *player) hashes(r *Requests) []uint64 {
	id := others{service: r.Service, prefix: r.Others.Prefix, keys: r.Others.Keys}
	if list, found := p.others[id]; found {
		return list
	}
	list := make([]uint64, r.Others.Keys)
	for i := range list {
		list[i] = keys.Hash(r.Service, r.Others.key(i))
	}
	p.others[id] = list
	return list
}

// server applies a change of a backend server.
func (p *player) server(ev Server) error {
	for _, c := range p.undivided {
		if c.server(p.now, ev) {
			return nil
		}
	}
	for i, part := range p.parts {
		at := part.find(ev.Name)
		if at < 0 {
			continue
		}
		m := &part.members[at]
		m.state = ev.State
		if ev.State == StateUp {
			m.warmAt = p.now + ev.WarmMillis
		}
		p.smallest[part.service] += part.reshare() * float64(len(part.hashes))
		p.mark(i)
		p.place(i, causeServers)
		return nil
	}
	return fmt.Errorf("%w: no server %q", ErrTrace, ev.Name)
}

// cause is why a placement is due.
type cause int

const (
	causeTick cause = iota
	causeLoad
	causeServers
)

// heeds reports whether a method places for a cause. Naive ones place when servers change,
// and the one that looks at loads also when loads do.
func heeds(m Method, c cause) bool {
	plain, ok := m.(Plain)
	if !ok || c == causeServers {
		return true
	}
	_, bounded := plain.Method.(naive.Bounded)
	return bounded && c == causeLoad
}

// place lets each method place a part.
func (p *player) place(i int, c cause) {
	part := p.parts[i]
	for j, s := range p.subjects[i] {
		if !heeds(s.method, c) {
			continue
		}
		owners := s.wanted(part, p.now)
		if slices.Equal(owners, s.owners) {
			continue
		}
		t := p.tallies[part.service][j]
		if p.now > 0 && owners != nil {
			t.least += part.least(s.owners, owners, p.now)
		}
		p.change(part, s, t, owners)
	}
}
