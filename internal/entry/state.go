package entry

import (
	"slices"
	"sync"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/bundle"
)

// state is what the duties of an instance share: the bundle in force, the routing table and
// the live instances. Each change makes a new view for the directory.
type state struct {
	directory *route.Directory

	mu     sync.Mutex
	view   route.View
	newest *fold.Newest
	// before is the bundle that the newest one replaced at this instance.
	before   bundle.Held
	stopping bool
}

func newState(settings config.Run) *state {
	return &state{
		directory: route.NewDirectory(),
		newest:    fold.NewNewest(settings.Roots),
		view:      route.View{Self: settings.Name, Domain: settings.Domain},
	}
}

// follow takes the bundle in force by the log. It reports whether the bundle changed.
func (s *state) follow(log *fold.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.newest.Held()
	if !s.newest.Follow(log) {
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
		err = s.newest.Update(*push.Update)
	} else {
		err = s.newest.Learn(push.Proof)
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
	s.view.Homes = homesOf(s.view.Bundle)
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

func homesOf(b *bundle.Bundle) map[string][]route.Home {
	homes := make(map[string][]route.Home)
	for _, service := range b.Services {
		if !service.Divided {
			continue
		}
		for _, h := range b.HomeRanges(service.Name) {
			homes[service.Name] = append(homes[service.Name], route.Home{Domain: h.Domain, Range: h.Range})
		}
	}
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
