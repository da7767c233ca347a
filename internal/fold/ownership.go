package fold

import (
	"maps"
	"math"
	"slices"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// maxFloorStep bounds how far a claim may lift the term of a domain over the one it follows,
// so that no claim uses up the terms.
const maxFloorStep = math.MaxUint32

func (s *State) claim(offset uint64, r record.TermClaimed) Result {
	if r.Domain == "" || r.Instance == "" {
		return refuse(offset, CauseMalformed, "a claim names a domain and an instance")
	}
	if s.InForce != nil && !hasDomain(s.InForce, r.Domain) {
		return refuse(offset, CauseInvalid, "domain %q is not in the bundle in force", r.Domain)
	}
	t := s.Terms[r.Domain]
	if r.Follows != t.Log {
		return refuseClaim(offset, r, t)
	}
	if r.Floor > r.Follows && r.Floor-r.Follows > maxFloorStep {
		return refuse(offset, CauseMalformed, "floor %d is too far above term %d", r.Floor, r.Follows)
	}
	s.Terms[r.Domain] = Term{
		Log:         max(r.Follows, r.Floor) + 1,
		Instance:    r.Instance,
		Incarnation: r.Incarnation,
		Offset:      offset,
	}
	return Accepted{}
}

func refuseClaim(offset uint64, r record.TermClaimed, t Term) Result {
	if r.Follows > t.Log {
		return refuse(offset, CauseOrder, "the claim of domain %q follows term %d, but the newest is %d", r.Domain, r.Follows, t.Log)
	}
	if t.Instance == r.Instance && t.Incarnation == r.Incarnation && t.Log == max(r.Follows, r.Floor)+1 {
		return Duplicate{}
	}
	w := Winner{Term: t.Log, Instance: t.Instance, Offset: t.Offset}
	return refuseFor(offset, CauseLost, w, "the claim of domain %q follows term %d", r.Domain, r.Follows)
}

func hasDomain(b *bundle.Bundle, name string) bool {
	return slices.ContainsFunc(b.Domains, func(d bundle.Domain) bool { return d.Name == name })
}

// assign keeps, for each server of the batch, the assignment of the higher epoch. The batch
// is accepted if any part of it took effect.
func (s *State) assign(offset uint64, r record.AssignmentMade) Result {
	if refusal := s.checkAssignments(offset, r); refusal != nil {
		return refusal
	}
	applied, repeated := 0, 0
	for _, a := range r.Assignments {
		switch s.compareAssignment(r, a) {
		case 1:
			made := RecordedAssignment{Service: r.Service, Assignment: a, Offset: offset, Provisional: r.Provisional}
			s.ownAssigned(r.Domain)[a.Server] = made
			applied++
		case 0:
			repeated++
		}
	}
	switch {
	case applied > 0:
		return Accepted{}
	case repeated == len(r.Assignments):
		return Duplicate{}
	default:
		return refuse(offset, CauseSuperseded, "the servers have assignments of higher epochs, or are in no bundle")
	}
}

func (s *State) checkAssignments(offset uint64, r record.AssignmentMade) Result {
	if r.Domain == "" || r.Service == "" || len(r.Assignments) == 0 {
		return refuse(offset, CauseMalformed, "an assignment names a domain, a service and servers")
	}
	if s.InForce != nil && !hasDomain(s.InForce, r.Domain) {
		return refuse(offset, CauseInvalid, "domain %q is not in the bundle in force", r.Domain)
	}
	for _, a := range r.Assignments {
		if a.Server == "" {
			return refuse(offset, CauseMalformed, "an assignment names no server")
		}
	}
	return nil
}

// compareAssignment returns 1 when an assignment replaces what is recorded, 0 when it repeats
// it and -1 when it is superseded. One for a server that nobody knows is superseded by the
// bundle: its record was dropped with the server, and a late one must not bring it back.
func (s *State) compareAssignment(r record.AssignmentMade, a record.Assignment) int {
	old, known := s.Assignments[r.Domain][a.Server]
	if !known {
		if s.InForce != nil && !s.servers[a.Server] {
			return -1
		}
		return 1
	}
	order := a.Epoch.Compare(old.Assignment.Epoch)
	if order == 0 && (old.Service != r.Service || !keys.Equal(old.Assignment.Ranges, a.Ranges)) {
		return -1
	}
	return order
}

func serverNames(b *bundle.Bundle) map[string]bool {
	names := make(map[string]bool)
	for _, s := range b.Services {
		for _, v := range s.Servers {
			names[v.Name] = true
		}
	}
	return names
}

// pruneAssigned drops the assignments of servers that are neither in the bundle in force nor
// in the one it replaced, or the state would grow with each server that ever was.
func (s *State) pruneAssigned(replaced map[string]bool) {
	if replaced == nil {
		return
	}
	for _, domain := range slices.Sorted(maps.Keys(s.Assignments)) {
		for server := range s.Assignments[domain] {
			if !replaced[server] && !s.servers[server] {
				delete(s.ownAssigned(domain), server)
			}
		}
		if len(s.Assignments[domain]) == 0 {
			delete(s.Assignments, domain)
		}
	}
}
