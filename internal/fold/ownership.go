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

func (s *State) claim(offset uint64, r record.TermClaimed) Verdict {
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

func refuseClaim(offset uint64, r record.TermClaimed, t Term) Verdict {
	if r.Follows > t.Log {
		return refuse(offset, CauseOrder, "the claim of domain %q follows term %d, but the newest is %d", r.Domain, r.Follows, t.Log)
	}
	if t.Instance == r.Instance && t.Incarnation == r.Incarnation && t.Log == max(r.Follows, r.Floor)+1 {
		return Repeated{}
	}
	w := Winner{Term: t.Log, Instance: t.Instance, Offset: t.Offset}
	return refuseFor(offset, CauseLost, w, "the claim of domain %q follows term %d", r.Domain, r.Follows)
}

func hasDomain(b *bundle.Bundle, name string) bool {
	return slices.ContainsFunc(b.Domains, func(d bundle.Domain) bool { return d.Name == name })
}

// assign keeps, for each server of the batch, the assignment of the higher epoch. The batch
// is accepted if any part of it took effect.
func (s *State) assign(offset uint64, r record.AssignmentMade) Verdict {
	if r.Domain == "" || r.Service == "" || len(r.Assignments) == 0 {
		return refuse(offset, CauseMalformed, "an assignment names a domain, a service and servers")
	}
	if s.InForce != nil && !hasDomain(s.InForce, r.Domain) {
		return refuse(offset, CauseInvalid, "domain %q is not in the bundle in force", r.Domain)
	}
	held := s.Assigned[r.Domain]
	applied, repeated := 0, 0
	for _, a := range r.Assignments {
		if a.Server == "" {
			return refuse(offset, CauseMalformed, "an assignment names no server")
		}
	}
	for _, a := range r.Assignments {
		old, known := held[a.Server]
		order := a.Epoch.Compare(old.Assignment.Epoch)
		switch {
		case !known || order > 0:
			held = s.ownAssigned(r.Domain)
			held[a.Server] = Assigned{Service: r.Service, Assignment: a, Offset: offset, Provisional: r.Provisional}
			applied++
		case order == 0 && old.Service == r.Service && keys.Equal(old.Assignment.Ranges, a.Ranges):
			repeated++
		}
	}
	switch {
	case applied > 0:
		return Accepted{}
	case repeated == len(r.Assignments):
		return Repeated{}
	default:
		return refuse(offset, CauseSuperseded, "the servers have assignments of higher epochs")
	}
}

// pruneAssigned drops the assignments of servers that are neither in the bundle in force nor
// in the one it replaced, or the state would grow with each server that ever was.
func (s *State) pruneAssigned(replaced *bundle.Bundle) {
	if replaced == nil {
		return
	}
	kept := make(map[string]bool)
	for _, b := range []*bundle.Bundle{replaced, s.InForce} {
		for _, v := range b.Services {
			for _, server := range v.Servers {
				kept[server.Name] = true
			}
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(s.Assigned)) {
		for server := range s.Assigned[domain] {
			if !kept[server] {
				delete(s.ownAssigned(domain), server)
			}
		}
		if len(s.Assigned[domain]) == 0 {
			delete(s.Assigned, domain)
		}
	}
}
