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
	directory *route.Directory

	mu     sync.Mutex
	view   route.View
	newest *fold.Newest
	// previous is the bundle that the newest one replaced at this instance.
	previous bundle.Held
	// takenHomes is what the domains have by the log, as far as this instance knows.
	takenHomes []fold.Taken
	stopping   bool
}

func newState(settings config.Run) *state {
	return &state{
		directory: route.NewDirectory(),
		newest:    fold.NewNewest(settings.Roots),
		view:      route.View{Self: settings.Name, Domain: settings.Domain},
	}
}

// followLog takes the bundle in force by the log. It reports whether the bundle changed.
func (s *state) followLog(log *fold.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.newest.Held()
	if !s.newest.Follow(log) {
		return false
	}
	s.replaceView(before)
	return true
}

// applyBundle takes a bundle that another instance handed over, as an update of the one held or
// else as a whole proof. Only signatures count.
func (s *state) applyBundle(push BundlePush) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.newest.Held()
	var err error
	if push.Update != nil {
		err = s.newest.Update(*push.Update)
	} else {
		err = s.newest.Learn(push.Proof)
	}
	if err != nil {
		return err
	}
	s.replaceView(before)
	return nil
}

// replaceView makes the view of a bundle that came after another one. The lock is held.
func (s *state) replaceView(before bundle.Held) {
	s.previous = before
	s.view.Bundle = s.newest.Bundle()
	s.view.Homes = currentHomes(s.view.Bundle, s.takenHomes)
	s.directory.Set(s.view)
}

// missing returns the record that brings the bundle back into a log which lost it.
func (s *state) missing(log *fold.State) (record.Record, string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest.Missing(log)
}

// offer returns what an instance that holds a version needs to have the newest: an update if
// it holds the version before, the whole proof otherwise.
func (s *state) offer(version uint64) BundlePush {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > 0 && version == s.previous.Proof.Version() {
		if u, err := bundle.NewUpdate(s.previous, s.newest.Held()); err == nil {
			return BundlePush{Update: &u}
		}
	}
	return BundlePush{Proof: s.newest.Proof()}
}

// setHomes notes which domain has which ranges by the log. Requests go to the domain that has
// a range, which for a while is not the one that should have it.
func (s *state) setHomes(taken []fold.Taken) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.EqualFunc(s.takenHomes, taken, func(a, b fold.Taken) bool { return a.Offset == b.Offset && a.Service == b.Service }) {
		return
	}
	s.takenHomes = taken
	s.view.Homes = currentHomes(s.view.Bundle, taken)
	s.directory.Set(s.view)
}

// currentHomes returns the homes of each divided service, sorted: what the domains have taken, and
// in the gaps what the bundle says they should.
func currentHomes(b *bundle.Bundle, taken []fold.Taken) map[string][]route.Home {
	homes := make(map[string][]route.Home)
	if b == nil {
		return homes
	}
	for _, service := range b.Services {
		if service.Divided {
			homes[service.Name] = currentServiceHomes(b, service.Name, taken)
		}
	}
	return homes
}

func currentServiceHomes(b *bundle.Bundle, service string, taken []fold.Taken) []route.Home {
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
