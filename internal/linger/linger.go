// Package linger tells how much of what was written to a connection its peer has yet to receive.
//
// Closing a TCP connection whose input has not been read, or to which input still comes, resets it. A reset destroys what the
// peer, or a proxy in between, has not received.
package linger

import "net"

// Unknown is the length of a queue that the kernel does not tell.
const Unknown = -1

// Queue is what a connection holds in the kernel, in bytes; Unknown if it does not tell.
type Queue struct {
	// Unacked is what was written, and the kernel of the peer has not acknowledged. The end of the stream counts as a byte.
	Unacked int
	// Unread is what has been received and not read.
	Unread int
}

// QueueOf returns what an open connection holds in the kernel.
func QueueOf(c net.Conn) Queue { return readQueue(c) }
