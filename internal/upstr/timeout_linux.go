package upstr

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT (RFC 5482), which package syscall does
// not define. It ends a connection whose sent bytes stay unacknowledged; no keep-alive probes are
// sent meanwhile.
const tcpUserTimeout = 18

// defaultUserTimeoutMillis matches the five seconds of keepAlive.
const defaultUserTimeoutMillis = 5000

// UserTimeout returns a function for net.Dialer.Control that sets TCP_USER_TIMEOUT to d.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}

// SetUserTimeout sets TCP_USER_TIMEOUT of an open connection to d. It does nothing if c is not a connection of the system.
func SetUserTimeout(c net.Conn, d time.Duration) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	return UserTimeout(d)("", "", raw)
}
