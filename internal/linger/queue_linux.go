package linger

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// readQueue reads the queues of a connection from the kernel. Both are unknown if c is not a TCP connection.
func readQueue(c net.Conn) Queue {
	q := Queue{Unacked: Unknown, Unread: Unknown}
	s, ok := c.(syscall.Conn)
	if !ok {
		return q
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return q
	}
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			q.Unacked = n
		}
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			q.Unread = n
		}
	})
	return q
}
