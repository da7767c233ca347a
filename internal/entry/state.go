package entry

import (
	"slices"
	"sync"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// state is what the duties of an instance share: the bundle in force, the routing table and
// the live instances. Each change makes a new view for the directory.
type state struct {
	directory *route.Router

	mu     sync.Mutex
	view   route.View
	newest *fold.BundleTracker
	// before is the bundle that the newest one replaced at this instance.
	before bundle.Held
	// taken is what the domains have by the log, as far as this instance knows.
	taken    []fold.DomainHomes
	stopping bool
}

func newState(settings config.Run) *state {
	return &state{
		directory: route.NewRouter(),
		newest:    fold.NewBundleTracker(settings.Roots),
		view:      route.View{Self: settings.Name, Domain: settings.Domain},
	}
}

// follow takes the bundle in force by the log. It reports whether the bundle changed.
func (s *state) follow(log *fold.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.newest.Held()
	if !s.newest.AdoptFromLog(log) {
		return false
	}
	s.replace(before)
	return true
}

// learn takes a bundle that another instance handed over, as an update of the one held or
// else as a whole proof. Only signatures count.
func (s *state) learn(push ProofPush) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.newest.Held()
	var err error
	if push.Update != nil {
		err = s.newest.ApplyUpdate(*push.Update)
	} else {
		err = s.newest.AdoptProof(push.Proof)
	}
	if err != nil {
		return err
	}
	s.replace(before)
	return nil
}

// replace makes the view of a bundle that came after another one. The lock is held.
func (s *state) replace(before bundle.Held) {
	s.before = before
	s.view.Bundle = s.newest.Bundle()
	s.view.Homes = homesOf(s.view.Bundle, s.taken)
	s.directory.Set(s.view)
}

// missing returns the record that brings the bundle back into a log which lost it.
func (s *state) missing(log *fold.State) (record.Record, string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest.MissingRecord(log)
}

// offer returns what an instance that holds a version needs to have the newest: an update if
// it holds the version before, the whole proof otherwise.
func (s *state) offer(version uint64) ProofPush {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > 0 && version == s.before.Proof.Version() {
		if u, err := bundle.NewUpdate(s.before, s.newest.Held()); err == nil {
			return ProofPush{Update: &u}
		}
	}
	return ProofPush{Proof: s.newest.Proof()}
}

// takeHomes notes which domain has which ranges by the log. Requests go to the domain that has
// a range, which for a while is not the one that should have it.
func (s *state) takeHomes(taken []fold.DomainHomes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.EqualFunc(s.taken, taken, func(a, b fold.DomainHomes) bool { return a.Offset == b.Offset && a.Service == b.Service }) {
		return
	}
	s.taken = taken
	s.view.Homes = homesOf(s.view.Bundle, taken)
	s.directory.Set(s.view)
}

// homesOf returns the homes of each divided service, sorted: what the domains have taken, and
// in the gaps what the bundle says they should.
func homesOf(b *bundle.Bundle, taken []fold.DomainHomes) map[string][]route.Home {
	homes := make(map[string][]route.Home)
	if b == nil {
		return homes
	}
	for _, service := range b.Services {
		if service.Divided {
			homes[service.Name] = homesOfService(b, service.Name, taken)
		}
	}
	return homes
}

func homesOfService(b *bundle.Bundle, service string, taken []fold.DomainHomes) []route.Home {
	var homes []route.Home
	var covered []keys.Range
	for _, t := range taken {
		if t.Service != service {
			continue
		}
		covered = keys.Union(covered, t.Ranges)
		for _, r := range t.Ranges {
			homes = append(homes, route.Home{Domain: t.Domain, Range: r})
		}
	}
	for _, h := range b.HomeRanges(service) {
		for _, r := range keys.Subtract([]keys.Range{h.Range}, covered) {
			homes = append(homes, route.Home{Domain: h.Domain, Range: r})
		}
	}
	slices.SortFunc(homes, func(a, b route.Home) int { return compareRanges(a.Range, b.Range) })
	return homes
}

// setTable takes a routing table of this domain. It returns the table before and whether the
// new one is newer.
func (s *state) setTable(t *route.Table) (old *route.Table, newer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old = s.view.Table
	if t == nil || t.Domain != s.view.Domain || !t.Newer(old) {
		return old, false
	}
	s.view.Table = t
	s.directory.Set(s.view)
	return old, true
}

// setMembers replaces the live instances.
func (s *state) setMembers(members []route.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.view.Members, members) {
		return
	}
	s.view.Members = members
	s.directory.Set(s.view)
}

func (s *state) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// snapshot returns the present view, and whether the instance is stopping.
func (s *state) snapshot() (route.View, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, s.stopping
}

func (s *state) bundle() *bundle.Bundle {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Bundle
}

func (s *state) table() *route.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Table
}
