package upstr

import (
	"context"
	"net"
	"sync"
	"time"
)

// The times of a watch.
const (
	redialFirst = 100 * time.Millisecond
	redialMost  = 2 * time.Second
	// deathWindow is how far apart the ends of two connections may be seen if one loss of the
	// server ended both.
	deathWindow = 100 * time.Millisecond
)

// watch keeps one connection open on which nothing is sent. When the server's process ends,
// the kernel closes it together with all others; when a server closes a single connection
// because it dislikes a request, it stays. That tells a request that crashes servers from
// one that is only badly answered, also where the server is back within milliseconds.
type watch struct {
	server *Client
	once   sync.Once
	cancel context.CancelFunc
	ended  chan struct{}

	mu sync.Mutex
	// brokeAt is when the connection last ended.
	brokeAt time.Time
	// broke is closed at the next end of the connection.
	broke chan struct{}
}

func newWatch(s *Client) *watch {
	return &watch{server: s, cancel: func() {}, ended: make(chan struct{}), broke: make(chan struct{})}
}

// start begins the watch with the first request, which waits until the watched connection is
// there: it may be the one that crashes the server.
func (w *watch) start(ctx context.Context) {
	w.once.Do(func() {
		first := w.dial(ctx)
		ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		w.cancel = cancel
		go w.run(ctx, first)
	})
}

// dial returns a connection to watch, nil if there is none.
func (w *watch) dial(ctx context.Context) net.Conn {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := w.server.dialer.DialContext(ctx, "tcp", w.server.settings.Address)
	if err != nil {
		return nil
	}
	return c
}

// stop ends the watch and waits for its end.
func (w *watch) stop() {
	w.once.Do(func() { close(w.ended) })
	w.cancel()
	<-w.ended
}

// run keeps a connection until the context ends, and then closes ended.
func (w *watch) run(ctx context.Context, c net.Conn) {
	defer close(w.ended)
	pause := redialFirst
	for ; ctx.Err() == nil; c = w.dial(ctx) {
		if c != nil {
			pause = redialFirst
			w.hold(ctx, c)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, redialMost)
	}
}

// hold keeps a connection until it or the context ends.
func (w *watch) hold(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	_, _ = c.Read(make([]byte, 1))
	_ = c.Close()
	if ctx.Err() == nil {
		w.sawEnd()
	}
}

func (w *watch) sawEnd() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.brokeAt = time.Now()
	close(w.broke)
	w.broke = make(chan struct{})
}

// ServerDied reports whether the server's process ended when a connection was lost at a time just
// past. It takes up to deathWindow to be sure.
func (s *Client) ServerDied(ctx context.Context, lostAt time.Time) bool {
	s.watch.mu.Lock()
	recent := s.watch.brokeAt.After(lostAt.Add(-deathWindow))
	broke := s.watch.broke
	s.watch.mu.Unlock()
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
