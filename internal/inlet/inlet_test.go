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
	serveOn(t, s, l)
	return l.Addr().String()
}

// serveOn serves a listener until the end of the test.
func serveOn(t *testing.T, s *inlet.Server, l net.Listener) {
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
}

// defaultLimits returns the limits that hold without a configuration.
func defaultLimits() inlet.Limits { return inlet.DefaultLimits }

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

// readReply reads a reply. It returns the body, and whether the reply is the last of the connection.
func readReply(t *testing.T, r *bufio.Reader) (body string, last bool) {
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

func okReply(body string) *inlet.Reply {
	return &inlet.Reply{Status: http.StatusOK, Header: http.Header{}, Body: []byte(body)}
}

// Pipelined requests must run at the same time, and their replies must come in the order of the
// requests, even if the first one takes longest.
func TestPipeline(t *testing.T) {
	is := is.New(t)
	running := make(chan string, 3)
	first := make(chan struct{})
	s := inlet.New(func(_ context.Context, r *http.Request) *inlet.Reply {
		running <- r.URL.Path
		if r.URL.Path == "/1" {
			<-first
		}
		return okReply(r.URL.Path)
	}, defaultLimits, nil)
	c, in := dial(t, serve(t, s))
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	for range 3 {
		<-running // all run before the first reply
	}
	close(first)
	for i := 1; i <= 3; i++ {
		body, _ := readReply(t, in)
		is.Equal(body, fmt.Sprintf("/%d", i))
	}
}

// If a caller leaves while its request runs, the context of the request must be cancelled.
func TestCallerLeaves(t *testing.T) {
	left := make(chan struct{})
	running := make(chan struct{})
	s := inlet.New(func(ctx context.Context, _ *http.Request) *inlet.Reply {
		close(running)
		<-ctx.Done()
		close(left)
		return nil
	}, defaultLimits, nil)
	c, _ := dial(t, serve(t, s))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-running
	_ = c.Close()
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Fatal("the context of the handler was not cancelled")
	}
}

// A stopping process ended when the handler of a large download had returned but its reply had not
// been written completely, so the reply was cut short. A request must count as in progress until
// the last byte of its reply is written.
func TestInFlightUntilWritten(t *testing.T) {
	is := is.New(t)
	download := strings.Repeat("x", 16<<20) // more than the socket buffers of both ends hold
	returned := make(chan struct{})
	s := inlet.New(func(context.Context, *http.Request) *inlet.Reply {
		defer close(returned)
		return okReply(download)
	}, defaultLimits, nil)
	c, in := dial(t, serve(t, s))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-returned
	s.Drain()
	s.Finish()
	is.Equal(s.InFlight(), int64(1))
	body, _ := readReply(t, in)
	is.Equal(len(body), len(download))
}

// While the server drains, the reply to the last request in progress is the last one of its
// connection, and every request that was read gets a reply.
func TestDrain(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	running := make(chan struct{}, 2)
	s := inlet.New(func(context.Context, *http.Request) *inlet.Reply {
		running <- struct{}{}
		<-release
		return okReply("done")
	}, defaultLimits, nil)
	c, in := dial(t, serve(t, s))
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-running
	<-running
	s.Drain()
	close(release)
	_, last := readReply(t, in)
	is.True(!last)
	_, last = readReply(t, in)
	is.True(last)
	_, err := in.ReadByte()
	is.Equal(err, io.EOF)
}

// A caller that sent each request before it had the previous reply kept its connection open while
// the instance drained. Its requests were accepted until the process ended, and the last of them
// was lost while its server ran it.
func TestFinishRejectsNewRequests(t *testing.T) {
	is := is.New(t)
	running := make(chan chan struct{}, 8)
	s := inlet.New(func(_ context.Context, r *http.Request) *inlet.Reply {
		release := make(chan struct{})
		running <- release
		<-release
		return okReply(r.URL.Path)
	}, defaultLimits, nil)
	c, in := dial(t, serve(t, s))
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	first, second := <-running, <-running
	s.Drain()
	s.Finish()
	_, _ = io.WriteString(c, "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	close(first)
	close(second)
	_, last := readReply(t, in)
	is.True(!last)
	_, last = readReply(t, in)
	is.True(last) // the third was not accepted, and the caller can tell
	_, err := in.ReadByte()
	is.True(err != nil)
	is.Equal(len(running), 0)
}

// Requests beyond a limit, slow or malformed ones get the matching error status.
func TestLimits(t *testing.T) {
	tight := func() inlet.Limits {
		return inlet.Limits{HeaderBytes: 200, BodyBytes: 10, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: time.Second}
	}
	tests := map[string]struct {
		send string
		want int
	}{
		"within the limits":      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", 200},
		"chunked":                {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200},
		"head too large":         {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 300) + "\r\n\r\n", 431},
		"body too large":         {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n", 413},
		"chunked body too large": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nabcdefghijk\r\n0\r\n\r\n", 413},
		"head too slow":          {"GET / HTTP/1.1\r\nHo", 408},
		"malformed request":      {"what is this\r\n\r\n", 400},
		"expects 100-continue":   {"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc", 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := inlet.New(func(_ context.Context, r *http.Request) *inlet.Reply {
				body, _ := io.ReadAll(r.Body)
				return okReply(string(body))
			}, tight, nil)
			c, in := dial(t, serve(t, s))
			_, _ = io.WriteString(c, test.send)
			response, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			defer response.Body.Close()
			is.Equal(response.StatusCode, test.want)
		})
	}
}

// An aborted reply must not look complete to the caller.
func TestAbort(t *testing.T) {
	is := is.New(t)
	s := inlet.New(func(context.Context, *http.Request) *inlet.Reply { return &inlet.Reply{Abort: true} }, defaultLimits, nil)
	c, in := dial(t, serve(t, s))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	_, err := in.ReadByte()
	is.True(err != nil)
}
