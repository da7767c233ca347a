// Package inlet implements an HTTP/1.1 server that handles pipelined requests concurrently.
//
// The server of net/http handles the requests of a connection one after the other, so a caller
// that pipelines requests waits for the sum of their times. Here they are handled at the same
// time, and their replies are written in order. As the server keeps reading, it also notices at
// once when a caller closes the connection.
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

// Reply is the reply to a request of a caller.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Abort closes the connection without writing a reply.
	Abort bool
	// ID is that of the request, for End.
	ID string
}

// Handler handles a request. Its context is cancelled when the caller closes the connection. The
// body of the request has been read into memory. A nil reply aborts like Reply.Abort.
type Handler func(ctx context.Context, r *http.Request) *Reply

// Limits are the limits of requests and connections.
type Limits struct {
	// HeaderBytes is the maximum size of a request head, and BodyBytes that of a body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long a head may take from its first byte to its last, and IdleTimeout
	// how long a connection without requests in progress is kept open.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits are the limits while no configuration has been read.
var DefaultLimits = Limits{
	HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
}

// Refusal is an error reply of the server itself to a request that could not be read. The request has reached no handler. The
// reply is not written if an earlier one was the last of the connection.
type Refusal struct {
	// Request is the head of the request, nil if that could not be read. Its body must not be read.
	Request *http.Request
	Status  int
	// Pending is how many requests of the connection are answered before.
	Pending int
	// Err is why the head could not be read.
	Err error
}

// Server accepts the connections of callers.
type Server struct {
	// Refused is called for each refusal. It must not block; nil means that nothing is called. It must not be changed once
	// the server has been started.
	Refused func(Refusal)
	// Ended is called at the end of each connection, as Refused is.
	Ended func(End)

	handler Handler
	limits  func() Limits
	memory  *Memory
	// draining says that connections are closed after the reply to their last pending request.
	draining atomic.Bool
	// inFlight is the number of requests whose reply has not been written.
	inFlight atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
	// connsDone waits for the goroutines of all connections.
	connsDone sync.WaitGroup
}

// New returns a server. Limits is called for each request. If memory is nil, the bodies are not bounded together.
func New(handler Handler, limits func() Limits, memory *Memory) *Server {
	if memory == nil {
		memory = NewMemory(0, MemoryDeps{})
	}
	return &Server{handler: handler, limits: limits, memory: memory, conns: map[*conn]struct{}{}}
}

// acceptRetryDelay is the delay after a failure to accept a connection, for example because the
// process has run out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until the context ends, which closes the listener, or until the
// listener is closed. It does not wait for the connections.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		raw, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return ctx.Err()
		case err != nil:
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startConn(raw)
	}
}

// startConn serves a connection in its own goroutine.
func (s *Server) startConn(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.connsDone.Add(1)
	go func() {
		defer s.connsDone.Done()
		c.run()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Drain makes the server close each connection after a reply behind which no other request waits.
// It keeps accepting connections and requests.
func (s *Server) Drain() { s.draining.Store(true) }

// Finish stops reading requests. It ends connections without requests in progress; the others
// end after the replies to the requests that have been read. Each is closed once its caller has closed its side.
//
// Drain is not enough to stop a server: a caller that always sends its next request before it has
// the previous reply keeps its connection open. Requests of such a caller were accepted four
// seconds after the signal to stop, and cut short by the end of the process.
func (s *Server) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.stopReading()
	}
}

// InFlight returns the number of requests in progress on all connections. A request is in progress
// until its reply has been written.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Conns returns the number of open connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all connections at once and waits until they have ended.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		_ = c.raw.Close()
	}
	s.mu.Unlock()
	s.connsDone.Wait()
}
