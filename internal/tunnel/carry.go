package tunnel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"example.org/mustardring/internal/linger"
)

// The sizes in bytes of the buffers of a tunnel: for what goes to the server, and for a frame that comes from it.
const (
	bufferSize = 8 << 10
	frameSize  = 16 << 10
)

// writeTimeout is how long one end may receive nothing of what was written before the tunnel ends.
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

	// mu guards responded and the frames to the sender. Responded says that the server has sent something since the sender
	// last did, so that what the sender sends next begins a request.
	mu        sync.Mutex
	responded bool
}

// Carry passes on what the sender of a tunnel and the server send, until one of them closes its connection, and closes
// both, that of the sender once it has received all. Allowed is called before the first bytes of a request are sent to the
// server; if it returns false the sender is told and the tunnel ends.
func Carry(sender, server net.Conn, allowed func() bool) {
	c := &carrier{sender: sender, server: server, responded: true}
	var ended sync.WaitGroup
	ended.Go(func() {
		// A server takes the end of the connection for the end of its work, so that it must come at once.
		defer server.Close()
		c.carryRequests(allowed)
	})
	c.carryResponses()
	_ = server.Close()
	linger.Close(sender, linger.Discard, writeTimeout)
	ended.Wait()
}

// carryRequests passes on what the sender sends.
func (c *carrier) carryRequests(allowed func() bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := c.sender.Read(buffer)
		if n > 0 {
			if c.refuses(allowed) {
				return
			}
			if _, err := linger.Write(c.server, buffer[:n], writeTimeout); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// refuses reports whether what the sender has sent begins a request that is not allowed, and tells the sender so.
func (c *carrier) refuses(allowed func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	begins := c.responded
	c.responded = false
	if !begins || allowed() {
		return false
	}
	writeFrame(c.sender, binary.BigEndian.AppendUint32(nil, refusedFrame))
	return true
}

// passOn sends a frame with what the server has sent to the sender, and reports whether that succeeded.
func (c *carrier) passOn(frame []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responded = true
	return writeFrame(c.sender, frame)
}

// carryResponses passes on what the server sends, in frames. If the connection to the server breaks, there is no empty frame at
// the end, so that the response does not seem complete.
func (c *carrier) carryResponses() {
	frame := make([]byte, headerSize+frameSize)
	for {
		n, err := c.server.Read(frame[headerSize:])
		if n > 0 {
			binary.BigEndian.PutUint32(frame, uint32(n))
			if !c.passOn(frame[:headerSize+n]) {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			c.passOn(make([]byte, headerSize))
		}
		if err != nil {
			return
		}
	}
}

// writeFrame writes a frame and reports whether that succeeded.
func writeFrame(c net.Conn, frame []byte) bool {
	_, err := linger.Write(c, frame, writeTimeout)
	return err == nil
}
