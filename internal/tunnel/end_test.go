package tunnel_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/links"
)

// Guards against a response that a reset cuts short, because the connection to its sender was closed while it was on its way.
func TestResponseIsNotCutShortByTheEndOfATunnel(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), 12_000)
	tests := map[string]struct {
		// end ends the connection of the server after it has sent body.
		end func(server *net.TCPConn)
		// sends says that the sender goes on sending meanwhile.
		sends, complete bool
	}{
		"server closes":                         {end: func(s *net.TCPConn) { _ = s.Close() }, complete: true},
		"server closes, sender sends a body":    {end: func(s *net.TCPConn) { _ = s.Close() }, sends: true},
		"server half-closes, sender sends":      {end: func(s *net.TCPConn) { _ = s.CloseWrite() }, sends: true, complete: true},
		"server resets after its last byte":     {end: func(s *net.TCPConn) { _ = s.SetLinger(0); _ = s.Close() }},
		"server resets, sender sends meanwhile": {end: func(s *net.TCPConn) { _ = s.SetLinger(0); _ = s.Close() }, sends: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := listen(t, func(s *net.TCPConn) {
				_, _ = io.ReadFull(s, make([]byte, 2))
				_, _ = s.Write(body)
				time.Sleep(30 * time.Millisecond) // the middle has read all
				test.end(s)
			})
			m := newMiddle(t, address)
			relay, err := links.New(m.address, links.Path{BytesPerSecond: 400 << 10, Delay: 2 * time.Millisecond, Queue: 64 << 10})
			is.NoErr(err)
			defer relay.Close()
			m.address = relay.Address()
			conn, err := m.open()
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			for range 2 {
				_, err = conn.Write([]byte("x"))
				is.NoErr(err)
			}
			if test.sends {
				go func() {
					for err := error(nil); err == nil; _, err = conn.Write([]byte("more")) {
						time.Sleep(10 * time.Millisecond)
					}
				}()
			}
			got, err := io.ReadAll(conn)
			is.Equal(len(got), len(body))
			is.True(bytes.Equal(got, body))
			if test.complete {
				is.NoErr(err)
			}
			if !test.sends {
				is.Equal(errors.Is(err, io.ErrUnexpectedEOF), !test.complete)
			}
		})
	}
}
