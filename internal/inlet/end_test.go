package inlet_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/links"
)

// slowPath needs 0.3 s for replyBytes.
var slowPath = links.Path{BytesPerSecond: 400 << 10, Delay: 8 * time.Millisecond, Queue: 64 << 10}

const replyBytes = 120 << 10

// get returns a GET request for a path.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// sendEvery sends a request each 20 ms until the context ends or the connection does.
func sendEvery(ctx context.Context, c net.Conn) {
	for ctx.Err() == nil {
		if _, err := io.WriteString(c, get("/more")); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sendAll returns a function that sends a text.
func sendAll(text string) func(context.Context, net.Conn) {
	return func(_ context.Context, c net.Conn) { _, _ = io.WriteString(c, text) }
}

// sendEndlessBody sends the head of a request and a body that is longer than the limit, without an end.
func sendEndlessBody(ctx context.Context, c net.Conn) {
	if _, err := io.WriteString(c, "POST /more HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	part := fmt.Sprintf("%x\r\n%s\r\n", 1000, strings.Repeat("x", 1000))
	for ctx.Err() == nil {
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against LOST: a reply that a reset cuts short, because its connection was closed while it was on its way and the caller
// sent more.
func TestReplyIsNotCutShortByTheEndOfItsConnection(t *testing.T) {
	tests := map[string]struct {
		first string
		// behind sends what comes behind the first request while its reply is on its way.
		behind func(ctx context.Context, c net.Conn)
		// after is when behind begins, after the first byte of the reply.
		after         time.Duration
		drain, finish bool
	}{
		"drain, nothing behind":                  {behind: sendAll(""), drain: true, finish: true},
		"drain, requests behind":                 {behind: sendEvery, drain: true},
		"drain and finish, requests behind":      {behind: sendEvery, drain: true, finish: true},
		"drain and finish, late requests":        {behind: sendEvery, after: 150 * time.Millisecond, drain: true, finish: true},
		"drain and finish, body in parts behind": {behind: sendEndlessBody, drain: true, finish: true},
		"finish alone, requests behind":          {behind: sendEvery, after: 50 * time.Millisecond, finish: true},
		"too large a body behind":                {behind: sendEndlessBody},
		"malformed bytes behind":                 {behind: sendAll("what is this\r\n\r\n" + strings.Repeat("x", 100))},
		"malformed bytes, then requests behind":  {behind: func(ctx context.Context, c net.Conn) { sendAll("what\r\n\r\n")(ctx, c); sendEvery(ctx, c) }},
		"aborted reply behind":                   {behind: func(ctx context.Context, c net.Conn) { sendAll(get("/abort"))(ctx, c); sendEvery(ctx, c) }},
		"connection: close, requests behind": {
			first: "GET /first HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", behind: sendEvery,
		},
		"idle, late requests": {behind: sendEvery, after: 150 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			want := bytes.Repeat([]byte("0123456789abcdef"), replyBytes/16)
			release := make(chan struct{})
			s := inlet.New(func(_ context.Context, r *http.Request) *inlet.Reply {
				switch r.URL.Path {
				case "/first":
					<-release
					return &inlet.Reply{Status: http.StatusOK, Header: http.Header{}, Body: want, ID: "first"}
				case "/abort":
					return &inlet.Reply{Abort: true}
				}
				return okReply("more")
			}, func() inlet.Limits {
				return inlet.Limits{HeaderBytes: 16 << 10, BodyBytes: 10 << 10, HeaderTimeout: time.Second, IdleTimeout: 100 * time.Millisecond}
			}, nil)
			relay, err := links.New(serve(t, s), slowPath)
			is.NoErr(err)
			defer relay.Close()
			c, in := dial(t, relay.Address())
			first := test.first
			if first == "" {
				first = get("/first")
			}
			_, _ = io.WriteString(c, first)
			time.Sleep(30 * time.Millisecond)
			if test.drain {
				s.Drain()
			}
			close(release)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go finishRepeatedly(ctx, s, test.finish)
			_, err = in.Peek(1)
			is.NoErr(err)
			go func() {
				time.Sleep(test.after)
				test.behind(ctx, c)
			}()
			got := readBody(in)
			is.Equal(len(got), len(want)) // bytes of the first reply that arrived
			is.True(bytes.Equal(got, want))
		})
	}
}

// finishRepeatedly calls Finish as a process that stops does, once the reply may have been written.
func finishRepeatedly(ctx context.Context, s *inlet.Server, finish bool) {
	for finish && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		s.Finish()
	}
}

// readBody reads a reply and returns what arrived of its body.
func readBody(in *bufio.Reader) []byte {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	got, _ := io.ReadAll(response.Body)
	return got
}

// Guards against a process that ends, or a stop that waits no longer, while a caller has yet to receive a reply.
func TestConnectionIsOpenUntilTheCallerHasTheReply(t *testing.T) {
	is := is.New(t)
	ended := make(chan inlet.End, 1)
	body := bytes.Repeat([]byte("x"), replyBytes)
	s := inlet.New(func(context.Context, *http.Request) *inlet.Reply {
		return &inlet.Reply{Status: http.StatusOK, Header: http.Header{}, Body: body, ID: "first"}
	}, defaultLimits, nil)
	s.Ended = func(e inlet.End) { ended <- e }
	relay, err := links.New(serve(t, s), slowPath)
	is.NoErr(err)
	defer relay.Close()
	c, in := dial(t, relay.Address())
	s.Drain()
	_, _ = io.WriteString(c, get("/"))
	is.Equal(len(readBody(in)), len(body))
	is.Equal(s.Open().Conns, 1) // the caller has not closed its end
	_, err = in.ReadByte()
	is.True(errors.Is(err, io.EOF))
	_ = c.Close()
	e := <-ended
	is.Equal(e.Reason, inlet.Stopping)
	is.Equal(e.Replies, 1)
	is.True(!e.Notable())
}

// Guards against a reply that is cut short although its caller goes on receiving it, because that takes long.
func TestReplyToASlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, _, _, _ := servePipes(t, 0)
		c := l.dial()
		_, _ = io.WriteString(c, "GET /1048576 HTTP/1.1\r\nHost: 0\r\n\r\n")
		is.Equal(len(readBody(bufio.NewReaderSize(slowReader{c}, 4<<10))), 1<<20)
		_ = c.Close()
	})
}

// slowReader reads 4 KB each 100 ms at most.
type slowReader struct{ io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return r.Reader.Read(p[:min(len(p), 4<<10)])
}
