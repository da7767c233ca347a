package front

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// The errors that end a request before the server has responded.
var (
	errDeadline     = errors.New("front: deadline of request passed")
	errBodyTooLarge = errors.New("front: body of request is too large")
	errBodyCut      = errors.New("front: body of request ended early")
)

// The limits of the memory for request bodies.
const (
	// maxPrefixBytes is how much of one body is buffered.
	maxPrefixBytes = 64 << 10
	// maxBufferedBytes is how much all requests of an instance buffer. Beyond it, bodies are
	// streamed and their requests cannot be retried.
	maxBufferedBytes = 64 << 20
)

// body is the body of a request that is sent to the next hop. Its first part is buffered, so that a
// slow caller does not occupy a slot while it sends, and so that a short body can be sent again.
// Close does nothing, because an HTTP client closes the body after each attempt.
type body struct {
	src io.Reader
	// remaining is how many bytes may still be read from src.
	remaining int64
	// prefix is the buffered first part. Read continues at offset.
	prefix []byte
	offset int
	// complete says that prefix is the whole body.
	complete bool
	// streaming says that Read has gone beyond the prefix.
	streaming bool
	// reserved is the part of bufferedBytes, the total of the instance, that this body takes.
	reserved      int64
	bufferedBytes *atomic.Int64
	readErr       atomic.Pointer[error]
}

// newBody returns a body of at most limit bytes; zero means no limit.
func (f *Front) newBody(q *request, limit int64) *body {
	if limit <= 0 {
		limit = 1<<63 - 2
	}
	return &body{src: q.Body, remaining: limit, complete: q.ContentLength == 0, bufferedBytes: &f.bufferedBytes}
}

// buffer reads up to maxPrefixBytes into memory. Reads fail after the deadline. It does nothing if
// the body was read before, or if the instance already buffers maxBufferedBytes.
func (b *body) buffer(w http.ResponseWriter, length int64, deadline time.Time) error {
	if b.complete || b.streaming || b.reserved > 0 {
		return b.readError()
	}
	size := int64(maxPrefixBytes)
	if length > 0 {
		size = min(size, length)
	}
	if b.bufferedBytes.Add(size) > maxBufferedBytes {
		b.bufferedBytes.Add(-size)
		return nil
	}
	b.reserved = size
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	prefix := make([]byte, size)
	n, err := io.ReadFull(limitedReader{b}, prefix)
	_ = control.SetReadDeadline(time.Time{})
	b.prefix = prefix[:n]
	switch {
	case err == nil:
		b.complete = int64(n) == length
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		b.complete = true
	default:
		return err
	}
	return nil
}

// releaseBody subtracts the memory of the body from the total of the instance.
func (q *request) releaseBody() {
	if q.body != nil {
		q.body.bufferedBytes.Add(-q.body.reserved)
	}
}

// rewind makes the next Read start at the beginning. It returns false if that is not possible
// because bytes beyond the buffered prefix have been read.
func (b *body) rewind() bool {
	if b.streaming && !b.complete {
		return false
	}
	b.offset = 0
	return true
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.offset < len(b.prefix) {
		n := copy(p, b.prefix[b.offset:])
		b.offset += n
		return n, nil
	}
	if b.complete {
		return 0, io.EOF
	}
	b.streaming = true
	return limitedReader{b}.Read(p)
}

// Close implements io.Closer.
func (b *body) Close() error { return nil }

// readError returns the error with which reading from the caller failed, or nil.
func (b *body) readError() error {
	if err := b.readErr.Load(); err != nil {
		return *err
	}
	return nil
}

// limitedReader reads from the caller and enforces the limit of the body. It asks for one byte more
// than the limit to notice a body that is too large.
type limitedReader struct{ *body }

// Read implements io.Reader.
func (s limitedReader) Read(p []byte) (int, error) {
	b := s.body
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.src.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, b.fail(errBodyTooLarge)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return n, b.fail(errBodyCut)
	}
	return n, err
}

func (b *body) fail(err error) error {
	b.readErr.Store(&err)
	return err
}
