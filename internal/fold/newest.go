package fold

import (
	"errors"
	"fmt"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// ErrNotNewer is returned for a proof of a version that is not newer than the one known.
var ErrNotNewer = errors.New("fold: bundle is not newer")

// BundleTracker is the newest bundle that one instance knows, from the log or from peers. Its
// version never decreases, whatever becomes of the log, and a peer is not trusted: only
// signatures count. It is kept apart from State, because State must depend on nothing but
// the records. It is not safe for concurrent use.
type BundleTracker struct {
	anchors []bundle.Signer
	proof   bundle.Proof
	parsed  *bundle.Bundle
	origin  Origin
	offset  uint64
}

// Origin says where an instance has its bundle from.
type Origin string

// The origins.
const (
	OriginNone Origin = "none"
	OriginPeer Origin = "peer"
	OriginLog  Origin = "log"
)

// NewBundleTracker returns a Newest that knows no bundle. The anchors are those of New.
func NewBundleTracker(anchors []bundle.Signer) *BundleTracker {
	return &BundleTracker{anchors: anchors, origin: OriginNone}
}

// Bundle returns the newest bundle, or nil. It must not be changed.
func (n *BundleTracker) Bundle() *bundle.Bundle {
	return n.parsed
}

// Proof returns what a peer needs to take the bundle over.
func (n *BundleTracker) Proof() bundle.Proof {
	return n.proof
}

// Origin says where the bundle is from, and for OriginLog at which offset it was rolled.
func (n *BundleTracker) Origin() (Origin, uint64) {
	return n.origin, n.offset
}

// AdoptProof takes a bundle over from a peer. It returns ErrOlder if the version is known or
// older, and the reason if the proof does not hold.
func (n *BundleTracker) AdoptProof(p bundle.Proof) error {
	if p.Version() <= n.proof.Version() {
		return fmt.Errorf("%w: version %d, %d is known", ErrNotNewer, p.Version(), n.proof.Version())
	}
	b, err := p.Verify(n.anchors)
	if err != nil {
		return err
	}
	if err := p.Extends(n.proof, n.anchors); err != nil {
		return err
	}
	n.take(p, b, OriginPeer, 0)
	return nil
}

// ApplyUpdate takes over the release that replaced the version known, as a peer handed it over.
// It returns an error that wraps bundle.ErrStep or bundle.ErrBase if another version is known;
// the caller then asks for the whole proof, and calls Learn.
func (n *BundleTracker) ApplyUpdate(u bundle.Update) error {
	next, err := u.Apply(n.Held(), n.anchors)
	if err != nil {
		return err
	}
	n.take(next.Proof, next.Bundle, OriginPeer, 0)
	return nil
}

// Held returns the bundle with its proof, to make an Update from.
func (n *BundleTracker) Held() bundle.Held {
	return bundle.Held{Proof: n.proof, Bundle: n.parsed}
}

// AdoptFromLog takes the bundle of the log over, unless it is older than the one known. It reports
// whether the bundle changed. Of two bundles with one version, which only a log that started
// anew can bring about, that of the log stands: all instances then agree again.
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
	n.take(s.Proof, s.InForce, OriginLog, s.InForceOffset)
	return true
}

func (n *BundleTracker) take(p bundle.Proof, b *bundle.Bundle, origin Origin, offset uint64) {
	n.proof = p
	n.parsed = b
	n.origin = origin
	n.offset = offset
}

// MissingRecord returns the record, and the ID to append it with, that brings the bundle back into
// a log which lost it. The state must be that of the end of the log, read after the bundle
// was learned; otherwise the roll may simply not have been read yet.
func (n *BundleTracker) MissingRecord(s *State) (r record.Record, id string, missing bool) {
	if n.proof.Version() <= s.version() || n.proof.Extends(s.Proof, s.anchors) != nil {
		return nil, "", false
	}
	return record.BundleProven{Proof: n.proof}, "proven-" + n.proof.Roll.ID(), true
}
