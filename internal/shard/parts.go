package shard

import (
	"fmt"
	"slices"
)

const (
	// NumParts is the number of parts into which the map of a service is divided if its record would be too large.
	// Each holds the owners of the same number of consecutive keys, so its size is bounded whatever the number of
	// servers.
	NumParts = 16
	partKeys = NumKeys / NumParts
)

// Part returns the part of the map with an index from 0 to NumParts-1. Its ranges cover only the keys of the part.
func (m *Map) Part(index int) *Map {
	first, last := index*partKeys, (index+1)*partKeys-1
	out := &Map{Fence: m.Fence}
	for _, r := range m.Ranges {
		if int(r.To) >= first && int(r.From) <= last {
			out.appendPart(r, first, last)
		}
	}
	return out
}

// SplitMovesAtParts returns the map with the ranges that are being moved split where parts end: unlike others, they are not
// merged again when parts are joined.
func (m *Map) SplitMovesAtParts() *Map {
	out := m.Clone()
	for index := 1; index < NumParts; index++ {
		key := uint16(index * partKeys)
		if i := out.Find(key); i >= 0 && len(out.Ranges[i].FormerOwners) > 0 {
			out.Split(i, key)
		}
	}
	return out
}

// WithPart returns a copy of the map with one part replaced. It returns ErrMalformed if the part does not have the keys of
// that index.
func (m *Map) WithPart(index int, part *Map) (*Map, error) {
	if len(m.Ranges) == 0 {
		return nil, fmt.Errorf("%w: part %d of an empty map", ErrMalformed, index)
	}
	changes := slices.Clone(part.Ranges)
	if err := part.validateFrom(index*partKeys, (index+1)*partKeys); err != nil {
		return nil, err
	}
	return m.WithChanges(max(m.Fence, part.Fence), changes)
}

// JoinParts returns the map that consists of all parts, in the order of their indices.
func JoinParts(parts []*Map) (*Map, error) {
	out := &Map{}
	for i, part := range parts {
		if part == nil {
			return nil, fmt.Errorf("%w: part %d is missing", ErrMalformed, i)
		}
		out.Fence = max(out.Fence, part.Fence)
		out.Ranges = append(out.Ranges, part.Ranges...)
	}
	out.MergeAdjacent()
	return out, out.validate()
}

// SamePart reports whether two maps have the same owners, fencing tokens and former owners in a part.
func (m *Map) SamePart(index int, o *Map) bool {
	a, b := m.Part(index), o.Part(index)
	return slices.EqualFunc(a.Ranges, b.Ranges, func(x, y Range) bool { return x.From == y.From && x.To == y.To && x.sameOwnership(y) })
}
