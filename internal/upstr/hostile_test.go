package upstr

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var errNotOurs = errors.New("not ours")

// Guards against a server that keeps an instance reading the response to a request that it has given up.
func TestRestOfACancelledResponseIsBounded(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	s := startScript(t, func(s *scriptedServer, _ int, c net.Conn, in *bufio.Reader) {
		s.readRequest(in)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for block := strings.Repeat("x", 4096); err == nil; {
			_, err = io.WriteString(c, block)
		}
		close(ended)
	})
	cl := newTestClient(t, s.Addr().String(), nil)
	done := make(chan struct{})
	deadline := time.Now().Add(5 * time.Second)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a/", nil)
	is.NoErr(err)
	response, err := cl.Send(r, SendOptions{
		Deadline: deadline, InMemory: true, Done: func(bool) { close(done) },
		Verify: func(*http.Response) error { return errNotOurs },
	})
	if response != nil {
		_ = response.Body.Close()
	}
	is.True(errors.Is(err, ErrInDoubt) && errors.Is(err, ErrForeign) && errors.Is(err, errNotOurs))
	<-ended
	is.True(time.Now().Before(deadline))
	select {
	case <-done:
		t.Error("done before the drop deadline, while the server may be at work")
	default:
	}
}

// Guards against a server that is taken for dead because it sends bytes that nobody has asked for.
func TestBytesAreNoDeath(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			_, _ = io.WriteString(c, "x")
			defer c.Close()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-ended
	})
	cl := newTestClient(t, l.Addr().String(), nil)
	cl.monitor.start(t.Context())
	is.True(!cl.ServerDied(t.Context(), time.Now()))
}

// Guards against a request that is given up after the silence limit because an informational response came in time.
func TestInformationalResponseDoesNotShortenTheDeadline(t *testing.T) {
	is := is.New(t)
	s := startScript(t, func(s *scriptedServer, _ int, c net.Conn, in *bufio.Reader) {
		for first := true; s.readRequest(in); first = false {
			if !first {
				_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
				<-time.After(time.Second)
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	cl := newTestClient(t, s.Addr().String(), func(s *Settings) { s.SilenceTimeout = 500 * time.Millisecond })
	for range 2 {
		ctx, cancel := context.WithCancel(t.Context())
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://a/", nil)
		is.NoErr(err)
		response, err := cl.Send(r, SendOptions{Deadline: time.Now().Add(10 * time.Second), InMemory: true, Done: func(bool) {}})
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		cancel()
	}
}

// Guards against a request that is sent on a connection that it must avoid, and against a new connection where another is idle.
func TestConnectionsToAvoid(t *testing.T) {
	is := is.New(t)
	s := startScript(t, func(s *scriptedServer, _ int, c net.Conn, in *bufio.Reader) {
		for s.readRequest(in) {
			_, _ = io.WriteString(c, okResponse)
		}
	})
	cl := newTestClient(t, s.Addr().String(), func(s *Settings) { s.NoDeathMonitor = true })
	send := func(avoid ...uint64) (used uint64) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a/", nil)
		is.NoErr(err)
		response, err := cl.Send(r, SendOptions{
			Deadline: time.Now().Add(time.Second), InMemory: true, Done: func(bool) {}, AvoidConns: avoid,
			BeforeWrite: func(s Sending) error {
				used = s.ConnNumber
				return nil
			},
		})
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return used
	}
	first := send()
	is.Equal(send(), first)
	second := send(first)
	is.True(second != first)
	is.Equal(send(second), first)
	is.Equal(send(first), second)
	is.True(send(first, second) > second)
}
