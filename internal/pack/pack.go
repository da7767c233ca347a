// Package pack encodes values in MessagePack, without field names, and decodes them from bytes that
// may come from anyone.
package pack

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed says that the bytes are not what they must be.
var ErrMalformed = errors.New("pack: malformed")

// Encode appends a value to a buffer. Without field names a message is a third of the size, and
// bytes between domains are dear.
func Encode(out *bytes.Buffer, value any) error {
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(out)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	return e.Encode(value)
}

// Decode reads a value. Bytes that state more elements than they hold are an error: the decoder
// would take memory for all of them first, and seventeen bytes ended the process with "out of
// memory".
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

// maxDepth is how deep lists and maps may lie in one another. What is sent here is four deep.
const maxDepth = 16

// The first bytes of values, as the format's specification lists them.
const (
	fixMapMax         = 0x8f
	fixArrayMax       = 0x9f
	fixStrMax         = 0xbf
	positiveFixIntMax = 0x7f
	negativeFixIntMin = 0xe0
)

// scalarSizes holds, by first byte, how many bytes of length follow, and how many bytes besides what the
// length states.
var scalarSizes = map[byte]struct{ length, fixed int }{
	0xc0: {0, 0}, 0xc2: {0, 0}, 0xc3: {0, 0},
	0xc4: {1, 0}, 0xc5: {2, 0}, 0xc6: {4, 0}, // bytes
	0xc7: {1, 1}, 0xc8: {2, 1}, 0xc9: {4, 1}, // extensions, with their type
	0xca: {0, 4}, 0xcb: {0, 8}, // floating point
	0xcc: {0, 1}, 0xcd: {0, 2}, 0xce: {0, 4}, 0xcf: {0, 8}, // whole numbers
	0xd0: {0, 1}, 0xd1: {0, 2}, 0xd2: {0, 4}, 0xd3: {0, 8},
	0xd4: {0, 2}, 0xd5: {0, 3}, 0xd6: {0, 5}, 0xd7: {0, 9}, 0xd8: {0, 17},
	0xd9: {1, 0}, 0xda: {2, 0}, 0xdb: {4, 0}, // text
}

// containers holds, by first byte, how many bytes of length follow, and how many values an element
// has.
var containers = map[byte]struct{ length, values int }{0xdc: {2, 1}, 0xdd: {4, 1}, 0xde: {2, 2}, 0xdf: {4, 2}}

// skip returns what follows the first value of data.
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

// skipAll returns what follows a number of values.
func skipAll(data []byte, n, depth int) ([]byte, error) {
	// A value has one byte at least.
	if n > len(data) {
		return nil, fmt.Errorf("%w: %d values in %d bytes", ErrMalformed, n, len(data))
	}
	var err error
	for ; n > 0 && err == nil; n-- {
		data, err = skip(data, depth-1)
	}
	return data, err
}

// dropBytes returns what follows a number of bytes.
func dropBytes(data []byte, n int) ([]byte, error) {
	if n > len(data) {
		return nil, fmt.Errorf("%w: %d of %d bytes", ErrMalformed, len(data), n)
	}
	return data[n:], nil
}

// readLength reads a length of a number of bytes.
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
