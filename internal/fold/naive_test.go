package fold

import (
	"bytes"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// naive judges each record by looking through the list of all that were accepted before it.
// It keeps no state but that list. It knows no bounds, so the lists given to it stay below
// those of the fold.
type naive struct {
	anchors  []bundle.Signer
	accepted []fact
}

type fact struct {
	offset uint64
	id     string
	data   []byte
	record record.Record
}

// outcome is a verdict without its sentence.
type outcome struct {
	kind   string
	winner uint64
}

var (
	isAccepted = outcome{kind: "accepted"}
	isRepeated = outcome{kind: "repeated"}
	isRefused  = outcome{kind: "refused"}
)

func lostTo(offset uint64) outcome {
	return outcome{kind: "lost", winner: offset}
}

func outcomeOf(v Result) outcome {
	switch v := v.(type) {
	case Accepted:
		return isAccepted
	case Duplicate:
		return isRepeated
	case Rejected:
		if v.Cause == CauseLost {
			return lostTo(v.Winner.Offset)
		}
		return isRefused
	default:
		return outcome{kind: "gap"}
	}
}

func (n *naive) apply(e record.Entry) outcome {
	for _, f := range n.accepted {
		if f.id == e.ID && bytes.Equal(f.data, e.Data) {
			return isRepeated
		}
	}
	r, err := record.Decode(e.Data)
	if err != nil {
		return isRefused
	}
	o := n.judge(r)
	if o == isAccepted {
		n.accepted = append(n.accepted, fact{offset: e.Offset, id: e.ID, data: e.Data, record: r})
	}
	return o
}

func (n *naive) judge(r record.Record) outcome {
	switch r := r.(type) {
	case record.BundlePublished:
		return n.judgePublished(r.Signed)
	case record.BundleApproved:
		return n.judgeStatement(r.Approval)
	case record.BundleRolled:
		return n.judgeStatement(r.Roll)
	case record.TermClaimed:
		return n.judgeClaim(r)
	case record.AssignmentMade:
		return n.judgeAssignment(r)
	default:
		return isRefused
	}
}

// rolls returns the accepted rolls, and the offset of each.
func (n *naive) rolls() (list []fact) {
	for _, f := range n.accepted {
		if _, ok := f.record.(record.BundleRolled); ok {
			list = append(list, f)
		}
	}
	return list
}

func (n *naive) published(version uint64) (fact, bundle.Signed, bool) {
	for _, f := range n.accepted {
		if p, ok := f.record.(record.BundlePublished); ok && p.Signed.Statement.Version == version {
			return f, p.Signed, true
		}
	}
	return fact{}, bundle.Signed{}, false
}

func (n *naive) bundle(version uint64) *bundle.Bundle {
	_, signed, _ := n.published(version)
	return must(bundle.Parse(signed.Canonical))
}

// inForce returns the roll in force and its version.
func (n *naive) inForce() (fact, uint64) {
	rolls := n.rolls()
	if len(rolls) == 0 {
		return fact{}, 0
	}
	last := rolls[len(rolls)-1]
	return last, last.record.(record.BundleRolled).Roll.Version
}

func (n *naive) signers() []bundle.Signer {
	if _, v := n.inForce(); v > 0 {
		return n.bundle(v).Signers
	}
	return n.anchors
}

// covered reports whether a statement accepted at an offset was covered by the signers of
// each bundle rolled since.
func (n *naive) covered(s bundle.Statement, offset uint64) bool {
	for _, f := range n.rolls() {
		if f.offset < offset {
			continue
		}
		if _, err := s.Verify(n.bundle(f.record.(record.BundleRolled).Roll.Version).Signers); err != nil {
			return false
		}
	}
	return true
}

func (n *naive) approval(version uint64) (fact, bundle.Statement, bool) {
	for i := len(n.accepted) - 1; i >= 0; i-- {
		f := n.accepted[i]
		if a, ok := f.record.(record.BundleApproved); ok && a.Approval.Version == version {
			return f, a.Approval, n.covered(a.Approval, f.offset)
		}
	}
	return fact{}, bundle.Statement{}, false
}

func (n *naive) judgePublished(signed bundle.Signed) outcome {
	st := signed.Statement
	if _, err := signed.Open(); err != nil {
		return isRefused
	}
	if _, err := st.Verify(n.signers()); err != nil {
		return isRefused
	}
	head := uint64(0)
	for _, f := range n.accepted {
		if p, ok := f.record.(record.BundlePublished); ok {
			head = max(head, p.Signed.Statement.Version)
		}
	}
	rolled, version := n.inForce()
	f, first, known := n.published(st.Version)
	live := known && n.covered(first.Statement, f.offset)
	same := known && first.Statement.SameBundle(st) && first.Statement.Signer == st.Signer
	switch {
	case st.Version > head && st.Follows == head:
		return isAccepted
	case st.Version > head:
		return isRefused
	case same && (st.Version == version || st.Version > version && live):
		return isRepeated
	case st.Version <= version:
		return lostTo(rolled.offset)
	case live:
		return lostTo(f.offset)
	default:
		return isRefused
	}
}

func (n *naive) judgeStatement(st bundle.Statement) outcome {
	rolled, version := n.inForce()
	if st.Version <= version {
		return n.judgeLate(st, rolled, version)
	}
	f, signed, known := n.published(st.Version)
	if !known || !n.covered(signed.Statement, f.offset) {
		return isRefused
	}
	if !signed.Statement.SameBundle(st) {
		return lostTo(f.offset)
	}
	approver, approval, approved := n.approval(st.Version)
	if st.Role == bundle.RoleApprove {
		return n.judgeApproval(signed.Statement, st, approver, approval, approved)
	}
	if !approved || bundle.VerifyRelease(signed.Statement, approval, st, n.signers()) != nil {
		return isRefused
	}
	if st.Follows != version {
		return lostTo(rolled.offset)
	}
	return isAccepted
}

// judgeLate judges a statement about a version that is in force or overtaken.
func (n *naive) judgeLate(st bundle.Statement, rolled fact, version uint64) outcome {
	_, approval, _ := n.approval(version)
	for _, done := range []bundle.Statement{approval, rolled.record.(record.BundleRolled).Roll} {
		if bytes.Equal(done.Signature, st.Signature) && bytes.Equal(done.Text(), st.Text()) {
			return isRepeated
		}
	}
	return lostTo(rolled.offset)
}

func (n *naive) judgeApproval(published, st bundle.Statement, first fact, approval bundle.Statement, approved bool) outcome {
	publisher, err := published.Verify(n.signers())
	if err != nil {
		return isRefused
	}
	approver, err := st.Verify(n.signers())
	if err != nil || st.Follows != published.Follows || bundle.Distinct(publisher, approver) != nil {
		return isRefused
	}
	switch {
	case approved && approval.Signer == st.Signer:
		return isRepeated
	case approved:
		return lostTo(first.offset)
	default:
		return isAccepted
	}
}

func (n *naive) judgeClaim(r record.TermClaimed) outcome {
	if _, v := n.inForce(); v > 0 && !hasDomain(n.bundle(v), r.Domain) {
		return isRefused
	}
	var last fact
	term := uint64(0)
	for _, f := range n.accepted {
		if c, ok := f.record.(record.TermClaimed); ok && c.Domain == r.Domain {
			last, term = f, term+1
		}
	}
	switch {
	case r.Follows == term:
		return isAccepted
	case r.Follows > term:
		return isRefused
	case r.Follows == term-1 && last.record == record.Record(r):
		return isRepeated
	default:
		return lostTo(last.offset)
	}
}

// judgeAssignment knows batches of one server only.
func (n *naive) judgeAssignment(r record.AssignmentMade) outcome {
	mine := r.Assignments[0]
	_, version := n.inForce()
	if version > 0 && !hasDomain(n.bundle(version), r.Domain) {
		return isRefused
	}
	known := false
	o := isAccepted
	for _, f := range n.accepted {
		a, ok := f.record.(record.AssignmentMade)
		if !ok || a.Domain != r.Domain || a.Assignments[0].Server != mine.Server || n.dropped(mine.Server, f.offset) {
			continue
		}
		known = true
		switch c := mine.Epoch.Compare(a.Assignments[0].Epoch); {
		case c < 0:
			return isRefused
		case c == 0 && mine.Ranges[0] == a.Assignments[0].Ranges[0]:
			o = isRepeated
		case c == 0:
			o = isRefused
		}
	}
	if !known && version > 0 && !serverNames(n.bundle(version))[mine.Server] {
		return isRefused
	}
	return o
}

// dropped reports whether a server was, since an offset, in neither bundle of some roll.
func (n *naive) dropped(server string, offset uint64) bool {
	for _, f := range n.rolls() {
		r := f.record.(record.BundleRolled).Roll
		if f.offset < offset || r.Follows == 0 {
			continue
		}
		if !serverNames(n.bundle(r.Follows))[server] && !serverNames(n.bundle(r.Version))[server] {
			return true
		}
	}
	return false
}
