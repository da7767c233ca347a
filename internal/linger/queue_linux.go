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

// awaitEndUnread waits until the peer has closed its side, and returns nil then. It reads nothing.
func awaitEndUnread(c net.Conn) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return discard(c)
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool { return hasEnded(int(fd)) })
}

// hasEnded reports whether the peer has closed its side of a connection, or the connection has failed.
func hasEnded(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents != 0
}
