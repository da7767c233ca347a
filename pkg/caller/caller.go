// Package caller names the headers and outcomes that mustardring exchanges with callers and
// backend servers over HTTP.
package caller

// Headers of requests.
const (
	// HeaderKey carries the key of a request to a divided service.
	HeaderKey = "Mustardring-Key"
	// HeaderRequestID identifies a request over its resends. Callers choose it.
	HeaderRequestID = "Idempotency-Key"
	// HeaderDeadline is the time by which the caller needs the answer, in Unix milliseconds.
	HeaderDeadline = "Mustardring-Deadline"
	// HeaderIdempotent says "true" when a request may run more than once. Methods that HTTP
	// defines as idempotent need not say so.
	HeaderIdempotent = "Mustardring-Idempotent"
	// HeaderHops counts the entry instances that a request has passed.
	HeaderHops = "Mustardring-Hops"
	// HeaderEpoch is the epoch of the grant under which a request is sent to a server.
	HeaderEpoch = "Mustardring-Epoch"
)

// Headers of answers.
const (
	// HeaderOutcome says what became of the request: one of the Outcome values.
	HeaderOutcome = "Mustardring-Outcome"
	// HeaderServer names the backend server that ran the request.
	HeaderServer = "Mustardring-Server"
)

// Outcome says whether a request ran.
type Outcome string

// The outcomes.
const (
	// Ran says that the server ran the request and this is its answer.
	Ran Outcome = "ran"
	// NotRun says that no server ran the request, nor will.
	NotRun Outcome = "not-run"
	// Unknown says that the request may have run.
	Unknown Outcome = "unknown"
)
