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

// Errors returned by signing and verifying.
var (
	// ErrSigner is returned for a signer that is unknown, revoked or lacks the role.
	ErrSigner = errors.New("bundle: signer is not allowed to sign this")
	// ErrSignature is returned for a signature that does not match the statement and the key.
	ErrSignature = errors.New("bundle: signature does not verify")
	// ErrHash is returned if a statement does not match the bundle or the other statements that
	// it is checked with.
	ErrHash = errors.New("bundle: statement is about another bundle")
	// ErrSameSigner is returned if the publisher approves its own bundle.
	ErrSameSigner = errors.New("bundle: publisher and approver are the same")
	// ErrCanonical is returned if the signed bytes are not the canonical form of the bundle.
	ErrCanonical = errors.New("bundle: not in canonical form")
)

// statementDomain begins each signed text, so that a signature cannot be used for anything else
// that the key signs.
const statementDomain = "mustardring bundle statement v1"

// Text returns the text that is signed: a line with the purpose, then one line for each field.
// Strings are quoted, so that different statements have different texts.
func (s Statement) Text() []byte {
	return fmt.Appendf(nil, "%s\nrole %q\nversion %d\nfollows %d\nhash %x\nsigners %x\nsigner %q\n",
		statementDomain, s.Role, s.Version, s.Follows, s.Hash, s.Signers, s.Signer)
}

// ID returns the id under which the record with the statement is appended to the log. It depends
// only on the signed text, so that the readers of the log recognize a repeated append of the same
// statement.
func (s Statement) ID() string {
	sum := sha256.Sum256(s.Text())
	return "bundle-" + string(s.Role) + "-" + hex.EncodeToString(sum[:16])
}

// sign returns the statement with the signature of the key.
func (s Statement) sign(key ed25519.PrivateKey) Statement {
	s.Signature = ed25519.Sign(key, s.Text())
	return s
}

// Publish validates a bundle and signs it as its publisher. Signer is the name of the signer to
// whom the key belongs; whether it may publish is checked by Verify.
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

// Approve signs the approval of a published bundle. The approver must have another name and
// another key than the publisher. Approve checks the name; VerifyRelease, which knows the
// signers, also checks the key.
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

// Roll signs the roll that puts a published bundle in force in place of the version inForce, or
// of none if that is zero.
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

// checkKey checks the length of a key, since ed25519.Sign panics on other lengths.
func checkKey(key ed25519.PrivateKey) error {
	if len(key) != ed25519.PrivateKeySize {
		return fmt.Errorf("%w: private key has %d bytes", ErrSigner, len(key))
	}
	return nil
}

// Verify checks that the statement was signed by one of the signers, which must not be revoked
// and must have the role of the statement. It returns that signer.
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
		return Signer{}, fmt.Errorf("%w: %q does not have the role %q", ErrSigner, s.Signer, s.Role)
	}
	if len(signer.PublicKey) != ed25519.PublicKeySize {
		return Signer{}, fmt.Errorf("%w: %q has a public key of %d bytes", ErrSigner, s.Signer, len(signer.PublicKey))
	}
	if !ed25519.Verify(signer.PublicKey, s.Text(), s.Signature) {
		return Signer{}, fmt.Errorf("%w: statement of signer %q", ErrSignature, s.Signer)
	}
	return signer, nil
}

// SameBundle reports whether two statements are about the same bundle. It does not compare
// Follows, which differs between the publication and the roll of a bundle.
func (s Statement) SameBundle(o Statement) bool {
	return s.Version == o.Version && bytes.Equal(s.Hash, o.Hash) && bytes.Equal(s.Signers, o.Signers)
}

// Open parses the bundle and checks that it is valid, in canonical form and the one that the
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

// checkPublished checks that a publisher's statement matches a bundle in everything but the
// hash, which the caller checks.
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

// VerifyRelease checks the three statements that put a version in force. Signers are those of
// the version that it replaces.
func VerifyRelease(published, approval, roll Statement, signers []Signer) error {
	if published.Role != RolePublish || approval.Role != RoleApprove || roll.Role != RoleRoll {
		return fmt.Errorf("%w: roles are %q, %q and %q", ErrSigner, published.Role, approval.Role, roll.Role)
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

// Distinct returns ErrSameSigner if the publisher and the approver have the same name or the same
// key, since nobody must be able to put a bundle in force with a single key.
func Distinct(publisher, approver Signer) error {
	if publisher.Name == approver.Name || bytes.Equal(publisher.PublicKey, approver.PublicKey) {
		return fmt.Errorf("%w: %q and %q", ErrSameSigner, publisher.Name, approver.Name)
	}
	return nil
}
