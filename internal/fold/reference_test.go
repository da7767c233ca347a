package fold

import (
	"bytes"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// referenceModel computes the result for each record from the list of all records that were
// accepted before. It has no other state. It does not implement the limits of State, so its
// tests must stay within them.
type referenceModel struct {
	anchors  []bundle.Signer
	accepted []acceptedRecord
}

type acceptedRecord struct {
	offset uint64
	id     string
	data   []byte
	record record.Record
}

// outcome is the part of a Result that the model predicts: its kind and, for a lost race, the
// offset of the winner.
type outcome struct {
	kind   string
	winner uint64
}

var (
	isAccepted  = outcome{kind: "accepted"}
	isDuplicate = outcome{kind: "duplicate"}
	isRejected  = outcome{kind: "rejected"}
)

func lostTo(offset uint64) outcome {
	return outcome{kind: "lost", winner: offset}
}

func outcomeOf(v Result) outcome {
	switch v := v.(type) {
	case Accepted:
		return isAccepted
	case Duplicate:
		return isDuplicate
	case Rejected:
		if v.Cause == CauseLostRace {
			return lostTo(v.Winner.Offset)
		}
		return isRejected
	default:
		return outcome{kind: "gap"}
	}
}

func (m *referenceModel) apply(e record.Entry) outcome {
	for _, ar := range m.accepted {
		if ar.id == e.ID && bytes.Equal(ar.data, e.Data) {
			return isDuplicate
		}
	}
	r, err := record.Decode(e.Data)
	if err != nil {
		return isRejected
	}
	o := m.check(r)
	if o == isAccepted {
		m.accepted = append(m.accepted, acceptedRecord{offset: e.Offset, id: e.ID, data: e.Data, record: r})
	}
	return o
}

func (m *referenceModel) check(r record.Record) outcome {
	switch r := r.(type) {
	case record.BundlePublished:
		return m.checkPublished(r.Signed)
	case record.BundleApproved:
		return m.checkStatement(r.Approval)
	case record.BundleRolled:
		return m.checkStatement(r.Roll)
	case record.TermClaimed:
		return m.checkClaim(r)
	case record.AssignmentMade:
		return m.checkAssignment(r)
	default:
		return isRejected
	}
}

// rolls returns the accepted rolls in the order of the log.
func (m *referenceModel) rolls() (list []acceptedRecord) {
	for _, ar := range m.accepted {
		if _, ok := ar.record.(record.BundleRolled); ok {
			list = append(list, ar)
		}
	}
	return list
}

// published returns the record and the bundle that were accepted for a version.
func (m *referenceModel) published(version uint64) (acceptedRecord, bundle.Signed, bool) {
	for _, ar := range m.accepted {
		if p, ok := ar.record.(record.BundlePublished); ok && p.Signed.Statement.Version == version {
			return ar, p.Signed, true
		}
	}
	return acceptedRecord{}, bundle.Signed{}, false
}

func (m *referenceModel) bundle(version uint64) *bundle.Bundle {
	_, signed, _ := m.published(version)
	return must(bundle.Parse(signed.Canonical))
}

// inForce returns the newest roll and its version, or zero values.
func (m *referenceModel) inForce() (acceptedRecord, uint64) {
	rolls := m.rolls()
	if len(rolls) == 0 {
		return acceptedRecord{}, 0
	}
	last := rolls[len(rolls)-1]
	return last, last.record.(record.BundleRolled).Roll.Version
}

// signers returns the signers of the bundle in force, or the trust anchors.
func (m *referenceModel) signers() []bundle.Signer {
	if _, v := m.inForce(); v > 0 {
		return m.bundle(v).Signers
	}
	return m.anchors
}

// authorizedSince reports whether a statement that was accepted at an offset is valid by the
// signers of each bundle that was rolled since.
func (m *referenceModel) authorizedSince(s bundle.Statement, offset uint64) bool {
	for _, ar := range m.rolls() {
		if ar.offset < offset {
			continue
		}
		if _, err := s.Verify(m.bundle(ar.record.(record.BundleRolled).Roll.Version).Signers); err != nil {
			return false
		}
	}
	return true
}

// approval returns the newest approval of a version and whether it is still valid.
func (m *referenceModel) approval(version uint64) (acceptedRecord, bundle.Statement, bool) {
	for i := len(m.accepted) - 1; i >= 0; i-- {
		ar := m.accepted[i]
		if a, ok := ar.record.(record.BundleApproved); ok && a.Approval.Version == version {
			return ar, a.Approval, m.authorizedSince(a.Approval, ar.offset)
		}
	}
	return acceptedRecord{}, bundle.Statement{}, false
}

func (m *referenceModel) checkPublished(signed bundle.Signed) outcome {
	st := signed.Statement
	if _, err := signed.Open(); err != nil {
		return isRejected
	}
	if _, err := st.Verify(m.signers()); err != nil {
		return isRejected
	}
	head := uint64(0)
	for _, ar := range m.accepted {
		if p, ok := ar.record.(record.BundlePublished); ok {
			head = max(head, p.Signed.Statement.Version)
		}
	}
	rolled, version := m.inForce()
	ar, first, known := m.published(st.Version)
	valid := known && m.authorizedSince(first.Statement, ar.offset)
	same := known && first.Statement.SameBundle(st) && first.Statement.Signer == st.Signer
	switch {
	case st.Version > head && st.Follows == head:
		return isAccepted
	case st.Version > head:
		return isRejected
	case same && (st.Version == version || st.Version > version && valid):
		return isDuplicate
	case st.Version <= version:
		return lostTo(rolled.offset)
	case valid:
		return lostTo(ar.offset)
	default:
		return isRejected
	}
}

func (m *referenceModel) checkStatement(st bundle.Statement) outcome {
	rolled, version := m.inForce()
	if st.Version <= version {
		return m.checkNotNewer(st, rolled, version)
	}
	ar, signed, known := m.published(st.Version)
	if !known || !m.authorizedSince(signed.Statement, ar.offset) {
		return isRejected
	}
	if !signed.Statement.SameBundle(st) {
		return lostTo(ar.offset)
	}
	approver, approval, approved := m.approval(st.Version)
	if st.Role == bundle.RoleApprove {
		return m.checkApproval(signed.Statement, st, approver, approval, approved)
	}
	if !approved || bundle.VerifyRelease(signed.Statement, approval, st, m.signers()) != nil {
		return isRejected
	}
	if st.Follows != version {
		return lostTo(rolled.offset)
	}
	return isAccepted
}

// checkNotNewer checks a statement about a version that is not newer than the one in force.
func (m *referenceModel) checkNotNewer(st bundle.Statement, rolled acceptedRecord, version uint64) outcome {
	_, approval, _ := m.approval(version)
	for _, applied := range []bundle.Statement{approval, rolled.record.(record.BundleRolled).Roll} {
		if bytes.Equal(applied.Signature, st.Signature) && bytes.Equal(applied.Text(), st.Text()) {
			return isDuplicate
		}
	}
	return lostTo(rolled.offset)
}

func (m *referenceModel) checkApproval(published, st bundle.Statement, first acceptedRecord, approval bundle.Statement, approved bool) outcome {
	publisher, err := published.Verify(m.signers())
	if err != nil {
		return isRejected
	}
	approver, err := st.Verify(m.signers())
	if err != nil || st.Follows != published.Follows || bundle.Distinct(publisher, approver) != nil {
		return isRejected
	}
	switch {
	case approved && approval.Signer == st.Signer:
		return isDuplicate
	case approved:
		return lostTo(first.offset)
	default:
		return isAccepted
	}
}

func (m *referenceModel) checkClaim(r record.TermClaimed) outcome {
	if _, v := m.inForce(); v > 0 && !hasDomain(m.bundle(v), r.Domain) {
		return isRejected
	}
	var last acceptedRecord
	term := uint64(0)
	for _, ar := range m.accepted {
		if c, ok := ar.record.(record.TermClaimed); ok && c.Domain == r.Domain {
			last, term = ar, term+1
		}
	}
	switch {
	case r.Follows == term:
		return isAccepted
	case r.Follows > term:
		return isRejected
	case r.Follows == term-1 && last.record == record.Record(r):
		return isDuplicate
	default:
		return lostTo(last.offset)
	}
}

// checkAssignment supports only records with one server and one range.
func (m *referenceModel) checkAssignment(r record.AssignmentMade) outcome {
	next := r.Assignments[0]
	_, version := m.inForce()
	if version > 0 && !hasDomain(m.bundle(version), r.Domain) {
		return isRejected
	}
	known := false
	o := isAccepted
	for _, ar := range m.accepted {
		a, ok := ar.record.(record.AssignmentMade)
		if !ok || a.Domain != r.Domain || a.Assignments[0].Server != next.Server || m.droppedSince(next.Server, ar.offset) {
			continue
		}
		known = true
		switch c := next.Epoch.Compare(a.Assignments[0].Epoch); {
		case c < 0:
			return isRejected
		case c == 0 && next.Ranges[0] == a.Assignments[0].Ranges[0]:
			o = isDuplicate
		case c == 0:
			o = isRejected
		}
	}
	if !known && version > 0 && !serverNames(m.bundle(version))[next.Server] {
		return isRejected
	}
	return o
}

// droppedSince reports whether, since an offset, a roll dropped the assignments of a server:
// the server is neither in the rolled bundle nor in the one that it replaced.
func (m *referenceModel) droppedSince(server string, offset uint64) bool {
	for _, ar := range m.rolls() {
		r := ar.record.(record.BundleRolled).Roll
		if ar.offset < offset || r.Follows == 0 {
			continue
		}
		if !serverNames(m.bundle(r.Follows))[server] && !serverNames(m.bundle(r.Version))[server] {
			return true
		}
	}
	return false
}
