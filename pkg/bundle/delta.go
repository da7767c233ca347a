package bundle

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
)

// Errors returned when a delta is applied.
var (
	// ErrBase is returned if the delta was made from another base.
	ErrBase = errors.New("bundle: delta from another bundle")
	// ErrDelta is returned if the edits are out of bounds or the result has another hash than
	// Delta.Hash.
	ErrDelta = errors.New("bundle: malformed delta")
)

// maxServers is the largest number of servers of one service in the result of a delta.
const maxServers = 1 << 20

// Delta is the difference between two bundles, the base and the result. Servers, of which there
// are many, are edited as parsed values. The rest, called the frame, is small and is edited as
// text. The hash of the whole canonical form of the result is checked, so a wrong delta is never
// applied.
type Delta struct {
	// BaseHash is the hash of the canonical form of the base.
	BaseHash []byte `json:"base-hash"`
	// Hash is the hash of the canonical form of the result.
	Hash []byte `json:"hash"`
	// Frame edits the canonical form of the bundle without its servers.
	Frame []TextEdit `json:"frame"`
	// Servers edits the servers of the services in the resulting frame, in the same order. A
	// service without an element here keeps its servers.
	Servers []ServerEdits `json:"servers,omitempty"`
}

// TextEdit copies Count bytes of the base, beginning at the offset From, and then appends Text.
type TextEdit struct {
	From  int    `json:"from,omitempty"`
	Count int    `json:"count,omitempty"`
	Text  string `json:"text,omitempty"`
}

// ServerEdits edits the servers of one service. The base of the edits is the service with the
// same name, or an empty list if there is none.
type ServerEdits struct {
	// Changed is false if the service keeps its servers. Edits are then ignored.
	Changed bool         `json:"changed,omitempty"`
	Edits   []ServerEdit `json:"edits,omitempty"`
}

// ServerEdit copies Count servers of the base, beginning at the index From, and then appends
// Servers.
type ServerEdit struct {
	From    int      `json:"from,omitempty"`
	Count   int      `json:"count,omitempty"`
	Servers []Server `json:"servers,omitempty"`
}

// NewDelta returns the delta from base to next. The hashes are those of their canonical forms.
func NewDelta(base *Bundle, baseHash []byte, next *Bundle, hash []byte) (Delta, error) {
	before, err := base.frame().Canonical()
	if err != nil {
		return Delta{}, err
	}
	after, err := next.frame().Canonical()
	if err != nil {
		return Delta{}, err
	}
	d := Delta{BaseHash: baseHash, Hash: hash, Frame: textEdits(before, after)}
	for i := range next.Services {
		d.Servers = append(d.Servers, serverEdits(base.serversOf(next.Services[i].Name), next.Services[i].Servers))
	}
	return d, nil
}

// Apply returns the resulting bundle and its canonical form. The caller must have checked that
// baseHash is the hash of base. Base is not changed, but the result shares memory with it.
func (d Delta) Apply(base *Bundle, baseHash []byte) (*Bundle, []byte, error) {
	if !bytes.Equal(d.BaseHash, baseHash) {
		return nil, nil, fmt.Errorf("%w: base hash is %.4x, want %.4x", ErrBase, d.BaseHash, baseHash)
	}
	next, err := d.applyFrame(base)
	if err != nil {
		return nil, nil, err
	}
	if len(d.Servers) > len(next.Services) {
		return nil, nil, fmt.Errorf("%w: server edits for %d services, the bundle has %d", ErrDelta, len(d.Servers), len(next.Services))
	}
	for i := range next.Services {
		s := &next.Services[i]
		var edits ServerEdits
		if i < len(d.Servers) {
			edits = d.Servers[i]
		}
		if s.Servers, err = edits.apply(base.serversOf(s.Name)); err != nil {
			return nil, nil, err
		}
	}
	canonical, err := next.Canonical()
	if err != nil {
		return nil, nil, err
	}
	if !bytes.Equal(Hash(canonical), d.Hash) {
		return nil, nil, fmt.Errorf("%w: hash of the result is not %.4x", ErrDelta, d.Hash)
	}
	return next, canonical, nil
}

// Open applies the delta and returns the resulting bundle, with the publisher's statement and
// without. It makes the same checks as Signed.Open.
func (d Delta) Open(base *Bundle, baseHash []byte, published Statement) (Signed, *Bundle, error) {
	if !bytes.Equal(published.Hash, d.Hash) {
		return Signed{}, nil, ErrHash
	}
	b, canonical, err := d.Apply(base, baseHash)
	if err != nil {
		return Signed{}, nil, err
	}
	if err := b.Validate(); err != nil {
		return Signed{}, nil, err
	}
	if err := published.checkPublished(b); err != nil {
		return Signed{}, nil, err
	}
	return Signed{Canonical: canonical, Statement: published}, b, nil
}

// applyFrame returns the resulting bundle without its servers.
func (d Delta) applyFrame(base *Bundle) (*Bundle, error) {
	before, err := base.frame().Canonical()
	if err != nil {
		return nil, err
	}
	after, err := applyText(before, d.Frame)
	if err != nil {
		return nil, err
	}
	return Parse(after)
}

// frame returns a copy of b without servers.
func (b *Bundle) frame() *Bundle {
	f := *b
	f.Services = slices.Clone(b.Services)
	for i := range f.Services {
		f.Services[i].Servers = nil
	}
	return &f
}

func (b *Bundle) serversOf(service string) []Server {
	s := b.Service(service)
	if s == nil {
		return nil
	}
	return s.Servers
}

// serverEdits returns the edits from base to next. Runs of unchanged servers, which are found by
// their names, are copied.
func serverEdits(base, next []Server) ServerEdits {
	if slices.Equal(base, next) {
		return ServerEdits{}
	}
	positions := make(map[string]int, len(base))
	for i := range base {
		positions[base[i].Name] = i
	}
	var edits []ServerEdit
	var run ServerEdit
	for _, v := range next {
		position, known := positions[v.Name]
		switch {
		case !known || base[position] != v:
			run.Servers = append(run.Servers, v)
		case run.Servers == nil && run.Count > 0 && run.From+run.Count == position:
			run.Count++
		default:
			edits = appendServerEdit(edits, run)
			run = ServerEdit{From: position, Count: 1}
		}
	}
	return ServerEdits{Changed: true, Edits: appendServerEdit(edits, run)}
}

// appendServerEdit appends an edit unless it is empty.
func appendServerEdit(list []ServerEdit, e ServerEdit) []ServerEdit {
	if e.Count == 0 && len(e.Servers) == 0 {
		return list
	}
	return append(list, e)
}

func (s ServerEdits) apply(base []Server) ([]Server, error) {
	if !s.Changed {
		return base, nil
	}
	next := make([]Server, 0, len(base))
	for i, e := range s.Edits {
		if e.From < 0 || e.Count < 0 || e.From > len(base) || e.Count > len(base)-e.From {
			return nil, fmt.Errorf("%w: edit %d copies %d servers from index %d, the base has %d", ErrDelta, i, e.Count, e.From, len(base))
		}
		if len(next)+e.Count+len(e.Servers) > maxServers {
			return nil, fmt.Errorf("%w: the result has more than %d servers", ErrDelta, maxServers)
		}
		next = append(next, base[e.From:e.From+e.Count]...)
		next = append(next, e.Servers...)
	}
	return next, nil
}
