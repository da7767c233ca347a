package bundle

import (
	"errors"
	"fmt"
)

// ErrStep is returned for an update that does not start at the held version or does not lead to
// a higher one.
var ErrStep = errors.New("bundle: update does not follow the held version")

// Update is one release as instances send it to each other: the delta of the bundle, and the
// names and signatures of the signers. The receiver computes everything else from the version
// that it holds. An instance that holds another version needs the whole Proof.
type Update struct {
	// Replaces is the version that the receiver must hold.
	Replaces  uint64 `json:"replaces"`
	Delta     Delta  `json:"delta"`
	Publisher Mark   `json:"publisher"`
	Approver  Mark   `json:"approver"`
	Roller    Mark   `json:"roller"`
}

// Mark is the name of a signer and the signature of its statement.
type Mark struct {
	Signer    string `json:"signer"`
	Signature []byte `json:"signature"`
}

// Held is the version that an instance has in force, with its verified proof.
type Held struct {
	Proof  Proof
	Bundle *Bundle
}

// NewUpdate returns the update from held to next. It returns ErrStep unless next is the release
// that replaced held.
func NewUpdate(held, next Held) (Update, error) {
	if held.Proof.IsZero() || next.Proof.Roll.Follows != held.Proof.Version() {
		return Update{}, fmt.Errorf("%w: version %d replaces version %d, not version %d",
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

// Apply returns the version that results from the update. It verifies the release against the
// signers of held, which the caller has verified before. For anchors see Proof.Next.
func (u Update) Apply(held Held, anchors []Signer) (Held, error) {
	if held.Proof.IsZero() || u.Replaces != held.Proof.Version() {
		return Held{}, fmt.Errorf("%w: update from version %d, held version is %d", ErrStep, u.Replaces, held.Proof.Version())
	}
	b, canonical, err := u.Delta.Apply(held.Bundle, held.Proof.Signed.Statement.Hash)
	if err != nil {
		return Held{}, err
	}
	if b.Version <= held.Proof.Version() {
		return Held{}, fmt.Errorf("%w: update to version %d, held version is %d", ErrStep, b.Version, held.Proof.Version())
	}
	unsigned, err := unsignedStatement(b, u.Delta.Hash)
	if err != nil {
		return Held{}, err
	}
	signed := Signed{Canonical: canonical, Statement: u.Publisher.complete(unsigned, RolePublish, b.Follows)}
	approval := u.Approver.complete(unsigned, RoleApprove, b.Follows)
	roll := u.Roller.complete(unsigned, RoleRoll, u.Replaces)
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

// unsignedStatement returns what all statements about a bundle have in common.
func unsignedStatement(b *Bundle, hash []byte) (Statement, error) {
	signers, err := HashSigners(b.Signers)
	if err != nil {
		return Statement{}, err
	}
	return Statement{Version: b.Version, Hash: hash, Signers: signers}, nil
}

// complete returns s as the statement in a role that the signer of the mark signed.
func (m Mark) complete(s Statement, role Role, follows uint64) Statement {
	s.Role = role
	s.Follows = follows
	s.Signer = m.Signer
	s.Signature = m.Signature
	return s
}
