// Package logcl is the client of the platform's append-only log service. Log is its central
// interface, Client speaks it over HTTP, and the cores Appender and Reader decide without
// input or output what to send when the service is slow, down, or loses answers.
package logcl

import (
	"context"
	"errors"

	"example.org/mustardring/internal/record"
)

// Errors of Log. Those of an implementation wrap one of them.
var (
	// ErrUnavailable says that the log did not take the call: nothing was written.
	ErrUnavailable = errors.New("logcl: log unavailable")
	// ErrRateLimited says that the log refused an append because of its rate limit.
	ErrRateLimited = errors.New("logcl: append rate limit")
	// ErrUncertain says that an append was sent but no answer came: it may stand in the log.
	ErrUncertain = errors.New("logcl: append uncertain")
	// ErrRefused says that the log will never take this call as it stands.
	ErrRefused = errors.New("logcl: call refused")
	// ErrGap says that the log has forgotten the records that were asked for.
	ErrGap = errors.New("logcl: records forgotten")
)

// Batch is the answer to a Read.
type Batch struct {
	Entries []record.Entry `json:"entries"`
	// Oldest is the oldest offset that the log still keeps.
	Oldest uint64 `json:"oldest"`
	// Next is the offset that the next append will get.
	Next uint64 `json:"next"`
	// Identity changes when the log starts anew, with offsets from zero.
	Identity string `json:"identity"`
}

// Log is the platform's log service.
type Log interface {
	// Append writes data under an ID and returns its offset. A log may write a repeated
	// append twice: readers know it by its ID. The error is ErrUncertain when the append may
	// have taken effect, and otherwise ErrUnavailable, ErrLimited or ErrRefused.
	Append(ctx context.Context, id string, data []byte) (offset uint64, err error)
	// Read returns at most limit records from an offset on. Without such records it waits a
	// while for the first. The error is ErrUnavailable, or ErrGap with the Oldest, Next and
	// Identity of the batch filled in.
	Read(ctx context.Context, from uint64, limit int) (Batch, error)
}
