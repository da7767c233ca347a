package front

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// The errors that end a request early.
var (
	errDeadline = errors.New("front: deadline passed")
	errBodySize = errors.New("front: body too large")
	errBodyCut  = errors.New("front: body ended early")
)

// The memory for bodies that are held until a slot is free.
const (
	// maxPrefix is how much of one body is held.
	maxPrefix = 64 << 10
	// maxBuffered is how much is held by all requests of an instance. Beyond it bodies are
	// streamed, and their requests cannot be sent a second time.
	maxBuffered = 64 << 20
)

// body is the body of a request on its way to the next hop. Its first part is held in memory,
// so that a slow caller does not use a slot while it sends, and so that a short body can be
// sent once more. Its Close does nothing.
type body struct {
	from    io.Reader
	left    int64
	prefix  []byte
	at      int
	whole   bool
	begun   bool
	charged int64
	budget  *atomic.Int64
	fault   atomic.Pointer[error]
}

// newBody returns a body that yields at most limit bytes; a limit of zero bounds nothing.
func (f *Front) newBody(q *request, limit int64) *body {
	if limit <= 0 {
		limit = 1<<63 - 2
	}
	return &body{from: q.Body, left: limit, whole: q.ContentLength == 0, budget: &f.buffered}
}

// hold reads the first part into memory, until the deadline. The whole body is in memory if
// it is short.
func (b *body) hold(w http.ResponseWriter, length int64, deadline time.Time) error {
	if b.whole || b.begun || b.charged > 0 {
		return b.cause()
	}
	size := int64(maxPrefix)
	if length > 0 {
		size = min(size, length)
	}
	if b.budget.Add(size) > maxBuffered {
		b.budget.Add(-size)
		return nil
	}
	b.charged = size
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	prefix := make([]byte, size)
	n, err := io.ReadFull(source{b}, prefix)
	_ = control.SetReadDeadline(time.Time{})
	b.prefix = prefix[:n]
	switch {
	case err == nil:
		b.whole = int64(n) == length
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		b.whole = true
	default:
		return err
	}
	return nil
}

// free returns the memory of a request's body.
func (q *request) free() {
	if q.body != nil {
		q.body.budget.Add(-q.body.charged)
	}
}

// rewind starts over. It reports false when part of the body is gone.
func (b *body) rewind() bool {
	if b.begun && !b.whole {
		return false
	}
	b.at = 0
	return true
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.at < len(b.prefix) {
		n := copy(p, b.prefix[b.at:])
		b.at += n
		return n, nil
	}
	if b.whole {
		return 0, io.EOF
	}
	b.begun = true
	return source{b}.Read(p)
}

// Close implements io.Closer.
func (b *body) Close() error { return nil }

// cause returns why reading failed, nil if it did not.
func (b *body) cause() error {
	if err := b.fault.Load(); err != nil {
		return *err
	}
	return nil
}

// source is what the caller sends, with its limit.
type source struct{ *body }

// Read implements io.Reader.
func (s source) Read(p []byte) (int, error) {
	b := s.body
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.from.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, b.fail(errBodySize)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return n, b.fail(errBodyCut)
	}
	return n, err
}

func (b *body) fail(err error) error {
	b.fault.Store(&err)
	return err
}
