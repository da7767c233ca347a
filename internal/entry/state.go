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

// state is shared by the workers of an instance: the bundle in force, the routing table and the live
// instances. Each change sets a new view in the directory, which routes requests.
type state struct {
	directory *route.Router

	mu   sync.Mutex
	view route.View
	// newest keeps the newest bundle that is proven by its signatures.
	newest *fold.BundleTracker
	// previous is the bundle that the newest one replaced at this instance.
	previous bundle.Held
	// takenHomes are the ranges that the domains have taken according to the log.
	takenHomes []fold.DomainHomes
	stopping   bool
}

func newState(settings config.Run) *state {
	return &state{
		directory: route.NewRouter(),
		newest:    fold.NewBundleTracker(settings.Roots),
		view:      route.View{Self: settings.Name, Domain: settings.Domain},
	}
}

// followLog installs the bundle in force according to the log. It reports whether the bundle changed.
func (s *state) followLog(log *fold.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.newest.Held()
	if !s.newest.AdoptFromLog(log) {
		return false
	}
	s.replaceView(before)
	return true
}

// applyBundle installs a bundle received from another instance, as an update of the current one or
// as a whole proof. Only the signatures are trusted, not the sender. It returns fold.ErrNotNewer if
// the bundle is not newer.
func (s *state) applyBundle(push BundlePush) error {
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
	s.replaceView(before)
	return nil
}

// replaceView sets the view of the newest bundle, which has replaced the one in before. The caller
// holds s.mu.
func (s *state) replaceView(before bundle.Held) {
	s.previous = before
	s.view.Bundle = s.newest.Bundle()
	s.view.Homes = currentHomes(s.view.Bundle, s.takenHomes)
	s.directory.Set(s.view)
}

// missing returns the record, and the ID to append it with, that restores the bundle in a log which
// has lost it. It returns false if the log has the bundle.
func (s *state) missing(log *fold.State) (record.Record, string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest.MissingRecord(log)
}

// offer returns what an instance with the given bundle version needs to get the newest: an update if
// it has the previous version, the whole proof otherwise.
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

// setHomes sets which domain has taken which ranges according to the log. Requests go to the domain
// that has a range, which may for a while differ from the one to which the bundle assigns it.
func (s *state) setHomes(taken []fold.DomainHomes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.EqualFunc(s.takenHomes, taken, func(a, b fold.DomainHomes) bool { return a.Offset == b.Offset && a.Service == b.Service }) {
		return
	}
	s.takenHomes = taken
	s.view.Homes = currentHomes(s.view.Bundle, taken)
	s.directory.Set(s.view)
}

// currentHomes returns the homes of each divided service, sorted by range: the ranges that the
// domains have taken, and elsewhere those that the bundle assigns to them.
func currentHomes(b *bundle.Bundle, taken []fold.DomainHomes) map[string][]route.Home {
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

// currentServiceHomes returns the currentHomes of one service.
func currentServiceHomes(b *bundle.Bundle, service string, taken []fold.DomainHomes) []route.Home {
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

// setTable installs a routing table if it belongs to this domain and is newer than the current one.
// It returns the table before and whether the new one was installed.
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

// snapshot returns the current view, and whether the instance is stopping.
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
