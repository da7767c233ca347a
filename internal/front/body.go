package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/caller"
)

// The errors that end a request early.
var (
	errDeadline = errors.New("front: deadline passed")
	errBodySize = errors.New("front: body too large")
	errBodyCut  = errors.New("front: body ended early")
)

// body is the body of a request on its way to the next hop. Its Close does nothing, so that
// an untouched body can be offered to another address.
type body struct {
	from  io.Reader
	left  int64
	begun atomic.Bool
	fault atomic.Pointer[error]
}

// newBody returns a body that yields at most limit bytes; a limit of zero bounds nothing.
func newBody(from io.Reader, limit int64) *body {
	if limit <= 0 {
		limit = 1<<63 - 2
	}
	return &body{from: from, left: limit + 1}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.begun.Store(true)
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.from.Read(p)
	b.left -= int64(n)
	if b.left <= 0 {
		return 0, b.fail(errBodySize)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return n, b.fail(errBodyCut)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error { return nil }

// touched reports whether bytes may have been taken.
func (b *body) touched() bool { return b.begun.Load() }

func (b *body) fail(err error) error {
	b.fault.Store(&err)
	return err
}

// cause returns why reading failed, nil if it did not.
func (b *body) cause() error {
	if err := b.fault.Load(); err != nil {
		return *err
	}
	return nil
}

func limitOf(s *bundle.Service) int64 {
	return s.Limits.BodyBytes
}

// failed returns the refusal for a request that ended without an answer.
func failed(ctx context.Context, b *body, outcome caller.Outcome) refusal {
	no := refusal{status: http.StatusBadGateway, reason: ReasonServerLost, outcome: outcome, retry: retrySoon}
	switch {
	case errors.Is(b.cause(), errBodySize):
		no.status, no.reason, no.retry = http.StatusRequestEntityTooLarge, ReasonBodyTooBig, 0
	case errors.Is(b.cause(), errBodyCut):
		no.status, no.reason, no.retry = http.StatusBadRequest, ReasonBodyCut, 0
	case errors.Is(context.Cause(ctx), errDeadline):
		no.status, no.reason = http.StatusGatewayTimeout, ReasonTimeout
	case ctx.Err() != nil:
		no.status, no.reason, no.retry = statusCallerGone, ReasonCanceled, 0
	}
	return no
}
