// Package tunnel carries a connection to a backend server through another instance.
//
// The instance that opens a tunnel sends its bytes as they are. What the server sends comes in frames, each with its
// length in front, and an empty frame says that the server has closed its side. A frame without content and with
// refusedFrame as its length says that the instance in the middle has not passed on the request. A tunnel that ends in any
// other way, as when that instance is killed, has broken off: a response that ends with its connection would otherwise seem
// complete.
package tunnel

import (
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"example.org/mustardring/internal/upstr"
)

// headerSize is the size in bytes of the length in front of a frame.
const headerSize = 4

// refusedFrame stands in the place of a length. No frame is that long.
const refusedFrame = 1<<32 - 1

// Conn is the end of a tunnel at the instance that opened it. It implements net.Conn. Reads and writes may run at the
// same time, but not two of either.
type Conn struct {
	*net.TCPConn
	via     string
	usable  func() bool
	onClose func(*Conn)

	// header holds the first headerBytes bytes of the header of the next frame, remaining is how many bytes of the
	// current frame are still to be read.
	header      [headerSize]byte
	headerBytes int
	remaining   int
	ended       bool
	// received says that the server has sent something since the current request began.
	received atomic.Bool
}

// Via returns the name of the instance that the tunnel goes through.
func (c *Conn) Via() string { return c.via }

// Usable reports whether the tunnel may carry another request.
func (c *Conn) Usable() bool { return c.usable() }

// BeginRequest is called before the first byte of a request is written.
func (c *Conn) BeginRequest() { c.received.Store(false) }

// Close closes the tunnel.
func (c *Conn) Close() error {
	c.onClose(c)
	return c.TCPConn.Close()
}

// SyscallConn implements syscall.Conn. Bytes that are waiting there belong to a frame that has not been read.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.TCPConn.SyscallConn() }

// Read implements net.Conn. It returns io.EOF only if the server has closed its side of the connection, and
// upstr.ErrNotPassedOn if no byte of the current request has reached the server and none will.
func (c *Conn) Read(p []byte) (int, error) {
	for c.remaining == 0 {
		if c.ended {
			return 0, io.EOF
		}
		n, err := c.TCPConn.Read(c.header[c.headerBytes:])
		c.headerBytes += n
		if err != nil {
			return 0, brokenOff(err)
		}
		if c.headerBytes < headerSize {
			continue
		}
		c.headerBytes = 0
		length := binary.BigEndian.Uint32(c.header[:])
		if length == refusedFrame {
			return 0, c.refused()
		}
		c.received.Store(true)
		c.remaining = int(length)
		c.ended = length == 0
	}
	n, err := c.TCPConn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, brokenOff(err)
}

// refused returns the error of a request that the instance in the middle has refused to pass on. If the server has sent
// something since the request began, the part that was refused may not have been its beginning.
func (c *Conn) refused() error {
	if c.received.Load() {
		return io.ErrUnexpectedEOF
	}
	return upstr.ErrNotPassedOn
}

// brokenOff returns the error of a tunnel that ended without an empty frame.
func brokenOff(err error) error {
	if err == io.EOF { //nolint:errorlint // Read returns io.EOF itself.
		return io.ErrUnexpectedEOF
	}
	return err
}
