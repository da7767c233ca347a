package inlet_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/inlet"
)

// serve starts a server on a loopback port and returns its address.
func serve(t *testing.T, s *inlet.Server) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		s.Close()
	})
	return l.Addr().String()
}

func defaults() inlet.Limits { return inlet.DefaultLimits }

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c, bufio.NewReader(c)
}

// read reads an answer. It returns the body, and whether it is the last of the connection.
func read(t *testing.T, r *bufio.Reader) (body string, last bool) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data), response.Close
}

func ok(body string) *inlet.Reply {
	return &inlet.Reply{Status: http.StatusOK, Header: http.Header{}, Body: []byte(body)}
}

// A reader sends three requests at once. They must run at the same time, and their answers come
// in the order in which they were sent, although the first one takes longest.
func TestPipeline(t *testing.T) {
	is := is.New(t)
	running := make(chan string, 3)
	first := make(chan struct{})
	s := inlet.New(func(_ context.Context, r *http.Request) *inlet.Reply {
		running <- r.URL.Path
		if r.URL.Path == "/1" {
			<-first
		}
		return ok(r.URL.Path)
	}, defaults)
	c, in := dial(t, serve(t, s))
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	for range 3 {
		<-running // all run before the first is answered
	}
	close(first)
	for i := 1; i <= 3; i++ {
		body, _ := read(t, in)
		is.Equal(body, fmt.Sprintf("/%d", i))
	}
}

// A caller leaves while its request runs: the request's context must end.
func TestCallerLeaves(t *testing.T) {
	left := make(chan struct{})
	running := make(chan struct{})
	s := inlet.New(func(ctx context.Context, _ *http.Request) *inlet.Reply {
		close(running)
		<-ctx.Done()
		close(left)
		return nil
	}, defaults)
	c, _ := dial(t, serve(t, s))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-running
	_ = c.Close()
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Fatal("the handler was not told")
	}
}

// An instance was told to stop as an archivist's volume was on its way. The process ended when
// the handler had returned, before the answer was written, and the volume was cut. A request
// must count as in progress until its last byte is written.
func TestBusyUntilWritten(t *testing.T) {
	is := is.New(t)
	volume := strings.Repeat("x", 16<<20) // more than the buffers of both ends hold
	returned := make(chan struct{})
	s := inlet.New(func(context.Context, *http.Request) *inlet.Reply {
		defer close(returned)
		return ok(volume)
	}, defaults)
	c, in := dial(t, serve(t, s))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-returned
	s.Drain()
	s.Finish()
	is.Equal(s.InFlight(), int64(1))
	body, _ := read(t, in)
	is.Equal(len(body), len(volume))
}

// While the instance stops, the answer to the last request in progress is the last one of the
// connection, and no request that was read is left without an answer.
func TestDrain(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	running := make(chan struct{}, 2)
	s := inlet.New(func(context.Context, *http.Request) *inlet.Reply {
		running <- struct{}{}
		<-release
		return ok("done")
	}, defaults)
	c, in := dial(t, serve(t, s))
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-running
	<-running
	s.Drain()
	close(release)
	_, last := read(t, in)
	is.True(!last)
	_, last = read(t, in)
	is.True(last)
	_, err := in.ReadByte()
	is.Equal(err, io.EOF)
}

// A caller sent each request before it had the answer to the one before, so that no answer was the
// last while the instance stopped. Its requests were taken until the process ended, and the last of
// them lost at the server that was at work on it.
func TestFinishTakesNoMore(t *testing.T) {
	is := is.New(t)
	running := make(chan chan struct{}, 8)
	s := inlet.New(func(_ context.Context, r *http.Request) *inlet.Reply {
		release := make(chan struct{})
		running <- release
		<-release
		return ok(r.URL.Path)
	}, defaults)
	c, in := dial(t, serve(t, s))
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	first, second := <-running, <-running
	s.Drain()
	s.Finish()
	_, _ = io.WriteString(c, "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	close(first)
	close(second)
	_, last := read(t, in)
	is.True(!last)
	_, last = read(t, in)
	is.True(last) // the third was not taken, and the caller is told so
	_, err := in.ReadByte()
	is.True(err != nil)
	is.Equal(len(running), 0)
}

func TestLimits(t *testing.T) {
	tight := func() inlet.Limits {
		return inlet.Limits{HeaderBytes: 200, BodyBytes: 10, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: time.Second}
	}
	tests := map[string]struct {
		send string
		want int
	}{
		"in the limits":    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", 200},
		"chunks":           {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200},
		"head too large":   {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 300) + "\r\n\r\n", 431},
		"body too large":   {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n", 413},
		"chunks too large": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nabcdefghijk\r\n0\r\n\r\n", 413},
		"head too slow":    {"GET / HTTP/1.1\r\nHo", 408},
		"no request":       {"what is this\r\n\r\n", 400},
		"expects continue": {"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc", 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := inlet.New(func(_ context.Context, r *http.Request) *inlet.Reply {
				body, _ := io.ReadAll(r.Body)
				return ok(string(body))
			}, tight)
			c, in := dial(t, serve(t, s))
			_, _ = io.WriteString(c, test.send)
			response, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			defer response.Body.Close()
			is.Equal(response.StatusCode, test.want)
		})
	}
}

// An answer that is given up must not look complete.
func TestAbort(t *testing.T) {
	is := is.New(t)
	s := inlet.New(func(context.Context, *http.Request) *inlet.Reply { return &inlet.Reply{Abort: true} }, defaults)
	c, in := dial(t, serve(t, s))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	_, err := in.ReadByte()
	is.True(err != nil)
}
