package upstr

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT (RFC 5482), which package syscall does
// not name. It ends a connection whose sent bytes stay unacknowledged, where keep-alive
// probes are not sent.
const tcpUserTimeout = 18

// UserTimeoutMillis agrees with keepAlive.
const defaultUserTimeoutMillis = 5000

// UserTimeout returns what sets the option on a new connection.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}
