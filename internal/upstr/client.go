// Package upstr sends requests to backend servers over HTTP. It reports whether any bytes of a
// request may have been sent, what the response was, and when the server was done.
//
// It uses the request and response types of net/http with its own connection pool. The pool of
// http.Transport cannot prove that a request was not run: it retries a request by itself when a
// kept-alive connection breaks and the request looks idempotent to it (GET, or any request with an
// Idempotency-Key), it may take surplus bytes that a server sent for the response to the next
// request, and it does not report when a server has dropped a cancelled request.
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

// The errors of Client.Send and of reading the body of its response. Each error wraps ErrNotSent
// or ErrInDoubt, and possibly one of the others.
var (
	// ErrNotSent means that no byte of the request was written to the server.
	ErrNotSent = errors.New("upstr: request not sent")
	// ErrInDoubt means that bytes may have been written, but no complete response was received.
	ErrInDoubt = errors.New("upstr: request in doubt")
	// ErrLost accompanies ErrInDoubt if the connection was lost or the response was malformed.
	ErrLost = errors.New("upstr: connection lost")
	// ErrSilent accompanies ErrInDoubt if nothing was received on the connection while the
	// server responds on new connections.
	ErrSilent = errors.New("upstr: connection went silent")
	// ErrDeadline accompanies ErrInDoubt if the server did not respond in time.
	ErrDeadline = errors.New("upstr: no response by the deadline")
	// ErrForeign accompanies ErrInDoubt if SendOptions.Verify has rejected the response.
	ErrForeign = errors.New("upstr: response does not belong to the request")
	// ErrNotPassedOn accompanies ErrNotSent if the bytes of the request were written to a connection that goes through
	// another instance, and that one passed none of them on. A connection returns it from Read.
	ErrNotPassedOn = errors.New("upstr: request not passed on to the server")
	// ErrConnLimit accompanies ErrNotSent if all connections are in use.
	ErrConnLimit = errors.New("upstr: all connections in use")
	// ErrUnreachable accompanies ErrNotSent if the server accepts no connection of any instance, as far as is known. A
	// Dialer returns it; a connection that fails for another reason says nothing about the server.
	ErrUnreachable = errors.New("upstr: server unreachable")
)

// The limits and timeouts of connections.
const (
	dialTimeout = 2 * time.Second
	// defaultIdleTimeout bounds how long a silent connection can go unnoticed between two
	// requests. Opening a new connection takes about a millisecond.
	defaultIdleTimeout = 3 * time.Second
	// maxHeadBytes is the maximum size of the head of a response.
	maxHeadBytes = 64 << 10
	// maxConnsDivisor is the divisor of Settings.MaxConns, see NewClient.
	maxConnsDivisor = 3
	// dropGrace is how long after its deadline a request may still occupy the server.
	dropGrace = time.Second
	// bodyReadTimeout is how long to wait for the next bytes of a response body.
	bodyReadTimeout = 30 * time.Second
)

// Settings are the settings of a Client.
type Settings struct {
	// Name is the name of the server in errors.
	Name string
	// Address is an IP address with port.
	Address string
	// MaxConns is the number of connections that the server accepts from all instances, or the part of it that this
	// instance may use. SetMaxConns changes it.
	MaxConns int
	// Slots is the number of requests that the server runs at the same time.
	Slots int
	// SilenceTimeout is how long a request waits at least, on a reused connection without a
	// response, before the connection is checked for having gone silent; zero means
	// DefaultSilenceTimeout.
	SilenceTimeout time.Duration
	// IdleTimeout is how long a connection may be idle and still be reused; zero means
	// defaultIdleTimeout.
	IdleTimeout time.Duration
	// NoDeathMonitor disables the connection that detects the death of the server's process.
	// ServerDied must not be called then.
	NoDeathMonitor bool
	// CancelByFullClose says that closing only the sending side of a connection does not cancel
	// a request at this server; the whole connection must be closed.
	CancelByFullClose bool
	// UserTimeout is how long sent bytes may stay unacknowledged before the connection is
	// lost; zero means defaultUserTimeoutMillis.
	UserTimeout time.Duration
	// Dialer opens the connections for requests; nil means that they are opened directly.
	Dialer Dialer
}

// DefaultSilenceTimeout is much longer than the typical latency of a service.
const DefaultSilenceTimeout = time.Second

// Client sends requests to one backend server over its own pool of connections.
type Client struct {
	settings Settings
	dialer   net.Dialer
	// slowestResponse is the longest recent time to the head of a response, in nanoseconds. It
	// decays with each response.
	slowestResponse atomic.Int64
	monitor         *monitor
	// statedIdle is the time in nanoseconds after which the server closes idle connections, as it last stated; zero if it
	// never has.
	statedIdle atomic.Int64
	// serial is the number of the last attempt.
	serial atomic.Uint64

	mu sync.Mutex
	// maxConns is the maximum number of connections.
	maxConns int
	// open holds all connections, including those in idle, which is ordered by idleSince. dialing
	// is the number of connections that are being opened.
	open    map[*conn]struct{}
	dialing int
	idle    []*conn
	// reaper closes expired idle connections; it is nil if there are none.
	reaper *time.Timer
	closed bool
}

// withDefaults returns the settings with zero values replaced by the defaults.
func (s Settings) withDefaults() Settings {
	if s.SilenceTimeout == 0 {
		s.SilenceTimeout = DefaultSilenceTimeout
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = defaultIdleTimeout
	}
	if s.UserTimeout == 0 {
		s.UserTimeout = defaultUserTimeoutMillis * time.Millisecond
	}
	return s
}

// OwnConns returns how many of maxConns connections that a server with some slots accepts a client may open: a third, or
// one more than the server has slots if that is more. The rest is left for the instance that takes over the server, and for
// heartbeats.
func OwnConns(maxConns, slots int) int { return max(maxConns/maxConnsDivisor, slots+1) }

// NewClient returns a client without connections. Close ends the client.
func NewClient(settings Settings) *Client {
	settings = settings.withDefaults()
	cl := &Client{
		settings: settings,
		maxConns: OwnConns(settings.MaxConns, settings.Slots),
		dialer:   net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: UserTimeout(settings.UserTimeout)},
		open:     make(map[*conn]struct{}),
	}
	cl.slowestResponse.Store(int64(settings.SilenceTimeout) / silenceFactor)
	cl.monitor = newMonitor(cl)
	return cl
}

// HasSettings reports whether the client was created with settings equal to the given ones.
func (cl *Client) HasSettings(settings Settings) bool { return cl.settings == settings.withDefaults() }

// SendOptions are the options of Client.Send.
type SendOptions struct {
	// Deadline is when the head of the response must have arrived. The server is expected to
	// drop the request within a second after it.
	Deadline time.Time
	// InMemory says that the body of the request is in memory, or that there is none.
	InMemory bool
	// NewConn makes Send open a new connection instead of reusing one.
	NewConn bool
	// AvoidConns holds the numbers of connections that must not be reused for this request, see Sending.ConnNumber.
	AvoidConns []uint64
	// LastUse, if not nil, reports whether the connection must not carry another request after a response.
	LastUse func(r *http.Response) bool
	// Verify, if not nil, is called with the head of the response, without its body. If it returns an error, that is the
	// cause of ErrForeign, nothing more is read, and the connection is closed.
	Verify func(r *http.Response) error
	// BeforeWrite, if not nil, is called when a connection is available, immediately before the first byte is written. If
	// it returns an error, the request is not sent.
	BeforeWrite func(s Sending) error
	// Written, if not nil, is called when the whole request has been written to the connection, if it is InMemory.
	Written func()
	// Done is called exactly once, when the server has finished or dropped the request. Only then
	// its slot is free. Sent says whether bytes of the request may have been sent.
	Done func(sent bool)
}

// Sending is one sending of a request on a connection.
type Sending struct {
	Conn net.Conn
	// ConnNumber is the number of the connection among those of this process, and Use that of the request among those that
	// were sent on it, both from 1.
	ConnNumber uint64
	Use        int
}

// runBeforeWrite calls BeforeWrite if it is set.
func (o *SendOptions) runBeforeWrite(c *conn) error {
	if o.BeforeWrite == nil {
		return nil
	}
	return o.BeforeWrite(Sending{Conn: c.Conn, ConnNumber: c.number, Use: c.uses + 1})
}

// runVerify calls Verify if it is set.
func (o *SendOptions) runVerify(r *http.Response) error {
	if o.Verify == nil {
		return nil
	}
	if err := o.Verify(r); err != nil {
		return fmt.Errorf("%w: %w", ErrForeign, err)
	}
	return nil
}

// Send sends a request and returns when the head of the response has arrived. The context of the
// request can cancel it at any time. The caller must close the body of the response. Errors wrap
// ErrNotSent or ErrInDoubt. Send never retries.
func (cl *Client) Send(r *http.Request, o SendOptions) (*http.Response, error) {
	if !cl.settings.NoDeathMonitor {
		cl.monitor.start(r.Context())
	}
	c, err := cl.acquireConn(r.Context(), o)
	if err != nil {
		o.Done(false)
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, cl.settings.Name, err)
	}
	err = o.runBeforeWrite(c)
	if err == nil && r.Context().Err() != nil {
		err = context.Cause(r.Context())
	}
	if err != nil {
		cl.putIdle(c)
		o.Done(false)
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, cl.settings.Name, err)
	}
	a := &attempt{
		serial: cl.serial.Add(1), request: r, startedAt: time.Now(),
		deadline: o.Deadline, dropDeadline: o.Deadline.Add(dropGrace), done: o.Done,
	}
	if through, ok := c.Conn.(interface{ BeginRequest() }); ok {
		through.BeginRequest()
	}
	c.begin(a.serial, a.writeDeadline(o))
	a.stopContextWatch = context.AfterFunc(r.Context(), func() { c.interrupt(a.serial) })
	if err := a.write(c, o.InMemory); err != nil {
		return nil, cl.failAttempt(a, c, err)
	}
	if o.Written != nil && o.InMemory {
		o.Written()
	}
	response, err := a.awaitResponse(c)
	if err == nil {
		err = o.runVerify(response)
	}
	if err != nil {
		return nil, cl.failAttempt(a, c, err)
	}
	cl.observeLatency(time.Since(a.startedAt))
	cl.observeKeepAlive(response.Header)
	if cl.settings.Dialer != nil {
		cl.settings.Dialer.Answered(c.Conn)
	}
	b := &responseBody{ReadCloser: response.Body, conn: c, attempt: a, reusable: !response.Close && !r.Close && (o.LastUse == nil || !o.LastUse(response))}
	response.Body = b
	if b.ReadCloser == http.NoBody {
		b.finish()
	}
	return response, nil
}

// failAttempt ends an attempt that got no response and returns its error.
func (cl *Client) failAttempt(a *attempt, c *conn, err error) error {
	a.stopContextWatch()
	if a.writeDone == nil && (!c.mayHaveWritten || errors.Is(err, ErrNotPassedOn)) {
		c.ignoreInterrupts()
		c.discard()
		a.done(false)
		return fmt.Errorf("%w to %s: %w", ErrNotSent, cl.settings.Name, err)
	}
	failure := cl.classifyError(a, err)
	c.cancelRequest(a)
	return failure
}

// classifyError returns the error of an attempt that failed after its first byte, which wraps
// ErrInDoubt and the cause.
func (cl *Client) classifyError(a *attempt, err error) error {
	switch {
	case a.connSilent:
		err = ErrSilent
	case errors.Is(a.request.Context().Err(), context.DeadlineExceeded):
		err = fmt.Errorf("%w: %w", ErrDeadline, context.Cause(a.request.Context()))
	case a.request.Context().Err() != nil:
		err = context.Cause(a.request.Context())
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = fmt.Errorf("%w: %w", ErrDeadline, err)
	case errors.Is(err, ErrForeign):
	default:
		err = fmt.Errorf("%w: %w", ErrLost, err)
	}
	return fmt.Errorf("%w at %s: %w", ErrInDoubt, cl.settings.Name, err)
}

// CloseConns closes all connections at once, including those in use. It is called when the lease
// of the server is lost.
func (cl *Client) CloseConns() {
	cl.closeIdle()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for c := range cl.open {
		_ = c.Close()
	}
}

// Close closes the idle connections and stops the monitor. Requests in progress go on; their
// connections are closed afterwards.
func (cl *Client) Close() {
	cl.mu.Lock()
	cl.closed = true
	cl.mu.Unlock()
	cl.closeIdle()
	cl.monitor.stop()
}

// OpenConns returns the number of connections, including those that are being opened.
func (cl *Client) OpenConns() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.open) + cl.dialing
}

// HasIdle reports whether a request would reuse a connection. It does not check whether the server has closed that one.
func (cl *Client) HasIdle() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	last := len(cl.idle) - 1
	return last >= 0 && time.Since(cl.idle[last].idleSince) < cl.idleTimeout()
}

// acquireConn returns a connection for a request: the one that became idle last and need not be avoided if it is usable,
// otherwise a new one. It returns ErrConnLimit if all connections are in use.
func (cl *Client) acquireConn(ctx context.Context, o SendOptions) (*conn, error) {
	for !o.NewConn {
		c := cl.takeIdle(o.AvoidConns)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < cl.idleTimeout() && c.peeker.usable() {
			c.reused = true
			return c, nil
		}
		c.discard()
	}
	if !cl.reserveConn() {
		return nil, ErrConnLimit
	}
	raw, err := cl.dialServer(ctx, o.Deadline)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.dialing--
	if err != nil {
		return nil, err
	}
	c := newConn(raw, cl)
	cl.open[c] = struct{}{}
	return c, nil
}

// reserveConn counts a connection that is about to be opened, and reports whether the limit allows
// it. At the limit it closes an idle connection to make room.
func (cl *Client) reserveConn() bool {
	for {
		cl.mu.Lock()
		if len(cl.open)+cl.dialing < cl.maxConns {
			cl.dialing++
			cl.mu.Unlock()
			return true
		}
		cl.mu.Unlock()
		c := cl.takeIdle(nil)
		if c == nil {
			return false
		}
		c.discard()
	}
}

// takeIdle returns the connection that became idle last, but for those with some numbers, nil if there is none.
func (cl *Client) takeIdle(avoid []uint64) *conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for i, c := range slices.Backward(cl.idle) {
		if !slices.Contains(avoid, c.number) {
			cl.idle = slices.Delete(cl.idle, i, i+1)
			return c
		}
	}
	return nil
}

// SetMaxConns changes Settings.MaxConns, and sets how many connections the client may open beyond its part of them.
// Connections beyond the new limit are closed once they are idle.
func (cl *Client) SetMaxConns(maxConns, extra int) {
	cl.mu.Lock()
	cl.maxConns = OwnConns(maxConns, cl.settings.Slots) + extra
	excess := min(len(cl.open)+cl.dialing-cl.maxConns, len(cl.idle))
	var closing []*conn
	if excess > 0 {
		closing = slices.Clone(cl.idle[:excess])
		cl.idle = slices.Delete(cl.idle, 0, excess)
		for _, c := range closing {
			delete(cl.open, c)
		}
	}
	cl.mu.Unlock()
	for _, c := range closing {
		c.discard()
	}
}

// putIdle returns a connection to the pool, or closes it if the client is closed or has too many.
func (cl *Client) putIdle(c *conn) {
	c.idleSince = time.Now()
	cl.mu.Lock()
	if cl.closed || len(cl.open)+cl.dialing > cl.maxConns {
		// Connections that become idle at the same time must not all count the others.
		delete(cl.open, c)
		cl.mu.Unlock()
		c.discard()
		return
	}
	cl.idle = append(cl.idle, c)
	if cl.reaper == nil {
		cl.reaper = time.AfterFunc(cl.idleTimeout(), cl.closeExpiredIdle)
	}
	cl.mu.Unlock()
}

// closeExpiredIdle closes the connections that have been idle for longer than the idle timeout.
func (cl *Client) closeExpiredIdle() {
	cl.mu.Lock()
	cutoff := time.Now().Add(-cl.idleTimeout())
	firstKept := slices.IndexFunc(cl.idle, func(c *conn) bool { return c.idleSince.After(cutoff) })
	if firstKept < 0 {
		firstKept = len(cl.idle)
	}
	expired := slices.Clone(cl.idle[:firstKept])
	cl.idle = slices.Delete(cl.idle, 0, firstKept)
	cl.reaper = nil
	if len(cl.idle) > 0 {
		cl.reaper = time.AfterFunc(time.Until(cl.idle[0].idleSince.Add(cl.idleTimeout())), cl.closeExpiredIdle)
	}
	cl.mu.Unlock()
	for _, c := range expired {
		c.discard()
	}
}

// CloseUnusable closes the idle connections that cannot carry another request.
func (cl *Client) CloseUnusable() {
	cl.mu.Lock()
	var closing []*conn
	cl.idle = slices.DeleteFunc(cl.idle, func(c *conn) bool {
		if c.peeker.usable() {
			return false
		}
		closing = append(closing, c)
		return true
	})
	cl.mu.Unlock()
	for _, c := range closing {
		c.discard()
	}
}

// CloseIdle closes all idle connections.
func (cl *Client) CloseIdle() { cl.closeIdle() }

// closeIdle closes all idle connections.
func (cl *Client) closeIdle() {
	for c := cl.takeIdle(nil); c != nil; c = cl.takeIdle(nil) {
		c.discard()
	}
}

// removeConn removes a closed connection from the count of open connections.
func (cl *Client) removeConn(c *conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	delete(cl.open, c)
}
