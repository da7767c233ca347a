package upstr

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are lost because they are sent on a connection which the server is about to close, as it has
// said.
func TestStatedIdleTimeoutIsKept(t *testing.T) {
	tests := map[string]struct {
		keepAlive string
		idle      time.Duration
		wantConns int32
	}{
		"in time":                   {"timeout=1", 500 * time.Millisecond, 1},
		"at the end":                {"timeout=1", 900 * time.Millisecond, 2},
		"with other parameters":     {"max=100, timeout=1", 900 * time.Millisecond, 2},
		"longer than our own":       {"timeout=60", 900 * time.Millisecond, 1},
		"malformed":                 {"timeout=soon", 900 * time.Millisecond, 1},
		"zero":                      {"timeout=0", 900 * time.Millisecond, 1},
		"beyond a number of a time": {"timeout=" + strconv.Itoa(1<<62), 900 * time.Millisecond, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var conns atomic.Int32
			s := startScript(t, func(s *scriptedServer, number int, c net.Conn, in *bufio.Reader) {
				conns.Store(int32(number) + 1)
				for s.readRequest(in) {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: "+test.keepAlive+"\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			client := newTestClient(t, s.Addr().String(), nil)
			is.NoErr(send(client, request(is, "GET", "")).err)
			time.Sleep(test.idle)
			is.NoErr(send(client, request(is, "GET", "")).err)
			is.Equal(conns.Load(), test.wantConns)
		})
	}
}
