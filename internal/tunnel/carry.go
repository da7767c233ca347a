package tunnel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The sizes in bytes of the buffers of a tunnel: for what goes to the server, and for a frame that comes from it.
const (
	bufferSize = 8 << 10
	frameSize  = 16 << 10
)

// writeTimeout is how long one end may take to accept some bytes before the tunnel ends.
const writeTimeout = 5 * time.Second

// errBuffered means that the sender sent more than the request for the tunnel before it was accepted.
var errBuffered = errors.New("tunnel: bytes before the tunnel was accepted")

// Accept answers a request for a tunnel that is accepted. It returns the connection to the sender.
func Accept(w http.ResponseWriter) (net.Conn, error) {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, fmt.Errorf("tunnel: %w", err)
	}
	_ = c.SetDeadline(time.Time{})
	if buffered.Reader.Buffered() > 0 {
		_ = c.Close()
		return nil, errBuffered
	}
	answer := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"
	if _, err := io.WriteString(c, answer); err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("tunnel: %w", err)
	}
	return c, nil
}

// carrier carries a tunnel between its sender and a server.
type carrier struct {
	sender net.Conn
	server net.Conn
	// responded says that the server has sent something since the sender last did, so that what the sender sends next
	// begins a request.
	responded atomic.Bool
}

// Carry passes on what the sender of a tunnel and the server send, until one of them closes its connection, and closes
// both. Allowed is called before the first bytes of a request are sent to the server; if it returns false the tunnel ends.
func Carry(sender, server net.Conn, allowed func() bool) {
	c := &carrier{sender: sender, server: server}
	c.responded.Store(true)
	var ended sync.WaitGroup
	ended.Go(func() {
		// A server takes the end of the connection for the end of its work, so that it must come at once.
		defer server.Close()
		c.carryRequests(allowed)
	})
	c.carryResponses()
	_ = server.Close()
	_ = sender.Close()
	ended.Wait()
}

// carryRequests passes on what the sender sends.
func (c *carrier) carryRequests(allowed func() bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := c.sender.Read(buffer)
		if n > 0 {
			if c.responded.Swap(false) && !allowed() {
				return
			}
			_ = c.server.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.server.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// carryResponses passes on what the server sends, in frames. If the connection to the server breaks, that to the sender
// is reset.
func (c *carrier) carryResponses() {
	frame := make([]byte, headerSize+frameSize)
	for {
		n, err := c.server.Read(frame[headerSize:])
		if n > 0 {
			c.responded.Store(true)
			binary.BigEndian.PutUint32(frame, uint32(n))
			if !writeFrame(c.sender, frame[:headerSize+n]) {
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			writeFrame(c.sender, make([]byte, headerSize))
			return
		default:
			if tcp, ok := c.sender.(interface{ SetLinger(seconds int) error }); ok {
				_ = tcp.SetLinger(0)
			}
			return
		}
	}
}

// writeFrame writes a frame and reports whether that succeeded.
func writeFrame(c net.Conn, frame []byte) bool {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(frame)
	return err == nil
}
