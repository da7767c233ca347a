package upstr

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// errSecondWrite refuses a write on a second connection for a request of which bytes may
// have left on a first one.
var errSecondWrite = errors.New("upstr: request already written on another connection")

// The states of a flight.
const (
	flightFresh int32 = iota
	flightWriting
	flightClosed
)

// flight follows one request on the wire. It is the evidence behind "not run": Abandon
// succeeds only if no byte was handed to the kernel, and makes sure that none will be.
type flight struct {
	state atomic.Int32
	conn  atomic.Pointer[conn]
	// until is when the server must have dropped the work at the latest.
	until time.Time
	once  sync.Once
	done  chan struct{}
}

func newFlight(until time.Time) *flight {
	return &flight{until: until, done: make(chan struct{})}
}

// abandon reports whether no byte of the request left. From then on none can.
func (f *flight) abandon() bool {
	return f.state.CompareAndSwap(flightFresh, flightClosed)
}

// finish says that the server is done with the request or known to have dropped it.
func (f *flight) finish() {
	f.once.Do(func() { close(f.done) })
}

// claim admits the first connection that wants to write and refuses others.
//
// It guards against net/http, which sends a request again by itself on a new connection when
// a kept-alive one breaks and the request looks idempotent to it (GET, or any request with
// an Idempotency-Key): the work would run twice, or a crashing request kill two servers,
// with nobody told. The guard holds because every byte passes here.
func (f *flight) claim(c *conn) bool {
	if f.state.CompareAndSwap(flightFresh, flightWriting) {
		f.conn.Store(c)
		return true
	}
	return f.state.Load() == flightWriting && f.conn.Load() == c
}

// unclaim undoes a claim after a first write of which no byte was taken.
func (f *flight) unclaim() {
	f.conn.Store(nil)
	f.state.CompareAndSwap(flightWriting, flightFresh)
}

// conn is a connection to a backend server that tells its flight what happens on it.
type conn struct {
	net.Conn
	flight atomic.Pointer[flight]
	closed atomic.Bool
	// release gives the connection back to the budget.
	release func()
}

// carry makes the connection carry a flight.
func (c *conn) carry(f *flight) {
	c.flight.Store(f)
}

// drop ends the carrying of a flight.
func (c *conn) drop(f *flight) {
	c.flight.CompareAndSwap(f, nil)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	f := c.flight.Load()
	if f == nil {
		return 0, errSecondWrite
	}
	fresh := f.state.Load() == flightFresh
	if !f.claim(c) {
		return 0, errSecondWrite
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil && fresh {
		f.unclaim()
	}
	return n, err
}

// Close implements net.Conn. While the server may still run a request that came on the
// connection, only the sending side is closed: the server takes that as a cancellation, and
// closes the connection when it has dropped the work, which is when the slot is free again.
func (c *conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	f := c.flight.Load()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if f == nil || f.conn.Load() != c || !ok || isDone(f) {
		return c.end(f)
	}
	if err := half.CloseWrite(); err != nil {
		return c.end(f)
	}
	go c.linger(f)
	return nil
}

// linger reads until the server closes the connection or the request's time is over. It ends
// by itself at f.until, and f.done reports its end.
func (c *conn) linger(f *flight) {
	_ = c.SetReadDeadline(f.until)
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.end(f)
}

func (c *conn) end(f *flight) error {
	err := c.Conn.Close()
	c.release()
	if f != nil && f.conn.Load() == c {
		f.finish()
	}
	return err
}

func isDone(f *flight) bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}
