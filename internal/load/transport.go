package load

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// transport is an http.RoundTripper that writes each request exactly once, to one connection, in the
// goroutine of the caller. http.Transport is not used because it may retry a request by itself, and
// because it costs several times as much, with two goroutines per connection: a measurement would
// show the load tool rather than the entry instance.
type transport struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*clientConn
}

// clientConn is a connection with its buffers.
type clientConn struct {
	conn    net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	address string
}

func newTransport(dialTimeout time.Duration) *transport {
	return &transport{dialer: net.Dialer{Timeout: dialTimeout}, idle: make(map[string][]*clientConn)}
}

// RoundTrip implements http.RoundTripper. It observes the deadline of the context but, once
// connected, not its cancellation. The connection is reused if the body of the response is read to
// its end and closed.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c, err := t.get(r)
	if err != nil {
		return nil, err
	}
	if deadline, ok := r.Context().Deadline(); ok {
		if err := c.conn.SetDeadline(deadline); err != nil {
			c.conn.Close()
			return nil, err
		}
	}
	resp, err := c.exchange(r)
	if err != nil {
		c.conn.Close()
		return nil, err
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, transport: t, conn: c, reusable: !resp.Close}
	return resp, nil
}

// exchange writes a request and reads the header of the response.
func (c *clientConn) exchange(r *http.Request) (*http.Response, error) {
	if err := r.Write(c.writer); err != nil {
		return nil, err
	}
	if err := c.writer.Flush(); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, r)
}

// get returns an idle connection to the host of the request, or a new one.
func (t *transport) get(r *http.Request) (*clientConn, error) {
	address := r.URL.Host
	t.mu.Lock()
	if list := t.idle[address]; len(list) > 0 {
		c := list[len(list)-1]
		t.idle[address] = list[:len(list)-1]
		t.mu.Unlock()
		return c, nil
	}
	t.mu.Unlock()
	conn, err := t.dialer.DialContext(r.Context(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn), address: address}, nil
}

// put makes a connection available for further requests.
func (t *transport) put(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle[c.address] = append(t.idle[c.address], c)
}

// CloseIdleConnections closes all idle connections. http.Client finds it by its name.
func (t *transport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, list := range t.idle {
		for _, c := range list {
			c.conn.Close()
		}
		delete(t.idle, address)
	}
}

// responseBody returns its connection to the transport when it is closed after a complete read.
type responseBody struct {
	io.ReadCloser
	transport *transport
	conn      *clientConn
	reusable  bool
	ended     bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// Close implements io.Closer. The connection is reused only if the response was read to its end and
// no bytes follow it: bytes beyond the stated length would be read as the next response.
func (b *responseBody) Close() error {
	if b.conn == nil {
		return nil
	}
	c := b.conn
	b.conn = nil
	if !b.ended || !b.reusable || c.reader.Buffered() > 0 {
		return c.conn.Close()
	}
	b.transport.put(c)
	return nil
}
