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

// connect returns the connections to an address, closed with the test.
func connect(t *testing.T, address string, change func(*Settings)) *Client {
	t.Helper()
	settings := Settings{Name: "a", Address: address, MaxConns: 110, Slots: 2}
	if change != nil {
		change(&settings)
	}
	s := NewClient(settings)
	t.Cleanup(s.Close)
	return s
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

// result is what became of a request.
type result struct {
	text string
	err  error
	// done is closed when the server is done.
	done chan struct{}
}

// order returns an order without a deadline to speak of, and a channel that its Done closes.
func order() (SendOptions, chan struct{}) {
	done := make(chan struct{})
	return SendOptions{Deadline: time.Now().Add(time.Hour), InMemory: true, Done: func(bool) { close(done) }}, done
}

// send sends a request and reads its answer.
func send(s *Client, r *http.Request) result {
	o, done := order()
	response, err := s.Send(r, o)
	if err != nil {
		return result{err: err, done: done}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return result{text: string(text), err: err, done: done}
}

// A server restarts between two requests on one connection. net/http would take the second
// one, read by the server and unanswered, and send it again by itself: the crash would be
// doubled, and a submission with an Idempotency-Key run twice.
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
			server := play(t, func(s *script, number int, c net.Conn, in *bufio.Reader) {
				defer c.Close()
				for i := 0; s.read(in); i++ {
					if number == 0 && i == 1 {
						return
					}
					_, _ = io.WriteString(c, ok)
				}
			})
			s := connect(t, server.Addr().String(), nil)
			is.NoErr(send(s, request(is, http.MethodGet, "")).err)
			r := request(is, tt.method, "")
			if tt.header != "" {
				r.Header.Set(tt.header, "id")
			}
			got := send(s, r)
			is.True(errors.Is(got.err, ErrInDoubt))
			is.True(errors.Is(got.err, ErrLost))
			<-got.done
			is.Equal(server.asked.Load(), int32(2))
		})
	}
}

func TestNothingListens(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	s := connect(t, address, nil)
	got := send(s, request(is, http.MethodPost, "text"))
	is.True(errors.Is(got.err, ErrNotSent))
	<-got.done
	is.Equal(s.OpenConns(), 0)
}

// A caller goes away while the server works. The server is told by the end of the sending
// side. Its slot is free only when it has dropped the work, else it would run three requests
// in two slots.
func TestCancelledRequestHoldsItsSlot(t *testing.T) {
	is := is.New(t)
	begun, told, drop := make(chan struct{}), make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(begun)
		<-r.Context().Done()
		close(told)
		<-drop
	}))
	defer server.Close()
	s := connect(t, server.Listener.Addr().String(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	got := send(s, request(is, http.MethodPost, "text").WithContext(ctx))
	is.True(errors.Is(got.err, ErrInDoubt))
	is.True(!errors.Is(got.err, ErrLost))
	<-told
	select {
	case <-got.done:
		t.Fatal("the slot is free while the server works")
	default:
	}
	close(drop)
	<-got.done
}

// A server takes no notice of a cancellation. Its slot is free when the request's time is
// over, as the server was told the deadline.
func TestSlotIsFreeAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	server := play(t, func(s *script, _ int, _ net.Conn, in *bufio.Reader) {
		s.read(in)
		close(begun)
	})
	s := connect(t, server.Addr().String(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	o, done := order()
	o.Deadline = time.Now().Add(time.Second)
	_, err := s.Send(request(is, http.MethodPost, "text").WithContext(ctx), o) //nolint:bodyclose // there is none
	is.True(errors.Is(err, ErrInDoubt))
	<-done
}

// A server answers half and closes. The reader must see an error, not an end.
func TestHalfAnswer(t *testing.T) {
	tests := map[string]string{
		"short":            "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"header only half": "HTTP/1.1 200 OK\r\nConte",
		"no HTTP":          "hello, this is no HTTP\r\n\r\n",
		"two lengths":      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nhalf",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := play(t, func(s *script, _ int, c net.Conn, in *bufio.Reader) {
				s.read(in)
				_, _ = io.WriteString(c, text)
				c.Close()
			})
			s := connect(t, server.Addr().String(), nil)
			got := send(s, request(is, http.MethodGet, ""))
			is.True(errors.Is(got.err, ErrInDoubt))
			<-got.done
		})
	}
}

// The bytes after a stated length belong to no answer. They must not become the next one.
func TestLongAnswerDoesNotCross(t *testing.T) {
	is := is.New(t)
	server := play(t, func(s *script, number int, c net.Conn, in *bufio.Reader) {
		for s.read(in) {
			if number > 0 {
				_, _ = io.WriteString(c, ok)
				continue
			}
			_, _ = io.WriteString(c, ok+"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstrays")
		}
	})
	s := connect(t, server.Addr().String(), nil)
	for range 3 {
		got := send(s, request(is, http.MethodGet, ""))
		is.NoErr(got.err)
		is.Equal(got.text, "ok")
		<-got.done
	}
}

// A server closes an idle connection, or sends something unasked on it. The next request must
// not be lost on it, and what was sent must not become its answer.
func TestIdleConnectionIsLookedAt(t *testing.T) {
	tests := map[string]func(c net.Conn){
		"closed":  func(c net.Conn) { _ = c.Close() },
		"unasked": func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstrays") },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answered, disturbed := make(chan struct{}), make(chan struct{})
			server := play(t, func(s *script, number int, c net.Conn, in *bufio.Reader) {
				for s.read(in) {
					_, _ = io.WriteString(c, ok)
					if number == 0 {
						<-answered
						disturb(c)
						close(disturbed)
						return
					}
				}
			})
			s := connect(t, server.Addr().String(), nil)
			is.NoErr(send(s, request(is, http.MethodPost, "text")).err)
			close(answered)
			<-disturbed
			got := send(s, request(is, http.MethodPost, "text"))
			is.NoErr(got.err)
			is.Equal(got.text, "ok")
		})
	}
}

// The server bears 110 connections from all instances. One gate stays within a third.
func TestConnectionsStayWithinBudget(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	}))
	defer server.Close()
	s := connect(t, server.Listener.Addr().String(), func(s *Settings) { s.MaxConns, s.Slots = 12, 2 })
	results := make(chan result, 4)
	for range 4 {
		r := request(is, http.MethodGet, "")
		go func() { results <- send(s, r) }()
	}
	for range 4 {
		<-begun
	}
	is.Equal(s.OpenConns(), 4)
	got := send(s, request(is, http.MethodGet, ""))
	is.True(errors.Is(got.err, ErrConnLimit))
	is.True(errors.Is(got.err, ErrNotSent))
	<-got.done
	close(release)
	for range 4 {
		got := <-results
		is.NoErr(got.err)
		<-got.done
	}
	is.Equal(s.OpenConns(), 4)
}

// A long upload is answered before its end. The answer counts, and the connection, on which
// the rest of the body may still be, is not used again.
func TestAnswerBeforeTheEndOfTheBody(t *testing.T) {
	is := is.New(t)
	server := play(t, func(_ *script, _ int, c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno")
		}
	})
	s := connect(t, server.Addr().String(), nil)
	from, to := io.Pipe()
	defer func() { _ = to.Close() }()
	r := request(is, http.MethodPost, "text")
	r.Body, r.ContentLength = from, 1000
	o, done := order()
	o.InMemory = false
	response, err := s.Send(r, o)
	is.NoErr(err)
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(string(text), "no")
	<-done
	is.Equal(s.OpenConns(), 0)
}

// A caller's upload ends early. The server must not take the part for the whole.
func TestUploadEndsEarly(t *testing.T) {
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
			s := connect(t, server.Listener.Addr().String(), nil)
			from, to := io.Pipe()
			r := request(is, http.MethodPost, "text")
			r.Body, r.ContentLength = from, length
			go func() {
				_, _ = to.Write([]byte("half"))
				_ = to.CloseWithError(errors.New("caller gone"))
			}()
			o, done := order()
			o.InMemory = false
			_, err := s.Send(r, o) //nolint:bodyclose // there is none
			is.True(errors.Is(err, ErrInDoubt))
			is.True(<-seen != nil)
			<-done
		})
	}
}
