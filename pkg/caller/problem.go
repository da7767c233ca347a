package caller

// ContentTypeProblem is the media type of a Problem (RFC 9457).
const ContentTypeProblem = "application/problem+json"

// ProblemPrefix begins the type of each Problem. A Reason follows it.
const ProblemPrefix = "urn:mustardring:problem:"

// Headers between entry instances. They are removed from what callers send.
const (
	// HeaderRequest carries the request id of each answer, and between instances of each
	// request, whether the caller chose it or not.
	HeaderRequest = "Mustardring-Request"
	// HeaderCaller is the caller's identity, between which queues are fair.
	HeaderCaller = "Mustardring-Caller"
	// HeaderWitness names the entry instance that remembers the request beside the gate.
	HeaderWitness = "Mustardring-Witness"
	// HeaderSending identifies one sending of a request id.
	HeaderSending = "Mustardring-Sending"
	// HeaderUnsent says "true" on an answer if this sending did not run, nor will, whatever
	// became of earlier sendings of the same id.
	HeaderUnsent = "Mustardring-Unsent"
)

// HeaderReplayed says "true" on the answer to an earlier sending of the same request id.
const HeaderReplayed = "Mustardring-Replayed"

// HeaderAttempt counts the sendings of one request id, from 1. A caller who resends and says
// so gets "not-run" only where no earlier sending can have run.
const HeaderAttempt = "Mustardring-Attempt"

// Problem is the body of an answer that mustardring itself gives instead of a server's.
type Problem struct {
	// Type is ProblemPrefix and the Reason.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Reason is the last part of Type.
	Reason  string  `json:"reason"`
	Outcome Outcome `json:"outcome"`
	Request string  `json:"request-id"`
	Service string  `json:"service,omitempty"`
	Server  string  `json:"server,omitempty"`
}
