// Package shard decides which server owns which keys of a divided service. It has no input
// or output.
//
// The owners of a service are one record of the shared store, written only if nothing was
// written since it was read. Two writers cannot both win, so the order of the records is the
// order of owners, and fences, which come from the record, only rise.
package shard

import (
	"slices"
	"sort"
)

// NumKeys is the number of keys of a divided service.
const NumKeys = 1 << 16

// Range is a run of keys with one owner.
type Range struct {
	// From and To are the first and the last key.
	From uint16
	To   uint16
	// Server is the life of the server that owns the keys. Fence is higher than that of every
	// earlier owner of any of the keys.
	Server string
	Fence  uint64
	// FormerOwners holds the owners whose rights must have ended before Server gets the keys; it is
	// empty when they have.
	FormerOwners []Owner
}

// Owner is an owner of old.
type Owner struct {
	Server  string
	Address string
}

// Len returns the number of keys.
func (r Range) Len() int { return int(r.To) - int(r.From) + 1 }

// Map is the owners of all keys of a service. Its ranges are sorted and cover all keys; an
// empty map has none.
type Map struct {
	// Fence is the highest fence ever used.
	Fence  uint64
	Ranges []Range
}

// Find returns the index of the range of a key, -1 if there is none.
func (m *Map) Find(key uint16) int {
	i := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].To >= key })
	if i == len(m.Ranges) || m.Ranges[i].From > key {
		return -1
	}
	return i
}

// Clone returns a copy that shares nothing that changes.
func (m *Map) Clone() *Map { return &Map{Fence: m.Fence, Ranges: slices.Clone(m.Ranges)} }

// RangesOf returns the ranges of a server.
func (m *Map) RangesOf(server string) []Range {
	var out []Range
	for _, r := range m.Ranges {
		if r.Server == server {
			out = append(out, r)
		}
	}
	return out
}

// Reassign gives the keys of a range to another server. Before holds the owners of old that may
// still act.
func (m *Map) Reassign(i int, to string, before []Owner) {
	m.Fence++
	m.Ranges[i].Server, m.Ranges[i].Fence, m.Ranges[i].FormerOwners = to, m.Fence, before
}

// Split cuts a range in two: the second begins with key.
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

// Join makes one range of neighbours with the same owner and fence.
func (m *Map) Join() {
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
