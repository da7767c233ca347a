package policy

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ErrText is returned for text that is no Name or Print.
var ErrText = errors.New("policy: malformed hexadecimal text")

// ID stands for a request id within a service and key. All sendings of one piece of work
// have one Name. It is a hash that callers cannot make collide.
type ID [16]byte

// HashRequestID returns the Name of a request id. The key is empty in a service that is not divided.
func HashRequestID(service, key, id string) ID {
	buffer := make([]byte, 0, 256)
	for _, part := range [...]string{service, key, id} {
		buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(part)))
		buffer = append(buffer, part...)
	}
	sum := sha256.Sum256(buffer)
	return ID(sum[:16])
}

// IsZero reports whether the request has no name.
func (n ID) IsZero() bool { return n == ID{} }

// MarshalText implements encoding.TextMarshaler.
func (n ID) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, n[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *ID) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(n)) {
		return fmt.Errorf("%w: %q", ErrText, text)
	}
	if _, err := hex.Decode(n[:], text); err != nil {
		return fmt.Errorf("%w: %q", ErrText, text)
	}
	return nil
}

// Fingerprint stands for what a request asks: two requests with the same service, method, path, key
// and body have the same Print, whatever their ids. Zero means that it was not computed.
type Fingerprint uint64

// Content is what a Print is made of.
type Content struct {
	Service string
	Method  string
	// Path holds the query as well.
	Path string
	Key  string
	// Body is the body, or the first part of a long one.
	Body []byte
	// Length is that of the whole body, -1 if unknown.
	Length int64
}

// FingerprintOf returns the Print of a request.
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
func (p Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(p))
}

// MarshalText implements encoding.TextMarshaler.
func (p Fingerprint) MarshalText() ([]byte, error) {
	return []byte(p.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Fingerprint) UnmarshalText(text []byte) error {
	var raw [8]byte
	if len(text) != hex.EncodedLen(len(raw)) {
		return fmt.Errorf("%w: %q", ErrText, text)
	}
	if _, err := hex.Decode(raw[:], text); err != nil {
		return fmt.Errorf("%w: %q", ErrText, text)
	}
	*p = Fingerprint(binary.BigEndian.Uint64(raw[:]))
	return nil
}
