package fold

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"example.org/mustardring/internal/record"
)

// memorySize is the number of accepted records that are remembered to recognise a repeated
// append. Safety does not rest on it: a bundle, term or assignment that is applied again
// changes nothing either. It only gives the verdict Repeated in place of Refused.
const memorySize = 4096

// digest identifies an entry by its ID and data, so that nobody can take an ID away from
// another record by using it first.
type digest [16]byte

func digestOf(e record.Entry) digest {
	h := sha256.New()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(e.ID)))
	h.Write(length[:])
	h.Write([]byte(e.ID))
	h.Write(e.Data)
	return digest(h.Sum(nil)[:16])
}

// memory holds the digests of the newest accepted records.
type memory struct {
	// ring holds the digests; once it is full, the oldest is at at.
	ring  []digest
	at    int
	known map[digest]bool
}

func (m *memory) knows(d digest) bool {
	return m.known[d]
}

func (m *memory) add(d digest) {
	if m.known == nil {
		m.known = make(map[digest]bool)
	}
	m.known[d] = true
	if len(m.ring) < memorySize {
		m.ring = append(m.ring, d)
		return
	}
	delete(m.known, m.ring[m.at])
	m.ring[m.at] = d
	m.at = (m.at + 1) % memorySize
}

// list returns the digests, oldest first.
func (m *memory) list() []digest {
	return slices.Concat(m.ring[m.at:], m.ring[:m.at])
}

func (m *memory) clone() memory {
	return memory{ring: slices.Clone(m.ring), at: m.at, known: maps.Clone(m.known)}
}
