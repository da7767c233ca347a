package policy

import "example.org/mustardring/pkg/caller"

// IdempotencyRecord is the memory that a non-idempotent request was sent, as instances tell it to each
// other.
type IdempotencyRecord struct {
	Service   string `json:"service"`
	RequestID ID     `json:"name"`
	// Hash is the request's place in the hash space.
	Hash uint64 `json:"hash"`
	// SubmissionID identifies one sending of the request. A request that is passed on to another
	// gate before it ran keeps it; a caller's resend has another one.
	SubmissionID ID `json:"sending"`
	// Fingerprint is that of the first sending.
	Fingerprint Fingerprint `json:"print"`
	// UntilMillis is when the mark may be forgotten, in Unix milliseconds.
	UntilMillis int64 `json:"until-ms"`
	// Outcome is Unknown until the gate has told what became of the request. NotRun takes
	// the mark back.
	Outcome caller.Outcome `json:"outcome"`
	// Status is the HTTP status of the answer if Outcome is Ran.
	Status int `json:"status,omitempty"`
}
