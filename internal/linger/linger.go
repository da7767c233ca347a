// Package linger writes to connections and closes them without destroying what their peers have yet to receive.
//
// Closing a TCP connection whose input has not been read, or to which input still comes, resets it. A reset destroys what the
// peer, or a proxy in between, has not received. So the end of the stream is sent first, and the connection is closed once the
// peer has closed its side: by then it has received all.
package linger

import (
	"errors"
	"io"
	"math"
	"net"
	"os"
	"time"
)

// Unknown is the length of a queue that the kernel does not tell.
const Unknown = -1

// Queue is what a connection holds in the kernel, in bytes; Unknown if it does not tell.
type Queue struct {
	// Unacked is what was written, and the kernel of the peer has not acknowledged.
	Unacked int
	// Unread is what has been received and not read.
	Unread int
}

// QueueOf returns what an open connection holds in the kernel. The end of the stream counts as a byte in Unacked once it was sent.
func QueueOf(c net.Conn) Queue { return readQueue(c) }

// Input says what Close does with what the peer still sends.
type Input int

const (
	// Discard reads and discards it. A peer that sends all before it receives anything goes on.
	Discard Input = iota
	// Keep leaves it unread, so that nobody takes it for read.
	Keep
)

// Close sends the end of the stream, waits until the peer has closed its side or the connection has failed, and closes the
// connection. It returns what the connection held at last. If the peer receives nothing for the time of silence, Close waits no longer.
//
// Closing the connection from elsewhere ends the call. A connection that has no sides to close is closed at once.
func Close(c net.Conn, input Input, silence time.Duration) Queue {
	defer c.Close()
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return QueueOf(c)
	}
	for unacked := QueueOf(c).Unacked; ; {
		_ = c.SetReadDeadline(time.Now().Add(silence))
		err := awaitEnd(c, input)
		queue := QueueOf(c)
		if errors.Is(err, os.ErrDeadlineExceeded) && queue.Unacked < unacked {
			unacked = queue.Unacked
			continue
		}
		queue.Unacked = withoutEnd(queue.Unacked)
		return queue
	}
}

// withoutEnd returns how many bytes are not acknowledged, without the end of the stream.
func withoutEnd(unacked int) int {
	if unacked > 0 {
		return unacked - 1
	}
	return unacked
}

// awaitEnd waits until the peer has closed its side, and returns nil then.
func awaitEnd(c net.Conn, input Input) error {
	if input == Keep {
		return awaitEndUnread(c)
	}
	return discard(c)
}

// discard reads and discards until the peer has closed its side, and returns nil then.
func discard(c net.Conn) error {
	_, err := io.Copy(io.Discard, c)
	return err
}

// Write writes p. It fails once the peer has received nothing of what was written for the time of silence, at most twice that.
func Write(c net.Conn, p []byte, silence time.Duration) (int, error) {
	for written, unacked := 0, math.MaxInt; ; {
		_ = c.SetWriteDeadline(time.Now().Add(silence))
		n, err := c.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		before := unacked
		if unacked = QueueOf(c).Unacked; n == 0 && unacked >= before {
			return written, err
		}
	}
}
