// Package keys maps keys to a 64-bit hash space and describes intervals of that space.
package keys

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ErrRange is returned for text that does not describe a Range.
var ErrRange = errors.New("keys: malformed range")

// Hash returns the position of a key of a service in the hash space. The service is part of
// the hash, so that two services which use the same keys spread them independently.
func Hash(service, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(service)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(service)
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Range is an interval of the hash space. Both ends belong to it.
type Range struct {
	First uint64
	Last  uint64
}

// Full is the whole hash space.
var Full = Range{First: 0, Last: ^uint64(0)}

// Contains reports whether a hash lies in the range.
func (r Range) Contains(hash uint64) bool {
	return r.First <= hash && hash <= r.Last
}

// Overlaps reports whether two ranges share a hash.
func (r Range) Overlaps(o Range) bool {
	return r.First <= o.Last && o.First <= r.Last
}

// Width returns the number of hashes in the range as a share of the hash space, in (0, 1].
func (r Range) Width() float64 {
	return (float64(r.Last-r.First) + 1) / (1 << 63) / 2
}

// String returns the text form: two 16-digit hexadecimal numbers joined by a hyphen.
func (r Range) String() string {
	return fmt.Sprintf("%016x-%016x", r.First, r.Last)
}

// MarshalText implements encoding.TextMarshaler.
func (r Range) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Range) UnmarshalText(text []byte) error {
	parsed, err := ParseRange(string(text))
	if err != nil {
		return err
	}
	*r = parsed
	return nil
}

// ParseRange parses the text form of a range.
func ParseRange(text string) (Range, error) {
	first, last, found := strings.Cut(text, "-")
	if !found || len(first) != 16 || len(last) != 16 {
		return Range{}, fmt.Errorf("%w: %q", ErrRange, text)
	}
	a, err := strconv.ParseUint(first, 16, 64)
	if err != nil {
		return Range{}, fmt.Errorf("%w: %q", ErrRange, text)
	}
	b, err := strconv.ParseUint(last, 16, 64)
	if err != nil || b < a {
		return Range{}, fmt.Errorf("%w: %q", ErrRange, text)
	}
	return Range{First: a, Last: b}, nil
}
