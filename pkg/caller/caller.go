// Package caller defines the HTTP headers, outcomes and problem documents that mustardring
// exchanges with callers and backend servers.
package caller

// Headers of requests. Callers set all of them except HeaderHops and HeaderEpoch.
const (
	// HeaderKey is the key of a request. In a divided service the request is sent to the server
	// that owns the key.
	HeaderKey = "Mustardring-Key"
	// HeaderRequestID is the id that a caller gives to a request. Retries of a request have the
	// same id.
	HeaderRequestID = "Idempotency-Key"
	// HeaderDeadline is the time by which the caller needs the response, in Unix milliseconds.
	HeaderDeadline = "Mustardring-Deadline"
	// HeaderIdempotent is "true" if the request may run more than once. Requests with a method
	// that HTTP defines as idempotent don't need it.
	HeaderIdempotent = "Mustardring-Idempotent"
	// HeaderHops is the number of entry instances that a forwarded request has passed.
	HeaderHops = "Mustardring-Hops"
	// HeaderEpoch is the epoch of the grant under which the request is sent to a server.
	HeaderEpoch = "Mustardring-Epoch"
)

// Headers of responses.
const (
	// HeaderOutcome is the Outcome of the request.
	HeaderOutcome = "Mustardring-Outcome"
	// HeaderServer is the name of the backend server that ran the request.
	HeaderServer = "Mustardring-Server"
)

// Outcome says whether a request ran.
type Outcome string

// Values of Outcome.
const (
	// Ran means that a server ran the request and the response is that of the server.
	Ran Outcome = "ran"
	// NotRun means that no server has run the request or will run it.
	NotRun Outcome = "not-run"
	// Unknown means that a server may have run the request or may still run it.
	Unknown Outcome = "unknown"
)
