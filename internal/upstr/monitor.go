package upstr

import (
	"context"
	"net"
	"sync"
	"time"
)

// The times of a watch.
const (
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// deathWindow is how far apart the ends of two connections may be seen if one loss of the
	// server ended both.
	deathWindow = 100 * time.Millisecond
)

// monitor keeps one connection open on which nothing is sent. When the server's process ends,
// the kernel closes it together with all others; when a server closes a single connection
// because it dislikes a request, it stays. That tells a request that crashes servers from
// one that is only badly answered, also where the server is back within milliseconds.
type monitor struct {
	client  *Client
	once    sync.Once
	cancel  context.CancelFunc
	stopped chan struct{}

	mu sync.Mutex
	// lastBreak is when the connection last ended.
	lastBreak time.Time
	// nextBreak is closed at the next end of the connection.
	nextBreak chan struct{}
}

func newMonitor(s *Client) *monitor {
	return &monitor{client: s, cancel: func() {}, stopped: make(chan struct{}), nextBreak: make(chan struct{})}
}

// start begins the watch with the first request, which waits until the watched connection is
// there: it may be the one that crashes the server.
func (w *monitor) start(ctx context.Context) {
	w.once.Do(func() {
		first := w.dial(ctx)
		ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		w.cancel = cancel
		go w.run(ctx, first)
	})
}

// dial returns a connection to watch, nil if there is none.
func (w *monitor) dial(ctx context.Context) net.Conn {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := w.client.dialer.DialContext(ctx, "tcp", w.client.settings.Address)
	if err != nil {
		return nil
	}
	return c
}

// stop ends the watch and waits for its end.
func (w *monitor) stop() {
	w.once.Do(func() { close(w.stopped) })
	w.cancel()
	<-w.stopped
}

// run keeps a connection until the context ends, and then closes ended.
func (w *monitor) run(ctx context.Context, c net.Conn) {
	defer close(w.stopped)
	pause := minRedialDelay
	for ; ctx.Err() == nil; c = w.dial(ctx) {
		if c != nil {
			pause = minRedialDelay
			w.awaitBreak(ctx, c)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRedialDelay)
	}
}

// awaitBreak keeps a connection until it or the context ends.
func (w *monitor) awaitBreak(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	_, _ = c.Read(make([]byte, 1))
	_ = c.Close()
	if ctx.Err() == nil {
		w.recordBreak()
	}
}

func (w *monitor) recordBreak() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastBreak = time.Now()
	close(w.nextBreak)
	w.nextBreak = make(chan struct{})
}

// ServerDied reports whether the server's process ended when a connection was lost at a time just
// past. It takes up to deathWindow to be sure.
func (s *Client) ServerDied(ctx context.Context, lostAt time.Time) bool {
	s.monitor.mu.Lock()
	recent := s.monitor.lastBreak.After(lostAt.Add(-deathWindow))
	broke := s.monitor.nextBreak
	s.monitor.mu.Unlock()
	if recent {
		return true
	}
	probe, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := s.dialer.DialContext(probe, "tcp", s.settings.Address)
	if err != nil {
		return ctx.Err() == nil
	}
	_ = c.Close()
	select {
	case <-broke:
		return true
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(lostAt.Add(deathWindow))):
		return false
	}
}
