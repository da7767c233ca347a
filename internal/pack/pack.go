// Package pack encodes values as MessagePack, with structs as arrays without field names, and decodes
// them from untrusted input.
package pack

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed is returned for data that is not valid MessagePack of the expected type.
var ErrMalformed = errors.New("pack: malformed MessagePack")

// Encode appends the encoding of a value to a buffer. Structs are encoded by position: without field
// names a message is a third of the size, and traffic between failure domains is expensive.
func Encode(out *bytes.Buffer, value any) error {
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(out)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	return e.Encode(value)
}

// Decode decodes a value. It first checks that the data is as long as its length fields say: the
// msgpack decoder allocates memory for the stated number of elements before it reads them, so that
// 17 bytes from the network could end the process with "out of memory".
func Decode[V any](data []byte) (V, error) {
	var value V
	if _, err := skip(data, maxDepth); err != nil {
		return value, err
	}
	if err := msgpack.Unmarshal(data, &value); err != nil {
		return value, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return value, nil
}

// Rest returns the data after its first value.
func Rest(data []byte) ([]byte, error) { return skip(data, maxDepth) }

// maxDepth limits how deep arrays and maps may be nested. The encoded types are nested four
// deep.
const maxDepth = 16

// Bounds of the ranges of first bytes that the MessagePack specification defines.
const (
	fixMapMax         = 0x8f
	fixArrayMax       = 0x9f
	fixStrMax         = 0xbf
	positiveFixIntMax = 0x7f
	negativeFixIntMin = 0xe0
)

// scalarSizes maps the first byte of a value without elements to the size of its length field and the
// number of bytes that follow in addition to that length.
var scalarSizes = map[byte]struct{ length, fixed int }{
	0xc0: {0, 0}, 0xc2: {0, 0}, 0xc3: {0, 0},
	0xc4: {1, 0}, 0xc5: {2, 0}, 0xc6: {4, 0}, // binary
	0xc7: {1, 1}, 0xc8: {2, 1}, 0xc9: {4, 1}, // extensions, with a type byte
	0xca: {0, 4}, 0xcb: {0, 8}, // floating point
	0xcc: {0, 1}, 0xcd: {0, 2}, 0xce: {0, 4}, 0xcf: {0, 8}, // unsigned integers
	0xd0: {0, 1}, 0xd1: {0, 2}, 0xd2: {0, 4}, 0xd3: {0, 8}, // signed integers
	0xd4: {0, 2}, 0xd5: {0, 3}, 0xd6: {0, 5}, 0xd7: {0, 9}, 0xd8: {0, 17}, // extensions of fixed size
	0xd9: {1, 0}, 0xda: {2, 0}, 0xdb: {4, 0}, // strings
}

// containers maps the first byte of an array or a map to the size of its length field and the number
// of values per element: one in an array, two in a map.
var containers = map[byte]struct{ length, values int }{0xdc: {2, 1}, 0xdd: {4, 1}, 0xde: {2, 2}, 0xdf: {4, 2}}

// skip returns the data after its first value, which may contain values nested up to the given depth.
func skip(data []byte, depth int) ([]byte, error) {
	if len(data) == 0 || depth == 0 {
		return nil, ErrMalformed
	}
	first, rest := data[0], data[1:]
	switch {
	case first <= positiveFixIntMax, first >= negativeFixIntMin:
		return rest, nil
	case first <= fixMapMax:
		return skipAll(rest, 2*int(first&0x0f), depth)
	case first <= fixArrayMax:
		return skipAll(rest, int(first&0x0f), depth)
	case first <= fixStrMax:
		return dropBytes(rest, int(first&0x1f))
	}
	if c, is := containers[first]; is {
		n, rest, err := readLength(rest, c.length)
		if err != nil {
			return nil, err
		}
		return skipAll(rest, c.values*n, depth)
	}
	s, is := scalarSizes[first]
	if !is {
		return nil, ErrMalformed
	}
	n, rest, err := readLength(rest, s.length)
	if err != nil {
		return nil, err
	}
	return dropBytes(rest, n+s.fixed)
}

// skipAll returns the data after its first n values, which lie inside a value at the given depth.
func skipAll(data []byte, n, depth int) ([]byte, error) {
	// A value takes at least one byte.
	if n > len(data) {
		return nil, fmt.Errorf("%w: %d values stated, but only %d bytes left", ErrMalformed, n, len(data))
	}
	var err error
	for ; n > 0 && err == nil; n-- {
		data, err = skip(data, depth-1)
	}
	return data, err
}

// dropBytes returns the data after its first n bytes.
func dropBytes(data []byte, n int) ([]byte, error) {
	if n > len(data) {
		return nil, fmt.Errorf("%w: %d bytes left, %d stated", ErrMalformed, len(data), n)
	}
	return data[n:], nil
}

// readLength reads a length field of 0, 1, 2 or 4 bytes and returns the length and the rest of the
// data. A field of 0 bytes is a length of 0.
func readLength(data []byte, bytes int) (int, []byte, error) {
	if bytes > len(data) {
		return 0, nil, ErrMalformed
	}
	switch bytes {
	case 1:
		return int(data[0]), data[1:], nil
	case 2:
		return int(binary.BigEndian.Uint16(data)), data[2:], nil
	case 4:
		return int(binary.BigEndian.Uint32(data)), data[4:], nil
	default:
		return 0, data, nil
	}
}
