package fold

import (
	"bytes"
	"errors"
	"slices"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// maxCandidates is the maximum number of candidates. If there are more, the oldest one that
// is not approved is dropped, or the oldest one if all are approved.
const maxCandidates = 8

// signers returns the signers by whom new statements must be signed.
func (s *State) signers() []bundle.Signer {
	if s.InForce == nil {
		return s.anchors
	}
	return s.InForce.Signers
}

// versionInForce returns the version of the bundle in force, or zero.
func (s *State) versionInForce() uint64 {
	if s.InForce == nil {
		return 0
	}
	return s.InForce.Version
}

func (s *State) inForceWinner() Winner {
	return winnerOf(s.Proof.Roll, s.InForceOffset)
}

// candidate returns the candidate with a version, or nil.
func (s *State) candidate(version uint64) *Candidate {
	i := slices.IndexFunc(s.Candidates, func(c Candidate) bool { return c.Signed.Statement.Version == version })
	if i < 0 {
		return nil
	}
	return &s.Candidates[i]
}

// applyPublished verifies the signature first, so that nobody but a publisher can make the
// instances parse a bundle.
func (s *State) applyPublished(offset uint64, r record.BundlePublished) Result {
	st := r.Signed.Statement
	if _, err := st.Verify(s.signers()); err != nil {
		return reject(offset, CauseSignature, "%v", err)
	}
	if st.Version <= s.Head {
		return s.rejectPublished(offset, st)
	}
	if st.Follows != s.Head {
		return reject(offset, CauseOutOfOrder, "version %d follows %d, but the newest published version is %d", st.Version, st.Follows, s.Head)
	}
	signed, b, err := s.openPublished(r)
	switch {
	case errors.Is(err, bundle.ErrNewerFormat):
		return s.rejectUnreadable(offset, err)
	case err != nil:
		return reject(offset, CauseInvalidBundle, "%v", err)
	}
	s.Head = st.Version
	s.Candidates = append(slices.Clone(s.Candidates), Candidate{Signed: signed, Offset: offset, bundle: b})
	s.dropExtraCandidate()
	return Accepted{}
}

// openPublished returns the signed form and the bundle of a record. It applies the delta, if
// there is one, to the bundle in force or a candidate.
func (s *State) openPublished(r record.BundlePublished) (bundle.Signed, *bundle.Bundle, error) {
	if r.Delta == nil {
		b, err := r.Signed.Open()
		return r.Signed, b, err
	}
	if len(r.Signed.Canonical) > 0 {
		return bundle.Signed{}, nil, bundle.ErrDelta
	}
	base, hash := s.BundleByHash(r.Delta.BaseHash)
	if base == nil {
		return bundle.Signed{}, nil, bundle.ErrBase
	}
	return r.Delta.Open(base, hash, r.Signed.Statement)
}

// BundleByHash returns the bundle in force or the candidate that has a hash, as the base of a
// delta, and the hash. It returns nil if there is none.
func (s *State) BundleByHash(hash []byte) (*bundle.Bundle, []byte) {
	if s.InForce != nil && bytes.Equal(s.InForceSigned.Statement.Hash, hash) {
		return s.InForce, hash
	}
	for i := range s.Candidates {
		if c := &s.Candidates[i]; bytes.Equal(c.Signed.Statement.Hash, hash) {
			return c.bundle, hash
		}
	}
	return nil, nil
}

// rejectPublished returns the result for a published version that is not newer than Head. It
// is a duplicate if the same signer published the same bundle.
func (s *State) rejectPublished(offset uint64, st bundle.Statement) Result {
	if c := s.candidate(st.Version); c != nil {
		if c.Signed.Statement.SameBundle(st) && c.Signed.Statement.Signer == st.Signer {
			return Duplicate{}
		}
		return rejectForWinner(offset, CauseLostRace, winnerOf(c.Signed.Statement, c.Offset), "version %d was published earlier", st.Version)
	}
	if st.SameBundle(s.Proof.Signed.Statement) && st.Signer == s.Proof.Signed.Statement.Signer {
		return Duplicate{}
	}
	if s.versionInForce() >= st.Version {
		return rejectForWinner(offset, CauseLostRace, s.inForceWinner(), "version %d is not newer than the one in force", st.Version)
	}
	return reject(offset, CauseOutOfOrder, "version %d is not newer than the newest published version %d", st.Version, s.Head)
}

func (s *State) dropExtraCandidate() {
	if len(s.Candidates) <= maxCandidates {
		return
	}
	i := slices.IndexFunc(s.Candidates, func(c Candidate) bool { return !c.Approved() })
	s.Candidates = slices.Delete(s.Candidates, max(i, 0), max(i, 0)+1)
}

// applyApproved accepts the first approval of a candidate, provided that the approver is not
// its publisher.
func (s *State) applyApproved(offset uint64, st bundle.Statement) Result {
	c, result := s.findCandidate(offset, st)
	if result != nil {
		return result
	}
	approver, err := st.Verify(s.signers())
	if err != nil {
		return reject(offset, CauseSignature, "%v", err)
	}
	published := c.Signed.Statement
	if st.Role != bundle.RoleApprove || st.Follows != published.Follows {
		return reject(offset, CauseMalformed, "statement is not an approval of version %d that follows %d", published.Version, published.Follows)
	}
	publisher, err := published.Verify(s.signers())
	if err != nil {
		return reject(offset, CauseSignature, "%v", err)
	}
	if err := bundle.Distinct(publisher, approver); err != nil {
		return reject(offset, CauseSignature, "%v", err)
	}
	if c.Approved() {
		if c.Approval.Signer == st.Signer {
			return Duplicate{}
		}
		return rejectForWinner(offset, CauseLostRace, winnerOf(c.Approval, c.ApprovalOffset), "version %d has an earlier approval by another signer", st.Version)
	}
	s.Candidates = slices.Clone(s.Candidates)
	c = s.candidate(st.Version)
	c.Approval = st
	c.ApprovalOffset = offset
	return Accepted{}
}

// findCandidate returns the candidate that a statement is about, or the result if there is
// none.
func (s *State) findCandidate(offset uint64, st bundle.Statement) (*Candidate, Result) {
	if st.Version <= s.versionInForce() {
		return nil, s.rejectNotNewer(offset, st)
	}
	c := s.candidate(st.Version)
	if c == nil {
		return nil, reject(offset, CauseUnknownVersion, "version %d is not a candidate: not published, or dropped", st.Version)
	}
	if !c.Signed.Statement.SameBundle(st) {
		w := winnerOf(c.Signed.Statement, c.Offset)
		return nil, rejectForWinner(offset, CauseLostRace, w, "statement is about a different bundle with version %d (%.4x)", st.Version, st.Hash)
	}
	return c, nil
}

// rejectNotNewer returns the result for a statement about a version that is not newer than
// the one in force. It is a duplicate if it is one of the statements that put the bundle in
// force.
func (s *State) rejectNotNewer(offset uint64, st bundle.Statement) Result {
	for _, applied := range []bundle.Statement{s.Proof.Signed.Statement, s.Proof.Approval, s.Proof.Roll} {
		if bytes.Equal(applied.Text(), st.Text()) && bytes.Equal(applied.Signature, st.Signature) {
			return Duplicate{}
		}
	}
	return rejectForWinner(offset, CauseLostRace, s.inForceWinner(), "version %d is not newer than the one in force", st.Version)
}

// applyRolled puts an approved candidate in force, provided that the version that the roll
// replaces is in force.
func (s *State) applyRolled(offset uint64, st bundle.Statement) Result {
	c, result := s.findCandidate(offset, st)
	if result != nil {
		return result
	}
	if !c.Approved() {
		return reject(offset, CauseUnapproved, "version %d is not approved", st.Version)
	}
	if err := bundle.VerifyRelease(c.Signed.Statement, c.Approval, st, s.signers()); err != nil {
		return reject(offset, CauseSignature, "%v", err)
	}
	if st.Follows != s.versionInForce() {
		return rejectForWinner(offset, CauseLostRace, s.inForceWinner(), "roll of version %d replaces version %d, which is not in force", st.Version, st.Follows)
	}
	next, err := s.Proof.Next(c.Signed, c.Approval, st, s.signers(), s.anchors)
	if err != nil {
		return reject(offset, CauseInvalidBundle, "%v", err)
	}
	s.putInForce(offset, next, c.bundle)
	return Accepted{}
}

// applyProven puts in force a bundle that is in force at an instance, after the log has lost
// its records.
func (s *State) applyProven(offset uint64, p bundle.Proof) Result {
	if !s.Proof.IsZero() && p.Version() <= s.versionInForce() {
		if p.Signed.Statement.SameBundle(s.Proof.Signed.Statement) {
			return Duplicate{}
		}
		return rejectForWinner(offset, CauseLostRace, s.inForceWinner(), "proven version %d is not newer than the one in force", p.Version())
	}
	b, err := p.Verify(s.anchors)
	if err != nil {
		if r, ok := s.rejectUnreadable(offset, err).(Rejected); ok && r.Cause == CauseNewerRelease {
			return r
		}
		return reject(offset, CauseSignature, "%v", err)
	}
	if err := p.Extends(s.Proof, s.anchors); err != nil {
		return rejectForWinner(offset, CauseLostRace, s.inForceWinner(), "%v", err)
	}
	s.putInForce(offset, p, b)
	return Accepted{}
}

// putInForce puts a bundle in force. It drops the candidates that are not newer, and the
// candidates and approvals whose signer is no longer authorized by the new bundle: statements
// of a signer that was revoked do not count.
func (s *State) putInForce(offset uint64, p bundle.Proof, b *bundle.Bundle) {
	replaced := s.servers
	s.InForce = b
	s.servers = serverNames(b)
	s.InForceSigned = p.Signed
	s.InForceOffset = offset
	s.Proof = p
	s.Head = max(s.Head, b.Version)
	var kept []Candidate
	for _, c := range s.Candidates {
		if c.Signed.Statement.Version <= b.Version {
			continue
		}
		publisher, err := c.Signed.Statement.Verify(b.Signers)
		if err != nil {
			continue
		}
		if approver, err := c.Approval.Verify(b.Signers); err != nil || bundle.Distinct(publisher, approver) != nil {
			c.Approval, c.ApprovalOffset = bundle.Statement{}, 0
		}
		kept = append(kept, c)
	}
	s.Candidates = kept
	s.pruneAssignments(replaced)
	s.pruneHomes()
}
