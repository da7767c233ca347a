package fold

import (
	"errors"
	"fmt"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// ErrNotNewer is returned for a proof of a version that is not newer than the tracked one.
var ErrNotNewer = errors.New("fold: bundle is not newer")

// BundleTracker tracks the newest bundle that one instance knows, from the log or from peers.
// Its version never decreases, even if the log is lost. Peers are not trusted: a bundle of a
// peer is adopted only if its signatures are valid. BundleTracker is separate from State,
// because State must depend on nothing but the records. It is not safe for concurrent use.
type BundleTracker struct {
	anchors []bundle.Signer
	proof   bundle.Proof
	bundle  *bundle.Bundle
	origin  Origin
	offset  uint64
}

// Origin is the source from which an instance has its bundle.
type Origin string

// The values of Origin. OriginNone means that no bundle is known.
const (
	OriginNone Origin = "none"
	OriginPeer Origin = "peer"
	OriginLog  Origin = "log"
)

// NewBundleTracker returns a BundleTracker without a bundle. The anchors are the same as for
// New.
func NewBundleTracker(anchors []bundle.Signer) *BundleTracker {
	return &BundleTracker{anchors: anchors, origin: OriginNone}
}

// Bundle returns the newest bundle, or nil. The caller must not modify it.
func (t *BundleTracker) Bundle() *bundle.Bundle {
	return t.bundle
}

// Proof returns the proof by which a peer can adopt the bundle with AdoptProof.
func (t *BundleTracker) Proof() bundle.Proof {
	return t.proof
}

// Origin returns the source of the bundle and, for OriginLog, the offset of the record that
// put it in force.
func (t *BundleTracker) Origin() (Origin, uint64) {
	return t.origin, t.offset
}

// AdoptProof adopts the bundle that a peer proves. It returns ErrNotNewer if the version is
// not newer than the tracked one, and another error if the proof is invalid or does not
// continue the history of the tracked bundle.
func (t *BundleTracker) AdoptProof(p bundle.Proof) error {
	if p.Version() <= t.proof.Version() {
		return fmt.Errorf("%w: version %d, already at %d", ErrNotNewer, p.Version(), t.proof.Version())
	}
	b, err := p.Verify(t.anchors)
	if err != nil {
		return err
	}
	if err := p.Extends(t.proof, t.anchors); err != nil {
		return err
	}
	t.set(p, b, OriginPeer, 0)
	return nil
}

// ApplyUpdate applies an update of a peer: the release that replaced the tracked version. It
// returns an error that wraps bundle.ErrStep or bundle.ErrBase if the update is from another
// version. The caller then requests the complete proof and passes it to AdoptProof.
func (t *BundleTracker) ApplyUpdate(u bundle.Update) error {
	next, err := u.Apply(t.Held(), t.anchors)
	if err != nil {
		return err
	}
	t.set(next.Proof, next.Bundle, OriginPeer, 0)
	return nil
}

// Held returns the bundle with its proof, as bundle.NewUpdate needs them.
func (t *BundleTracker) Held() bundle.Held {
	return bundle.Held{Proof: t.proof, Bundle: t.bundle}
}

// AdoptFromLog adopts the bundle in force according to the log, unless it is older than the
// tracked one. It reports whether the bundle changed. A log that was lost and started again
// may hold another bundle of the same version. The bundle of the log then wins, so that all
// instances agree again.
func (t *BundleTracker) AdoptFromLog(s *State) bool {
	if s.InForce == nil || s.InForce.Version < t.proof.Version() {
		return false
	}
	same := s.InForce.Version == t.proof.Version() &&
		s.Proof.Signed.Statement.SameBundle(t.proof.Signed.Statement)
	if same {
		t.origin, t.offset = OriginLog, s.InForceOffset
		return false
	}
	t.set(s.Proof, s.InForce, OriginLog, s.InForceOffset)
	return true
}

func (t *BundleTracker) set(p bundle.Proof, b *bundle.Bundle, origin Origin, offset uint64) {
	t.proof = p
	t.bundle = b
	t.origin = origin
	t.offset = offset
}

// MissingRecord returns the record that restores the tracked bundle in a log that has lost it,
// and the ID to append the record with. The state must be that of the end of the log, read
// after the bundle was adopted. Otherwise the roll of the bundle may be in the log but not be
// read yet.
func (t *BundleTracker) MissingRecord(s *State) (r record.Record, id string, missing bool) {
	if t.proof.Version() <= s.versionInForce() || t.proof.Extends(s.Proof, s.anchors) != nil {
		return nil, "", false
	}
	return record.BundleProven{Proof: t.proof}, "proven-" + t.proof.Roll.ID(), true
}
