package upstr

import (
	"errors"
	"net"
	"syscall"
)

// quiet reports whether an idle connection is open with nothing to read. A server that closed
// it would lose the next request; bytes that it sent unasked would become the next answer.
func quiet(c net.Conn) bool {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, failure = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && (errors.Is(failure, syscall.EAGAIN))
}
