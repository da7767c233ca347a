package inlet

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// The limits of a connection. Sizes are in bytes.
const (
	// maxPipelined is the capacity of the pipeline. While it is full no more requests are read;
	// what else the caller sends stays in the socket buffers.
	maxPipelined    = 16
	readBufferSize  = 4 << 10
	writeBufferSize = 8 << 10
	// bodyReadTimeout is how long to wait for the next bytes of a body.
	bodyReadTimeout = 10 * time.Second
	// writeTimeout is how long a caller may receive nothing of a reply.
	writeTimeout = 10 * time.Second
)

// pipelineEntry is a request whose reply has not been written. Entries are in the order of the
// requests, which is also the order of the replies.
type pipelineEntry struct {
	// method is the method of the request, empty if the request was rejected before its handler was started. The request
	// itself would keep its body in memory until the reply has been written.
	method string
	reply  chan *Reply
}

// conn is a connection of a caller. One goroutine reads requests, one writes replies, and each
// handler runs in its own.
type conn struct {
	server   *Server
	raw      net.Conn
	in       *bufio.Reader
	out      *bufio.Writer
	head     *headLimiter
	pipeline chan pipelineEntry
	// ctx is the context of all handlers. It is cancelled when the caller has left or the
	// connection has ended.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// pending is the number of requests that have been read and whose reply has not been written.
	// closing says that the connection ends with the reply to the last pending request. If none is pending, one that has just been
	// read is still accepted, so that it gets a reply.
	pending int
	closing bool
	// closeStated says that a reply has stated the end of the connection, or that one was aborted.
	closeStated bool
	// interrupted says that reading fails from now on.
	interrupted bool
	// broken says that nothing more can be delivered: the caller has left, or a reply was not written completely.
	broken bool
	// repliedAt is when the last reply was done.
	repliedAt time.Time
	record    record
}

// headLimiter returns errHeadTooLarge from Read when remaining bytes have been read. Outside of
// request heads, remaining is so large that it does not matter.
type headLimiter struct {
	net.Conn
	remaining int
}

// errHeadTooLarge is the error of a request head beyond Limits.HeaderBytes.
var errHeadTooLarge = errors.New("inlet: request head too large")

// Read implements io.Reader.
func (h *headLimiter) Read(p []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.Conn.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	return n, err
}

// newConn returns a connection that is not served yet.
func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, pipeline: make(chan pipelineEntry, maxPipelined), head: &headLimiter{Conn: raw}}
	c.in = bufio.NewReaderSize(c.head, readBufferSize)
	c.out = bufio.NewWriterSize(c, writeBufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run serves the connection until it ends.
func (c *conn) run() {
	defer c.cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeReplies()
		c.interrupt()
	}()
	c.readRequests()
	close(c.pipeline)
	if c.hasPending() {
		c.discardInput()
	}
	<-written
	c.end()
}

// readRequests reads requests and starts their handlers until the caller leaves or the connection
// is closing.
func (c *conn) readRequests() {
	for {
		l := c.server.limits()
		c.head.remaining = 1 << 30
		if !c.awaitRequest(l.IdleTimeout) {
			return
		}
		c.head.remaining = l.HeaderBytes + readBufferSize
		deadline := time.Now().Add(l.HeaderTimeout)
		c.setReadDeadline(deadline)
		r, err := http.ReadRequest(c.in)
		if err != nil && !time.Now().Before(deadline) {
			// A head that is incomplete at the deadline may be reported as malformed.
			err = os.ErrDeadlineExceeded
		}
		if err == nil && headSize(r) > l.HeaderBytes {
			err = errHeadTooLarge
		}
		if err != nil {
			c.reject(err)
			return
		}
		r.RemoteAddr = c.raw.RemoteAddr().String()
		body, rejection := c.readBody(r, l)
		if rejection != nil {
			c.enqueueLast(rejection)
			return
		}
		if !c.startHandler(r, body) {
			return
		}
	}
}

// headSize returns the approximate size of the head of a request in bytes.
func headSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// awaitRequest waits for the first byte of a request and reports whether there is one. The idle
// timeout does not apply while requests are in progress, and begins with the last reply. If the connection ends meanwhile, the
// caller has left and the handlers are cancelled.
func (c *conn) awaitRequest(idleTimeout time.Duration) bool {
	for idleFrom := time.Now(); ; idleFrom = c.idleSince() {
		c.setReadDeadline(idleFrom.Add(idleTimeout))
		_, err := c.in.Peek(1)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.callerLeft(err)
			return false
		case c.isInterrupted():
			return false
		case time.Since(c.idleSince()) >= idleTimeout && time.Since(idleFrom) >= idleTimeout:
			c.setReason(Idle)
			return false
		}
	}
}

// idleSince returns since when no request has been in progress: now if there is one, the zero time if there was none.
func (c *conn) idleSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 {
		return time.Now()
	}
	return c.repliedAt
}

// isInterrupted reports whether reading was interrupted.
func (c *conn) isInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interrupted
}

// readEnd returns the reason of the end of a connection from which reading has failed, with a nil error at the end of the stream.
func readEnd(err error) EndReason {
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return CallerClosed
	}
	return CallerReset
}

// hasPending reports whether requests of the connection are in progress.
func (c *conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

// reject enqueues the error reply to a request that cannot be read.
func (c *conn) reject(err error) {
	switch {
	case errors.Is(err, errHeadTooLarge):
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(http.StatusRequestTimeout, err)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		c.callerLeft(err)
	default:
		c.refuse(http.StatusBadRequest, err)
	}
}

// readBody reads the body of a request into memory. It returns the buffer, nil if there is no body, or else the reply if
// the body is too large, cannot be read or does not fit into the memory for bodies.
func (c *conn) readBody(r *http.Request, l Limits) (*bodyBuffer, *Reply) {
	c.head.remaining = 1 << 30
	if r.ContentLength == 0 {
		r.Body = http.NoBody
		return nil, nil
	}
	if r.ContentLength > l.BodyBytes {
		return nil, c.refuseBody(r, http.StatusRequestEntityTooLarge)
	}
	b, fits := newBodyBuffer(c.server.memory, r.ContentLength)
	if !fits {
		return nil, c.rejectBody(r, b)
	}
	switch status := c.fillBody(b, r, l); status {
	case 0:
	case http.StatusServiceUnavailable:
		return nil, c.rejectBody(r, b)
	default:
		b.release()
		return nil, c.refuseBody(r, status)
	}
	data := b.data
	r.Body = memoryBody{Reader: bytes.NewReader(data), data: data}
	r.ContentLength = int64(len(data))
	r.TransferEncoding = nil
	r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(data)), nil }
	return b, nil
}

// rejectBody returns the reply to a request whose body does not fit into the memory for bodies.
func (c *conn) rejectBody(r *http.Request, b *bodyBuffer) *Reply {
	defer b.discard()
	return c.server.memory.reject(r, int64(len(b.data)))
}

// fillBody reads the body of a request into a buffer. It returns zero or the status of the error reply, which is 503 if the
// body does not fit.
func (c *conn) fillBody(b *bodyBuffer, r *http.Request, l Limits) int {
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		r.Header.Del("Expect")
		_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		if c.hasPending() {
			return http.StatusExpectationFailed
		}
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return http.StatusBadRequest
		}
	}
	chunk := make([]byte, min(readBufferSize, max(r.ContentLength, 512)))
	for {
		c.setReadDeadline(time.Now().Add(bodyReadTimeout))
		n, err := r.Body.Read(chunk)
		if int64(len(b.data)+n) > l.BodyBytes {
			return http.StatusRequestEntityTooLarge
		}
		if !b.write(chunk[:n]) {
			return http.StatusServiceUnavailable
		}
		if errors.Is(err, io.EOF) {
			return 0
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return http.StatusRequestTimeout
		}
		if err != nil {
			return http.StatusBadRequest
		}
	}
}

// startHandler starts the handler of a request and takes over its body. It returns false if no further request should be
// read, because the connection is closing or the request asks for it to be closed.
func (c *conn) startHandler(r *http.Request, body *bodyBuffer) bool {
	if !c.accept(r.Close) {
		body.release()
		return false
	}
	e := pipelineEntry{method: r.Method, reply: make(chan *Reply, 1)}
	c.server.inFlight.Add(1)
	go func() {
		reply := c.server.handler(c.ctx, r)
		c.server.memory.add(replySize(reply))
		body.release()
		e.reply <- reply
	}()
	c.pipeline <- e
	return !r.Close
}

// accept counts a request and returns true, or returns false if the connection is closing. A request that was read while the
// server finished is accepted if no other reply states the end of the connection.
func (c *conn) accept(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken || c.closeStated || c.closing && c.pending > 0 {
		return false
	}
	c.pending++
	if last {
		c.closing = true
		c.setReasonLocked(Asked)
	}
	if c.closing {
		c.interrupted = false
	}
	return true
}

// errorReply returns a reply without a body.
func errorReply(status int) *Reply { return &Reply{Status: status, Header: http.Header{}} }

// refuse enqueues an error reply and makes it the last one of the connection.
func (c *conn) refuse(status int, err error) {
	c.report(nil, status, err)
	c.enqueueLast(errorReply(status))
}

// refuseBody returns an error reply to a request whose body could not be read.
func (c *conn) refuseBody(r *http.Request, status int) *Reply {
	c.report(r, status, nil)
	return errorReply(status)
}

// report calls Server.Refused.
func (c *conn) report(r *http.Request, status int, err error) {
	if c.server.Refused == nil {
		return
	}
	c.mu.Lock()
	pending := c.pending
	c.mu.Unlock()
	c.server.Refused(Refusal{Request: r, Status: status, Pending: pending, Err: err})
}

// enqueueLast enqueues the reply to a request without a handler and makes it the last one of the connection.
func (c *conn) enqueueLast(reply *Reply) {
	c.mu.Lock()
	c.pending++
	c.closing = true
	c.setReasonLocked(Refused)
	c.mu.Unlock()
	c.server.inFlight.Add(1)
	e := pipelineEntry{reply: make(chan *Reply, 1)}
	e.reply <- reply
	c.pipeline <- e
}

// stopReading makes the connection accept no more requests. If none is in progress it interrupts
// the reader, which ends the connection.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.setReasonLocked(Stopping)
	if c.pending == 0 {
		c.interruptLocked()
	}
}
