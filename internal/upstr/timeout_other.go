//go:build !linux

package upstr

import (
	"net"
	"syscall"
	"time"
)

// UserTimeout returns a function that does nothing: the option is not supported on this system.
func UserTimeout(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, _ syscall.RawConn) error { return nil }
}

// SetUserTimeout does nothing: the option is not supported on this system.
func SetUserTimeout(net.Conn, time.Duration) error { return nil }
