package fold

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"example.org/mustardring/internal/record"
)

// maxRecentDigests is the number of accepted records that are remembered to detect a
// duplicate append. Safety does not depend on it, because a bundle, term or assignment that
// is applied a second time changes nothing. It only turns a rejection into a Duplicate.
const maxRecentDigests = 4096

// digest identifies an entry by its ID and data. The ID alone is not enough: a record that
// is written under the ID of a later one would make the later one appear as a duplicate.
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

// recentDigests is a set of the digests of the newest accepted records, with at most
// maxRecentDigests elements.
type recentDigests struct {
	// ring is a ring buffer of the digests. Once it is full, oldest is the index of the oldest
	// one; until then oldest is zero.
	ring   []digest
	oldest int
	// set contains the digests in ring.
	set map[digest]bool
}

func (r *recentDigests) contains(d digest) bool {
	return r.set[d]
}

func (r *recentDigests) add(d digest) {
	if r.set == nil {
		r.set = make(map[digest]bool)
	}
	r.set[d] = true
	if len(r.ring) < maxRecentDigests {
		r.ring = append(r.ring, d)
		return
	}
	delete(r.set, r.ring[r.oldest])
	r.ring[r.oldest] = d
	r.oldest = (r.oldest + 1) % maxRecentDigests
}

// list returns the digests, oldest first.
func (r *recentDigests) list() []digest {
	return slices.Concat(r.ring[r.oldest:], r.ring[:r.oldest])
}

func (r *recentDigests) clone() recentDigests {
	return recentDigests{ring: slices.Clone(r.ring), oldest: r.oldest, set: maps.Clone(r.set)}
}
