package bundle

import (
	"bytes"
	"errors"
	"fmt"
)

// MaxChain is the largest number of links in the chain of a proof. Older links are dropped: an
// instance whose trust anchors are older than the chain needs newer ones in its settings.
const MaxChain = 64

// Errors returned by the verification of proofs.
var (
	// ErrChain is returned for a chain that is too long or whose links do not follow each other.
	ErrChain = errors.New("bundle: broken chain of signers")
	// ErrFork is returned for a proof whose history does not continue that of the proof held.
	ErrFork = errors.New("bundle: proof does not continue the known history")
)

// Proof proves that a bundle is in force. It has the release of the bundle and the chain of the
// earlier releases that changed the signers. Whoever knows the trust anchors, or any later set
// of signers in the chain, can verify it without the log and without trust in the peer that
// sends it.
type Proof struct {
	// Chain holds the earlier releases that changed the signers, oldest first.
	Chain    []Link    `json:"chain,omitempty"`
	Signed   Signed    `json:"signed"`
	Approval Statement `json:"approval"`
	Roll     Statement `json:"roll"`
}

// Link is a release that changed the signers: its statements, and of its bundle only the
// signers.
type Link struct {
	Signers   []Signer  `json:"signers"`
	Published Statement `json:"published"`
	Approval  Statement `json:"approval"`
	Roll      Statement `json:"roll"`
}

// IsZero reports whether the proof is empty.
func (p Proof) IsZero() bool {
	return p.Version() == 0
}

// Version returns the version of the bundle that the proof is about, or zero.
func (p Proof) Version() uint64 {
	return p.Signed.Statement.Version
}

// Verify checks the proof against trust anchors and returns the bundle. If the anchors are the
// signers of a link of the chain, only signatures after that link are checked.
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

// verifyChain checks the chain and returns the signers that the release of the proof must be
// signed by.
func (p Proof) verifyChain(anchors []Signer) ([]Signer, error) {
	if len(p.Chain) > MaxChain {
		return nil, fmt.Errorf("%w: %d links, want at most %d", ErrChain, len(p.Chain), MaxChain)
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

// verify checks the statements of the link against the signers of the version that it replaces.
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

// checkOrder checks that each release replaces a lower version, and that this version is not
// lower than that of the link before. It may be higher: releases in between that did not change
// the signers are not in the chain.
func (p Proof) checkOrder() error {
	var previous uint64
	for _, l := range p.releases() {
		if l.Roll.Follows < previous || l.Published.Version <= l.Roll.Follows {
			return fmt.Errorf("%w: version %d replaces version %d after version %d", ErrChain, l.Published.Version, l.Roll.Follows, previous)
		}
		previous = l.Published.Version
	}
	return nil
}

// releases returns the chain followed by the release of the proof, which has no Signers.
func (p Proof) releases() []Link {
	last := Link{Published: p.Signed.Statement, Approval: p.Approval, Roll: p.Roll}
	return append(p.Chain[:len(p.Chain):len(p.Chain)], last)
}

// Next returns the proof of the release that replaces the one of p. Signers are those of the
// bundle of p. Anchors are used only if the chain of p is empty; they are then the signers that
// its release was verified against.
func (p Proof) Next(signed Signed, approval, roll Statement, signers, anchors []Signer) (Proof, error) {
	next := Proof{Chain: p.Chain, Signed: signed, Approval: approval, Roll: roll}
	if p.IsZero() {
		return next, nil
	}
	verifiedBy := anchors
	if n := len(p.Chain); n > 0 {
		verifiedBy = p.Chain[n-1].Signers
	}
	before, err := HashSigners(verifiedBy)
	if err != nil {
		return Proof{}, err
	}
	if bytes.Equal(before, p.Signed.Statement.Signers) {
		return next, nil
	}
	link := Link{Signers: normalizedSigners(signers), Published: p.Signed.Statement, Approval: p.Approval, Roll: p.Roll}
	next.Chain = append(p.Chain[:len(p.Chain):len(p.Chain)], link)
	if extra := len(next.Chain) - MaxChain; extra > 0 {
		next.Chain = next.Chain[extra:]
	}
	return next, nil
}

// Extends returns ErrFork unless the history of p continues that of held, a proof that was
// verified before.
//
// It protects against revoked keys, whose holders can still sign a release that replaces a
// version from before the revocation. Such a release replaces a version older than the held
// one, or its chain has other signers at the held version.
func (p Proof) Extends(held Proof, anchors []Signer) error {
	if held.IsZero() {
		return nil
	}
	if p.Version() < held.Version() {
		return fmt.Errorf("%w: version %d is older than version %d in force", ErrFork, p.Version(), held.Version())
	}
	if p.Version() == held.Version() && !p.Signed.Statement.SameBundle(held.Signed.Statement) {
		return fmt.Errorf("%w: another bundle with version %d", ErrFork, p.Version())
	}
	return p.continues(held, anchors)
}

// continues checks that no release of p after the held version replaces an older version than
// the held one, and that the signers at the held version are the same.
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
			return fmt.Errorf("%w: version %d replaces version %d, but version %d was in force",
				ErrFork, l.Published.Version, l.Roll.Follows, held.Version())
		}
	}
	if !bytes.Equal(signers, held.Signed.Statement.Signers) {
		return fmt.Errorf("%w: other signers at version %d", ErrFork, held.Version())
	}
	return nil
}
