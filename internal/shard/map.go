// Package shard decides which server owns which keys of a divided service, one whose keys are divided
// among its servers. It does no I/O.
//
// The owners of all keys of a service are one record in the shared store. A new record is written only
// if no other was written since the previous one was read, so of two concurrent writers at most one
// succeeds. The records of a service therefore have one order, and fencing tokens, which are taken from
// the record, only increase.
package shard

import (
	"slices"
	"sort"
)

// NumKeys is the number of keys of a divided service.
const NumKeys = 1 << 16

// Range is a run of consecutive keys with one owner.
type Range struct {
	// From and To are the first and the last key, both included.
	From uint16
	To   uint16
	// Server is the id of the incarnation of the server that owns the keys. Fence is the fencing
	// token of its lease, higher than that of every earlier owner of any of the keys.
	Server string
	Fence  uint64
	// FormerOwners holds the owners whose leases must end before Server gets the keys. It is empty
	// once they have ended.
	FormerOwners []Owner
}

// Owner identifies a server that owns keys or did so, and the address that takes its leases and
// releases.
type Owner struct {
	Server  string
	Address string
}

// Len returns the number of keys in the range.
func (r Range) Len() int { return int(r.To) - int(r.From) + 1 }

// Map holds the owners of all keys of a service. Its ranges are sorted and cover all keys without
// gaps; the map of a service whose keys have no owners yet has no ranges.
type Map struct {
	// Fence is the highest fencing token that any range has ever had.
	Fence  uint64
	Ranges []Range
}

// Find returns the index of the range that contains a key, or -1 if there is none.
func (m *Map) Find(key uint16) int {
	i := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].To >= key })
	if i == len(m.Ranges) || m.Ranges[i].From > key {
		return -1
	}
	return i
}

// Clone returns a copy of the map. Both share the FormerOwners slices, which are replaced but never
// modified.
func (m *Map) Clone() *Map { return &Map{Fence: m.Fence, Ranges: slices.Clone(m.Ranges)} }

// RangesOf returns the ranges that a server owns.
func (m *Map) RangesOf(server string) []Range {
	var out []Range
	for _, r := range m.Ranges {
		if r.Server == server {
			out = append(out, r)
		}
	}
	return out
}

// Reassign gives the range with index i to another server, with a new fencing token. The former owners
// are those whose leases may still be valid.
func (m *Map) Reassign(i int, to string, former []Owner) {
	m.Fence++
	m.Ranges[i].Server, m.Ranges[i].Fence, m.Ranges[i].FormerOwners = to, m.Fence, former
}

// Split splits the range with index i in two, the second of which begins with key. It does nothing if
// key is not in the range or is its first key.
func (m *Map) Split(i int, key uint16) {
	r := m.Ranges[i]
	if key <= r.From || key > r.To {
		return
	}
	second := r
	second.From = key
	m.Ranges[i].To = key - 1
	m.Ranges = slices.Insert(m.Ranges, i+1, second)
}

// MergeAdjacent merges adjacent ranges with the same owner and fencing token, unless they are being
// moved.
func (m *Map) MergeAdjacent() {
	out := m.Ranges[:0]
	for _, r := range m.Ranges {
		if n := len(out); n > 0 && out[n-1].Server == r.Server && out[n-1].Fence == r.Fence &&
			len(out[n-1].FormerOwners) == 0 && len(r.FormerOwners) == 0 {
			out[n-1].To = r.To
			continue
		}
		out = append(out, r)
	}
	m.Ranges = out
}
