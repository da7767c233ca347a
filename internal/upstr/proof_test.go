package upstr

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// resetConn makes a connection end with a reset.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against ErrNotSent for a request of which a byte has reached the server.
func TestNotSentMeansThatNoByteArrives(t *testing.T) {
	// Each case answers the first request and ends the second one: before its first byte is written, where beforeWrite gets the
	// server's connection, or when the server has read some bytes of it.
	tests := map[string]struct {
		beforeWrite func(c net.Conn, cancel func())
		readBytes   int
		notSent     bool
	}{
		"reset before the write":     {beforeWrite: func(c net.Conn, _ func()) { resetConn(c) }, notSent: true},
		"closed before the write":    {beforeWrite: func(c net.Conn, _ func()) { _ = c.Close() }},
		"cancelled before the write": {beforeWrite: func(_ net.Conn, cancel func()) { cancel() }},
		"reset after some bytes":     {readBytes: 10},
		"reset in the body":          {readBytes: 100 << 10},
	}
	for name, test := range tests {
		for sizeName, size := range map[string]int{"no body": 0, "small body": 20, "large body": 1 << 20} {
			t.Run(name+", "+sizeName, func(t *testing.T) {
				is := is.New(t)
				var arrived atomic.Int64
				conns, ended := make(chan net.Conn, 8), make(chan struct{}, 8)
				server := startScript(t, func(s *scriptedServer, _ int, c net.Conn, in *bufio.Reader) {
					defer func() { ended <- struct{}{} }()
					s.readRequest(in)
					conns <- c
					_, _ = io.WriteString(c, okResponse)
					buffer := make([]byte, 4<<10)
					for {
						n, err := in.Read(buffer)
						if arrived.Add(int64(n)); test.readBytes > 0 && arrived.Load() >= int64(test.readBytes) {
							resetConn(c)
							return
						}
						if err != nil {
							return
						}
					}
				})
				client := newTestClient(t, server.Addr().String(), func(s *Settings) { s.NoDeathMonitor, s.CancelByFullClose = true, true })
				is.NoErr(send(client, request(is, http.MethodPost, "first")).err)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				r := request(is, http.MethodPost, strings.Repeat("x", size)).WithContext(ctx)
				o, _ := testOptions()
				o.BeforeWrite = func(Sending) error {
					if test.beforeWrite != nil {
						test.beforeWrite(<-conns, cancel)
						<-time.After(20 * time.Millisecond) // until this end of the connection knows
					}
					return nil
				}
				response, err := client.Send(r, o)
				if err == nil {
					_ = response.Body.Close()
				}
				is.True(err != nil)
				is.True(!test.notSent || errors.Is(err, ErrNotSent))
				client.CloseConns()
				<-ended
				is.True(!errors.Is(err, ErrNotSent) || arrived.Load() == 0)
			})
		}
	}
}
