package load

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// wire is an http.RoundTripper that writes each request exactly once and to one connection,
// from the goroutine of the caller. net/http's Transport costs several times as much, with two
// goroutines for each connection, so that the load tool would be measured in place of the
// entry instance, and it may send a request again by itself.
type wire struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*link
}

// link is one kept connection.
type link struct {
	conn    net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	address string
}

func newWire(dialLimit time.Duration) *wire {
	return &wire{dialer: net.Dialer{Timeout: dialLimit}, idle: make(map[string][]*link)}
}

// RoundTrip implements http.RoundTripper. Of the context it obeys the deadline alone. The
// connection is kept when the body of the answer has been read to its end.
func (w *wire) RoundTrip(r *http.Request) (*http.Response, error) {
	l, err := w.take(r)
	if err != nil {
		return nil, err
	}
	if deadline, ok := r.Context().Deadline(); ok {
		if err := l.conn.SetDeadline(deadline); err != nil {
			l.conn.Close()
			return nil, err
		}
	}
	resp, err := l.exchange(r)
	if err != nil {
		l.conn.Close()
		return nil, err
	}
	resp.Body = &wireBody{ReadCloser: resp.Body, wire: w, link: l, keep: !resp.Close}
	return resp, nil
}

func (l *link) exchange(r *http.Request) (*http.Response, error) {
	if err := r.Write(l.writer); err != nil {
		return nil, err
	}
	if err := l.writer.Flush(); err != nil {
		return nil, err
	}
	return http.ReadResponse(l.reader, r)
}

func (w *wire) take(r *http.Request) (*link, error) {
	address := r.URL.Host
	w.mu.Lock()
	if list := w.idle[address]; len(list) > 0 {
		l := list[len(list)-1]
		w.idle[address] = list[:len(list)-1]
		w.mu.Unlock()
		return l, nil
	}
	w.mu.Unlock()
	conn, err := w.dialer.DialContext(r.Context(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &link{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn), address: address}, nil
}

func (w *wire) keep(l *link) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.idle[l.address] = append(w.idle[l.address], l)
}

// CloseIdleConnections is what http.Client calls by this name.
func (w *wire) CloseIdleConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for address, list := range w.idle {
		for _, l := range list {
			l.conn.Close()
		}
		delete(w.idle, address)
	}
}

// wireBody gives its connection back when it is closed after its end.
type wireBody struct {
	io.ReadCloser
	wire  *wire
	link  *link
	keep  bool
	ended bool
}

// Read implements io.Reader.
func (b *wireBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// Close implements io.Closer. Bytes beyond the stated length of the answer would be taken for
// the next answer, so a connection that has some is not kept.
func (b *wireBody) Close() error {
	if b.link == nil {
		return nil
	}
	l := b.link
	b.link = nil
	if !b.ended || !b.keep || l.reader.Buffered() > 0 {
		return l.conn.Close()
	}
	b.wire.keep(l)
	return nil
}
