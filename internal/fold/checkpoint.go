package fold

import (
	"bytes"
	"errors"

	"example.org/mustardring/internal/record"
)

// maxMarks is the number of announced checkpoints whose state is kept for comparison. More
// marks than that between a mark and its checkpoint void the checkpoint.
const maxMarks = 4

// mark is the state just after a CheckpointMarked record.
type mark struct {
	state *State
}

// mark keeps the state for comparison. Apply has moved Next past the mark already.
func (s *State) mark() Result {
	s.marks = append(s.marks, mark{state: s.copyDeep()})
	if len(s.marks) > maxMarks {
		s.marks = s.marks[1:]
	}
	return Accepted{}
}

// applyAfterGap takes a checkpoint over if it leads past the gap.
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
	other, err := Restore(c.State, s.anchors)
	if err != nil || other.Next != c.Next {
		return gap
	}
	return s.adopt(other)
}

// adopt goes on from a checkpoint. Next is then that of the checkpoint, which comes before
// the entry that carried it: the reader reads the records between again.
func (s *State) adopt(other *State) Result {
	*s = *other
	return Accepted{}
}

// compareCheckpoint judges a checkpoint by the state that this reader has at its mark.
//
// It guards against a writer whose state is wrong: a fault, a longer gap, or another release.
// It shows as other bytes for the same offset. A reader goes over to the other state only if
// that was folded from an earlier record, or if it met a record that it could not read.
func (s *State) compareCheckpoint(offset uint64, r record.Checkpoint) Result {
	if r.Next > offset {
		return refuse(offset, CauseMalformed, "checkpoint of offset %d stands at %d", r.Next, offset)
	}
	other, err := Restore(r.State, s.anchors)
	switch {
	case errors.Is(err, ErrNewer):
		if s.NewerRecord == nil {
			s.NewerRecord = &NewerRecord{Offset: offset, Reason: err.Error()}
		}
		return refuse(offset, CauseNewer, "%v", err)
	case err != nil:
		return refuse(offset, CauseCheckpoint, "%v", err)
	case other.Next != r.Next:
		return refuse(offset, CauseMalformed, "checkpoint of offset %d holds the state of %d", r.Next, other.Next)
	case s.NewerRecord != nil && r.Next > s.NewerRecord.Offset:
		return s.adopt(other)
	}
	own := s.markAt(r.Next)
	if own == nil {
		return refuse(offset, CauseCheckpoint, "no mark before offset %d", r.Next)
	}
	data, err := own.Encode()
	if err != nil {
		return refuse(offset, CauseCheckpoint, "%v", err)
	}
	switch {
	case bytes.Equal(data, r.State):
		return Accepted{}
	case other.StartOffset < own.StartOffset:
		return s.adopt(other)
	default:
		return refuse(offset, CauseCheckpoint, "the checkpoint of offset %d disagrees with the records", r.Next)
	}
}

func (s *State) markAt(next uint64) *State {
	for _, m := range s.marks {
		if m.state.Next == next {
			return m.state
		}
	}
	return nil
}
