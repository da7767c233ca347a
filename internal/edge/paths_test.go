package edge_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/upstr"
)

// Guards against a server that is set aside for all instances because one cannot connect to it.
func TestFailedConnectionIsNoFailureOfTheServer(t *testing.T) {
	cases := map[string]struct {
		err     error
		outcome admit.Outcome
	}{
		"this instance cannot connect": {syscall.ECONNREFUSED, admit.Unsent},
		"no instance can connect":      {fmt.Errorf("%w: %w", upstr.ErrUnreachable, syscall.ECONNREFUSED), admit.Lost},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(rules.NonIdempotent, newFakeServer(t, respondOK))
			f.edge.ConnPool.Dialer = &failingDialer{c.err}
			reply := f.send(t.Context())
			is.Equal(reply.Status, http.StatusServiceUnavailable)
			is.True(len(f.admitter.outcomes) > 0)
			for _, outcome := range f.admitter.outcomes {
				is.Equal(outcome, c.outcome)
			}
		})
	}
}

// failingDialer implements upstr.Dialer and fails.
type failingDialer struct{ err error }

func (d *failingDialer) DialServer(context.Context, string, string) (net.Conn, error) {
	return nil, d.err
}
func (*failingDialer) Answered(net.Conn) {}

// slowDialer implements upstr.Dialer. It takes a time to connect.
type slowDialer struct{ takes time.Duration }

func (d *slowDialer) DialServer(ctx context.Context, _, address string) (net.Conn, error) {
	<-time.After(d.takes)
	return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
}
func (*slowDialer) Answered(net.Conn) {}

// Guards against a server that is given the time which it took to connect once more.
func TestTimeLeftIsThatAfterConnecting(t *testing.T) {
	is := is.New(t)
	left := make(chan int, 1)
	f := newFixture(rules.NonIdempotent, newFakeServer(t, func(run int, c net.Conn, r *http.Request) {
		millis, _ := strconv.Atoi(r.Header.Get("Left"))
		left <- millis
		respondOK(run, c, r)
	}))
	f.edge.ConnPool.Dialer = &slowDialer{150 * time.Millisecond}
	reply := f.send(t.Context())
	is.Equal(reply.Status, http.StatusOK)
	is.True(<-left <= 250) // the route gives 400
}

// throughDialer implements upstr.Dialer with connections that go through another instance.
type throughDialer struct{}

func (throughDialer) DialServer(ctx context.Context, _, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	return throughConn{c}, err
}
func (throughDialer) Answered(net.Conn) {}

// throughConn is a connection that goes through another instance.
type throughConn struct{ net.Conn }

func (throughConn) Via() string { return "other" }

// Guards against a server that is taken for failing because the instance in the middle has failed.
func TestLossInTheMiddleIsNoFailureOfTheServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(rules.NonIdempotent, newFakeServer(t, func(_ int, c net.Conn, _ *http.Request) { _ = c.Close() }))
	f.edge.ConnPool.Dialer = throughDialer{}
	reply := f.send(t.Context())
	is.Equal(reply.Status, http.StatusBadGateway)
	is.Equal(f.admitter.outcomes, []admit.Outcome{admit.Cancelled})
}
