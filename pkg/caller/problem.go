package caller

// ContentTypeProblem is the media type of a Problem (RFC 9457).
const ContentTypeProblem = "application/problem+json"

// ProblemPrefix is the start of each Problem.Type. Problem.Reason follows it.
const ProblemPrefix = "urn:mustardring:problem:"

// Headers that only entry instances set. Those on requests are removed from the requests of
// callers.
const (
	// HeaderRequest is the request id on responses and on requests between instances: that of
	// the caller, or else a generated one.
	HeaderRequest = "Mustardring-Request"
	// HeaderCaller is the identity of the caller. Queues are fair between identities.
	HeaderCaller = "Mustardring-Caller"
	// HeaderWitness is the name of the entry instance that, besides the gate, keeps a copy of
	// the idempotency record of the request.
	HeaderWitness = "Mustardring-Witness"
	// HeaderSending identifies one attempt at a non-idempotent request.
	HeaderSending = "Mustardring-Sending"
	// HeaderUnsent is "true" on a response if this attempt has not run and will not run. Earlier
	// attempts with the same request id may have run.
	HeaderUnsent = "Mustardring-Unsent"
)

// HeaderReplayed is "true" on a response that repeats the one to an earlier attempt with the
// same request id.
const HeaderReplayed = "Mustardring-Replayed"

// HeaderAttempt is the number of the attempt with one request id, from 1. If a caller sets it
// on retries, the outcome is NotRun only if no earlier attempt can have run.
const HeaderAttempt = "Mustardring-Attempt"

// Problem is the body of a response that mustardring gives instead of a server (RFC 9457).
type Problem struct {
	// Type is ProblemPrefix followed by Reason.
	Type  string `json:"type"`
	Title string `json:"title"`
	// Status is the HTTP status code of the response.
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Reason is the last part of Type.
	Reason  string  `json:"reason"`
	Outcome Outcome `json:"outcome"`
	// Request is the request id, as in HeaderRequest.
	Request string `json:"request-id"`
	Service string `json:"service,omitempty"`
	Server  string `json:"server,omitempty"`
}
