package fold

import (
	"errors"
	"fmt"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// Apply applies one entry and returns the result for it. The caller passes the entries in the
// order of their offsets, starting at Next. It may pass the entry before Next once more, to
// detect that the log was replaced. If Apply adopts the state of a checkpoint, Next may
// afterwards be lower than the offset of the entry; the reader then continues from Next.
func (s *State) Apply(e record.Entry) Result {
	d := digestOf(e)
	switch {
	case e.Offset+1 == s.Next && s.Next > s.StartOffset && d != s.lastDigest:
		return LogReplaced{Offset: e.Offset}
	case e.Offset < s.Next:
		return Duplicate{}
	case e.Offset > s.Next:
		return s.applyAfterGap(e)
	}
	s.Next++
	s.lastDigest = d
	if s.recent.contains(d) {
		return Duplicate{}
	}
	r, err := record.Decode(e.Data)
	if err != nil {
		return s.rejectUnreadable(e.Offset, err)
	}
	return s.applyRecord(e.Offset, d, r)
}

// applyRecord applies a record and remembers its digest if it was accepted. It does not
// remember checkpoints and their marks: a reader that starts at a checkpoint does not see its
// mark, and must encode the same state as all others.
func (s *State) applyRecord(offset uint64, d digest, r record.Record) Result {
	switch r := r.(type) {
	case record.CheckpointMarked:
		return s.applyMark()
	case record.Checkpoint:
		return s.applyCheckpoint(offset, r)
	}
	result := s.applyKind(offset, r)
	if _, accepted := result.(Accepted); accepted {
		s.recent.add(d)
	}
	return result
}

func (s *State) applyKind(offset uint64, r record.Record) Result {
	switch r := r.(type) {
	case record.BundlePublished:
		return s.applyPublished(offset, r)
	case record.BundleApproved:
		return s.applyApproved(offset, r.Approval)
	case record.BundleRolled:
		return s.applyRolled(offset, r.Roll)
	case record.BundleProven:
		return s.applyProven(offset, r.Proof)
	case record.TermClaimed:
		return s.applyTermClaimed(offset, r)
	case record.AssignmentMade:
		return s.applyAssignmentMade(offset, r)
	case record.HomesTaken:
		return s.applyHomesTaken(offset, r)
	case record.HomesEvicted:
		return s.applyHomesEvicted(offset, r)
	default:
		return reject(offset, CauseMalformed, "record type %T is not supported", r)
	}
}

// rejectUnreadable rejects a record that cannot be decoded. A format number above ours shows
// that a newer release wrote it. While instances of two releases run, the newer ones apply
// such a record and the older ones cannot, so that their states differ. The first such record
// is therefore noted in NewerRecord.
func (s *State) rejectUnreadable(offset uint64, err error) Result {
	if !errors.Is(err, record.ErrNewerFormat) && !errors.Is(err, bundle.ErrNewerFormat) {
		return reject(offset, CauseMalformed, "%v", err)
	}
	if s.NewerRecord == nil {
		s.NewerRecord = &NewerRecord{Offset: offset, Reason: err.Error()}
	}
	return reject(offset, CauseNewerRelease, "%v", err)
}

func reject(offset uint64, cause Cause, format string, args ...any) Rejected {
	return Rejected{Offset: offset, Cause: cause, Reason: fmt.Sprintf(format, args...)}
}

// rejectForWinner rejects a record that conflicts with the earlier record w.
func rejectForWinner(offset uint64, cause Cause, w Winner, format string, args ...any) Rejected {
	r := reject(offset, cause, format, args...)
	r.Reason = fmt.Sprintf("%s: conflicts with %s", r.Reason, w)
	r.Winner = w
	return r
}
