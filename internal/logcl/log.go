// Package logcl is a client of the platform's append-only log service. Log is its central
// interface, and Client implements it over HTTP. Appender, Reader and Checkpointer perform no
// I/O: they decide what to append and read, also when the service is slow, down, or loses
// responses.
package logcl

import (
	"context"
	"errors"

	"example.org/mustardring/internal/record"
)

// Errors of Log. The errors of an implementation wrap one of them.
var (
	// ErrUnavailable means that the log did not carry out the call: nothing was written.
	ErrUnavailable = errors.New("logcl: log unavailable")
	// ErrRateLimited means that the log rejected an append because of its rate limit.
	ErrRateLimited = errors.New("logcl: append rate limit exceeded")
	// ErrUncertain means that an append was sent but no usable response arrived: the record may
	// be in the log.
	ErrUncertain = errors.New("logcl: append may have taken effect")
	// ErrRejected means that the log will never accept the call, so that a retry is pointless.
	ErrRejected = errors.New("logcl: call rejected")
	// ErrGap means that the log no longer retains the requested records.
	ErrGap = errors.New("logcl: records no longer retained")
)

// Batch is the result of a Read.
type Batch struct {
	Entries []record.Entry `json:"entries"`
	// Oldest is the oldest offset that the log still retains.
	Oldest uint64 `json:"oldest"`
	// Next is the offset that the next append will get.
	Next uint64 `json:"next"`
	// Identity identifies the log. It changes when the log is replaced by an empty one, whose
	// offsets start from zero. It is empty if the log does not state an identity.
	Identity string `json:"identity"`
}

// Log is the platform's log service.
type Log interface {
	// Append writes data under an ID and returns its offset. A log may write a repeated append
	// twice; readers recognize the duplicate by its ID. The error wraps ErrUncertain if the
	// append may have taken effect, and otherwise ErrUnavailable, ErrRateLimited or ErrRejected.
	Append(ctx context.Context, id string, data []byte) (offset uint64, err error)
	// Read returns at most limit records, starting with the offset from. If there are none, it
	// waits a while for the first. The error wraps ErrUnavailable, ErrRejected, or ErrGap. With
	// ErrGap, the fields Oldest, Next and Identity of the batch are set.
	Read(ctx context.Context, from uint64, limit int) (Batch, error)
}
