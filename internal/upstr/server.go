// Package upstr sends requests to backend servers over HTTP and reports what left, what came
// back and when the server was done.
//
// It has its own pool of connections beneath the request and answer types of net/http. The
// pool of http.Transport cannot give the evidence that "not run" needs: it sends a request
// again by itself when a kept-alive connection breaks and the request looks idempotent to it
// (GET, or any request with an Idempotency-Key), it may take bytes that a server sent too much
// for the answer to the next request, and it does not tell when a server has dropped a
// cancelled request.
package upstr

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// The errors of a Server.
var (
	// ErrNotSent says that no byte of the request was written to the server.
	ErrNotSent = errors.New("upstr: request not sent")
	// ErrInDoubt says that bytes were written and no whole answer came back.
	ErrInDoubt = errors.New("upstr: request in doubt")
	// ErrLost marks an ErrInDoubt that came with the loss of the connection.
	ErrLost = errors.New("upstr: connection lost")
	// ErrSilent marks an ErrInDoubt of a connection that went silent while the server
	// answers on new ones.
	ErrSilent = errors.New("upstr: connection went silent")
	// ErrDeadline marks an ErrInDoubt of a server that did not answer in time.
	ErrDeadline = errors.New("upstr: no answer by the deadline")
	// ErrConnLimit marks an ErrNotSent: all connections are in use.
	ErrConnLimit = errors.New("upstr: no connection left")
)

// The bounds of connections.
const (
	dialTimeout = 2 * time.Second
	// idleTimeout bounds how long a connection that went silent can go unnoticed between two
	// requests. A new one costs about a millisecond.
	idleTimeout   = 3 * time.Second
	headBytes     = 64 << 10
	budgetDivisor = 3
	// dropGrace is how long after its deadline a server may still run a request.
	dropGrace = time.Second
	// stall is how long a server may take over the next part of an answer's body.
	stall = 30 * time.Second
)

// Settings describe a backend server.
type Settings struct {
	Name string
	// Address is an IP address with port.
	Address string
	// MaxConns is the number that the server accepts from all instances.
	MaxConns int
	Slots    int
	// SilenceTimeout is the least time for which a connection may be silent before it is doubted;
	// zero means DefaultPatience.
	SilenceTimeout time.Duration
	// IdleTimeout is how long a connection may be idle before it is used again; zero means
	// idleTimeout.
	IdleTimeout time.Duration
	// NoDeathMonitor leaves out the connection by which the end of the server is seen: Died may not
	// be asked then.
	NoDeathMonitor bool
	// CancelByFullClose says that the server takes only the end of the whole connection as a cancellation,
	// not that of its sending side.
	CancelByFullClose bool
	// UserTimeout is how long sent bytes may stay unacknowledged before the connection is
	// lost; zero means userTimeoutMillis.
	UserTimeout time.Duration
}

// DefaultSilenceTimeout is long beside the answers of today's services.
const DefaultSilenceTimeout = time.Second

// Client is the connections to one backend server.
type Client struct {
	settings Settings
	budget   int
	dialer   net.Dialer
	// slowest is the longest time to an answer of late, in nanoseconds.
	slowest atomic.Int64
	watch   *watch
	// serial numbers the requests.
	serial atomic.Uint64

	mu     sync.Mutex
	open   map[*conn]struct{}
	dials  int
	idle   []*conn
	reaper *time.Timer
	closed bool
}

// filled returns the settings with the defaults in place.
func (s Settings) filled() Settings {
	if s.SilenceTimeout == 0 {
		s.SilenceTimeout = DefaultSilenceTimeout
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = idleTimeout
	}
	if s.UserTimeout == 0 {
		s.UserTimeout = userTimeoutMillis * time.Millisecond
	}
	return s
}

// NewClient returns the connections to a server. It opens at most a third of the connections
// that the server accepts, so that a successor of this gate, and heartbeats, have room
// beside it. Close ends it.
func NewClient(settings Settings) *Client {
	settings = settings.filled()
	s := &Client{
		settings: settings,
		budget:   max(settings.MaxConns/budgetDivisor, settings.Slots+1),
		dialer:   net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: UserTimeout(settings.UserTimeout)},
		open:     make(map[*conn]struct{}),
	}
	s.slowest.Store(int64(settings.SilenceTimeout) / patienceTimes)
	s.watch = newWatch(s)
	return s
}

// HasSettings reports whether the server was made from the given settings.
func (s *Client) HasSettings(settings Settings) bool { return s.settings == settings.filled() }

// SendOptions says how a request is to be sent.
type SendOptions struct {
	// Deadline is when the head of the answer must be there. The server must have dropped
	// the work shortly after it.
	Deadline time.Time
	// InMemory says that the request's body is in memory, or that it has none.
	InMemory bool
	// NewConn asks for a new connection.
	NewConn bool
	// BeforeWrite, if not nil, is called when a connection is there, immediately before the first
	// byte is written. Its error ends the request unsent.
	BeforeWrite func() error
	// Done is called once, in any case, when the server is done with the request or known to
	// have dropped it: only then its slot is free. Sent says whether bytes may have left.
	Done func(sent bool)
}

func (o *SendOptions) permitted() error {
	if o.BeforeWrite == nil {
		return nil
	}
	return o.BeforeWrite()
}

// Send sends a request and returns when the head of the answer is there. The request's
// context cancels it at any time. Its answer's body must be closed. Errors wrap ErrNotSent or
// ErrInDoubt.
func (s *Client) Send(r *http.Request, o SendOptions) (*http.Response, error) {
	if !s.settings.NoDeathMonitor {
		s.watch.start(r.Context())
	}
	c, err := s.get(r.Context(), o)
	if err != nil {
		o.Done(false)
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, s.settings.Name, err)
	}
	if err := o.permitted(); err != nil {
		s.put(c)
		o.Done(false)
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, s.settings.Name, err)
	}
	out := &sending{
		serial: s.serial.Add(1), request: r, began: time.Now(),
		deadline: o.Deadline, until: o.Deadline.Add(dropGrace), done: o.Done,
	}
	c.begin(out.serial, out.writeDeadline(o))
	out.stop = context.AfterFunc(r.Context(), func() { c.interrupt(out.serial) })
	if err := out.write(c, o.InMemory); err != nil {
		return nil, s.giveUp(out, c, err)
	}
	response, err := out.await(c)
	if err != nil {
		return nil, s.giveUp(out, c, err)
	}
	s.observe(time.Since(out.began))
	b := &body{ReadCloser: response.Body, conn: c, sending: out, keep: !response.Close && !r.Close}
	response.Body = b
	if b.ReadCloser == http.NoBody {
		b.finish()
	}
	return response, nil
}

// giveUp ends a request without an answer.
func (s *Client) giveUp(out *sending, c *conn, err error) error {
	out.stop()
	if out.writing == nil && !c.wrote {
		c.settle()
		c.end()
		out.done(false)
		return fmt.Errorf("%w to %s: %w", ErrNotSent, s.settings.Name, err)
	}
	failure := s.failure(out, err)
	c.withdraw(out)
	return failure
}

// failure says what an error after the first byte means.
func (s *Client) failure(out *sending, err error) error {
	switch {
	case out.silent:
		err = ErrSilent
	case out.request.Context().Err() != nil:
		err = context.Cause(out.request.Context())
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = fmt.Errorf("%w: %w", ErrDeadline, err)
	default:
		err = fmt.Errorf("%w: %w", ErrLost, err)
	}
	return fmt.Errorf("%w at %s: %w", ErrInDoubt, s.settings.Name, err)
}

// CloseConns closes all connections at once, for when the right to use the server is lost.
func (s *Client) CloseConns() {
	s.dropIdle()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.Close()
	}
}

// Close closes the idle connections, and others when they become idle, and ends the watch.
// Requests in progress go on.
func (s *Client) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.dropIdle()
	s.watch.stop()
}

// OpenConns returns the number of open connections, those being opened included.
func (s *Client) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open) + s.dials
}

// get returns a connection for a request.
func (s *Client) get(ctx context.Context, o SendOptions) (*conn, error) {
	for !o.NewConn {
		c := s.takeIdle()
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < s.settings.IdleTimeout && c.peeker.quiet() {
			c.reused = true
			return c, nil
		}
		c.end()
	}
	if !s.reserve() {
		return nil, ErrConnLimit
	}
	dialer := s.dialer
	dialer.Deadline = o.Deadline
	raw, err := dialer.DialContext(ctx, "tcp", s.settings.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials--
	if err != nil {
		return nil, err
	}
	c := newConn(raw, s)
	s.open[c] = struct{}{}
	return c, nil
}

// reserve counts a connection about to be opened. If all are in use an idle one gives way.
func (s *Client) reserve() bool {
	for {
		s.mu.Lock()
		if len(s.open)+s.dials < s.budget {
			s.dials++
			s.mu.Unlock()
			return true
		}
		s.mu.Unlock()
		c := s.takeIdle()
		if c == nil {
			return false
		}
		c.end()
	}
}

// takeIdle returns the connection that became idle last, nil if there is none.
func (s *Client) takeIdle() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.idle) - 1
	if last < 0 {
		return nil
	}
	c := s.idle[last]
	s.idle[last] = nil
	s.idle = s.idle[:last]
	return c
}

// put makes a connection idle.
func (s *Client) put(c *conn) {
	c.idleSince = time.Now()
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		c.end()
		return
	}
	s.idle = append(s.idle, c)
	if s.reaper == nil {
		s.reaper = time.AfterFunc(s.settings.IdleTimeout, s.reap)
	}
	s.mu.Unlock()
}

// reap closes the connections that have been idle for too long.
func (s *Client) reap() {
	s.mu.Lock()
	limit := time.Now().Add(-s.settings.IdleTimeout)
	fresh := slices.IndexFunc(s.idle, func(c *conn) bool { return c.idleSince.After(limit) })
	if fresh < 0 {
		fresh = len(s.idle)
	}
	old := slices.Clone(s.idle[:fresh])
	s.idle = slices.Delete(s.idle, 0, fresh)
	s.reaper = nil
	if len(s.idle) > 0 {
		s.reaper = time.AfterFunc(time.Until(s.idle[0].idleSince.Add(s.settings.IdleTimeout)), s.reap)
	}
	s.mu.Unlock()
	for _, c := range old {
		c.end()
	}
}

// dropIdle closes all idle connections.
func (s *Client) dropIdle() {
	for c := s.takeIdle(); c != nil; c = s.takeIdle() {
		c.end()
	}
}

func (s *Client) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}
