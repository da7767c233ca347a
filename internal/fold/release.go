package fold

import (
	"bytes"
	"errors"
	"slices"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// maxCandidates bounds the published versions that wait for approval and roll. Beyond it the
// oldest that nobody approved is dropped, then the oldest.
const maxCandidates = 8

// signers are those who judge new statements.
func (s *State) signers() []bundle.Signer {
	if s.InForce == nil {
		return s.anchors
	}
	return s.InForce.Signers
}

func (s *State) version() uint64 {
	if s.InForce == nil {
		return 0
	}
	return s.InForce.Version
}

func (s *State) inForceWinner() Winner {
	return winnerOf(s.Proof.Roll, s.InForceOffset)
}

// candidate returns the candidate of a version, or nil.
func (s *State) candidate(version uint64) *Candidate {
	i := slices.IndexFunc(s.Candidates, func(c Candidate) bool { return c.Signed.Statement.Version == version })
	if i < 0 {
		return nil
	}
	return &s.Candidates[i]
}

// publish judges the signature first: only a publisher makes the instances parse anything.
func (s *State) publish(offset uint64, r record.BundlePublished) Result {
	st := r.Signed.Statement
	if _, err := st.Verify(s.signers()); err != nil {
		return refuse(offset, CauseSignature, "%v", err)
	}
	if st.Version <= s.Head {
		return s.refusePublished(offset, st)
	}
	if st.Follows != s.Head {
		return refuse(offset, CauseOrder, "version %d follows %d, but the newest published version is %d", st.Version, st.Follows, s.Head)
	}
	signed, b, err := s.openPublished(r)
	switch {
	case errors.Is(err, bundle.ErrNewerFormat):
		return s.refuseUnreadable(offset, err)
	case err != nil:
		return refuse(offset, CauseInvalid, "%v", err)
	}
	s.Head = st.Version
	s.Candidates = append(slices.Clone(s.Candidates), Candidate{Signed: signed, Offset: offset, parsed: b})
	s.dropExtraCandidate()
	return Accepted{}
}

// openPublished returns the bundle of a record, whole or by a delta from one that is held.
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

// BundleByHash returns the bundle in force or waiting that has a hash, and the hash; nil if none has.
func (s *State) BundleByHash(hash []byte) (*bundle.Bundle, []byte) {
	if s.InForce != nil && bytes.Equal(s.InForceSigned.Statement.Hash, hash) {
		return s.InForce, hash
	}
	for i := range s.Candidates {
		if c := &s.Candidates[i]; bytes.Equal(c.Signed.Statement.Hash, hash) {
			return c.parsed, hash
		}
	}
	return nil, nil
}

func (s *State) refusePublished(offset uint64, st bundle.Statement) Result {
	if c := s.candidate(st.Version); c != nil {
		if c.Signed.Statement.SameBundle(st) && c.Signed.Statement.Signer == st.Signer {
			return Duplicate{}
		}
		return refuseFor(offset, CauseLost, winnerOf(c.Signed.Statement, c.Offset), "version %d was published first by another", st.Version)
	}
	if st.SameBundle(s.Proof.Signed.Statement) && st.Signer == s.Proof.Signed.Statement.Signer {
		return Duplicate{}
	}
	if s.version() >= st.Version {
		return refuseFor(offset, CauseLost, s.inForceWinner(), "version %d is not newer than the one in force", st.Version)
	}
	return refuse(offset, CauseOrder, "version %d is not newer than the newest published version %d", st.Version, s.Head)
}

func (s *State) dropExtraCandidate() {
	if len(s.Candidates) <= maxCandidates {
		return
	}
	i := slices.IndexFunc(s.Candidates, func(c Candidate) bool { return !c.Approved() })
	s.Candidates = slices.Delete(s.Candidates, max(i, 0), max(i, 0)+1)
}

func (s *State) approve(offset uint64, st bundle.Statement) Result {
	c, refusal := s.findCandidate(offset, st)
	if refusal != nil {
		return refusal
	}
	approver, err := st.Verify(s.signers())
	if err != nil {
		return refuse(offset, CauseSignature, "%v", err)
	}
	published := c.Signed.Statement
	if st.Role != bundle.RoleApprove || st.Follows != published.Follows {
		return refuse(offset, CauseMalformed, "not an approval of version %d which follows %d", published.Version, published.Follows)
	}
	publisher, err := published.Verify(s.signers())
	if err != nil {
		return refuse(offset, CauseSignature, "%v", err)
	}
	if err := bundle.Distinct(publisher, approver); err != nil {
		return refuse(offset, CauseSignature, "%v", err)
	}
	if c.Approved() {
		if c.Approval.Signer == st.Signer {
			return Duplicate{}
		}
		return refuseFor(offset, CauseLost, winnerOf(c.Approval, c.ApprovalOffset), "version %d was approved first by another", st.Version)
	}
	s.Candidates = slices.Clone(s.Candidates)
	c = s.candidate(st.Version)
	c.Approval = st
	c.ApprovalOffset = offset
	return Accepted{}
}

// findCandidate returns the candidate that a statement is about, or the refusal.
func (s *State) findCandidate(offset uint64, st bundle.Statement) (*Candidate, Result) {
	if st.Version <= s.version() {
		return nil, s.refuseInForce(offset, st)
	}
	c := s.candidate(st.Version)
	if c == nil {
		return nil, refuse(offset, CauseUnknown, "version %d was not published, or was dropped", st.Version)
	}
	if !c.Signed.Statement.SameBundle(st) {
		w := winnerOf(c.Signed.Statement, c.Offset)
		return nil, refuseFor(offset, CauseLost, w, "the statement is about another version %d (%.4x)", st.Version, st.Hash)
	}
	return c, nil
}

// refuseInForce judges a statement about a version that is not newer than the one in force.
// A statement that put it there is a repeat.
func (s *State) refuseInForce(offset uint64, st bundle.Statement) Result {
	for _, done := range []bundle.Statement{s.Proof.Signed.Statement, s.Proof.Approval, s.Proof.Roll} {
		if bytes.Equal(done.Text(), st.Text()) && bytes.Equal(done.Signature, st.Signature) {
			return Duplicate{}
		}
	}
	return refuseFor(offset, CauseLost, s.inForceWinner(), "version %d is not newer than the one in force", st.Version)
}

func (s *State) roll(offset uint64, st bundle.Statement) Result {
	c, refusal := s.findCandidate(offset, st)
	if refusal != nil {
		return refusal
	}
	if !c.Approved() {
		return refuse(offset, CauseUnapproved, "version %d is not approved", st.Version)
	}
	if err := bundle.VerifyRelease(c.Signed.Statement, c.Approval, st, s.signers()); err != nil {
		return refuse(offset, CauseSignature, "%v", err)
	}
	if st.Follows != s.version() {
		return refuseFor(offset, CauseLost, s.inForceWinner(), "the roll of version %d replaces %d, which is not in force", st.Version, st.Follows)
	}
	next, err := s.Proof.Next(c.Signed, c.Approval, st, s.signers(), s.anchors)
	if err != nil {
		return refuse(offset, CauseInvalid, "%v", err)
	}
	s.enforce(offset, next, c.parsed)
	return Accepted{}
}

// prove takes over a bundle that is in force elsewhere, when the log lost its records.
func (s *State) prove(offset uint64, p bundle.Proof) Result {
	if !s.Proof.IsZero() && p.Version() <= s.version() {
		if p.Signed.Statement.SameBundle(s.Proof.Signed.Statement) {
			return Duplicate{}
		}
		return refuseFor(offset, CauseLost, s.inForceWinner(), "proven version %d is not newer than the one in force", p.Version())
	}
	b, err := p.Verify(s.anchors)
	if err != nil {
		if v, ok := s.refuseUnreadable(offset, err).(Rejected); ok && v.Cause == CauseNewer {
			return v
		}
		return refuse(offset, CauseSignature, "%v", err)
	}
	if err := p.Extends(s.Proof, s.anchors); err != nil {
		return refuseFor(offset, CauseLost, s.inForceWinner(), "%v", err)
	}
	s.enforce(offset, p, b)
	return Accepted{}
}

// enforce puts a version in force. It drops candidates that it overtakes, and those whose
// statements the new signers no longer cover: a signer that is now revoked has done nothing.
func (s *State) enforce(offset uint64, p bundle.Proof, b *bundle.Bundle) {
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
	s.pruneAssigned(replaced)
	s.pruneHomes()
}
