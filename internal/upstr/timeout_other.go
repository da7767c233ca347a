//go:build !linux

package upstr

import "syscall"

// userTimeout does nothing where the option is not known.
func userTimeout(_, _ string, _ syscall.RawConn) error { return nil }
