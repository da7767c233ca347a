// Package policy decides what happens to requests at the gate of a backend server: which are
// admitted, which are queued and which are rejected. It does no I/O and reads no clock: each
// call passes the time. Nothing in this package is safe for concurrent use.
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

// Reason says why a request was rejected. Its text is the last part of the problem type that
// the caller receives.
type Reason string

// The reasons for which a Queue rejects a request.
const (
	ReasonQueueFull       Reason = "queue-full"
	ReasonDeadlineTooNear Reason = "deadline-too-near"
	ReasonDeadlinePassed  Reason = "deadline-passed"
	ReasonNoServer        Reason = "no-server"
	ReasonCallerOverShare Reason = "caller-over-share"
)

// The reasons for which a Core rejects a request.
const (
	ReasonBlocked    Reason = "blocked"
	ReasonInProgress Reason = "in-progress"
	ReasonAlreadyRan Reason = "already-ran"
	ReasonIDReused   Reason = "id-reused"
	ReasonMemoryFull Reason = "memory-full"
)

// Decision is one of Admitted, Queued, Rejected, CheckFailed and Moved. A Queue returns only
// the first three, a Core all of them.
type Decision interface {
	isDecision()
}

// Admitted says that the request holds a slot of Server from now on.
type Admitted struct {
	Ticket Ticket
	Server string
}

// Queued says that the request waits for a slot. A later Admitted or Rejected has the same
// ticket, or a Moved if the gate moves meanwhile.
type Queued struct {
	Ticket Ticket
}

// Rejected says that the request was rejected before it ran. RetryAt is when a resend is
// likely to be admitted.
type Rejected struct {
	Ticket  Ticket
	Reason  Reason
	RetryAt Time
}

// CheckFailed says that the idempotency check does not let the request run. Result is not
// Fresh.
type CheckFailed struct {
	Ticket Ticket
	Result CheckResult
}

// Moved says that the request did not run and that the gate of its pool is now at another
// instance.
type Moved struct {
	Ticket Ticket
}

func (CheckFailed) isDecision() {}
func (Moved) isDecision()       {}
func (Admitted) isDecision()    {}
func (Queued) isDecision()      {}
func (Rejected) isDecision()    {}
