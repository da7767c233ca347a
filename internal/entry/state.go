package entry

import (
	"slices"
	"sync"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/bundle"
)

// state is what the duties of an instance share: the bundle in force, the routing table and
// the live instances. Each change makes a new view for the directory.
type state struct {
	directory *route.Directory

	mu       sync.Mutex
	view     route.View
	proof    bundle.Proof
	stopping bool
}

func newState(settings config.Run) *state {
	return &state{
		directory: route.NewDirectory(),
		view:      route.View{Self: settings.Name, Domain: settings.Domain},
	}
}

// setBundle puts a bundle in force. It reports false, and does nothing, for a version that
// is not newer: a version in force never reverts.
func (s *state) setBundle(b *bundle.Bundle, proof bundle.Proof) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b == nil || s.view.Bundle != nil && s.view.Bundle.Version >= b.Version {
		return false
	}
	s.proof = proof
	s.view.Bundle = b
	s.view.Homes = homesOf(b)
	s.directory.Set(s.view)
	return true
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

// snapshot returns the present view and proof.
func (s *state) snapshot() (route.View, bundle.Proof, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, s.proof, s.stopping
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
