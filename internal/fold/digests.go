package fold

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"example.org/mustardring/internal/record"
)

// maxRecentDigests is the number of accepted records that are remembered to recognise a repeated
// append. Safety does not rest on it: a bundle, term or assignment that is applied again
// changes nothing either. It only gives the verdict Repeated in place of Refused.
const maxRecentDigests = 4096

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

// recentDigests holds the digests of the newest accepted records.
type recentDigests struct {
	// ring holds the digests; once it is full, the oldest is at at.
	ring   []digest
	oldest int
	set    map[digest]bool
}

func (m *recentDigests) contains(d digest) bool {
	return m.set[d]
}

func (m *recentDigests) add(d digest) {
	if m.set == nil {
		m.set = make(map[digest]bool)
	}
	m.set[d] = true
	if len(m.ring) < maxRecentDigests {
		m.ring = append(m.ring, d)
		return
	}
	delete(m.set, m.ring[m.oldest])
	m.ring[m.oldest] = d
	m.oldest = (m.oldest + 1) % maxRecentDigests
}

// list returns the digests, oldest first.
func (m *recentDigests) list() []digest {
	return slices.Concat(m.ring[m.oldest:], m.ring[:m.oldest])
}

func (m *recentDigests) clone() recentDigests {
	return recentDigests{ring: slices.Clone(m.ring), oldest: m.oldest, set: maps.Clone(m.set)}
}
