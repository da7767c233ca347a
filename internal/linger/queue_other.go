//go:build !linux

package linger

import "net"

// readQueue returns unknown queues.
func readQueue(net.Conn) Queue { return Queue{Unacked: Unknown, Unread: Unknown} }

// awaitEndUnread waits until the peer has closed its side, and returns nil then.
func awaitEndUnread(c net.Conn) error { return discard(c) }
