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
	"strconv"
	"strings"
	"sync"
	"time"
)

// The sizes of a connection.
const (
	// maxPipelined is the number of requests of one connection that run at the same time. What
	// else the caller sends waits in the connection.
	maxPipelined    = 16
	readBufferSize  = 4 << 10
	writeBufferSize = 8 << 10
	// bodyReadTimeout is how long the body of a request may make no progress.
	bodyReadTimeout = 10 * time.Second
	// writeTimeout is how long a caller may take for one write of an answer.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a closed connection is read, so that unread bytes do not reset it
	// before the caller has the last answer.
	lingerTimeout = 300 * time.Millisecond
)

// pipelineEntry is the place of a request in the order of answers.
type pipelineEntry struct {
	request *http.Request
	reply   chan *Reply
}

// conn is a connection of a caller.
type conn struct {
	server   *Server
	raw      net.Conn
	in       *bufio.Reader
	out      *bufio.Writer
	head     *headLimiter
	pipeline chan pipelineEntry
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// pending is the number of requests that were read and not answered. Closing says that no
	// more are taken.
	pending int
	closing bool
}

// headLimiter bounds the bytes of a head.
type headLimiter struct {
	net.Conn
	remaining int
}

var errHeadTooLarge = errors.New("inlet: head too large")

// Read implements io.Reader.
func (h *headLimiter) Read(p []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.Conn.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	return n, err
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, pipeline: make(chan pipelineEntry, maxPipelined), head: &headLimiter{Conn: raw}}
	c.in = bufio.NewReaderSize(c.head, readBufferSize)
	c.out = bufio.NewWriterSize(raw, writeBufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run serves the connection to its end.
func (c *conn) run() {
	defer c.raw.Close()
	defer c.cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeReplies()
	}()
	c.readRequests()
	close(c.pipeline)
	<-written
}

// readRequests reads requests and starts their handling, until the caller leaves or the connection
// closes.
func (c *conn) readRequests() {
	for {
		l := c.server.limits()
		c.head.remaining = 1 << 30
		if !c.awaitRequest(l.IdleTimeout) {
			return
		}
		c.head.remaining = l.HeaderBytes + readBufferSize
		deadline := time.Now().Add(l.HeaderTimeout)
		_ = c.raw.SetReadDeadline(deadline)
		r, err := http.ReadRequest(c.in)
		if err != nil && !time.Now().Before(deadline) {
			// What came of a head that is not complete reads like a malformed one.
			err = os.ErrDeadlineExceeded
		}
		if err == nil && headSize(r) > l.HeaderBytes {
			err = errHeadTooLarge
		}
		if err != nil {
			c.reject(err)
			return
		}
		if status := c.readBody(r, l); status != 0 {
			c.enqueueError(status)
			return
		}
		if !c.startHandler(r) {
			return
		}
	}
}

// headSize returns about how large the head of a request is.
func headSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// awaitRequest waits for the first byte of a request. While requests are in progress it waits as long
// as they take: its end then says that the caller left.
func (c *conn) awaitRequest(idle time.Duration) bool {
	for {
		_ = c.raw.SetReadDeadline(time.Now().Add(idle))
		_, err := c.in.Peek(1)
		switch {
		case err == nil:
			return true
		case errors.Is(err, os.ErrDeadlineExceeded) && c.hasPending():
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			return false
		default:
			c.mu.Lock()
			closing := c.closing
			c.mu.Unlock()
			if !closing {
				c.cancel()
			}
			return false
		}
	}
}

func (c *conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

// reject answers a request that cannot be read.
func (c *conn) reject(err error) {
	switch {
	case errors.Is(err, errHeadTooLarge):
		c.enqueueError(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.enqueueError(http.StatusRequestTimeout)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		c.cancel()
	default:
		c.enqueueError(http.StatusBadRequest)
	}
}

// readBody reads the body of a request into memory. It returns the status of a refusal, zero for
// none.
func (c *conn) readBody(r *http.Request, l Limits) int {
	c.head.remaining = 1 << 30
	if r.ContentLength == 0 {
		r.Body = http.NoBody
		return 0
	}
	if r.ContentLength > l.BodyBytes {
		return http.StatusRequestEntityTooLarge
	}
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
	var whole bytes.Buffer
	if r.ContentLength > 0 {
		whole.Grow(int(min(r.ContentLength, writeBufferSize)))
	}
	chunk := make([]byte, min(readBufferSize, max(r.ContentLength, 512)))
	for {
		_ = c.raw.SetReadDeadline(time.Now().Add(bodyReadTimeout))
		n, err := r.Body.Read(chunk)
		whole.Write(chunk[:n])
		if int64(whole.Len()) > l.BodyBytes {
			return http.StatusRequestEntityTooLarge
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return http.StatusRequestTimeout
		}
		if err != nil {
			return http.StatusBadRequest
		}
	}
	data := whole.Bytes()
	r.Body = io.NopCloser(bytes.NewReader(data))
	r.ContentLength = int64(len(data))
	r.TransferEncoding = nil
	r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(data)), nil }
	return 0
}

// startHandler begins the handling of a request. It returns false if the connection takes no more.
func (c *conn) startHandler(r *http.Request) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.pending++
	last := r.Close
	if last {
		c.closing = true
	}
	c.mu.Unlock()
	s := pipelineEntry{request: r, reply: make(chan *Reply, 1)}
	c.server.inFlight.Add(1)
	go func() { s.reply <- c.server.handler(c.ctx, r) }()
	c.pipeline <- s
	if last {
		c.watchForClose()
	}
	return !last
}

// watchForClose reads on behind the last request only to see whether the caller leaves.
func (c *conn) watchForClose() {
	for c.hasPending() {
		_ = c.raw.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := c.in.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			if c.hasPending() {
				c.cancel()
			}
			return
		} else if err == nil {
			return
		}
	}
}

func (c *conn) enqueueError(status int) {
	c.mu.Lock()
	c.pending++
	c.closing = true
	c.mu.Unlock()
	c.server.inFlight.Add(1)
	s := pipelineEntry{reply: make(chan *Reply, 1)}
	s.reply <- &Reply{Status: status, Header: http.Header{}}
	c.pipeline <- s
}

// stopReading takes no more requests, and closes the connection if none is in progress.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.pending == 0 {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// writeReplies writes the answers in the order of their requests.
func (c *conn) writeReplies() {
	broken := false
	for s := range c.pipeline {
		reply := <-s.reply
		if broken {
			c.replyDone()
			continue
		}
		last := c.isLastReply()
		if reply == nil || reply.Abort {
			broken = true
		} else if err := c.writeReply(s.request, reply, last); err != nil {
			broken = true
		}
		c.replyDone()
		if broken || last {
			c.shutdown(broken)
			broken = true
		}
	}
}

// replyDone counts a request as answered. Only then it is no longer in progress: a process that
// ended between the handler and the last byte would cut the answer.
func (c *conn) replyDone() {
	c.mu.Lock()
	c.pending--
	c.mu.Unlock()
	c.server.inFlight.Add(-1)
}

// isLastReply reports whether the next answer is the last one of the connection. While the server
// drains, that is the first behind which no other request waits.
func (c *conn) isLastReply() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 1 && c.server.draining.Load() {
		c.closing = true
	}
	return c.closing && c.pending == 1
}

// shutdown ends the connection: at once if an answer was cut, else so that the caller gets the
// last answer whole.
func (c *conn) shutdown(broken bool) {
	if tcp, ok := c.raw.(*net.TCPConn); ok && !broken {
		_ = tcp.CloseWrite()
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		return
	}
	c.cancel()
	_ = c.raw.Close()
}

// writeReply writes one answer.
func (c *conn) writeReply(r *http.Request, a *Reply, last bool) error {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	w := c.out
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(a.Status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(http.StatusText(a.Status))
	_, _ = w.WriteString("\r\n")
	if err := a.Header.Write(w); err != nil {
		return err
	}
	if hasBody(a.Status) {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.Itoa(len(a.Body)))
		_, _ = w.WriteString("\r\n")
	}
	if last {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if r == nil || r.Method != http.MethodHead {
		if _, err := w.Write(a.Body); err != nil {
			return err
		}
	}
	return w.Flush()
}

// hasBody reports whether answers with a status have a body.
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
