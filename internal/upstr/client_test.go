package upstr

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTestClient returns a client for an address. It is closed at the end of the test.
func newTestClient(t *testing.T, address string, change func(*Settings)) *Client {
	t.Helper()
	settings := Settings{Name: "a", Address: address, MaxConns: 110, Slots: 2}
	if change != nil {
		change(&settings)
	}
	client := NewClient(settings)
	t.Cleanup(client.Close)
	return client
}

func request(is *is.I, method, body string) *http.Request {
	is.Helper()
	r, err := http.NewRequest(method, "http://server/x", strings.NewReader(body))
	is.NoErr(err)
	r.GetBody = nil
	if body == "" {
		r.Body = nil
	}
	return r
}

// result is the result of a request.
type result struct {
	text string
	err  error
	// serverDone is closed when SendOptions.Done is called.
	serverDone chan struct{}
}

// testOptions returns options with a deadline far away, and a channel that their Done closes.
func testOptions() (SendOptions, chan struct{}) {
	done := make(chan struct{})
	return SendOptions{Deadline: time.Now().Add(time.Hour), InMemory: true, Done: func(bool) { close(done) }}, done
}

// send sends a request and reads its response.
func send(client *Client, r *http.Request) result {
	o, done := testOptions()
	response, err := client.Send(r, o)
	if err != nil {
		return result{err: err, serverDone: done}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return result{text: string(text), err: err, serverDone: done}
}

// A server crashes after it has read the second request on a connection. The transport of net/http
// would send that request again by itself: it would crash the server twice, and a submission with
// an Idempotency-Key would run twice.
func TestRequestIsNeverSentTwice(t *testing.T) {
	tests := map[string]struct {
		method, header string
	}{
		"get":                    {method: http.MethodGet},
		"post with a request id": {method: http.MethodPost, header: "Idempotency-Key"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startScript(t, func(s *scriptedServer, number int, c net.Conn, in *bufio.Reader) {
				defer c.Close()
				for i := 0; s.readRequest(in); i++ {
					if number == 0 && i == 1 {
						return
					}
					_, _ = io.WriteString(c, okResponse)
				}
			})
			client := newTestClient(t, server.Addr().String(), nil)
			is.NoErr(send(client, request(is, http.MethodGet, "")).err)
			r := request(is, tt.method, "")
			if tt.header != "" {
				r.Header.Set(tt.header, "id")
			}
			got := send(client, r)
			is.True(errors.Is(got.err, ErrInDoubt))
			is.True(errors.Is(got.err, ErrLost))
			<-got.serverDone
			is.Equal(server.requests.Load(), int32(2))
		})
	}
}

// A request to an address where no server listens is not sent.
func TestConnectionRefused(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	client := newTestClient(t, address, nil)
	got := send(client, request(is, http.MethodPost, "text"))
	is.True(errors.Is(got.err, ErrNotSent))
	<-got.serverDone
	is.Equal(client.OpenConns(), 0)
}

// A caller leaves while the server runs its request. The client cancels the request by closing the
// sending side of the connection. The slot must not be free before the server has dropped the
// request; otherwise a server with two slots would run three requests.
func TestCancelledRequestKeepsSlot(t *testing.T) {
	is := is.New(t)
	begun, cancelled, drop := make(chan struct{}), make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(begun)
		<-r.Context().Done()
		close(cancelled)
		<-drop
	}))
	defer server.Close()
	client := newTestClient(t, server.Listener.Addr().String(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	got := send(client, request(is, http.MethodPost, "text").WithContext(ctx))
	is.True(errors.Is(got.err, ErrInDoubt))
	is.True(!errors.Is(got.err, ErrLost))
	<-cancelled
	select {
	case <-got.serverDone:
		t.Fatal("Done was called while the server still ran the request")
	default:
	}
	close(drop)
	<-got.serverDone
}

// If a server ignores a cancellation, its slot is free after the deadline of the request, which the
// server knows.
func TestSlotIsFreeAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	server := startScript(t, func(s *scriptedServer, _ int, _ net.Conn, in *bufio.Reader) {
		s.readRequest(in)
		close(begun)
	})
	client := newTestClient(t, server.Addr().String(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	o, done := testOptions()
	o.Deadline = time.Now().Add(time.Second)
	_, err := client.Send(request(is, http.MethodPost, "text").WithContext(ctx), o) //nolint:bodyclose // there is no response
	is.True(errors.Is(err, ErrInDoubt))
	<-done
}

// If a server closes the connection within a response, or sends a malformed one, the caller must get
// an error and not the end of the body.
func TestHalfAnswer(t *testing.T) {
	tests := map[string]string{
		"short":            "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"truncated header": "HTTP/1.1 200 OK\r\nConte",
		"not HTTP":         "hello, this is no HTTP\r\n\r\n",
		"two lengths":      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nhalf",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startScript(t, func(s *scriptedServer, _ int, c net.Conn, in *bufio.Reader) {
				s.readRequest(in)
				_, _ = io.WriteString(c, text)
				c.Close()
			})
			client := newTestClient(t, server.Addr().String(), nil)
			got := send(client, request(is, http.MethodGet, ""))
			is.True(errors.Is(got.err, ErrInDoubt))
			<-got.serverDone
		})
	}
}

// Bytes after the stated length of a response must not become the next response.
func TestSurplusBytesAreDiscarded(t *testing.T) {
	is := is.New(t)
	server := startScript(t, func(s *scriptedServer, number int, c net.Conn, in *bufio.Reader) {
		for s.readRequest(in) {
			if number > 0 {
				_, _ = io.WriteString(c, okResponse)
				continue
			}
			_, _ = io.WriteString(c, okResponse+"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstrays")
		}
	})
	client := newTestClient(t, server.Addr().String(), nil)
	for range 3 {
		got := send(client, request(is, http.MethodGet, ""))
		is.NoErr(got.err)
		is.Equal(got.text, "ok")
		<-got.serverDone
	}
}

// A server closes an idle connection, or sends unsolicited bytes on it. The next request must not be
// lost on that connection, and the bytes must not become its response.
func TestIdleConnectionIsChecked(t *testing.T) {
	tests := map[string]func(c net.Conn){
		"closed":            func(c net.Conn) { _ = c.Close() },
		"unsolicited bytes": func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstrays") },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			responded, disturbed := make(chan struct{}), make(chan struct{})
			server := startScript(t, func(s *scriptedServer, number int, c net.Conn, in *bufio.Reader) {
				for s.readRequest(in) {
					_, _ = io.WriteString(c, okResponse)
					if number == 0 {
						<-responded
						disturb(c)
						close(disturbed)
						return
					}
				}
			})
			client := newTestClient(t, server.Addr().String(), nil)
			is.NoErr(send(client, request(is, http.MethodPost, "text")).err)
			close(responded)
			<-disturbed
			got := send(client, request(is, http.MethodPost, "text"))
			is.NoErr(got.err)
			is.Equal(got.text, "ok")
		})
	}
}

// A server accepts a limited number of connections from all instances, for example 110. One client
// opens at most a third of them.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	}))
	defer server.Close()
	client := newTestClient(t, server.Listener.Addr().String(), func(s *Settings) { s.MaxConns, s.Slots = 12, 2 })
	results := make(chan result, 4)
	for range 4 {
		r := request(is, http.MethodGet, "")
		go func() { results <- send(client, r) }()
	}
	for range 4 {
		<-begun
	}
	is.Equal(client.OpenConns(), 4)
	got := send(client, request(is, http.MethodGet, ""))
	is.True(errors.Is(got.err, ErrConnLimit))
	is.True(errors.Is(got.err, ErrNotSent))
	<-got.serverDone
	close(release)
	for range 4 {
		got := <-results
		is.NoErr(got.err)
		<-got.serverDone
	}
	is.Equal(client.OpenConns(), 4)
}

// Guards against an instance that keeps the connections that it may open while it does not know the others.
func TestConnectionLimitFalls(t *testing.T) {
	for name, test := range map[string]struct{ idleAtChange bool }{"connections idle": {true}, "connections in use": {false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			begun, release := make(chan struct{}), make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				begun <- struct{}{}
				<-release
			}))
			defer server.Close()
			client := newTestClient(t, server.Listener.Addr().String(), func(s *Settings) { s.MaxConns, s.Slots = 24, 2 })
			results := make(chan result, 8)
			for range 8 {
				r := request(is, http.MethodGet, "")
				go func() { results <- send(client, r) }()
			}
			for range 8 {
				<-begun
			}
			if !test.idleAtChange {
				client.SetMaxConns(3, 0)
			}
			close(release)
			for range 8 {
				got := <-results
				is.NoErr(got.err)
				<-got.serverDone
			}
			if test.idleAtChange {
				client.SetMaxConns(3, 0)
			}
			is.Equal(client.OpenConns(), 3)
		})
	}
}

// A server responds before the end of a long upload. The response is valid, but the connection must
// not be reused, as it may still carry the rest of the body.
func TestResponseBeforeEndOfUpload(t *testing.T) {
	is := is.New(t)
	server := startScript(t, func(_ *scriptedServer, _ int, c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno")
		}
	})
	client := newTestClient(t, server.Addr().String(), nil)
	from, to := io.Pipe()
	defer func() { _ = to.Close() }()
	r := request(is, http.MethodPost, "text")
	r.Body, r.ContentLength = from, 1000
	o, done := testOptions()
	o.InMemory = false
	response, err := client.Send(r, o)
	is.NoErr(err)
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(string(text), "no")
	<-done
	is.Equal(client.OpenConns(), 0)
}

// If a caller's upload ends early, the server must not mistake the part for the complete body.
func TestUploadCutShort(t *testing.T) {
	tests := map[string]int64{"stated length": 1000, "chunked": -1}
	for name, length := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			seen := make(chan error, 1)
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				seen <- err
			}))
			defer server.Close()
			client := newTestClient(t, server.Listener.Addr().String(), nil)
			from, to := io.Pipe()
			r := request(is, http.MethodPost, "text")
			r.Body, r.ContentLength = from, length
			go func() {
				_, _ = to.Write([]byte("half"))
				_ = to.CloseWithError(errors.New("caller gone"))
			}()
			o, done := testOptions()
			o.InMemory = false
			_, err := client.Send(r, o) //nolint:bodyclose // there is no response
			is.True(errors.Is(err, ErrInDoubt))
			is.True(<-seen != nil)
			<-done
		})
	}
}
