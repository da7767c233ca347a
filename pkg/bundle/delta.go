package bundle

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
)

// Errors of deltas.
var (
	// ErrBase is returned for a delta from another bundle than the one at hand.
	ErrBase = errors.New("bundle: delta from another bundle")
	// ErrDelta is returned for a delta that does not lead to the bundle which it names.
	ErrDelta = errors.New("bundle: malformed delta")
)

// maxServers bounds the servers of one service that a delta may lead to.
const maxServers = 1 << 20

// Delta leads from one bundle to another. Servers, which are many, are edited as parsed
// values; the rest, which is small, as text. The result is checked by the hash of its whole
// canonical form, so a wrong delta is noticed, never applied.
type Delta struct {
	BaseHash []byte `json:"base-hash"`
	Hash     []byte `json:"hash"`
	// Frame edits the canonical form of the bundle without its servers.
	Frame []TextEdit `json:"frame"`
	// Servers edits the servers of the services of the frame, in their order. A service that
	// is left out at the end, or has no edits, keeps its servers.
	Servers []ServerEdits `json:"servers,omitempty"`
}

// TextEdit copies Count bytes of the base from From on, and then appends Text.
type TextEdit struct {
	From  int    `json:"from,omitempty"`
	Count int    `json:"count,omitempty"`
	Text  string `json:"text,omitempty"`
}

// ServerEdits edits the servers of one service. Without edits the service keeps those that
// the service of the same name has in the base.
type ServerEdits struct {
	Changed bool         `json:"changed,omitempty"`
	Edits   []ServerEdit `json:"edits,omitempty"`
}

// ServerEdit copies Count servers of the base from From on, and then appends Servers.
type ServerEdit struct {
	From    int      `json:"from,omitempty"`
	Count   int      `json:"count,omitempty"`
	Servers []Server `json:"servers,omitempty"`
}

// NewDelta returns the delta between two bundles, given with the hashes of their forms.
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

// Apply returns the bundle that the delta leads to and its canonical form. The base must be
// one whose hash was checked before. It is not changed, but the result shares parts with it.
func (d Delta) Apply(base *Bundle, baseHash []byte) (*Bundle, []byte, error) {
	if !bytes.Equal(d.BaseHash, baseHash) {
		return nil, nil, fmt.Errorf("%w: from %.4x, at hand is %.4x", ErrBase, d.BaseHash, baseHash)
	}
	next, err := d.applyFrame(base)
	if err != nil {
		return nil, nil, err
	}
	if len(d.Servers) > len(next.Services) {
		return nil, nil, fmt.Errorf("%w: servers of %d services, there are %d", ErrDelta, len(d.Servers), len(next.Services))
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
		return nil, nil, fmt.Errorf("%w: the result has another hash than %.4x", ErrDelta, d.Hash)
	}
	return next, canonical, nil
}

// Open returns the bundle that the delta leads to, signed by its publisher's statement, after
// the checks of Signed.Open.
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

// serverEdits finds runs of servers that both lists have. A server is found again by name.
func serverEdits(base, next []Server) ServerEdits {
	if slices.Equal(base, next) {
		return ServerEdits{}
	}
	places := make(map[string]int, len(base))
	for i := range base {
		places[base[i].Name] = i
	}
	var edits []ServerEdit
	var run ServerEdit
	for _, v := range next {
		place, known := places[v.Name]
		switch {
		case !known || base[place] != v:
			run.Servers = append(run.Servers, v)
		case run.Servers == nil && run.Count > 0 && run.From+run.Count == place:
			run.Count++
		default:
			edits = appendServerEdit(edits, run)
			run = ServerEdit{From: place, Count: 1}
		}
	}
	return ServerEdits{Changed: true, Edits: appendServerEdit(edits, run)}
}

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
			return nil, fmt.Errorf("%w: edit %d copies %d servers from %d of %d", ErrDelta, i, e.Count, e.From, len(base))
		}
		if len(next)+e.Count+len(e.Servers) > maxServers {
			return nil, fmt.Errorf("%w: more than %d servers", ErrDelta, maxServers)
		}
		next = append(next, base[e.From:e.From+e.Count]...)
		next = append(next, e.Servers...)
	}
	return next, nil
}
