package proof

import (
	"io"
	"net"
	"sync"
	"testing"
)

// link forwards TCP connections from its listener to a target address. A test can cut it.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]bool
}

// startLink starts a link that ends with the test.
func startLink(t *testing.T, from, to string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", from)
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, target: to, conns: make(map[net.Conn]bool)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.accept()
	}()
	t.Cleanup(func() {
		listener.Close()
		l.setDown(true)
		<-ended
	})
	return l
}

// accept forwards connections until the listener is closed.
func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

// forward copies bytes in both directions until either side closes its connection.
func (l *link) forward(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	if !l.track(near) || !l.track(far) {
		return
	}
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// track registers a connection, so that a cut closes it. It reports false while the link is cut.
func (l *link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return false
	}
	l.conns[c] = true
	return true
}

// setDown cuts or restores the link. Both close the open connections.
func (l *link) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	for c := range l.conns {
		c.Close()
	}
	clear(l.conns)
}
