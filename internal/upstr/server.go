// Package upstr sends requests to backend servers over HTTP and reports what left, what came
// back and when the server was done.
package upstr

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// The errors of a Server.
var (
	// ErrNotSent says that no byte of the request was written to the server.
	ErrNotSent = errors.New("upstr: request not sent")
	// ErrInDoubt says that bytes were written and no whole answer header came back.
	ErrInDoubt = errors.New("upstr: request in doubt")
	// ErrLost marks an ErrInDoubt that came with the loss of the connection.
	ErrLost = errors.New("upstr: server closed the connection")
)

// The bounds of a connection.
const (
	dialTimeout   = 2 * time.Second
	idleTimeout   = 60 * time.Second
	headerBytes   = 64 << 10
	dropGrace     = time.Second
	budgetDivisor = 3
)

// Server is the connections to one backend server.
type Server struct {
	name      string
	address   string
	transport *http.Transport
	budget    chan struct{}
	dialer    func(ctx context.Context, network, address string) (net.Conn, error)
	mu        sync.Mutex
	open      map[*conn]struct{}
}

// NewServer returns the connections to the server at an IP address with port. It opens at
// most a third of the connections that the server accepts from all instances, so that a
// successor of this gate, and heartbeats, have room beside it.
func NewServer(name, address string, connections, slots int) *Server {
	budget := max(connections/budgetDivisor, slots+1)
	s := &Server{
		name:    name,
		address: address,
		budget:  make(chan struct{}, budget),
		dialer:  (&net.Dialer{Timeout: dialTimeout}).DialContext,
		open:    make(map[*conn]struct{}),
	}
	s.transport = &http.Transport{
		DialContext:            s.dial,
		DisableCompression:     true,
		MaxIdleConns:           budget,
		MaxIdleConnsPerHost:    budget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerBytes,
	}
	return s
}

// Name returns the name of the server.
func (s *Server) Name() string { return s.name }

// Address returns the address of the server.
func (s *Server) Address() string { return s.address }

// Answer is the answer of a server. Done is closed when the server is done with the request
// or known to have dropped it: only then its slot is free.
type Answer struct {
	*http.Response
	Done <-chan struct{}
}

// Send sends a request and returns when the answer's header is there. The request's context
// cancels it at any time. Done is never nil, also not with an error. Errors wrap ErrNotSent
// or ErrInDoubt.
func (s *Server) Send(r *http.Request, until time.Time) (Answer, error) {
	f := newFlight(until.Add(dropGrace))
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.carry(f)
		}
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	r.URL.Scheme, r.URL.Host = "http", s.address
	response, err := s.transport.RoundTrip(r) //nolint:bodyclose // the reader of the Answer closes it
	if err == nil {
		b := &body{ReadCloser: response.Body, flight: f}
		if response.Body == http.NoBody {
			b.end()
		}
		response.Body = b
		return Answer{Response: response, Done: f.done}, nil
	}
	if f.abandon() {
		f.finish()
		return Answer{Done: f.done}, fmt.Errorf("%w to %s: %w", ErrNotSent, s.name, err)
	}
	if r.Context().Err() == nil {
		err = fmt.Errorf("%w: %w", ErrLost, err)
	}
	return Answer{Done: f.done}, fmt.Errorf("%w at %s: %w", ErrInDoubt, s.name, err)
}

// Cut closes all connections at once, for when the right to use the server is lost.
func (s *Server) Cut() {
	s.transport.CloseIdleConnections()
	s.mu.Lock()
	open := make([]*conn, 0, len(s.open))
	for c := range s.open {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		_ = c.Conn.Close()
	}
}

// Close closes the idle connections.
func (s *Server) Close() {
	s.transport.CloseIdleConnections()
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	return len(s.budget)
}

func (s *Server) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case s.budget <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	raw, err := s.dialer(ctx, network, address)
	if err != nil {
		<-s.budget
		return nil, err
	}
	c := &conn{Conn: raw}
	c.release = func() { s.forget(c) }
	s.mu.Lock()
	s.open[c] = struct{}{}
	s.mu.Unlock()
	return c, nil
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
	<-s.budget
}

// body is an answer's body that tells its flight when it was read to the end.
type body struct {
	io.ReadCloser
	flight *flight
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.end()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	return b.ReadCloser.Close()
}

func (b *body) end() {
	if c := b.flight.conn.Load(); c != nil {
		c.drop(b.flight)
	}
	b.flight.finish()
}
