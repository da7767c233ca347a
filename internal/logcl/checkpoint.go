package logcl

import (
	"fmt"
	"time"

	"example.org/mustardring/internal/record"
)

// CheckpointerConfig says when a checkpoint is due. Both bounds must be well below what the
// log retains.
type CheckpointerConfig struct {
	// Instance and Incarnation make the IDs.
	Instance    string
	Incarnation uint64
	// MaxRecords is the number of records after a checkpoint that makes the next one due.
	MaxRecords uint64
	// Interval is the time after a checkpoint that makes the next one due.
	Interval time.Duration
	// RankDelay is how much longer each instance waits than the one ranked before it.
	RankDelay time.Duration
}

// CheckpointEvent is an input of a Checkpointer. The set is sealed.
type CheckpointEvent interface {
	isCheckpointEvent()
}

// ReadProgress says how far this instance has read.
type ReadProgress struct {
	Next   uint64
	Oldest uint64
	// Rank is the number of live instances before this one in the order of their names.
	Rank int
	// CanWrite says that the state is current and may be written down.
	CanWrite bool
}

// RecordAccepted says that a CheckpointMarked or Checkpoint was accepted by the fold.
type RecordAccepted struct {
	ID     string
	Offset uint64
	Record record.Record
}

func (ReadProgress) isCheckpointEvent()   {}
func (RecordAccepted) isCheckpointEvent() {}

// CheckpointEffect is an output of a Checkpointer. The set is sealed.
type CheckpointEffect interface {
	isCheckpointEffect()
}

// SubmitMark asks for a record.CheckpointMarked to be appended.
type SubmitMark struct {
	ID string
}

// SubmitCheckpoint asks for the record.Checkpoint of the newest mark to be appended.
type SubmitCheckpoint struct {
	ID string
}

func (SubmitMark) isCheckpointEffect()       {}
func (SubmitCheckpoint) isCheckpointEffect() {}

// Checkpointer decides when this instance writes a checkpoint, so that what the log forgets
// stands in it again before. It has no input or output.
//
// The lowest-ranked live instance that has read everything writes it. Instances may disagree
// about who that is: each waits by its rank, and one checkpoint too many does no harm.
type Checkpointer struct {
	config CheckpointerConfig
	// last is the offset of the newest checkpoint met.
	last  uint64
	known bool
	// dueAt is when the next one is due by time. Zero means that no record was met yet.
	dueAt Time
	// startAt is when rank zero may start, set once one is due.
	startAt Time
	markID  string
	serial  uint64
}

// NewCheckpointer returns a Checkpointer that has met no checkpoint.
func NewCheckpointer(config CheckpointerConfig) *Checkpointer {
	return &Checkpointer{config: config}
}

// Handle takes one event. The time never goes back.
func (c *Checkpointer) Handle(now Time, event CheckpointEvent) []CheckpointEffect {
	switch e := event.(type) {
	case ReadProgress:
		return c.progressed(now, e)
	case RecordAccepted:
		return c.met(now, e)
	}
	return nil
}

func (c *Checkpointer) progressed(now Time, e ReadProgress) []CheckpointEffect {
	if e.Next == 0 {
		return nil
	}
	if c.dueAt == 0 {
		c.dueAt = now + Time(c.config.Interval)
	}
	if !c.isDue(now, e) {
		return nil
	}
	if c.startAt == 0 {
		c.startAt = now
	}
	if !e.CanWrite || now < c.startAt+Time(e.Rank)*Time(c.config.RankDelay) {
		return nil
	}
	// The mark or the checkpoint of this attempt may be lost with its writer: every other
	// instance then finds the checkpoint still due when its own wait is over.
	c.startAt = now + Time(c.config.RankDelay)
	c.serial++
	c.markID = fmt.Sprintf("mark-%s-%x-%d", c.config.Instance, c.config.Incarnation, c.serial)
	return []CheckpointEffect{SubmitMark{ID: c.markID}}
}

// isDue looks at time, at records, and at what the log keeps: the newest checkpoint stands in
// its oldest quarter, or there are forgotten records and no checkpoint at all.
func (c *Checkpointer) isDue(now Time, e ReadProgress) bool {
	switch {
	case now >= c.dueAt:
		return true
	case !c.known:
		return e.Next >= c.config.MaxRecords || e.Oldest > 0
	case e.Next-min(e.Next, c.last) >= c.config.MaxRecords:
		return true
	default:
		kept := e.Next - e.Oldest
		return e.Oldest > 0 && c.last <= e.Oldest+kept/4
	}
}

func (c *Checkpointer) met(now Time, e RecordAccepted) []CheckpointEffect {
	switch e.Record.(type) {
	case record.CheckpointMarked:
		if e.ID == c.markID {
			c.markID = ""
			return []CheckpointEffect{SubmitCheckpoint{ID: fmt.Sprintf("checkpoint-%s-%x-%d", c.config.Instance, c.config.Incarnation, c.serial)}}
		}
		c.startAt = now + Time(c.config.RankDelay)
	case record.Checkpoint:
		c.last, c.known = e.Offset, true
		c.dueAt = now + Time(c.config.Interval)
		c.startAt = 0
		c.markID = ""
	}
	return nil
}
