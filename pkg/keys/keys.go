// Package keys maps keys to a 64-bit hash space and computes with ranges of that space.
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

// Hash returns the position of a service's key in the hash space. The service name is hashed
// too, so that services with the same keys distribute them independently of each other.
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

// Range is an interval of the hash space from First to Last, both inclusive.
type Range struct {
	First uint64
	Last  uint64
}

// Full is the whole hash space.
var Full = Range{First: 0, Last: ^uint64(0)}

// Contains reports whether the range contains a hash.
func (r Range) Contains(hash uint64) bool {
	return r.First <= hash && hash <= r.Last
}

// Overlaps reports whether two ranges have a hash in common.
func (r Range) Overlaps(o Range) bool {
	return r.First <= o.Last && o.First <= r.Last
}

// Width returns the share of the hash space that the range covers, in (0, 1].
func (r Range) Width() float64 {
	return (float64(r.Last-r.First) + 1) / (1 << 63) / 2
}

// String returns First and Last as 16-digit hexadecimal numbers joined by a hyphen.
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

// ParseRange parses the form that Range.String returns. It returns ErrRange for other text and
// if Last is below First.
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
