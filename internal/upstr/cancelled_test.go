package upstr

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that is sent although its caller has left: the caller may have sent it again, and it would run twice.
func TestRequestOfACallerThatHasLeftIsNotSent(t *testing.T) {
	tests := map[string]func(cancel func()) func(Sending) error{
		"before the request": func(cancel func()) func(Sending) error { cancel(); return nil },
		"before it is written": func(cancel func()) func(Sending) error {
			return func(Sending) error { cancel(); return nil }
		},
	}
	for name, beforeWrite := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var posts atomic.Int32
			server := startScript(t, func(_ *scriptedServer, _ int, c net.Conn, in *bufio.Reader) {
				for r, err := http.ReadRequest(in); err == nil; r, err = http.ReadRequest(in) {
					if r.Method == http.MethodPost {
						posts.Add(1)
					}
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			})
			client := newTestClient(t, server.Addr().String(), func(s *Settings) { s.NoDeathMonitor = true })
			for range 30 {
				is.NoErr(send(client, request(is, http.MethodGet, "")).err) // leaves an idle connection
				ctx, cancel := context.WithCancel(t.Context())
				o, done := testOptions()
				o.BeforeWrite = beforeWrite(cancel)
				response, err := client.Send(request(is, http.MethodPost, "x").WithContext(ctx), o)
				if err == nil {
					_ = response.Body.Close()
				}
				is.True(errors.Is(err, ErrNotSent))
				is.True(errors.Is(err, context.Canceled))
				<-done
			}
			is.NoErr(send(client, request(is, http.MethodGet, "")).err)
			is.Equal(posts.Load(), int32(0))
		})
	}
}
