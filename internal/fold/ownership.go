package fold

import (
	"maps"
	"math"
	"slices"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/keys"
)

// maxFloorStep is the maximum by which Floor may exceed Follows in a claim, so that no claim
// can exhaust the 64-bit term numbers.
const maxFloorStep = math.MaxUint32

func (s *State) applyTermClaimed(offset uint64, r record.TermClaimed) Result {
	if r.Domain == "" || r.Instance == "" {
		return reject(offset, CauseMalformed, "term claim without domain or instance")
	}
	if s.InForce != nil && !hasDomain(s.InForce, r.Domain) {
		return reject(offset, CauseInvalidBundle, "domain %q is not in the bundle in force", r.Domain)
	}
	t := s.Terms[r.Domain]
	if r.Follows != t.Log {
		return rejectClaim(offset, r, t)
	}
	if r.Floor > r.Follows && r.Floor-r.Follows > maxFloorStep {
		return reject(offset, CauseMalformed, "floor %d of the claim is too far above term %d", r.Floor, r.Follows)
	}
	s.Terms[r.Domain] = Term{
		Log:         max(r.Follows, r.Floor) + 1,
		Instance:    r.Instance,
		Incarnation: r.Incarnation,
		Offset:      offset,
	}
	return Accepted{}
}

// rejectClaim returns the result for a claim that does not follow the newest term t. It is a
// duplicate if the same claim was accepted before and resulted in t.
func rejectClaim(offset uint64, r record.TermClaimed, t Term) Result {
	if r.Follows > t.Log {
		return reject(offset, CauseOutOfOrder, "claim for domain %q follows term %d, but the newest is %d", r.Domain, r.Follows, t.Log)
	}
	if t.Instance == r.Instance && t.Incarnation == r.Incarnation && t.Log == max(r.Follows, r.Floor)+1 {
		return Duplicate{}
	}
	w := Winner{Term: t.Log, Instance: t.Instance, Offset: t.Offset}
	return rejectForWinner(offset, CauseLostRace, w, "claim for domain %q follows term %d", r.Domain, r.Follows)
}

func hasDomain(b *bundle.Bundle, name string) bool {
	return slices.ContainsFunc(b.Domains, func(d bundle.Domain) bool { return d.Name == name })
}

// applyAssignmentMade records those assignments of the batch whose epoch is higher than the
// recorded one of their server. The batch is accepted if at least one of them is recorded.
func (s *State) applyAssignmentMade(offset uint64, r record.AssignmentMade) Result {
	if rejected := s.checkAssignments(offset, r); rejected != nil {
		return rejected
	}
	applied, duplicates := 0, 0
	for _, a := range r.Assignments {
		switch s.compareAssignment(r, a) {
		case 1:
			recorded := RecordedAssignment{Service: r.Service, Assignment: a, Offset: offset, Provisional: r.Provisional}
			s.writableAssignments(r.Domain)[a.Server] = recorded
			applied++
		case 0:
			duplicates++
		}
	}
	switch {
	case applied > 0:
		return Accepted{}
	case duplicates == len(r.Assignments):
		return Duplicate{}
	default:
		return reject(offset, CauseSuperseded, "servers have assignments of the same or a higher epoch, or are not in the bundle in force")
	}
}

// checkAssignments returns the rejection of a batch that is malformed or names an unknown
// domain, or nil.
func (s *State) checkAssignments(offset uint64, r record.AssignmentMade) Result {
	if r.Domain == "" || r.Service == "" || len(r.Assignments) == 0 {
		return reject(offset, CauseMalformed, "assignment without domain, service or servers")
	}
	if s.InForce != nil && !hasDomain(s.InForce, r.Domain) {
		return reject(offset, CauseInvalidBundle, "domain %q is not in the bundle in force", r.Domain)
	}
	for _, a := range r.Assignments {
		if a.Server == "" {
			return reject(offset, CauseMalformed, "assignment without a server name")
		}
	}
	return nil
}

// compareAssignment returns 1 if an assignment replaces the recorded one, 0 if it is a
// duplicate and -1 if it is superseded. A server that has no recorded assignment and is not in
// the bundle in force counts as superseded: its assignment was dropped with the server, and a
// late record must not restore it.
func (s *State) compareAssignment(r record.AssignmentMade, a record.Assignment) int {
	current, known := s.Assignments[r.Domain][a.Server]
	if !known {
		if s.InForce != nil && !s.servers[a.Server] {
			return -1
		}
		return 1
	}
	order := a.Epoch.Compare(current.Assignment.Epoch)
	if order == 0 && (current.Service != r.Service || !keys.Equal(current.Assignment.Ranges, a.Ranges)) {
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

// pruneAssignments drops the assignments of servers that are neither in the bundle in force
// nor in the one that it replaced. Without it, the state would grow with each server that ever
// existed. A new leader still needs the assignments of servers that the bundle in force
// removed. If replaced is nil, there was no bundle before, and nothing is dropped.
func (s *State) pruneAssignments(replaced map[string]bool) {
	if replaced == nil {
		return
	}
	for _, domain := range slices.Sorted(maps.Keys(s.Assignments)) {
		for server := range s.Assignments[domain] {
			if !replaced[server] && !s.servers[server] {
				delete(s.writableAssignments(domain), server)
			}
		}
		if len(s.Assignments[domain]) == 0 {
			delete(s.Assignments, domain)
		}
	}
}
