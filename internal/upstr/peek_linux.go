package upstr

import (
	"errors"
	"net"
	"syscall"
)

// peeker looks whether there is anything to read on a connection, without reading it.
type peeker struct {
	raw     syscall.RawConn
	peek    func(fd uintptr)
	failure error
	one     [1]byte
}

func newPeeker(c net.Conn) *peeker {
	p := &peeker{}
	if s, ok := c.(syscall.Conn); ok {
		p.raw, _ = s.SyscallConn()
	}
	p.peek = func(fd uintptr) {
		_, _, p.failure = syscall.Recvfrom(int(fd), p.one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	return p
}

// usable reports whether an idle connection is open with nothing to read. A server that closed
// it would lose the next request; bytes that it sent unasked would become the next answer.
func (p *peeker) usable() bool {
	if p.raw == nil {
		return false
	}
	err := p.raw.Control(p.peek)
	return err == nil && errors.Is(p.failure, syscall.EAGAIN)
}
