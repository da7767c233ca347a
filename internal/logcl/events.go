package logcl

import (
	"example.org/mustardring/internal/place"
	"example.org/mustardring/internal/record"
)

// Time is a reading of this instance's monotonic clock in nanoseconds.
type Time = place.Time

// AppendEvent is an input of an Appender. Only types of this package implement it.
type AppendEvent interface {
	isAppendEvent()
}

// Submitted asks for a record to be appended. The ID identifies it in Acknowledged or Dropped.
type Submitted struct {
	ID     string
	Record record.Record
}

// WriteResult is the result of Log.Append for a Write.
type WriteResult struct {
	ID     string
	Offset uint64
	// Err is nil or wraps an error of this package.
	Err error
}

// EntryRead reports that the Reader found an entry with the ID in the log.
type EntryRead struct {
	ID     string
	Offset uint64
}

// LogReplaced reports that the Reader found the log replaced by a new one. The result of a call
// that was in flight at that time may come from the old log, so it acknowledges nothing.
type LogReplaced struct{}

// Ticked reports that time has passed.
type Ticked struct{}

func (Submitted) isAppendEvent()   {}
func (WriteResult) isAppendEvent() {}
func (EntryRead) isAppendEvent()   {}
func (LogReplaced) isAppendEvent() {}
func (Ticked) isAppendEvent()      {}

// AppendEffect is an output of an Appender. Only types of this package implement it.
type AppendEffect interface {
	isAppendEffect()
}

// Write asks for one call of Log.Append, whose result comes back as WriteResult.
type Write struct {
	ID   string
	Data []byte
}

// Acknowledged reports that the entry at Offset of the log contains the record submitted under
// the ID. Some of its assignments may have been replaced by newer ones of the same servers.
type Acknowledged struct {
	ID     string
	Offset uint64
}

// Dropped reports that this Appender will not append the record submitted under the ID. The
// record may be in the log nevertheless if the result of an earlier append was uncertain.
type Dropped struct {
	ID     string
	Reason DropReason
}

// DropReason is the reason why a record was dropped.
type DropReason string

// Values of DropReason.
const (
	// DropQueueFull means that the queue is full. The record may be submitted again later.
	DropQueueFull DropReason = "queue-full"
	// DropReplaced means that a newer record makes this one unnecessary.
	DropReplaced DropReason = "replaced"
	// DropRejected means that the log will never accept the record, or that it cannot be encoded.
	DropRejected DropReason = "refused"
)

// WakeAt asks for a Ticked at a time, unless there is another event before.
type WakeAt struct {
	At Time
}

func (Write) isAppendEffect()        {}
func (Acknowledged) isAppendEffect() {}
func (Dropped) isAppendEffect()      {}
func (WakeAt) isAppendEffect()       {}
