// Package policy decides what becomes of requests at the gate of a backend server: which may
// run, which wait, and which are refused. It has no input or output: time comes in with each
// call, and nothing here is safe for use by several goroutines at once.
package policy

import "time"

// Time is a reading of the instance's monotonic clock in nanoseconds.
type Time int64

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d)
}

// Until returns the duration from now to t, negative when t has passed.
func (t Time) Until(now Time) time.Duration {
	return time.Duration(t - now)
}

// Ticket identifies a request at one gate.
type Ticket uint64

// Reason says why a request was refused. Its text is the last part of the problem type.
type Reason string

// The reasons for which a Queue refuses.
const (
	ReasonQueueFull       Reason = "queue-full"
	ReasonDeadlineTooNear Reason = "deadline-too-near"
	ReasonDeadlinePassed  Reason = "deadline-passed"
	ReasonNoServer        Reason = "no-server"
	ReasonCallerOverShare Reason = "caller-over-share"
)

// The reasons for which a Core refuses.
const (
	ReasonBlocked    Reason = "blocked"
	ReasonInProgress Reason = "in-progress"
	ReasonAlreadyRan Reason = "already-ran"
	ReasonIDReused   Reason = "id-reused"
	ReasonMemoryFull Reason = "memory-full"
)

// Decision is what a Queue says of a request: Start, Wait or Shed. A Core says Known and Moved as
// well. The set is sealed.
type Decision interface {
	isVerdict()
}

// Admitted says that the request holds a slot of Server from now on.
type Admitted struct {
	Ticket Ticket
	Server string
}

// Queued says that the request is queued. A later Start or Shed names its ticket.
type Queued struct {
	Ticket Ticket
}

// Rejected says that the request was refused before it ran. RetryAt is when a resend is likely
// to be accepted.
type Rejected struct {
	Ticket  Ticket
	Reason  Reason
	RetryAt Time
}

// CheckFailed says that an earlier sending of the request ran or may have run. The Recollection is
// not Fresh.
type CheckFailed struct {
	Ticket Ticket
	Result CheckResult
}

// Moved says that the request no longer belongs at this gate. It did not run.
type Moved struct {
	Ticket Ticket
}

func (CheckFailed) isVerdict() {}
func (Moved) isVerdict()       {}
func (Admitted) isVerdict()    {}
func (Queued) isVerdict()      {}
func (Rejected) isVerdict()    {}
