package sketch

import "slices"

// Rule says when a key is hot, as a share of the total weight.
type Rule struct {
	// EnterShare is the share that a key must surely have to become hot.
	EnterShare float64
	// LeaveShare is the share that a hot key may surely not reach to become cold. It lies below
	// Enter, so that a key near the border does not come and go.
	LeaveShare float64
	// Most bounds the number of hot keys.
	Most int
}

// RuleFor returns the rule for a service whose load servers share equally: a key is hot when
// it alone brings the given part of one server's share.
func RuleFor(servers int, part float64, most int) Rule {
	enter := part / float64(max(servers, 1))
	return Rule{EnterShare: enter, LeaveShare: enter / 2, Most: most}
}

// HotKeys returns the hashes of the hot keys, sorted, given those that were hot until now.
func HotKeys(s *Sketch, present []uint64, r Rule) []uint64 {
	total := s.Total()
	hot := make([]uint64, 0, min(r.Most, len(s.heap)))
	if total <= 0 {
		return hot
	}
	for _, c := range s.Counters() {
		if len(hot) == r.Most {
			break
		}
		_, was := slices.BinarySearch(present, c.Hash)
		if c.Count-c.Error >= r.EnterShare*total || was && c.Count >= r.LeaveShare*total {
			hot = append(hot, c.Hash)
		}
	}
	slices.Sort(hot)
	return hot
}
