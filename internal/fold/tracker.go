package fold

import (
	"errors"
	"fmt"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// ErrNotNewer is returned for a proof of a version that is not newer than the tracked one.
var ErrNotNewer = errors.New("fold: bundle is not newer")

// BundleTracker tracks the newest bundle that one instance knows, from the log or from peers. Its
// version never decreases, even if the log is lost. Bundles of peers are accepted only by
// their signatures. It is separate from State, because State must depend on the records only.
// It is not safe for concurrent use.
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

// NewBundleTracker returns a Newest without a bundle. The anchors are the same as for New.
func NewBundleTracker(anchors []bundle.Signer) *BundleTracker {
	return &BundleTracker{anchors: anchors, origin: OriginNone}
}

// Bundle returns the newest bundle, or nil. The caller must not modify it.
func (n *BundleTracker) Bundle() *bundle.Bundle {
	return n.bundle
}

// Proof returns the proof by which a peer can adopt the bundle with Learn.
func (n *BundleTracker) Proof() bundle.Proof {
	return n.proof
}

// Origin returns the source of the bundle and, for OriginLog, the offset of the record that
// put it in force.
func (n *BundleTracker) Origin() (Origin, uint64) {
	return n.origin, n.offset
}

// AdoptProof adopts the bundle that a peer proves. It returns ErrOlder if its version is not newer
// than the tracked one, and another error if the proof is invalid or does not continue the
// history of the tracked bundle.
func (n *BundleTracker) AdoptProof(p bundle.Proof) error {
	if p.Version() <= n.proof.Version() {
		return fmt.Errorf("%w: version %d, already at %d", ErrNotNewer, p.Version(), n.proof.Version())
	}
	b, err := p.Verify(n.anchors)
	if err != nil {
		return err
	}
	if err := p.Extends(n.proof, n.anchors); err != nil {
		return err
	}
	n.set(p, b, OriginPeer, 0)
	return nil
}

// ApplyUpdate applies an update of a peer: the release that replaced the tracked version. It
// returns an error that wraps bundle.ErrStep or bundle.ErrBase if the update is from another
// version. The caller then requests the complete proof and passes it to Learn.
func (n *BundleTracker) ApplyUpdate(u bundle.Update) error {
	next, err := u.Apply(n.Held(), n.anchors)
	if err != nil {
		return err
	}
	n.set(next.Proof, next.Bundle, OriginPeer, 0)
	return nil
}

// Held returns the bundle with its proof, as bundle.NewUpdate needs them.
func (n *BundleTracker) Held() bundle.Held {
	return bundle.Held{Proof: n.proof, Bundle: n.bundle}
}

// AdoptFromLog adopts the bundle in force by the log, unless it is older than the tracked one. It
// reports whether the bundle changed. After the log was lost and started again, it may hold
// another bundle of the same version. The bundle of the log then wins, so that all instances
// agree again.
func (n *BundleTracker) AdoptFromLog(s *State) bool {
	if s.InForce == nil || s.InForce.Version < n.proof.Version() {
		return false
	}
	same := s.InForce.Version == n.proof.Version() &&
		s.Proof.Signed.Statement.SameBundle(n.proof.Signed.Statement)
	if same {
		n.origin, n.offset = OriginLog, s.InForceOffset
		return false
	}
	n.set(s.Proof, s.InForce, OriginLog, s.InForceOffset)
	return true
}

func (n *BundleTracker) set(p bundle.Proof, b *bundle.Bundle, origin Origin, offset uint64) {
	n.proof = p
	n.bundle = b
	n.origin = origin
	n.offset = offset
}

// MissingRecord returns the record that restores the bundle in a log that has lost it, and the ID
// to append the record with. The state must include all records up to an end of the log that
// was read after the bundle was adopted. Otherwise the log may still hold the roll, beyond
// what has been read.
func (n *BundleTracker) MissingRecord(s *State) (r record.Record, id string, missing bool) {
	if n.proof.Version() <= s.versionInForce() || n.proof.Extends(s.Proof, s.anchors) != nil {
		return nil, "", false
	}
	return record.BundleProven{Proof: n.proof}, "proven-" + n.proof.Roll.ID(), true
}
