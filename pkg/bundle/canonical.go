package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrParse is returned for data that is not a bundle in this format.
var ErrParse = errors.New("bundle: malformed")

// ErrNewerFormat is returned for a bundle in a format that this release does not know. Such a
// bundle is not malformed: a newer release may accept it.
var ErrNewerFormat = errors.New("bundle: newer format")

// Canonical returns the canonical form: JSON without white space, with members in the order of
// the struct fields, nil lists as empty lists, empty optional members omitted, and no HTML
// escapes. Equal bundles have equal canonical forms.
func (b *Bundle) Canonical() ([]byte, error) {
	return encode(b.normalized())
}

// Hash returns the SHA-256 of the canonical form of a bundle.
func Hash(canonical []byte) []byte {
	sum := sha256.Sum256(canonical)
	return sum[:]
}

// HashSigners returns the SHA-256 of the canonical form of a list of signers.
func HashSigners(signers []Signer) ([]byte, error) {
	canonical, err := encode(normalizedSigners(signers))
	if err != nil {
		return nil, err
	}
	return Hash(canonical), nil
}

// Parse parses a bundle from JSON. It returns ErrParse for unknown members and for data after
// the bundle, and ErrNewerFormat for a newer format. It does not validate the content: see
// Validate.
func Parse(data []byte) (*Bundle, error) {
	var b Bundle
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		if isNewer(data) {
			return nil, fmt.Errorf("%w: %w", ErrNewerFormat, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrParse, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: data after the bundle", ErrParse)
	}
	switch {
	case b.Format > FormatVersion:
		return nil, fmt.Errorf("%w: %d", ErrNewerFormat, b.Format)
	case b.Format < 1:
		return nil, fmt.Errorf("%w: format %d", ErrParse, b.Format)
	default:
		return &b, nil
	}
}

// isNewer reports whether data that Parse cannot decode is a bundle in a newer format. Such a
// bundle may have members that this release does not know.
func isNewer(data []byte) bool {
	var head struct {
		Format int `json:"format"`
	}
	return json.Unmarshal(data, &head) == nil && head.Format > FormatVersion
}

// normalized returns a copy of b in which nil lists of required members are empty lists.
func (b *Bundle) normalized() *Bundle {
	n := *b
	n.Signers = normalizedSigners(b.Signers)
	n.Domains = nonNil(b.Domains)
	n.Services = make([]Service, len(b.Services))
	for i, s := range b.Services {
		s.Servers = nonNil(s.Servers)
		n.Services[i] = s
	}
	return &n
}

func normalizedSigners(signers []Signer) []Signer {
	n := make([]Signer, len(signers))
	for i, s := range signers {
		s.PublicKey = nonNil(s.PublicKey)
		s.Roles = nonNil(s.Roles)
		n[i] = s
	}
	return n
}

func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// encode returns v as JSON without HTML escapes and without a final newline.
func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	e := json.NewEncoder(&buf)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, fmt.Errorf("bundle: encoding: %w", err)
	}
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n")), nil
}
