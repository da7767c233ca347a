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
func (s *State) Apply(e record.Entry) Result {
	d := digestOf(e)
	switch {
	case e.Offset+1 == s.Next && s.Next > s.StartOffset && d != s.last:
		return LogReplaced{Offset: e.Offset}
	case e.Offset < s.Next:
		return Duplicate{}
	case e.Offset > s.Next:
		return s.applyAfterGap(e)
	}
	s.Next++
	s.last = d
	if s.memory.knows(d) {
		return Duplicate{}
	}
	r, err := record.Decode(e.Data)
	if err != nil {
		return s.refuseUnreadable(e.Offset, err)
	}
	return s.applyRecord(e.Offset, d, r)
}

// applyRecord remembers what it accepted, but for the records of checkpoints: a reader that
// starts at a checkpoint does not see its mark.
func (s *State) applyRecord(offset uint64, d digest, r record.Record) Result {
	switch r := r.(type) {
	case record.CheckpointMarked:
		return s.mark()
	case record.Checkpoint:
		return s.compareCheckpoint(offset, r)
	}
	v := s.applyKind(offset, r)
	if _, accepted := v.(Accepted); accepted {
		s.memory.add(d)
	}
	return v
}

func (s *State) applyKind(offset uint64, r record.Record) Result {
	switch r := r.(type) {
	case record.BundlePublished:
		return s.publish(offset, r)
	case record.BundleApproved:
		return s.approve(offset, r.Approval)
	case record.BundleRolled:
		return s.roll(offset, r.Roll)
	case record.BundleProven:
		return s.prove(offset, r.Proof)
	case record.TermClaimed:
		return s.claim(offset, r)
	case record.AssignmentMade:
		return s.assign(offset, r)
	case record.HomesTaken:
		return s.takeHomes(offset, r)
	case record.HomesEvicted:
		return s.evictHomes(offset, r)
	default:
		return refuse(offset, CauseMalformed, "no rule for %T", r)
	}
}

// refuseUnreadable tells a record that a newer release wrote from one that is damaged. The
// failure it guards against is a mixed fleet: an older instance would pass over what newer
// ones obey, and reach another state. It shows as a format number above ours.
func (s *State) refuseUnreadable(offset uint64, err error) Result {
	if !errors.Is(err, record.ErrNewer) && !errors.Is(err, bundle.ErrNewerFormat) {
		return refuse(offset, CauseMalformed, "%v", err)
	}
	if s.NewerRecord == nil {
		s.NewerRecord = &NewerRecord{Offset: offset, Reason: err.Error()}
	}
	return refuse(offset, CauseNewer, "%v", err)
}

func refuse(offset uint64, cause Cause, format string, args ...any) Rejected {
	return Rejected{Offset: offset, Cause: cause, Reason: fmt.Sprintf(format, args...)}
}

func refuseFor(offset uint64, cause Cause, w Winner, format string, args ...any) Rejected {
	r := refuse(offset, cause, format, args...)
	r.Reason = fmt.Sprintf("%s: %s stands", r.Reason, w)
	r.Winner = w
	return r
}
