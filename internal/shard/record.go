package shard

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"example.org/mustardring/internal/pack"
)

// ErrRecord says that a record does not hold the owners of all keys.
var ErrRecord = errors.New("shard: malformed record of owners")

// record is a map as it is stored. Servers are named once, which makes the record of 60 ranges
// some 700 bytes instead of 5,000.
type record struct {
	Fence   uint64
	Servers []string
	Ranges  []recordRange
}

type recordRange struct {
	From   uint16
	Server int
	Fence  uint64
	Before []Owner
}

// Encode returns the record of a map.
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
		r.Ranges = append(r.Ranges, recordRange{From: g.From, Server: i, Fence: g.Fence, Before: g.FormerOwners})
	}
	var out bytes.Buffer
	if err := pack.Encode(&out, r); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Decode reads the record of a map.
func Decode(data []byte) (*Map, error) {
	r, err := pack.Decode[record](data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	m := &Map{Fence: r.Fence}
	for i, g := range r.Ranges {
		to := uint16(NumKeys - 1)
		if i+1 < len(r.Ranges) {
			to = r.Ranges[i+1].From - 1
		}
		if g.Server < 0 || g.Server >= len(r.Servers) {
			return nil, fmt.Errorf("%w: server %d of %d", ErrRecord, g.Server, len(r.Servers))
		}
		m.Ranges = append(m.Ranges, Range{From: g.From, To: to, Server: r.Servers[g.Server], Fence: g.Fence, FormerOwners: g.Before})
	}
	return m, m.check()
}

// check returns an error unless the ranges cover all keys, or there are none.
func (m *Map) check() error {
	next := 0
	for _, r := range m.Ranges {
		if int(r.From) != next || r.To < r.From || r.Fence > m.Fence {
			return fmt.Errorf("%w: range %d to %d", ErrRecord, r.From, r.To)
		}
		next = int(r.To) + 1
	}
	if next != 0 && next != NumKeys {
		return fmt.Errorf("%w: ends at key %d", ErrRecord, next)
	}
	return nil
}

// Changes returns the ranges of a map that another does not have.
func (m *Map) Changes(from *Map) []Range {
	var out []Range
	for _, r := range m.Ranges {
		i := from.Find(r.From)
		if i >= 0 && from.Ranges[i].same(r) && from.Ranges[i].To >= r.To {
			continue
		}
		out = append(out, r)
	}
	return out
}

func (r Range) same(o Range) bool {
	return r.Server == o.Server && r.Fence == o.Fence && slices.Equal(r.FormerOwners, o.FormerOwners)
}

// WithChanges returns a map with changed ranges, which are sorted, in place of those that it has for their keys.
func (m *Map) WithChanges(fence uint64, changes []Range) (*Map, error) {
	out := &Map{Fence: fence, Ranges: make([]Range, 0, len(m.Ranges)+2*len(changes))}
	next := 0
	rest := changes
	for _, r := range m.Ranges {
		for len(rest) > 0 && rest[0].From <= r.To {
			out.keep(r, next, int(rest[0].From)-1)
			out.Ranges = append(out.Ranges, rest[0])
			next = max(next, int(rest[0].To)+1)
			rest = rest[1:]
		}
		out.keep(r, next, int(r.To))
		next = max(next, int(r.To)+1)
	}
	out.Ranges = append(out.Ranges, rest...)
	out.Join()
	return out, out.check()
}

// keep adds what a range has of the keys from one to another.
func (m *Map) keep(r Range, from, to int) {
	from, to = max(from, int(r.From)), min(to, int(r.To))
	if from > to {
		return
	}
	r.From, r.To = uint16(from), uint16(to)
	m.Ranges = append(m.Ranges, r)
}
