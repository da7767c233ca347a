package upstr

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// The sizes of a connection's buffers. A request whose head and body fit goes out in one
// write.
const (
	readBufferSize  = 8 << 10
	writeBufferSize = 8 << 10
)

// errHeadTooLarge is returned when the head of an answer is larger than headBytes.
var errHeadTooLarge = errors.New("upstr: head of the answer too large")

// pastDeadline is a deadline that ends all reading and writing.
var pastDeadline = time.Unix(1, 0)

// conn is a connection to a backend server. It carries one request at a time, and belongs to
// the goroutine that carries it.
type conn struct {
	net.Conn
	client *Client
	peeker *peeker
	in     *bufio.Reader
	out    *bufio.Writer
	// idleSince is when the connection last had nothing to do.
	idleSince time.Time
	// reused says that the connection carried a request before the present one.
	reused bool
	// mayHaveWritten says that bytes of the present request may have left.
	mayHaveWritten bool
	// writeDeadline is the deadline of writing, zero for none.
	writeDeadline time.Time
	// headRemaining is the number of bytes that the head of the answer may still have; negative
	// while the body is read.
	headRemaining int

	// mu guards what follows. Serial is that of the present request, zero from when its fate
	// is known: from then on it cannot be interrupted. Interrupted says that it was.
	mu          sync.Mutex
	serial      uint64
	interrupted bool
}

func newConn(raw net.Conn, s *Client) *conn {
	c := &conn{Conn: raw, client: s, peeker: newPeeker(raw)}
	c.in = bufio.NewReaderSize(c, readBufferSize)
	c.out = bufio.NewWriterSize(c, writeBufferSize)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.headRemaining == 0 {
		return 0, errHeadTooLarge
	}
	if c.headRemaining > 0 && len(p) > c.headRemaining {
		p = p[:c.headRemaining]
	}
	n, err := c.Conn.Read(p)
	if c.headRemaining > 0 {
		c.headRemaining -= n
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	before := c.mayHaveWritten
	c.mayHaveWritten = true
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.mayHaveWritten = before
	}
	return n, err
}

// begin prepares the connection for a request.
func (c *conn) begin(serial uint64, deadline time.Time) {
	c.mayHaveWritten = false
	c.headRemaining = maxHeadBytes
	if deadline != c.writeDeadline {
		c.writeDeadline = deadline
		_ = c.SetWriteDeadline(deadline)
	}
	c.mu.Lock()
	c.serial, c.interrupted = serial, false
	c.mu.Unlock()
}

// ignoreInterrupts says that the request's fate is known.
func (c *conn) ignoreInterrupts() {
	c.mu.Lock()
	c.serial = 0
	c.mu.Unlock()
}

// interrupt ends the reading and writing of a request. It does nothing if the connection
// carries another one by now.
func (c *conn) interrupt(serial uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serial == serial {
		c.interrupted = true
		c.writeDeadline = pastDeadline
		_ = c.SetDeadline(pastDeadline)
	}
}

// setReadDeadline sets the deadline of reading, unless the request was interrupted.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.SetReadDeadline(t)
	}
}

// hasHead reports whether the whole head of the answer is in memory.
func (c *conn) hasHead() bool {
	head, _ := c.in.Peek(c.in.Buffered())
	return bytes.Contains(head, []byte("\r\n\r\n"))
}

// readHead reads the head of the answer, leaving out informational ones.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.in, r)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			c.headRemaining = -1
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("upstr: protocol switched unasked")
		}
	}
}

// cancelRequest takes leave of a server that may still run the request, and calls done when it has
// dropped it. Only the sending side is closed: the server takes that as a cancellation, and
// closes the connection when it has dropped the work. If the connection went silent even
// that is left out, to hear whether the server was only slow.
func (c *conn) cancelRequest(s *attempt) {
	c.ignoreInterrupts()
	if c.client.settings.CancelByFullClose {
		c.discard()
		s.done(true)
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && !s.connSilent {
		_ = half.CloseWrite()
	}
	go c.awaitServerClose(s)
}

// awaitServerClose reads until the server closes the connection, or until the request's time is over
// if it does not, and then calls done.
//
// A timeout in the kernel ends the connection but proves nothing: the server may run on at
// the other end of a connection that went silent. Then the request ends with its time.
func (c *conn) awaitServerClose(s *attempt) {
	defer s.done(true)
	_ = c.SetReadDeadline(s.dropDeadline)
	var scrap [4 << 10]byte
	for {
		n, err := c.Conn.Read(scrap[:])
		if n > 0 {
			c.client.observeLatency(time.Since(s.startedAt))
		}
		if err == nil {
			continue
		}
		c.discard()
		var failure net.Error
		if errors.As(err, &failure) && failure.Timeout() {
			time.Sleep(time.Until(s.dropDeadline))
		}
		return
	}
}

// discard closes the connection.
func (c *conn) discard() {
	_ = c.Close()
	c.client.removeConn(c)
}

// responseBody is the body of an answer.
type responseBody struct {
	io.ReadCloser
	conn    *conn
	attempt *attempt
	// reusable says that the connection may carry another request afterwards.
	reusable bool
	ended    bool
}

// Read implements io.Reader. At the end of the body the server is done.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	if b.conn.in.Buffered() == 0 {
		b.conn.setReadDeadline(time.Now().Add(bodyReadTimeout))
	}
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.finish()
		return n, io.EOF
	}
	return n, b.conn.client.classifyError(b.attempt, err)
}

// Close implements io.Closer. Before the end of the body it cancels the request.
func (b *responseBody) Close() error {
	if !b.ended {
		b.ended = true
		b.attempt.stopContextWatch()
		b.conn.cancelRequest(b.attempt)
	}
	return nil
}

// finish gives the connection back after the whole answer.
//
// Bytes beyond the answer would become the answer to the next request, which may be another
// caller's. A connection with any is closed.
func (b *responseBody) finish() {
	b.ended = true
	b.attempt.stopContextWatch()
	b.conn.ignoreInterrupts()
	if b.reusable && b.conn.in.Buffered() == 0 && b.attempt.writtenWhole() {
		b.conn.client.putIdle(b.conn)
	} else {
		b.conn.discard()
	}
	b.attempt.done(true)
}
