package policy

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ErrMalformedHex is returned by UnmarshalText for text that is not the hexadecimal form of an
// ID or a Fingerprint.
var ErrMalformedHex = errors.New("policy: malformed hexadecimal text")

// ID identifies a request or one of its submissions. As a request id it is a hash of the id
// that the caller chose, the service and the key, so that all submissions of one request share
// it. The hash is cryptographic: callers cannot make two ids collide.
type ID [16]byte

// HashRequestID returns the ID of a request whose caller chose the given id. The key is empty
// in a service that is not divided.
func HashRequestID(service, key, id string) ID {
	buffer := make([]byte, 0, 256)
	for _, part := range [...]string{service, key, id} {
		buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(part)))
		buffer = append(buffer, part...)
	}
	sum := sha256.Sum256(buffer)
	return ID(sum[:16])
}

// IsZero reports whether the request has no id.
func (i ID) IsZero() bool { return i == ID{} }

// MarshalText implements encoding.TextMarshaler.
func (i ID) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, i[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *ID) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(i)) {
		return fmt.Errorf("%w: %q", ErrMalformedHex, text)
	}
	if _, err := hex.Decode(i[:], text); err != nil {
		return fmt.Errorf("%w: %q", ErrMalformedHex, text)
	}
	return nil
}

// Fingerprint is a hash of the content of a request: two requests with the same service,
// method, path, key and body have the same Fingerprint, whatever their ids. Zero means that it
// was not computed.
type Fingerprint uint64

// Content is what a Fingerprint is computed from.
type Content struct {
	Service string
	Method  string
	// Path includes the query.
	Path string
	Key  string
	// Body is the body, or the beginning of a long one.
	Body []byte
	// Length is the length of the whole body in bytes, -1 if unknown.
	Length int64
}

// FingerprintOf returns the Fingerprint of a request. It is never zero.
func FingerprintOf(c Content) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	for _, part := range [...]string{c.Service, c.Method, c.Path, c.Key} {
		binary.LittleEndian.PutUint64(number[:], uint64(len(part)))
		_, _ = d.Write(number[:])
		_, _ = d.WriteString(part)
	}
	binary.LittleEndian.PutUint64(number[:], uint64(c.Length))
	_, _ = d.Write(number[:])
	_, _ = d.Write(c.Body)
	return Fingerprint(max(d.Sum64(), 1))
}

// String returns the text form: 16 hexadecimal digits.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(f))
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	var raw [8]byte
	if len(text) != hex.EncodedLen(len(raw)) {
		return fmt.Errorf("%w: %q", ErrMalformedHex, text)
	}
	if _, err := hex.Decode(raw[:], text); err != nil {
		return fmt.Errorf("%w: %q", ErrMalformedHex, text)
	}
	*f = Fingerprint(binary.BigEndian.Uint64(raw[:]))
	return nil
}
