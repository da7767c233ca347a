package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrParse is returned for bytes that are not a bundle of this format.
var ErrParse = errors.New("bundle: malformed")

// ErrNewerFormat is returned for a bundle of a format that this release does not know. It
// is not malformed: a newer release may read it.
var ErrNewerFormat = errors.New("bundle: newer format")

// Canonical returns the canonical form: JSON without white space, members in the order of
// the fields of Bundle, absent lists as empty ones, optional members that are empty left
// out, and no escapes beyond those which JSON demands. Equal bundles have equal forms.
func (b *Bundle) Canonical() ([]byte, error) {
	return encode(b.normal())
}

// Hash returns the SHA-256 of a canonical form.
func Hash(canonical []byte) []byte {
	sum := sha256.Sum256(canonical)
	return sum[:]
}

// HashSigners returns the SHA-256 of the canonical form of a list of signers.
func HashSigners(signers []Signer) ([]byte, error) {
	canonical, err := encode(normalSigners(signers))
	if err != nil {
		return nil, err
	}
	return Hash(canonical), nil
}

// Parse parses a bundle. Unknown members, repeated documents and other formats are refused.
// It does not check that the parts agree with each other: see Validate.
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
		return nil, fmt.Errorf("%w: text after the bundle", ErrParse)
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

// isNewer reports whether bytes that do not parse are JSON of a newer format, whose members
// this release does not know.
func isNewer(data []byte) bool {
	var head struct {
		Format int `json:"format"`
	}
	return json.Unmarshal(data, &head) == nil && head.Format > FormatVersion
}

// normal returns a copy of b in which absent lists are empty.
func (b *Bundle) normal() *Bundle {
	n := *b
	n.Signers = normalSigners(b.Signers)
	n.Domains = present(b.Domains)
	n.Services = make([]Service, len(b.Services))
	for i, s := range b.Services {
		s.Servers = present(s.Servers)
		n.Services[i] = s
	}
	return &n
}

func normalSigners(signers []Signer) []Signer {
	n := make([]Signer, len(signers))
	for i, s := range signers {
		s.PublicKey = present(s.PublicKey)
		s.Roles = present(s.Roles)
		n[i] = s
	}
	return n
}

func present[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	e := json.NewEncoder(&buf)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, fmt.Errorf("bundle: encoding: %w", err)
	}
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n")), nil
}
