//go:build !linux

package upstr

import (
	"syscall"
	"time"
)

// UserTimeout does nothing where the option is not known.
func UserTimeout(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, _ syscall.RawConn) error { return nil }
}
