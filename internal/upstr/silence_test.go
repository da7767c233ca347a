package upstr

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The connection of a request ends without a response. If the other connections stay open, the server
// merely did not handle the request; if they end too, its process died.
func TestServerDied(t *testing.T) {
	tests := map[string]struct {
		dies bool
	}{
		"closes one connection": {},
		"dies and restarts":     {dies: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startScript(t, func(s *scriptedServer, _ int, c net.Conn, in *bufio.Reader) {
				for i := 0; s.readRequest(in); i++ {
					if i == 0 {
						_, _ = io.WriteString(c, okResponse)
						continue
					}
					if !tt.dies {
						c.Close()
						return
					}
					s.mu.Lock()
					for _, o := range s.conns {
						o.Close()
					}
					s.mu.Unlock()
				}
			})
			client := newTestClient(t, server.Addr().String(), nil)
			is.NoErr(send(client, request(is, http.MethodGet, "")).err)
			server.awaitConns(2)
			is.True(errors.Is(send(client, request(is, http.MethodGet, "")).err, ErrLost))
			is.Equal(client.ServerDied(context.Background(), time.Now()), tt.dies)
		})
	}
}

// awaitConns waits until at least n connections have been accepted.
func (s *scriptedServer) awaitConns(n int) {
	for {
		s.mu.Lock()
		reached := len(s.conns) >= n
		s.mu.Unlock()
		if reached {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// A middlebox loses the state of a connection, so that the request on it gets no response while new
// connections work. Without detection the caller would wait until the deadline.
func TestSilentConnectionIsDropped(t *testing.T) {
	is := is.New(t)
	server := startScript(t, func(s *scriptedServer, number int, c net.Conn, in *bufio.Reader) {
		for i := 0; s.readRequest(in); i++ {
			if number == 0 && i == 1 {
				return
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	client := newTestClient(t, server.Addr().String(), func(s *Settings) { s.SilenceTimeout = 20 * time.Millisecond })
	is.NoErr(send(client, request(is, http.MethodGet, "")).err)
	silent := send(client, request(is, http.MethodGet, ""))
	is.True(errors.Is(silent.err, ErrSilent))
	is.True(errors.Is(silent.err, ErrInDoubt))
	got := send(client, request(is, http.MethodGet, ""))
	is.NoErr(got.err)
	is.Equal(got.text, "ok")
}

// A frozen server accepts connections in its kernel, but responds on none. Giving up the connection
// would gain nothing, as the server may resume.
func TestFrozenServerIsNotSilentConnection(t *testing.T) {
	is := is.New(t)
	thaw := make(chan struct{})
	server := startScript(t, func(s *scriptedServer, number int, c net.Conn, in *bufio.Reader) {
		for i := 0; s.readRequest(in); i++ {
			switch {
			case number == 0 && i == 1:
				<-thaw
			case number > 0:
				close(thaw)
				return
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	client := newTestClient(t, server.Addr().String(), func(s *Settings) { s.SilenceTimeout = 20 * time.Millisecond })
	is.NoErr(send(client, request(is, http.MethodGet, "")).err)
	got := send(client, request(is, http.MethodGet, ""))
	is.NoErr(got.err)
	is.Equal(got.text, "ok")
}
