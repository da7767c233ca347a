package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
)

// Errors of signing and verifying.
var (
	// ErrSigner is returned for a signer that is unknown, revoked or lacks the role.
	ErrSigner = errors.New("bundle: signer may not do this")
	// ErrSignature is returned for a signature that does not fit the statement.
	ErrSignature = errors.New("bundle: signature does not verify")
	// ErrHash is returned when a statement is not about the bundle that it comes with.
	ErrHash = errors.New("bundle: statement is about another bundle")
	// ErrSameSigner is returned when the publisher approves its own bundle.
	ErrSameSigner = errors.New("bundle: publisher and approver are the same")
	// ErrCanonical is returned when the signed form is not the canonical one.
	ErrCanonical = errors.New("bundle: not in canonical form")
)

// statementDomain separates the signed text from whatever else a key may sign.
const statementDomain = "mustardring bundle statement v1"

// Text returns the text that is signed: a line that names the purpose, then one line for
// each field. Names are quoted, so that no two statements have one text.
func (s Statement) Text() []byte {
	return fmt.Appendf(nil, "%s\nrole %q\nversion %d\nfollows %d\nhash %x\nsigners %x\nsigner %q\n",
		statementDomain, s.Role, s.Version, s.Follows, s.Hash, s.Signers, s.Signer)
}

// ID returns the ID of the append of the record that carries the statement. It is the same
// each time the same signer makes the same statement, so a repeated append is recognised.
func (s Statement) ID() string {
	sum := sha256.Sum256(s.Text())
	return "bundle-" + string(s.Role) + "-" + hex.EncodeToString(sum[:16])
}

func (s Statement) sign(key ed25519.PrivateKey) Statement {
	s.Signature = ed25519.Sign(key, s.Text())
	return s
}

// Publish validates a bundle and signs it as its publisher.
func Publish(b *Bundle, signer string, key ed25519.PrivateKey) (Signed, error) {
	if err := checkKey(key); err != nil {
		return Signed{}, err
	}
	if err := b.Validate(); err != nil {
		return Signed{}, err
	}
	canonical, err := b.Canonical()
	if err != nil {
		return Signed{}, err
	}
	signers, err := HashSigners(b.Signers)
	if err != nil {
		return Signed{}, err
	}
	statement := Statement{
		Role:    RolePublish,
		Version: b.Version,
		Follows: b.Follows,
		Hash:    Hash(canonical),
		Signers: signers,
		Signer:  signer,
	}
	return Signed{Canonical: canonical, Statement: statement.sign(key)}, nil
}

// Approve signs the approval of a published bundle. The approver has another name and
// another key than the publisher; the name is checked here, the key where signers are known.
func Approve(published Statement, signer string, key ed25519.PrivateKey) (Statement, error) {
	if err := checkKey(key); err != nil {
		return Statement{}, err
	}
	if published.Signer == signer {
		return Statement{}, fmt.Errorf("%w: %s", ErrSameSigner, signer)
	}
	s := published
	s.Role = RoleApprove
	s.Signer = signer
	return s.sign(key), nil
}

// Roll signs the roll of a published bundle in place of the version in force, which is zero
// when there is none.
func Roll(published Statement, inForce uint64, signer string, key ed25519.PrivateKey) (Statement, error) {
	if err := checkKey(key); err != nil {
		return Statement{}, err
	}
	s := published
	s.Role = RoleRoll
	s.Follows = inForce
	s.Signer = signer
	return s.sign(key), nil
}

func checkKey(key ed25519.PrivateKey) error {
	if len(key) != ed25519.PrivateKeySize {
		return fmt.Errorf("%w: private key of %d bytes", ErrSigner, len(key))
	}
	return nil
}

// Verify checks that a statement was signed, in its role, by one of the signers that is not
// revoked. It returns that signer.
func (s Statement) Verify(signers []Signer) (Signer, error) {
	i := slices.IndexFunc(signers, func(g Signer) bool { return g.Name == s.Signer })
	if i < 0 {
		return Signer{}, fmt.Errorf("%w: %q is not a signer", ErrSigner, s.Signer)
	}
	signer := signers[i]
	if signer.Revoked {
		return Signer{}, fmt.Errorf("%w: %q is revoked", ErrSigner, s.Signer)
	}
	if !slices.Contains(signer.Roles, s.Role) {
		return Signer{}, fmt.Errorf("%w: %q has no role %q", ErrSigner, s.Signer, s.Role)
	}
	if len(signer.PublicKey) != ed25519.PublicKeySize {
		return Signer{}, fmt.Errorf("%w: %q has a public key of %d bytes", ErrSigner, s.Signer, len(signer.PublicKey))
	}
	if !ed25519.Verify(signer.PublicKey, s.Text(), s.Signature) {
		return Signer{}, fmt.Errorf("%w: by %q", ErrSignature, s.Signer)
	}
	return signer, nil
}

// SameBundle reports whether two statements are about the same bundle. It does not compare
// what they follow.
func (s Statement) SameBundle(o Statement) bool {
	return s.Version == o.Version && bytes.Equal(s.Hash, o.Hash) && bytes.Equal(s.Signers, o.Signers)
}

// Open parses the bundle and checks that it is valid, in canonical form, and what the
// publisher's statement is about. It does not verify the signature: see Statement.Verify.
func (s Signed) Open() (*Bundle, error) {
	b, err := Parse(s.Canonical)
	if err != nil {
		return nil, err
	}
	if err := b.Validate(); err != nil {
		return nil, err
	}
	canonical, err := b.Canonical()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(canonical, s.Canonical) {
		return nil, ErrCanonical
	}
	if !bytes.Equal(Hash(canonical), s.Statement.Hash) {
		return nil, ErrHash
	}
	if err := s.Statement.checkPublished(b); err != nil {
		return nil, err
	}
	return b, nil
}

// checkPublished checks what a publisher's statement says of a bundle, but for the hash.
func (s Statement) checkPublished(b *Bundle) error {
	signers, err := HashSigners(b.Signers)
	if err != nil {
		return err
	}
	if s.Role != RolePublish || s.Version != b.Version || s.Follows != b.Follows || !bytes.Equal(s.Signers, signers) {
		return ErrHash
	}
	return nil
}

// VerifyRelease checks the three statements that put a version in force against the signers
// of the version which it replaces.
func VerifyRelease(published, approval, roll Statement, signers []Signer) error {
	if published.Role != RolePublish || approval.Role != RoleApprove || roll.Role != RoleRoll {
		return fmt.Errorf("%w: roles %q, %q, %q", ErrSigner, published.Role, approval.Role, roll.Role)
	}
	if !published.SameBundle(approval) || published.Follows != approval.Follows || !published.SameBundle(roll) {
		return ErrHash
	}
	publisher, err := published.Verify(signers)
	if err != nil {
		return err
	}
	approver, err := approval.Verify(signers)
	if err != nil {
		return err
	}
	if _, err := roll.Verify(signers); err != nil {
		return err
	}
	return Distinct(publisher, approver)
}

// Distinct returns an error if publisher and approver share a name or a key: whoever holds
// one key must not be able to put a bundle in force alone.
func Distinct(publisher, approver Signer) error {
	if publisher.Name == approver.Name || bytes.Equal(publisher.PublicKey, approver.PublicKey) {
		return fmt.Errorf("%w: %q and %q", ErrSameSigner, publisher.Name, approver.Name)
	}
	return nil
}
