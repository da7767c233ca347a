package bundle

import (
	"errors"
	"fmt"
)

// ErrStep is returned for an update that does not start at the version held.
var ErrStep = errors.New("bundle: update from another version")

// Update is one release as it goes from instance to instance: the delta of the bundle and
// what the signers add. Everything else follows from the version that the receiver holds. An
// instance that holds another version asks for the whole Proof.
type Update struct {
	// Replaces is the version that must be held.
	Replaces  uint64 `json:"replaces"`
	Delta     Delta  `json:"delta"`
	Publisher Mark   `json:"publisher"`
	Approver  Mark   `json:"approver"`
	Roller    Mark   `json:"roller"`
}

// Mark is a signer's name and signature.
type Mark struct {
	Signer    string `json:"signer"`
	Signature []byte `json:"signature"`
}

// Held is a version that an instance has in force, with its proof.
type Held struct {
	Proof  Proof
	Bundle *Bundle
}

// NewUpdate returns the update between two versions, the later of which replaced the earlier.
func NewUpdate(held, next Held) (Update, error) {
	if held.Proof.IsZero() || next.Proof.Roll.Follows != held.Proof.Version() {
		return Update{}, fmt.Errorf("%w: version %d replaced %d, not %d",
			ErrStep, next.Proof.Version(), next.Proof.Roll.Follows, held.Proof.Version())
	}
	d, err := NewDelta(held.Bundle, held.Proof.Signed.Statement.Hash, next.Bundle, next.Proof.Signed.Statement.Hash)
	if err != nil {
		return Update{}, err
	}
	return Update{
		Replaces:  held.Proof.Version(),
		Delta:     d,
		Publisher: markOf(next.Proof.Signed.Statement),
		Approver:  markOf(next.Proof.Approval),
		Roller:    markOf(next.Proof.Roll),
	}, nil
}

func markOf(s Statement) Mark {
	return Mark{Signer: s.Signer, Signature: s.Signature}
}

// Apply returns the version that an update leads to, verified against the signers of the
// version held, which the caller verified before.
func (u Update) Apply(held Held, anchors []Signer) (Held, error) {
	if held.Proof.IsZero() || u.Replaces != held.Proof.Version() {
		return Held{}, fmt.Errorf("%w: from %d, %d is held", ErrStep, u.Replaces, held.Proof.Version())
	}
	b, canonical, err := u.Delta.Apply(held.Bundle, held.Proof.Signed.Statement.Hash)
	if err != nil {
		return Held{}, err
	}
	if b.Version <= held.Proof.Version() {
		return Held{}, fmt.Errorf("%w: to version %d, %d is held", ErrStep, b.Version, held.Proof.Version())
	}
	about, err := statementOf(b, u.Delta.Hash)
	if err != nil {
		return Held{}, err
	}
	signed := Signed{Canonical: canonical, Statement: u.Publisher.on(about, RolePublish, b.Follows)}
	approval := u.Approver.on(about, RoleApprove, b.Follows)
	roll := u.Roller.on(about, RoleRoll, u.Replaces)
	if err := VerifyRelease(signed.Statement, approval, roll, held.Bundle.Signers); err != nil {
		return Held{}, err
	}
	if err := b.Validate(); err != nil {
		return Held{}, err
	}
	next, err := held.Proof.Next(signed, approval, roll, held.Bundle.Signers, anchors)
	if err != nil {
		return Held{}, err
	}
	return Held{Proof: next, Bundle: b}, nil
}

func statementOf(b *Bundle, hash []byte) (Statement, error) {
	signers, err := HashSigners(b.Signers)
	if err != nil {
		return Statement{}, err
	}
	return Statement{Version: b.Version, Hash: hash, Signers: signers}, nil
}

func (m Mark) on(s Statement, role Role, follows uint64) Statement {
	s.Role = role
	s.Follows = follows
	s.Signer = m.Signer
	s.Signature = m.Signature
	return s
}
