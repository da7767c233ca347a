package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"example.org/mustardring/internal/admin"
)

// Timeouts and limits of the HTTP servers.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// shutdownGracePeriod is how long a shutdown waits for connections without a request.
	shutdownGracePeriod = 300 * time.Millisecond
	// shutdownTimeout is how long a shutdown then waits for the requests in flight.
	shutdownTimeout = 5 * time.Second
)

// listeners are the listeners on the addresses of an instance.
type listeners struct {
	caller   net.Listener
	forward  net.Listener
	operator net.Listener
	peer     net.Listener
}

// listen listens on all addresses of the settings, or on none if one of them fails.
func (e *Entry) listen() (*listeners, error) {
	s := e.deps.Settings
	l := &listeners{}
	open := []struct {
		address string
		into    *net.Listener
	}{
		{s.CallerAddress, &l.caller},
		{s.ForwardAddress, &l.forward},
		{s.OperatorAddress, &l.operator},
		{s.PeerAddress, &l.peer},
	}
	for i, o := range open {
		listener, err := net.Listen("tcp", o.address)
		if err != nil {
			for _, opened := range open[:i] {
				(*opened.into).Close()
			}
			return nil, fmt.Errorf("%w: %w", ErrListen, err)
		}
		*o.into = listener
	}
	return l, nil
}

// serveCallers returns a worker that serves callers. It continues to accept requests while the
// instance drains, because the balancer learns late that the instance is no longer ready.
func (e *Entry) serveCallers(l net.Listener) func(context.Context) error {
	return serveHTTP(l, e.callerServer, e.front.Drain)
}

// serveForwards returns a worker that serves requests forwarded by other instances, which
// authenticate with certificates signed by the authority.
func (e *Entry) serveForwards(l net.Listener) func(context.Context) error {
	return serveHTTP(tls.NewListener(l, e.deps.TLS), e.forwardServer, e.front.Drain)
}

func (e *Entry) serveOperators(l net.Listener) func(context.Context) error {
	handler, err := admin.New(e.deps.Settings.OperatorToken, e)
	if err != nil {
		return func(context.Context) error { return err }
	}
	return serveHTTP(l, newServer(handler), nil)
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serveHTTP returns a worker that serves until the context is done and then finishes the requests
// in flight. drained, if not nil, waits until there are none.
func serveHTTP(l net.Listener, server *http.Server, drained func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		ended := make(chan error, 1)
		stop := context.AfterFunc(ctx, func() {
			ended <- shutdown(context.WithoutCancel(ctx), server, drained)
		})
		defer stop()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return <-ended
	}
}

// shutdown stops a server without interrupting a request. http.Server.Shutdown waits 5 s for a
// connection on which no request has arrived yet, such as a spare connection of a balancer, so
// after a short grace period only the requests in flight are waited for.
func shutdown(ctx context.Context, server *http.Server, drained func(context.Context) error) error {
	grace, cancel := context.WithTimeout(ctx, shutdownGracePeriod)
	defer cancel()
	err := server.Shutdown(grace)
	if err == nil {
		return nil
	}
	if drained != nil {
		limit, cancel := context.WithTimeout(ctx, shutdownTimeout)
		defer cancel()
		err = drained(limit)
	}
	if !errors.Is(err, context.DeadlineExceeded) || drained == nil {
		err = nil
	}
	_ = server.Close()
	return err
}
