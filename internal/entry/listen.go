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

// Bounds of HTTP connections.
const (
	headerLimit   = 10 * time.Second
	idleLimit     = 2 * time.Minute
	maxHeader     = 64 << 10
	shutdownLimit = 5 * time.Second
)

// listeners are the open addresses of an instance.
type listeners struct {
	caller   net.Listener
	forward  net.Listener
	operator net.Listener
	peer     net.Listener
}

// listen opens all addresses, or none.
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

// serveCallers serves callers. It goes on while the instance drains: the balancer's view of
// readiness lags.
func (e *Entry) serveCallers(l net.Listener) func(context.Context) error {
	return serveHTTP(l, newServer(e.front.Callers()))
}

// serveForwards serves requests that other instances forward, which the authority's
// signature on their certificate identifies.
func (e *Entry) serveForwards(l net.Listener) func(context.Context) error {
	return serveHTTP(tls.NewListener(l, e.deps.TLS), newServer(e.front.Forwards()))
}

func (e *Entry) serveOperators(l net.Listener) func(context.Context) error {
	handler, err := admin.New(e.deps.Settings.OperatorToken, e)
	if err != nil {
		return func(context.Context) error { return err }
	}
	return serveHTTP(l, newServer(handler))
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    maxHeader,
	}
}

// serveHTTP serves until the context ends, and then lets the requests in flight end.
func serveHTTP(l net.Listener, server *http.Server) func(context.Context) error {
	return func(ctx context.Context) error {
		ended := make(chan error, 1)
		stop := context.AfterFunc(ctx, func() {
			bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownLimit)
			defer cancel()
			ended <- server.Shutdown(bounded)
		})
		defer stop()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return <-ended
	}
}
