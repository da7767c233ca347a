package proof

import (
	"io"
	"net"
	"sync"
	"testing"
)

// link carries TCP connections from one address to another until it is cut.
type link struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]bool
}

func startLink(t *testing.T, from, to string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", from)
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, to: to, conns: make(map[net.Conn]bool)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.accept()
	}()
	t.Cleanup(func() {
		listener.Close()
		l.set(true)
		<-ended
	})
	return l
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(conn)
	}
}

func (l *link) carry(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer far.Close()
	if !l.keep(near) || !l.keep(far) {
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

// keep notes a connection, to be closed by a cut. It reports false while the link is cut.
func (l *link) keep(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return false
	}
	l.conns[c] = true
	return true
}

// set cuts the link, or mends it.
func (l *link) set(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	for c := range l.conns {
		c.Close()
	}
	clear(l.conns)
}
