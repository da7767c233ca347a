package upstr_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/upstr"
)

// Guards against a request that is lost, while its server works on it, with one keep-alive probe: with a user timeout the
// first unanswered probe ends the connection.
func TestNoKeepAliveBesideUserTimeout(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := net.Dial("tcp4", l.Addr().String()) // with keep-alive, as is usual
	is.NoErr(err)
	defer c.Close()
	is.NoErr(upstr.Configure(c, 1200*time.Millisecond))
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	const userTimeoutOption = 18
	var keepAlive, userTimeout int
	var errKeepAlive, errUserTimeout error
	is.NoErr(raw.Control(func(fd uintptr) {
		keepAlive, errKeepAlive = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		userTimeout, errUserTimeout = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeoutOption)
	}))
	is.NoErr(errKeepAlive)
	is.NoErr(errUserTimeout)
	is.Equal(keepAlive, 0)
	is.Equal(userTimeout, 1200)
}
