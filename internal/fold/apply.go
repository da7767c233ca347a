package fold

import (
	"errors"
	"fmt"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// Apply folds one entry and says what became of it. Entries come in the order of their
// offsets; Next says which one is wanted. After a checkpoint was taken over, Next may be
// lower than the entry's offset, and the reader goes on from there.
func (s *State) Apply(e record.Entry) Verdict {
	d := digestOf(e)
	switch {
	case e.Offset+1 == s.Next && s.Next > s.Since && d != s.lastDigest:
		return Changed{Offset: e.Offset}
	case e.Offset < s.Next:
		return Repeated{}
	case e.Offset > s.Next:
		return s.applyAfterGap(e)
	}
	s.Next++
	s.lastDigest = d
	if s.recent.contains(d) {
		return Repeated{}
	}
	r, err := record.Decode(e.Data)
	if err != nil {
		return s.rejectUnreadable(e.Offset, err)
	}
	return s.applyRecord(e.Offset, d, r)
}

// applyRecord remembers what it accepted, but for the records of checkpoints: a reader that
// starts at a checkpoint does not see its mark.
func (s *State) applyRecord(offset uint64, d digest, r record.Record) Verdict {
	switch r := r.(type) {
	case record.CheckpointMarked:
		return s.applyMark()
	case record.Checkpoint:
		return s.applyCheckpoint(offset, r)
	}
	v := s.applyKind(offset, r)
	if _, accepted := v.(Accepted); accepted {
		s.recent.add(d)
	}
	return v
}

func (s *State) applyKind(offset uint64, r record.Record) Verdict {
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
		return reject(offset, CauseMalformed, "no rule for %T", r)
	}
}

// rejectUnreadable tells a record that a newer release wrote from one that is damaged. The
// failure it guards against is a mixed fleet: an older instance would pass over what newer
// ones obey, and reach another state. It shows as a format number above ours.
func (s *State) rejectUnreadable(offset uint64, err error) Verdict {
	if !errors.Is(err, record.ErrNewerFormat) && !errors.Is(err, bundle.ErrNewerFormat) {
		return reject(offset, CauseMalformed, "%v", err)
	}
	if s.Newer == nil {
		s.Newer = &Newer{Offset: offset, Reason: err.Error()}
	}
	return reject(offset, CauseNewerRelease, "%v", err)
}

func reject(offset uint64, cause Cause, format string, args ...any) Refused {
	return Refused{Offset: offset, Cause: cause, Reason: fmt.Sprintf(format, args...)}
}

func rejectForWinner(offset uint64, cause Cause, w Winner, format string, args ...any) Refused {
	r := reject(offset, cause, format, args...)
	r.Reason = fmt.Sprintf("%s: %s stands", r.Reason, w)
	r.Winner = w
	return r
}
