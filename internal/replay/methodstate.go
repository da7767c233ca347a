package replay

import (
	"example.org/mustardring/internal/naive"
	"example.org/mustardring/internal/place"
	"example.org/mustardring/pkg/keys"
)

// unowned is the owner of a key that no server owns.
const unowned = -1

// Method is a method of placing keys that a trace is replayed with: PlacerMethod or NaiveMethod.
// It cannot be implemented outside this package.
type Method interface {
	isMethod()
	// Name returns the name of the method in reports.
	Name() string
}

// PlacerMethod places keys with a placer of package place, as the router does.
type PlacerMethod struct {
	// New returns a new placer. Each failure domain has its own.
	New func() place.Placer
}

// NaiveMethod places keys with a method of package naive, for comparison.
type NaiveMethod struct {
	// Label is the name of the method in reports.
	Label  string
	Method naive.Method
}

func (PlacerMethod) isMethod() {}
func (NaiveMethod) isMethod()  {}

// Name implements Method.
func (PlacerMethod) Name() string { return "mustardring" }

// Name implements Method.
func (n NaiveMethod) Name() string { return n.Label }

// boundedLoadFactor is the maximum load of a server over the mean in rendezvous hashing with
// bounded loads. It is the goal for the imbalance of the placer.
const boundedLoadFactor = imbalanceGoal

// DefaultMethods returns the placer with its default settings, followed by the naive methods.
func DefaultMethods() []Method {
	return []Method{
		PlacerMethod{New: func() place.Placer { return place.New() }},
		NaiveMethod{Label: "modulo", Method: naive.Modulo{}},
		NaiveMethod{Label: "rendezvous", Method: naive.Rendezvous{}},
		NaiveMethod{Label: "rendezvous-bounded", Method: naive.BoundedRendezvous{Factor: boundedLoadFactor}},
	}
}

// methodState is the state of one method in one part of a service.
type methodState struct {
	method Method
	// owners has the index of the server that owns each key, or unowned.
	owners []int
	// unownedSince is when the keys became unowned, if they are.
	unownedSince Time
	// placer and ranges are used by a PlacerMethod only. ranges is the current partition of the
	// homes.
	placer place.Placer
	ranges []place.Owned
	// imbalanceStale says that imbalance must be computed again.
	imbalanceStale bool
	imbalance      imbalance
}

func newMethodState(m Method, p *domainPart) *methodState {
	s := &methodState{method: m, owners: make([]int, len(p.hashes)), imbalanceStale: true}
	for i := range s.owners {
		s.owners[i] = unowned
	}
	if pm, ok := m.(PlacerMethod); ok {
		s.placer = pm.New()
	}
	return s
}

// wantedOwners returns the owner of each key that the method wants now, as the index of a server.
// It returns nil if no server accepts keys.
func (s *methodState) wantedOwners(p *domainPart, now Time) []int {
	if p.currentSlotShares() == nil {
		return nil
	}
	switch m := s.method.(type) {
	case PlacerMethod:
		return s.placerOwners(p, now)
	case NaiveMethod:
		return s.naiveOwners(m.Method, p)
	default:
		return nil
	}
}

// naiveOwners returns the owners according to a naive method.
func (s *methodState) naiveOwners(m naive.Method, p *domainPart) []int {
	var servers []naive.Server
	var index []int
	for i, b := range p.servers {
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

// placerOwners returns the owners according to the placer, and applies its targets to s.ranges.
func (s *methodState) placerOwners(p *domainPart, now Time) []int {
	targets := s.placer.Place(s.view(p, now))
	s.applyTargets(targets, placerTime(now))
	owners := make([]int, len(p.hashes))
	at := 0
	for _, t := range targets {
		owner := p.serverIndex(t.Server)
		for at < len(p.hashes) && p.hashes[at] <= t.Range.Last {
			owners[at] = owner
			at++
		}
	}
	return owners
}

// placerTime converts a time of a trace, in milliseconds, to a time of the placer, in
// nanoseconds. It adds 1, because a zero time means never to the placer.
func placerTime(t Time) place.Time {
	const nanos = 1_000_000
	return place.Time(t)*nanos + 1
}

// view returns the input of the placer: what a leader would pass to it now.
func (s *methodState) view(p *domainPart, now Time) place.View {
	v := place.View{
		Now:       placerTime(now),
		Service:   p.service,
		Weights:   p.weights,
		Homes:     p.homes,
		HotHashes: p.hotHashes,
	}
	for _, b := range p.servers {
		v.Servers = append(v.Servers, place.Server{
			Name:      b.name,
			Slots:     b.slots,
			Accepting: b.state == StateUp,
			WarmAt:    placerTime(b.warmAt),
		})
	}
	for i := range s.ranges {
		o := &s.ranges[i]
		o.Load, o.LoadAt = p.rangeLoad(o.Range), placerTime(now)
	}
	v.Owned = s.ranges
	return v
}

// applyTargets makes the targets the current partition. If any part of a range has a new owner,
// the whole range counts as moved now; otherwise it keeps the time of its latest move.
func (s *methodState) applyTargets(targets []place.Target, now place.Time) {
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
