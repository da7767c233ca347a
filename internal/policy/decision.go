package policy

import "example.org/mustardring/pkg/caller"

// Fault is how a try of a request ended without a whole answer.
type Fault int

// The faults.
const (
	// NotSent says that no byte of the request was written to the server.
	NotSent Fault = iota
	// Refused says that the server refused the request before running it.
	Refused
	// NotOwner says that the server refused the request because it does not own the key.
	NotOwner
	// InDoubt says that bytes were written and no whole answer came in time.
	InDoubt
	// ConnectionLost says that bytes were written and the server's end of the connection was lost.
	ConnectionLost
)

// RetryDecision is what becomes of a request after a Fault: Retry or Final. The set is sealed.
type RetryDecision interface {
	isDecision()
}

// Retry says that the request is to ask for a slot once more.
type Retry struct{}

// Final says that the caller gets its answer now.
type Final struct {
	Outcome caller.Outcome
	// Blocked says that the request is refused from now on.
	Blocked bool
}

func (Retry) isDecision() {}
func (Final) isDecision() {}
