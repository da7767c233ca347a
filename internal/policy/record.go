package policy

import "example.org/mustardring/pkg/caller"

// IdempotencyRecord says that a non-idempotent request was submitted and what came of it.
// Instances exchange these records, so that a resend through any instance is recognized.
type IdempotencyRecord struct {
	Service   string `json:"service"`
	RequestID ID     `json:"name"`
	// Hash is the position of the request in the hash space.
	Hash uint64 `json:"hash"`
	// SubmissionID identifies one submission of the request. It stays the same when the
	// request is forwarded to another gate before it ran, and differs in a resend.
	SubmissionID ID `json:"sending"`
	// Fingerprint is that of the first submission, or zero if it was not computed.
	Fingerprint Fingerprint `json:"print"`
	// UntilMillis is when the record expires, in Unix milliseconds.
	UntilMillis int64 `json:"until-ms"`
	// Outcome is Unknown until the gate reports the outcome. NotRun makes the receiver drop
	// its record of this submission.
	Outcome caller.Outcome `json:"outcome"`
	// Status is the HTTP status of the response if Outcome is Ran.
	Status int `json:"status,omitempty"`
}
