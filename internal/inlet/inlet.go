// Package inlet takes requests from callers over HTTP/1.1.
//
// The server of net/http handles the requests of one connection one after the other. Callers
// that send several before the first is answered would wait for the sum of their times. Here
// they run at the same time, and their answers go out in order. Reading on also shows at once
// when a caller has left.
package inlet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Reply is the answer to a request.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Abort closes the connection without an answer.
	Abort bool
}

// Handler answers a request. Its context ends when the caller leaves. The request's body, if
// any, is in memory.
type Handler func(ctx context.Context, r *http.Request) *Reply

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits hold while none are configured.
var DefaultLimits = Limits{
	HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
}

// Server takes connections.
type Server struct {
	handler Handler
	limits  func() Limits
	// draining says that each answer is the last of its connection.
	draining atomic.Bool
	open     atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
	ended sync.WaitGroup
}

// New returns a server. Limits is asked for each request.
func New(handler Handler, limits func() Limits) *Server {
	return &Server{handler: handler, limits: limits, conns: map[*conn]struct{}{}}
}

// acceptPause follows a failure to accept, as when descriptors run out.
const acceptPause = 20 * time.Millisecond

// Serve takes connections until the listener is closed or the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		raw, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return ctx.Err()
		case err != nil:
			time.Sleep(acceptPause)
			continue
		}
		s.start(raw)
	}
}

func (s *Server) start(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.ended.Add(1)
	go func() {
		defer s.ended.Done()
		c.run()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Drain makes each answer the last of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Finish takes no more requests: connections on which none is in progress are closed, the others
// after the answers to those that were read.
//
// A caller that always sends its next request before it has the answer to the one before has no last
// answer while the server only drains: its requests were taken four seconds after the signal to stop,
// and cut by the end of the process.
func (s *Server) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.finish()
	}
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.open.Load() }

// Conns returns the number of connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		_ = c.raw.Close()
	}
	s.mu.Unlock()
	s.ended.Wait()
}
