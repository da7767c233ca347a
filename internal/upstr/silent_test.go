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

// A request's connection ends without an answer. When all others live, the server only
// disliked the request; when they end as well, its process did.
func TestDeathIsToldFromACut(t *testing.T) {
	tests := map[string]struct {
		dies bool
	}{
		"closes one connection": {},
		"dies and is back":      {dies: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := play(t, func(s *script, _ int, c net.Conn, in *bufio.Reader) {
				for i := 0; s.read(in); i++ {
					if i == 0 {
						_, _ = io.WriteString(c, ok)
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
			s := connect(t, server.Addr().String(), nil)
			is.NoErr(send(s, request(is, http.MethodGet, "")).err)
			server.awaitConns(2)
			is.True(errors.Is(send(s, request(is, http.MethodGet, "")).err, ErrLost))
			is.Equal(s.ServerDied(context.Background(), time.Now()), tt.dies)
		})
	}
}

// awaitConns waits until a number of connections were accepted.
func (s *script) awaitConns(n int) {
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

// Something between the two ends loses track of a connection: the request on it vanishes
// while new connections work. The user would wait for the whole deadline.
func TestSilentConnectionIsDropped(t *testing.T) {
	is := is.New(t)
	server := play(t, func(s *script, number int, c net.Conn, in *bufio.Reader) {
		for i := 0; s.read(in); i++ {
			if number == 0 && i == 1 {
				return
			}
			_, _ = io.WriteString(c, ok)
		}
	})
	s := connect(t, server.Addr().String(), func(s *Settings) { s.SilenceTimeout = 20 * time.Millisecond })
	is.NoErr(send(s, request(is, http.MethodGet, "")).err)
	silent := send(s, request(is, http.MethodGet, ""))
	is.True(errors.Is(silent.err, ErrSilent))
	is.True(errors.Is(silent.err, ErrInDoubt))
	got := send(s, request(is, http.MethodGet, ""))
	is.NoErr(got.err)
	is.Equal(got.text, "ok")
}

// A server freezes: its kernel still takes connections, and nothing answers on any. To drop
// the connection would gain nothing, and the server is back in a while.
func TestFrozenServerIsNotSilence(t *testing.T) {
	is := is.New(t)
	thaw := make(chan struct{})
	server := play(t, func(s *script, number int, c net.Conn, in *bufio.Reader) {
		for i := 0; s.read(in); i++ {
			switch {
			case number == 0 && i == 1:
				<-thaw
			case number > 0:
				close(thaw)
				return
			}
			_, _ = io.WriteString(c, ok)
		}
	})
	s := connect(t, server.Addr().String(), func(s *Settings) { s.SilenceTimeout = 20 * time.Millisecond })
	is.NoErr(send(s, request(is, http.MethodGet, "")).err)
	got := send(s, request(is, http.MethodGet, ""))
	is.NoErr(got.err)
	is.Equal(got.text, "ok")
}
