package upstr

import (
	"errors"
	"net"
	"syscall"
)

// peeker checks whether there is anything to read on a connection, without reading it.
type peeker struct {
	// allowed reports whether the connection may be used again; nil means that it may.
	allowed func() bool
	raw     syscall.RawConn
	peek    func(fd uintptr)
	failure error
	one     [1]byte
}

func newPeeker(c net.Conn) *peeker {
	p := &peeker{}
	if u, ok := c.(interface{ Usable() bool }); ok {
		p.allowed = u.Usable
	}
	if s, ok := c.(syscall.Conn); ok {
		p.raw, _ = s.SyscallConn()
	}
	p.peek = func(fd uintptr) {
		_, _, p.failure = syscall.Recvfrom(int(fd), p.one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	return p
}

// usable reports whether an idle connection is open and has nothing to read. If the server had
// closed it, the next request would be lost; if the server had sent unsolicited bytes, they would be
// taken for the response to the next request.
func (p *peeker) usable() bool {
	if p.raw == nil || p.allowed != nil && !p.allowed() {
		return false
	}
	err := p.raw.Control(p.peek)
	return err == nil && errors.Is(p.failure, syscall.EAGAIN)
}
