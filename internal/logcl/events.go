package logcl

import (
	"example.org/mustardring/internal/place"
	"example.org/mustardring/internal/record"
)

// Time is a reading of this instance's monotonic clock in nanoseconds.
type Time = place.Time

// AppendEvent is an input of an Appender. The set is sealed.
type AppendEvent interface {
	isAppendEvent()
}

// Submitted asks for a record to be appended. The ID names it in Acknowledged or Dropped.
type Submitted struct {
	ID     string
	Record record.Record
}

// WriteResult is the answer of Log.Append to a Write.
type WriteResult struct {
	ID     string
	Offset uint64
	// Err is nil, or one that wraps an error of this package.
	Err error
}

// EntryRead says that the reader met an entry with the ID in the log.
type EntryRead struct {
	ID     string
	Offset uint64
}

// LogReplaced says that the reader met a log that started anew. An answer to a call that was
// out by then may come from the log before, and acknowledges nothing.
type LogReplaced struct{}

// Ticked says that time has passed.
type Ticked struct{}

func (Submitted) isAppendEvent()   {}
func (WriteResult) isAppendEvent() {}
func (EntryRead) isAppendEvent()   {}
func (LogReplaced) isAppendEvent() {}
func (Ticked) isAppendEvent()      {}

// AppendEffect is an output of an Appender. The set is sealed.
type AppendEffect interface {
	isAppendEffect()
}

// Write asks for one call of Log.Append, whose answer comes back as Written.
type Write struct {
	ID   string
	Data []byte
}

// Acknowledged says that the record submitted under the ID stands in the log, or that newer
// assignments of the same servers do, in the entry at Offset.
type Acknowledged struct {
	ID     string
	Offset uint64
}

// Dropped says that the record submitted under the ID will not be appended by this Appender.
// It may stand in the log all the same if an earlier append of it was uncertain.
type Dropped struct {
	ID     string
	Reason DropReason
}

// DropReason says why a record was dropped.
type DropReason string

// The reasons.
const (
	// DropFull says that the queue is full: submit again later.
	DropFull DropReason = "queue-full"
	// DropReplaced says that a newer record made it pointless.
	DropReplaced DropReason = "replaced"
	// DropRefused says that the log will never take it, or that it cannot be encoded.
	DropRefused DropReason = "refused"
)

// WakeAt asks for a Ticked at a time, when nothing else happens before.
type WakeAt struct {
	At Time
}

func (Write) isAppendEffect()        {}
func (Acknowledged) isAppendEffect() {}
func (Dropped) isAppendEffect()      {}
func (WakeAt) isAppendEffect()       {}
