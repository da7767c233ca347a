package fold

import (
	"bytes"
	"errors"

	"example.org/mustardring/internal/record"
)

// maxMarks is the number of marks whose state is kept. A checkpoint is rejected if that many
// other marks are between it and its mark.
const maxMarks = 4

// mark holds the state right after a CheckpointMarked record, against which the checkpoint is
// verified.
type mark struct {
	state *State
}

// applyMark keeps a copy of the state. Apply has already advanced Next past the mark.
func (s *State) applyMark() Result {
	s.marks = append(s.marks, mark{state: s.clone()})
	if len(s.marks) > maxMarks {
		s.marks = s.marks[1:]
	}
	return Accepted{}
}

// applyAfterGap handles an entry above Next: records in between are missing. It adopts the
// state of a checkpoint that includes more records than s, and returns Gap otherwise.
func (s *State) applyAfterGap(e record.Entry) Result {
	gap := Gap{Next: s.Next, Offset: e.Offset}
	r, err := record.Decode(e.Data)
	if err != nil {
		return gap
	}
	c, isCheckpoint := r.(record.Checkpoint)
	if !isCheckpoint || c.Next <= s.Next || c.Next > e.Offset {
		return gap
	}
	restored, err := Restore(c.State, s.anchors)
	if err != nil || restored.Next != c.Next {
		return gap
	}
	return s.adopt(restored)
}

// adopt replaces s by the state of a checkpoint. Next is then that of the checkpoint, below
// the offset of its entry, so the reader reads the records in between again.
func (s *State) adopt(restored *State) Result {
	*s = *restored
	return Accepted{}
}

// applyCheckpoint compares a checkpoint with the state that this reader had at its mark.
//
// The two differ if the state of the writer is wrong, because of a fault, a gap in its history
// or a different release. The checkpoint is then rejected, with two exceptions. This reader
// adopts it if the writer's history starts earlier than its own, or if this reader met a
// record before the mark that it could not read.
func (s *State) applyCheckpoint(offset uint64, r record.Checkpoint) Result {
	if r.Next > offset {
		return reject(offset, CauseMalformed, "checkpoint for offset %d is at offset %d", r.Next, offset)
	}
	restored, err := Restore(r.State, s.anchors)
	switch {
	case errors.Is(err, ErrNewerRelease):
		if s.NewerRecord == nil {
			s.NewerRecord = &NewerRecord{Offset: offset, Reason: err.Error()}
		}
		return reject(offset, CauseNewerRelease, "%v", err)
	case err != nil:
		return reject(offset, CauseCheckpoint, "%v", err)
	case restored.Next != r.Next:
		return reject(offset, CauseMalformed, "checkpoint for offset %d holds the state for offset %d", r.Next, restored.Next)
	case s.NewerRecord != nil && r.Next > s.NewerRecord.Offset:
		return s.adopt(restored)
	}
	marked := s.markAt(r.Next)
	if marked == nil {
		return reject(offset, CauseCheckpoint, "no mark right before offset %d", r.Next)
	}
	data, err := marked.Encode()
	if err != nil {
		return reject(offset, CauseCheckpoint, "%v", err)
	}
	switch {
	case bytes.Equal(data, r.State):
		return Accepted{}
	case restored.StartOffset < marked.StartOffset:
		return s.adopt(restored)
	default:
		return reject(offset, CauseCheckpoint, "checkpoint for offset %d differs from the state of this instance", r.Next)
	}
}

// markAt returns the state at the mark whose Next is next, or nil.
func (s *State) markAt(next uint64) *State {
	for _, m := range s.marks {
		if m.state.Next == next {
			return m.state
		}
	}
	return nil
}
