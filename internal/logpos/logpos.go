// Package logpos defines positions in the topics of the shared store.
//
// The store may come back from an older copy of its data. Offsets go back then and are given out again, so that an offset
// alone does not identify a record. Each return begins a new era of the store, and a position is an offset together with
// the era in which it was given out. Positions are ordered by their eras first: a position of a later era is behind all
// positions of earlier ones, whatever their offsets. So a comparison of positions also holds across a return.
package logpos

import "strconv"

// Era numbers the histories of the store. It is zero if the store does not state its era.
type Era uint32

// MaxEra is the highest era of a position.
const MaxEra Era = 1<<20 - 1

// Pos is a position in a topic. The position after the record at p is p+1, in the same era.
type Pos int64

// offsetBits is the number of the low bits of a Pos that hold the offset. The next bits hold the era.
const offsetBits = 40

// EndOnly is an offset beyond the end of any topic. It belongs to no era: a read from there returns the end in any.
const EndOnly Pos = 1 << (offsetBits - 1)

// Valid reports whether an offset can be part of a position: a larger one would seem to be of a later era.
func Valid(offset int64) bool { return offset >= 0 && offset < int64(EndOnly) }

// At returns the position of an offset, which must be valid, in an era.
func At(era Era, offset int64) Pos { return Pos(int64(era)<<offsetBits | offset) }

// Era returns the era of a position.
func (p Pos) Era() Era { return Era(max(p, 0) >> offsetBits) }

// Offset returns the offset of a position in the store. It is comparable within one era only.
func (p Pos) Offset() int64 {
	if p < 0 {
		return int64(p)
	}
	return int64(p & (1<<offsetBits - 1))
}

// In returns the position with the offset of p in an era, if p belongs to none, and else p itself. Instances of releases
// that do not know eras state offsets only.
func (p Pos) In(era Era) Pos {
	if p < 0 || p.Era() != 0 {
		return p
	}
	return At(era, p.Offset())
}

// String returns the era, unless it is zero, and the offset, separated by a slash.
func (p Pos) String() string {
	offset := strconv.FormatInt(p.Offset(), 10)
	if era := p.Era(); era != 0 {
		return strconv.FormatUint(uint64(era), 10) + "/" + offset
	}
	return offset
}

// fenceBits is the number of the low bits of a fencing token that are counted up within an era. With the era above them a
// token stays below 2^53, up to which JSON numbers are exact.
const fenceBits = 32

// FirstFence returns the lower bound of the fencing tokens that are given in an era. It is above all of earlier eras.
func FirstFence(era Era) uint64 { return uint64(era) << fenceBits }

// FenceEra returns the era in which a fencing token was given.
func FenceEra(fence uint64) Era { return Era(min(fence>>fenceBits, uint64(MaxEra))) }
