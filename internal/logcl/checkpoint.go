package logcl

import (
	"fmt"
	"time"

	"example.org/mustardring/internal/record"
)

// CheckpointerConfig sets when a checkpoint is due. MaxRecords and Interval must be well below
// the retention limits of the log by number of records and by time.
type CheckpointerConfig struct {
	// Instance and Incarnation make the record IDs of this process unique.
	Instance    string
	Incarnation uint64
	// MaxRecords is the number of records after a checkpoint at which the next one is due.
	MaxRecords uint64
	// Interval is the time after a checkpoint at which the next one is due.
	Interval time.Duration
	// RankDelay is how much longer an instance waits with a due checkpoint than the one ranked
	// before it.
	RankDelay time.Duration
}

// CheckpointEvent is an input of a Checkpointer. Only types of this package implement it.
type CheckpointEvent interface {
	isCheckpointEvent()
}

// ReadProgress states how far this instance has read the log.
type ReadProgress struct {
	Next   uint64
	Oldest uint64
	// Rank is the number of live instances whose names sort before that of this one.
	Rank int
	// CanWrite reports whether the state is up to date and may be written as a checkpoint.
	CanWrite bool
}

// RecordAccepted reports that a record in the log was accepted. The Checkpointer handles
// record.CheckpointMarked and record.Checkpoint, and ignores other kinds.
type RecordAccepted struct {
	ID     string
	Offset uint64
	Record record.Record
}

func (ReadProgress) isCheckpointEvent()   {}
func (RecordAccepted) isCheckpointEvent() {}

// CheckpointEffect is an output of a Checkpointer. Only types of this package implement it.
type CheckpointEffect interface {
	isCheckpointEffect()
}

// SubmitMark asks for a record.CheckpointMarked to be appended. Every reader keeps its state as
// of the mark, to compare the checkpoint with it.
type SubmitMark struct {
	ID string
}

// SubmitCheckpoint asks for the record.Checkpoint of the newest mark to be appended.
type SubmitCheckpoint struct {
	ID string
}

func (SubmitMark) isCheckpointEffect()       {}
func (SubmitCheckpoint) isCheckpointEffect() {}

// Checkpointer decides when this instance writes a checkpoint. The log must contain a checkpoint
// before it drops the records that the checkpoint summarizes. Checkpointer performs no I/O.
//
// The live instance with the lowest rank that has read the whole log writes the checkpoint.
// Instances may disagree about which one that is. Therefore each waits for a time that grows
// with its rank, and an extra checkpoint does no harm.
type Checkpointer struct {
	config CheckpointerConfig
	// lastOffset is the offset of the newest checkpoint in the log, if hasCheckpoint is set.
	lastOffset    uint64
	hasCheckpoint bool
	// dueAt is when the next checkpoint is due by CheckpointerConfig.Interval. It is zero until
	// a record has been read.
	dueAt Time
	// startAt is when an instance of rank 0 may write the checkpoint that is due. It is zero
	// until a checkpoint is due or another instance announces one.
	startAt Time
	markID  string
	attempt uint64
}

// NewCheckpointer returns a Checkpointer that knows of no checkpoint.
func NewCheckpointer(config CheckpointerConfig) *Checkpointer {
	return &Checkpointer{config: config}
}

// Handle processes one event and returns the effects. The time must not go back.
func (c *Checkpointer) Handle(now Time, event CheckpointEvent) []CheckpointEffect {
	switch e := event.(type) {
	case ReadProgress:
		return c.handleProgress(now, e)
	case RecordAccepted:
		return c.handleRecord(now, e)
	}
	return nil
}

// handleProgress announces a checkpoint by a mark if one is due and the delay for the rank of
// this instance is over.
func (c *Checkpointer) handleProgress(now Time, e ReadProgress) []CheckpointEffect {
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
	// If this process ends before its mark and checkpoint are in the log, the checkpoint is still
	// due for the other instances after their own delays.
	c.startAt = now + Time(c.config.RankDelay)
	c.attempt++
	c.markID = fmt.Sprintf("mark-%s-%x-%d", c.config.Instance, c.config.Incarnation, c.attempt)
	return []CheckpointEffect{SubmitMark{ID: c.markID}}
}

// isDue reports whether a checkpoint is due by time, by the number of records, or by what the
// log retains: the newest checkpoint is in the oldest quarter of the retained records, or
// records are no longer retained and there is no checkpoint at all.
func (c *Checkpointer) isDue(now Time, e ReadProgress) bool {
	switch {
	case now >= c.dueAt:
		return true
	case !c.hasCheckpoint:
		return e.Next >= c.config.MaxRecords || e.Oldest > 0
	case e.Next-min(e.Next, c.lastOffset) >= c.config.MaxRecords:
		return true
	default:
		retained := e.Next - e.Oldest
		return e.Oldest > 0 && c.lastOffset <= e.Oldest+retained/4
	}
}

// handleRecord submits the checkpoint when the mark of this instance is in the log. A mark of
// another instance delays the next attempt of this one.
func (c *Checkpointer) handleRecord(now Time, e RecordAccepted) []CheckpointEffect {
	switch e.Record.(type) {
	case record.CheckpointMarked:
		if e.ID == c.markID {
			c.markID = ""
			return []CheckpointEffect{SubmitCheckpoint{ID: fmt.Sprintf("checkpoint-%s-%x-%d", c.config.Instance, c.config.Incarnation, c.attempt)}}
		}
		c.startAt = now + Time(c.config.RankDelay)
	case record.Checkpoint:
		c.lastOffset, c.hasCheckpoint = e.Offset, true
		c.dueAt = now + Time(c.config.Interval)
		c.startAt = 0
		c.markID = ""
	}
	return nil
}
