package shard

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"example.org/mustardring/internal/pack"
)

// ErrMalformed is returned for a record that does not hold the owners of all keys.
var ErrMalformed = errors.New("shard: malformed record of owners")

// record is the stored form of a Map. It contains the id of each server once, to which the ranges refer
// by index: a record of 60 ranges takes some 700 bytes instead of 5,000. Fields are encoded by position.
type record struct {
	Fence   uint64
	Servers []string
	Ranges  []recordRange
}

// recordRange is the stored form of a Range. It ends before the first key of the next one, or before the end of the
// record. Server is an index in record.Servers.
type recordRange struct {
	From         uint16
	Server       int
	Fence        uint64
	FormerOwners []Owner
}

// Encode returns the map as a record of the store.
func (m *Map) Encode() ([]byte, error) {
	r := record{Fence: m.Fence}
	index := map[string]int{}
	for _, g := range m.Ranges {
		i, found := index[g.Server]
		if !found {
			i = len(r.Servers)
			index[g.Server] = i
			r.Servers = append(r.Servers, g.Server)
		}
		r.Ranges = append(r.Ranges, recordRange{From: g.From, Server: i, Fence: g.Fence, FormerOwners: g.FormerOwners})
	}
	var out bytes.Buffer
	if err := pack.Encode(&out, r); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Decode decodes a record that Encode returned for a whole map. It returns ErrMalformed for any other data.
func Decode(data []byte) (*Map, error) {
	m, err := decode(data, NumKeys)
	if err != nil {
		return nil, err
	}
	return m, m.validate()
}

// DecodePart decodes a record that Encode returned for the part of a map with an index.
func DecodePart(data []byte, index int) (*Map, error) {
	if index < 0 || index >= NumParts {
		return nil, fmt.Errorf("%w: part %d", ErrMalformed, index)
	}
	m, err := decode(data, (index+1)*partKeys)
	if err != nil {
		return nil, err
	}
	return m, m.validateFrom(index*partKeys, (index+1)*partKeys)
}

// decode decodes a record whose last range ends before a key.
func decode(data []byte, end int) (*Map, error) {
	r, err := pack.Decode[record](data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	m := &Map{Fence: r.Fence}
	for i, g := range r.Ranges {
		to := uint16(end - 1)
		if i+1 < len(r.Ranges) {
			to = r.Ranges[i+1].From - 1
		}
		if g.Server < 0 || g.Server >= len(r.Servers) {
			return nil, fmt.Errorf("%w: index %d of a server, record has %d servers", ErrMalformed, g.Server, len(r.Servers))
		}
		m.Ranges = append(m.Ranges, Range{From: g.From, To: to, Server: r.Servers[g.Server], Fence: g.Fence, FormerOwners: g.FormerOwners})
	}
	return m, nil
}

// validate returns an error unless the ranges cover all keys in order, or there are none, and no fencing
// token exceeds that of the map.
func (m *Map) validate() error {
	if len(m.Ranges) == 0 {
		return nil
	}
	return m.validateFrom(0, NumKeys)
}

// validateFrom returns an error unless the ranges cover the keys from first to before end, in order, and no fencing token
// exceeds that of the map.
func (m *Map) validateFrom(first, end int) error {
	next := first
	for _, r := range m.Ranges {
		if int(r.From) != next || r.To < r.From || r.Fence > m.Fence {
			return fmt.Errorf("%w: range of keys %d to %d is out of order or its fence is too high", ErrMalformed, r.From, r.To)
		}
		next = int(r.To) + 1
	}
	if next != end {
		return fmt.Errorf("%w: no owner from key %d on", ErrMalformed, next)
	}
	return nil
}

// Changes returns the ranges of the map that differ from those of an earlier one in owner, fencing token
// or former owners.
func (m *Map) Changes(from *Map) []Range {
	var out []Range
	for _, r := range m.Ranges {
		i := from.Find(r.From)
		if i >= 0 && from.Ranges[i].sameOwnership(r) && from.Ranges[i].To >= r.To {
			continue
		}
		out = append(out, r)
	}
	return out
}

// sameOwnership reports whether two ranges have the same owner, fencing token and former owners.
func (r Range) sameOwnership(o Range) bool {
	return r.Server == o.Server && r.Fence == o.Fence && slices.Equal(r.FormerOwners, o.FormerOwners)
}

// WithChanges returns a copy of the map in which the changed ranges replace what it has for their keys.
// The changes must be sorted. The fence is that of the new map. It returns ErrMalformed if the result is
// not a valid map.
func (m *Map) WithChanges(fence uint64, changes []Range) (*Map, error) {
	out := &Map{Fence: fence, Ranges: make([]Range, 0, len(m.Ranges)+2*len(changes))}
	next := 0
	rest := changes
	for _, r := range m.Ranges {
		for len(rest) > 0 && rest[0].From <= r.To {
			out.appendPart(r, next, int(rest[0].From)-1)
			out.Ranges = append(out.Ranges, rest[0])
			next = max(next, int(rest[0].To)+1)
			rest = rest[1:]
		}
		out.appendPart(r, next, int(r.To))
		next = max(next, int(r.To)+1)
	}
	out.Ranges = append(out.Ranges, rest...)
	out.MergeAdjacent()
	return out, out.validate()
}

// appendPart appends the part of a range that lies between two keys, both included. It appends nothing
// if there is none.
func (m *Map) appendPart(r Range, from, to int) {
	from, to = max(from, int(r.From)), min(to, int(r.To))
	if from > to {
		return
	}
	r.From, r.To = uint16(from), uint16(to)
	m.Ranges = append(m.Ranges, r)
}
