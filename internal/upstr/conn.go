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
	readBuffer  = 8 << 10
	writeBuffer = 8 << 10
)

// errHead is returned when the head of an answer is larger than headBytes.
var errHead = errors.New("upstr: head of the answer too large")

// past is a deadline that ends all reading and writing.
var past = time.Unix(1, 0)

// conn is a connection to a backend server. It carries one request at a time, and belongs to
// the goroutine that carries it.
type conn struct {
	net.Conn
	server *Client
	peeker *peeker
	in     *bufio.Reader
	out    *bufio.Writer
	// idleSince is when the connection last had nothing to do.
	idleSince time.Time
	// reused says that the connection carried a request before the present one.
	reused bool
	// wrote says that bytes of the present request may have left.
	wrote bool
	// writeDeadline is the deadline of writing, zero for none.
	writeDeadline time.Time
	// headLeft is the number of bytes that the head of the answer may still have; negative
	// while the body is read.
	headLeft int

	// mu guards what follows. Serial is that of the present request, zero from when its fate
	// is known: from then on it cannot be interrupted. Interrupted says that it was.
	mu          sync.Mutex
	serial      uint64
	interrupted bool
}

func newConn(raw net.Conn, s *Client) *conn {
	c := &conn{Conn: raw, server: s, peeker: newPeeker(raw)}
	c.in = bufio.NewReaderSize(c, readBuffer)
	c.out = bufio.NewWriterSize(c, writeBuffer)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHead
	}
	if c.headLeft > 0 && len(p) > c.headLeft {
		p = p[:c.headLeft]
	}
	n, err := c.Conn.Read(p)
	if c.headLeft > 0 {
		c.headLeft -= n
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	before := c.wrote
	c.wrote = true
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.wrote = before
	}
	return n, err
}

// begin prepares the connection for a request.
func (c *conn) begin(serial uint64, deadline time.Time) {
	c.wrote = false
	c.headLeft = headBytes
	if deadline != c.writeDeadline {
		c.writeDeadline = deadline
		_ = c.SetWriteDeadline(deadline)
	}
	c.mu.Lock()
	c.serial, c.interrupted = serial, false
	c.mu.Unlock()
}

// settle says that the request's fate is known.
func (c *conn) settle() {
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
		c.writeDeadline = past
		_ = c.SetDeadline(past)
	}
}

// await sets the deadline of reading, unless the request was interrupted.
func (c *conn) await(t time.Time) {
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

// awaitHead reads the head of the answer, leaving out informational ones.
func (c *conn) awaitHead(r *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.in, r)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			c.headLeft = -1
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("upstr: protocol switched unasked")
		}
	}
}

// withdraw takes leave of a server that may still run the request, and calls done when it has
// dropped it. Only the sending side is closed: the server takes that as a cancellation, and
// closes the connection when it has dropped the work. If the connection went silent even
// that is left out, to hear whether the server was only slow.
func (c *conn) withdraw(s *sending) {
	c.settle()
	if c.server.settings.CancelByFullClose {
		c.end()
		s.done(true)
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && !s.silent {
		_ = half.CloseWrite()
	}
	go c.linger(s)
}

// linger reads until the server closes the connection, or until the request's time is over
// if it does not, and then calls done.
//
// A timeout in the kernel ends the connection but proves nothing: the server may run on at
// the other end of a connection that went silent. Then the request ends with its time.
func (c *conn) linger(s *sending) {
	defer s.done(true)
	_ = c.SetReadDeadline(s.until)
	var scrap [4 << 10]byte
	for {
		n, err := c.Conn.Read(scrap[:])
		if n > 0 {
			c.server.observe(time.Since(s.began))
		}
		if err == nil {
			continue
		}
		c.end()
		var failure net.Error
		if errors.As(err, &failure) && failure.Timeout() {
			time.Sleep(time.Until(s.until))
		}
		return
	}
}

// end closes the connection.
func (c *conn) end() {
	_ = c.Close()
	c.server.forget(c)
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	conn    *conn
	sending *sending
	// keep says that the connection may carry another request afterwards.
	keep  bool
	ended bool
}

// Read implements io.Reader. At the end of the body the server is done.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	if b.conn.in.Buffered() == 0 {
		b.conn.await(time.Now().Add(stall))
	}
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.finish()
		return n, io.EOF
	}
	return n, b.conn.server.failure(b.sending, err)
}

// Close implements io.Closer. Before the end of the body it cancels the request.
func (b *body) Close() error {
	if !b.ended {
		b.ended = true
		b.sending.stop()
		b.conn.withdraw(b.sending)
	}
	return nil
}

// finish gives the connection back after the whole answer.
//
// Bytes beyond the answer would become the answer to the next request, which may be another
// caller's. A connection with any is closed.
func (b *body) finish() {
	b.ended = true
	b.sending.stop()
	b.conn.settle()
	if b.keep && b.conn.in.Buffered() == 0 && b.sending.written() {
		b.conn.server.put(b.conn)
	} else {
		b.conn.end()
	}
	b.sending.done(true)
}
