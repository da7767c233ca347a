package policy

import "example.org/mustardring/pkg/caller"

// Fault is how an attempt to send a request failed to get a complete response.
type Fault int

// The faults of an attempt.
const (
	// NotSent says that no byte of the request was written to the server.
	NotSent Fault = iota
	// Refused says that the server refused the request before running it.
	Refused
	// NotOwner says that the server refused the request because it does not own the key.
	NotOwner
	// InDoubt says that bytes were written and no complete response came in time.
	InDoubt
	// ConnectionLost says that bytes were written and the server's end of the connection was
	// lost.
	ConnectionLost
)

// RetryDecision is what happens to a request after a Fault: Retry or Final.
type RetryDecision interface {
	isRetryDecision()
}

// Retry says that the request is to be passed to Core.Admit again.
type Retry struct{}

// Final says that there is no further attempt and the caller gets a response now.
type Final struct {
	Outcome caller.Outcome
	// Blocked says that requests with the same fingerprint are rejected from now on.
	Blocked bool
}

func (Retry) isRetryDecision() {}
func (Final) isRetryDecision() {}
