package upstr

import (
	"context"
	"net"
	"sync"
	"time"
)

// The times of a monitor.
const (
	// The delay before the connection is opened again. It doubles with each failure to open one.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// deathWindow is how far apart the ends of two connections may be noticed if the death of
	// the server's process ended both.
	deathWindow = 100 * time.Millisecond
)

// monitor detects the death of the server's process, even if the server is back within
// milliseconds. It keeps one connection open on which nothing is sent. When the process dies, the
// kernel closes this connection together with all others. When the server closes only the
// connection of a request that it cannot handle, this connection stays open. That distinguishes a
// request that crashes servers from one that merely gets no proper response.
type monitor struct {
	client *Client
	once   sync.Once
	cancel context.CancelFunc
	// stopped is closed when the monitor has ended.
	stopped chan struct{}

	mu sync.Mutex
	// lastBreak is when the connection last broke.
	lastBreak time.Time
	// nextBreak is closed when the connection breaks the next time.
	nextBreak chan struct{}
}

// newMonitor returns a monitor that has not been started.
func newMonitor(cl *Client) *monitor {
	return &monitor{client: cl, cancel: func() {}, stopped: make(chan struct{}), nextBreak: make(chan struct{})}
}

// start starts the monitor with the first request. It waits until the connection is open, because
// the first request may be the one that crashes the server.
func (m *monitor) start(ctx context.Context) {
	m.once.Do(func() {
		first := m.dial(ctx)
		ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		m.cancel = cancel
		go m.run(ctx, first)
	})
}

// dial opens a connection to the server. It returns nil if that fails.
func (m *monitor) dial(ctx context.Context) net.Conn {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := m.client.dialer.DialContext(ctx, "tcp", m.client.settings.Address)
	if err != nil {
		return nil
	}
	return c
}

// stop stops the monitor and waits until it has ended.
func (m *monitor) stop() {
	m.once.Do(func() { close(m.stopped) })
	m.cancel()
	<-m.stopped
}

// run keeps a connection open until the context ends, starting with c if that is not nil.
func (m *monitor) run(ctx context.Context, c net.Conn) {
	defer close(m.stopped)
	delay := minRedialDelay
	for ; ctx.Err() == nil; c = m.dial(ctx) {
		if c != nil {
			delay = minRedialDelay
			m.awaitBreak(ctx, c)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// awaitBreak waits until the connection breaks, which it records, or until the context ends.
func (m *monitor) awaitBreak(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	n, _ := c.Read(make([]byte, 1))
	_ = c.Close()
	// A server that sends something has not died.
	if n == 0 && ctx.Err() == nil {
		m.recordBreak()
	}
}

// recordBreak records that the connection broke just now.
func (m *monitor) recordBreak() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastBreak = time.Now()
	close(m.nextBreak)
	m.nextBreak = make(chan struct{})
}

// ServerDied reports whether a connection that was lost at the given recent time was lost because
// the server's process died. That is so if the monitor connection broke within deathWindow of it, or
// if the server accepts no new connection. The call may take up to probeTimeout.
func (cl *Client) ServerDied(ctx context.Context, lostAt time.Time) bool {
	cl.monitor.mu.Lock()
	recent := cl.monitor.lastBreak.After(lostAt.Add(-deathWindow))
	nextBreak := cl.monitor.nextBreak
	cl.monitor.mu.Unlock()
	if recent {
		return true
	}
	dialCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := cl.dialer.DialContext(dialCtx, "tcp", cl.settings.Address)
	if err != nil {
		return ctx.Err() == nil
	}
	_ = c.Close()
	select {
	case <-nextBreak:
		return true
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(lostAt.Add(deathWindow))):
		return false
	}
}
