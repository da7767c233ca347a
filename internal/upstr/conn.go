package upstr

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The sizes of a connection's buffers in bytes. A request that fits the write buffer is sent in a
// single write.
const (
	readBufferSize  = 8 << 10
	writeBufferSize = 8 << 10
)

// maxDiscarded is how many bytes are read of the response to a request that was cancelled.
const maxDiscarded = 1 << 20

// errHeadTooLarge is the error of a response head of more than maxHeadBytes.
var errHeadTooLarge = errors.New("upstr: response head too large")

// pastDeadline is a deadline that interrupts all reads and writes.
var pastDeadline = time.Unix(1, 0)

// conn is a connection to a backend server. It carries one attempt at a time and belongs to it; only
// interrupt may be called by other goroutines at any time.
type conn struct {
	net.Conn
	client *Client
	// number is that of the connection among those of this process, uses how many attempts have begun on it.
	number uint64
	uses   int
	peeker *peeker
	in     *bufio.Reader
	out    *bufio.Writer
	// idleSince is when the connection last became idle.
	idleSince time.Time
	// reused says that the connection carried another request before the current one.
	reused bool
	// mayHaveWritten says that bytes of the current request may have been sent.
	mayHaveWritten bool
	// writeDeadline is the write deadline that is set; zero for none.
	writeDeadline time.Time
	// headRemaining is the number of bytes that the head of the response may still have; negative
	// while the body is read.
	headRemaining int

	mu sync.Mutex
	// serial is the number of the current attempt, or zero if it must not be interrupted because
	// its outcome is known.
	serial uint64
	// interrupted says that the current attempt was interrupted.
	interrupted bool
}

// lastConnNumber is the number of the connection that was opened last.
var lastConnNumber atomic.Uint64

// newConn returns a connection of a client that carries no attempt yet.
func newConn(raw net.Conn, cl *Client) *conn {
	c := &conn{Conn: raw, client: cl, number: lastConnNumber.Add(1), peeker: newPeeker(raw)}
	c.in = bufio.NewReaderSize(c, readBufferSize)
	c.out = bufio.NewWriterSize(c, writeBufferSize)
	return c
}

// Read implements net.Conn. It returns errHeadTooLarge if the head of the response exceeds its limit.
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

// Write implements net.Conn. It sets mayHaveWritten unless it fails without writing a byte.
func (c *conn) Write(p []byte) (int, error) {
	previous := c.mayHaveWritten
	c.mayHaveWritten = true
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.mayHaveWritten = previous
	}
	return n, err
}

// begin prepares the connection for an attempt.
func (c *conn) begin(serial uint64, deadline time.Time) {
	c.uses++
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

// ignoreInterrupts makes later interrupts of the current attempt have no effect. It is called when
// the outcome of the attempt is known.
func (c *conn) ignoreInterrupts() {
	c.mu.Lock()
	c.serial = 0
	c.mu.Unlock()
}

// interrupt makes the reads and writes of an attempt fail. It does nothing if the connection
// carries another attempt by now.
func (c *conn) interrupt(serial uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serial == serial {
		c.interrupted = true
		c.writeDeadline = pastDeadline
		_ = c.SetDeadline(pastDeadline)
	}
}

// setReadDeadline sets the read deadline, unless the current attempt was interrupted.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.SetReadDeadline(t)
	}
}

// informational begins a response with status 1xx.
var informational = []byte("HTTP/1.1 1")

// hasHead reports whether the head of the response, which is not informational, has been received completely.
func (c *conn) hasHead() bool {
	head, _ := c.in.Peek(c.in.Buffered())
	return bytes.Contains(head, []byte("\r\n\r\n")) && !bytes.HasPrefix(head, informational)
}

// readHead reads the head of the response.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	response, err := ReadResponse(c.in, r)
	if err == nil {
		c.headRemaining = -1
	}
	return response, err
}

// ReadResponse reads the head of the response to a request. It skips informational responses (status 1xx), as many as the
// reader lets through.
func ReadResponse(in *bufio.Reader, r *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(in, r)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("upstr: unexpected status 101 Switching Protocols")
		}
	}
}

// cancelRequest cancels an attempt whose request the server may still be running, and calls done
// when the server has dropped it.
//
// Only the sending side of the connection is closed. The server takes that as a cancellation, and
// closes the connection when it has dropped the request. With Settings.CancelByFullClose the whole
// connection is closed, and done is called at once. If the connection went silent it is left open
// in both directions, so that a late response shows that the server was only slow.
func (c *conn) cancelRequest(a *attempt) {
	c.ignoreInterrupts()
	if c.client.settings.CancelByFullClose {
		c.discard()
		a.done(true)
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && !a.connSilent {
		_ = half.CloseWrite()
	}
	go c.awaitServerClose(a)
}

// awaitServerClose reads until the server closes the connection or the drop deadline of the attempt
// has passed, and then calls done.
//
// If the kernel ends the connection because of a timeout, the server may still be running the
// request at the other end of a silent connection. So done is called at the drop deadline then, as it is if the server sends
// more than maxDiscarded bytes.
func (c *conn) awaitServerClose(a *attempt) {
	defer a.done(true)
	_ = c.SetReadDeadline(a.dropDeadline)
	var discarded [4 << 10]byte
	for left := maxDiscarded; ; {
		n, err := c.Conn.Read(discarded[:])
		if n > 0 {
			c.client.observeLatency(time.Since(a.startedAt))
		}
		if left -= n; err == nil && left > 0 {
			continue
		}
		c.discard()
		var netErr net.Error
		if err == nil || errors.As(err, &netErr) && netErr.Timeout() {
			time.Sleep(time.Until(a.dropDeadline))
		}
		return
	}
}

// discard closes the connection and removes it from its client.
func (c *conn) discard() {
	_ = c.Close()
	c.client.removeConn(c)
}

// responseBody is the body of a response. It gives the connection back when it has been read.
type responseBody struct {
	io.ReadCloser
	conn    *conn
	attempt *attempt
	// reusable says that neither the request, the response nor SendOptions.LastUse asks for the connection to be closed.
	reusable bool
	ended    bool
}

// Read implements io.Reader. At the end of the body the server is done with the request.
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

// finish gives the connection back after a complete response, and calls done.
//
// A connection with surplus bytes is closed instead: they would be taken for the response to the
// next request, which may be of another caller.
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
