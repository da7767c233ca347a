package policy

import "example.org/mustardring/pkg/caller"

// Mark is the memory that a non-idempotent request was sent, kept by another instance than
// the gate.
type Mark struct {
	Service string `json:"service"`
	// ID is the request id that the caller chose.
	ID string `json:"id"`
	// UntilMillis is when the mark may be forgotten, in Unix milliseconds.
	UntilMillis int64 `json:"until-ms"`
	// Outcome is what is known of the request: unknown until the gate has told it.
	Outcome caller.Outcome `json:"outcome"`
}
