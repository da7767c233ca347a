package replay

import (
	"example.org/mustardring/internal/naive"
	"example.org/mustardring/internal/place"
	"example.org/mustardring/pkg/keys"
)

// unowned is the owner of a key that no server owns.
const unowned = -1

// Method is a way of placing that is replayed: Planned or Plain. The set is sealed.
type Method interface {
	isMethod()
	// Name is the name of the method in reports.
	Name() string
}

// Planned places as mustardring does.
type Planned struct {
	// New returns the placer of one domain.
	New func() place.Placer
}

// Plain places as a naive method does.
type Plain struct {
	Label  string
	Method naive.Method
}

func (Planned) isMethod() {}
func (Plain) isMethod()   {}

// Name implements Method.
func (Planned) Name() string { return "mustardring" }

// Name implements Method.
func (p Plain) Name() string { return p.Label }

// boundedFactor is how far above the mean rendezvous with bounded loads lets a server go:
// the goal for imbalance of the placer.
const boundedFactor = imbalanceGoal

// DefaultMethods returns the placer with its defaults and the naive methods.
func DefaultMethods() []Method {
	return []Method{
		Planned{New: func() place.Placer { return place.New() }},
		Plain{Label: "modulo", Method: naive.Modulo{}},
		Plain{Label: "rendezvous", Method: naive.Rendezvous{}},
		Plain{Label: "rendezvous-bounded", Method: naive.Bounded{Factor: boundedFactor}},
	}
}

// subject is a method at work in one part.
type subject struct {
	method Method
	// owners is the member that owns each key.
	owners []int
	// downSince is since when keys without an owner had none.
	downSince Time
	// placer and ranges are those of a Planned method.
	placer place.Placer
	ranges []place.Owned
	// stale says that the imbalance has to be worked out again.
	stale bool
	now   spread
}

func newSubject(m Method, p *part) *subject {
	s := &subject{method: m, owners: make([]int, len(p.hashes)), stale: true}
	for i := range s.owners {
		s.owners[i] = unowned
	}
	if planned, ok := m.(Planned); ok {
		s.placer = planned.New()
	}
	return s
}

// wanted returns the owners that the method wants now.
func (s *subject) wanted(p *part, now Time) []int {
	if p.shares() == nil {
		return nil
	}
	switch m := s.method.(type) {
	case Planned:
		return s.plan(p, now)
	case Plain:
		return s.choose(m.Method, p)
	default:
		return nil
	}
}

// choose asks a naive method.
func (s *subject) choose(m naive.Method, p *part) []int {
	var servers []naive.Server
	var index []int
	for i, b := range p.members {
		if b.state == StateUp {
			servers = append(servers, naive.Server{Name: b.name, Slots: b.slots})
			index = append(index, i)
		}
	}
	list := make([]naive.Key, len(p.hashes))
	for i := range list {
		list[i] = naive.Key{Hash: p.hashes[i], Load: p.loads[i]}
	}
	owners := naive.Owners(m, list, servers)
	for i := range owners {
		owners[i] = index[owners[i]]
	}
	return owners
}

// plan asks the placer and carries its targets out.
func (s *subject) plan(p *part, now Time) []int {
	targets := s.placer.Place(s.view(p, now))
	s.carryOut(targets, placeTime(now))
	owners := make([]int, len(p.hashes))
	at := 0
	for _, t := range targets {
		owner := p.find(t.Server)
		for at < len(p.hashes) && p.hashes[at] <= t.Range.Last {
			owners[at] = owner
			at++
		}
	}
	return owners
}

// placeTime returns a time of a trace as the placer counts it. Zero means never there.
func placeTime(t Time) place.Time {
	const nanos = 1_000_000
	return place.Time(t)*nanos + 1
}

// view returns what a leader tells the placer.
func (s *subject) view(p *part, now Time) place.View {
	v := place.View{
		Now:       placeTime(now),
		Service:   p.service,
		Weights:   p.weights,
		Homes:     p.homes,
		HotHashes: p.hot,
	}
	for _, m := range p.members {
		v.Servers = append(v.Servers, place.Server{
			Name:      m.name,
			Slots:     m.slots,
			Accepting: m.state == StateUp,
			WarmAt:    placeTime(m.warmAt),
		})
	}
	for i := range s.ranges {
		o := &s.ranges[i]
		o.Load, o.LoadAt = p.load(o.Range), placeTime(now)
	}
	v.Owned = s.ranges
	return v
}

// carryOut makes the targets the partition. A range of which any part has a new owner was
// moved now.
func (s *subject) carryOut(targets []place.Target, now place.Time) {
	ranges := make([]place.Owned, 0, len(targets))
	at := 0
	for _, t := range targets {
		o := place.Owned{Range: t.Range, Server: t.Server}
		for at < len(s.ranges) && s.ranges[at].Range.Last < t.Range.First {
			at++
		}
		kept := 0.0
		for _, b := range s.ranges[at:] {
			if b.Range.First > t.Range.Last {
				break
			}
			o.MovedAt = max(o.MovedAt, b.MovedAt)
			if b.Server == t.Server {
				common := keys.Range{First: max(b.Range.First, t.Range.First), Last: min(b.Range.Last, t.Range.Last)}
				kept += common.Width()
			}
		}
		if kept < t.Range.Width() {
			o.MovedAt = now
		}
		ranges = append(ranges, o)
	}
	s.ranges = ranges
}
