package bundle

import (
	"bytes"
	"errors"
	"fmt"
)

// MaxChain is the number of changes of signers that a proof carries. An instance whose trust
// anchors are older than that needs newer ones in its settings.
const MaxChain = 64

// Errors of proofs.
var (
	// ErrChain is returned for a chain of signers whose parts do not follow each other.
	ErrChain = errors.New("bundle: broken chain of signers")
	// ErrFork is returned for a proof whose history contradicts that of the holder.
	ErrFork = errors.New("bundle: proof of another history")
)

// Proof shows, to whoever knows the trust anchors or any later set of signers, that a bundle
// is in force: the release of the bundle, and the chain of releases that changed the signers
// before it. It needs no log and no trust in the peer that hands it over.
type Proof struct {
	// Chain holds the releases before this one that changed the signers, oldest first.
	Chain    []Link    `json:"chain,omitempty"`
	Signed   Signed    `json:"signed"`
	Approval Statement `json:"approval"`
	Roll     Statement `json:"roll"`
}

// Link is one release that changed the signers, without the rest of its bundle.
type Link struct {
	Signers   []Signer  `json:"signers"`
	Published Statement `json:"published"`
	Approval  Statement `json:"approval"`
	Roll      Statement `json:"roll"`
}

// IsZero reports whether the proof proves nothing.
func (p Proof) IsZero() bool {
	return p.Version() == 0
}

// Version is the version that the proof is about.
func (p Proof) Version() uint64 {
	return p.Signed.Statement.Version
}

// Verify checks the proof against trust anchors and returns the bundle. The anchors may also
// be the signers of a later link of the chain, which then starts there.
func (p Proof) Verify(anchors []Signer) (*Bundle, error) {
	signers, err := p.verifyChain(anchors)
	if err != nil {
		return nil, err
	}
	b, err := p.Signed.Open()
	if err != nil {
		return nil, err
	}
	if err := VerifyRelease(p.Signed.Statement, p.Approval, p.Roll, signers); err != nil {
		return nil, err
	}
	if err := p.checkOrder(); err != nil {
		return nil, err
	}
	return b, nil
}

// verifyChain returns the signers who judge the release of the proof.
func (p Proof) verifyChain(anchors []Signer) ([]Signer, error) {
	if len(p.Chain) > MaxChain {
		return nil, fmt.Errorf("%w: %d links, at most %d", ErrChain, len(p.Chain), MaxChain)
	}
	anchor, err := HashSigners(anchors)
	if err != nil {
		return nil, err
	}
	start := 0
	for i, l := range p.Chain {
		if bytes.Equal(l.Published.Signers, anchor) {
			start = i + 1
		}
	}
	signers := anchors
	for _, l := range p.Chain[start:] {
		if err := l.verify(signers); err != nil {
			return nil, fmt.Errorf("%w: version %d: %w", ErrChain, l.Published.Version, err)
		}
		signers = l.Signers
	}
	return signers, nil
}

func (l Link) verify(signers []Signer) error {
	hash, err := HashSigners(l.Signers)
	if err != nil {
		return err
	}
	if !bytes.Equal(hash, l.Published.Signers) {
		return ErrHash
	}
	return VerifyRelease(l.Published, l.Approval, l.Roll, signers)
}

// checkOrder checks that each release replaced a version which its predecessor in the chain
// had brought or preceded.
func (p Proof) checkOrder() error {
	var before uint64
	for _, l := range p.releases() {
		if l.Roll.Follows < before || l.Published.Version <= l.Roll.Follows {
			return fmt.Errorf("%w: version %d replaces %d after %d", ErrChain, l.Published.Version, l.Roll.Follows, before)
		}
		before = l.Published.Version
	}
	return nil
}

// releases returns the chain and the release of the proof, without signers.
func (p Proof) releases() []Link {
	last := Link{Published: p.Signed.Statement, Approval: p.Approval, Roll: p.Roll}
	return append(p.Chain[:len(p.Chain):len(p.Chain)], last)
}

// Next returns the proof of the release that replaces that of p. Signers are those that p's
// bundle names and judges those that judged it: trust anchors if its chain is empty.
func (p Proof) Next(signed Signed, approval, roll Statement, signers, anchors []Signer) (Proof, error) {
	next := Proof{Chain: p.Chain, Signed: signed, Approval: approval, Roll: roll}
	if p.IsZero() {
		return next, nil
	}
	judges := anchors
	if n := len(p.Chain); n > 0 {
		judges = p.Chain[n-1].Signers
	}
	before, err := HashSigners(judges)
	if err != nil {
		return Proof{}, err
	}
	if bytes.Equal(before, p.Signed.Statement.Signers) {
		return next, nil
	}
	link := Link{Signers: normalSigners(signers), Published: p.Signed.Statement, Approval: p.Approval, Roll: p.Roll}
	next.Chain = append(p.Chain[:len(p.Chain):len(p.Chain)], link)
	if extra := len(next.Chain) - MaxChain; extra > 0 {
		next.Chain = next.Chain[extra:]
	}
	return next, nil
}

// Extends returns an error unless the history of p continues that of a proof held before.
//
// It guards against keys that were revoked: together they could still sign a release that
// replaces a version from before their revocation. Such a release replaces a version older
// than the one held, or comes from a history whose signers at the held version are others.
func (p Proof) Extends(held Proof, anchors []Signer) error {
	if held.IsZero() {
		return nil
	}
	if p.Version() < held.Version() {
		return fmt.Errorf("%w: version %d is older than %d", ErrFork, p.Version(), held.Version())
	}
	if p.Version() == held.Version() && !p.Signed.Statement.SameBundle(held.Signed.Statement) {
		return fmt.Errorf("%w: another version %d", ErrFork, p.Version())
	}
	return p.continues(held, anchors)
}

func (p Proof) continues(held Proof, anchors []Signer) error {
	signers, err := HashSigners(anchors)
	if err != nil {
		return err
	}
	for _, l := range p.releases() {
		if l.Published.Version <= held.Version() {
			signers = l.Published.Signers
			continue
		}
		if l.Roll.Follows < held.Version() {
			return fmt.Errorf("%w: version %d replaces %d, but %d was in force",
				ErrFork, l.Published.Version, l.Roll.Follows, held.Version())
		}
	}
	if !bytes.Equal(signers, held.Signed.Statement.Signers) {
		return fmt.Errorf("%w: other signers at version %d", ErrFork, held.Version())
	}
	return nil
}
