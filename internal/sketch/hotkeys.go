package sketch

import "slices"

// Rule says when a key is hot, by its share of the total weight.
type Rule struct {
	// EnterShare is the share that a key must certainly have to become hot, given the error of
	// its count.
	EnterShare float64
	// LeaveShare is the share below which a hot key certainly is when it becomes cold. It is
	// lower than EnterShare, so that a key whose share varies a little does not alternate.
	LeaveShare float64
	// MaxKeys is the maximum number of hot keys.
	MaxKeys int
}

// RuleFor returns the rule for a service whose load is divided equally among its servers: a key
// is hot when its load alone is the given part of one server's share.
func RuleFor(servers int, part float64, maxKeys int) Rule {
	enter := part / float64(max(servers, 1))
	return Rule{EnterShare: enter, LeaveShare: enter / 2, MaxKeys: maxKeys}
}

// HotKeys returns the hashes of the hot keys, sorted. The parameter current holds the sorted
// hashes of the keys that are hot until now.
func HotKeys(s *Sketch, current []uint64, r Rule) []uint64 {
	total := s.Total()
	hot := make([]uint64, 0, min(r.MaxKeys, len(s.heap)))
	if total <= 0 {
		return hot
	}
	for _, c := range s.Counters() {
		if len(hot) == r.MaxKeys {
			break
		}
		_, wasHot := slices.BinarySearch(current, c.Hash)
		if c.Count-c.Error >= r.EnterShare*total || wasHot && c.Count >= r.LeaveShare*total {
			hot = append(hot, c.Hash)
		}
	}
	slices.Sort(hot)
	return hot
}
