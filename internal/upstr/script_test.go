package upstr

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// scriptedServer is a server whose behaviour on each connection is written out.
type scriptedServer struct {
	net.Listener
	// requests counts the requests that were read.
	requests atomic.Int32
	mu       sync.Mutex
	conns    []net.Conn
}

// startScript starts a script; handle gets the connection's number from 0.
func startScript(t *testing.T, handle func(s *scriptedServer, number int, c net.Conn, in *bufio.Reader)) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{Listener: l}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			// The watch's connection sends nothing and takes no number.
			group.Go(func() { s.serve(c, handle) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		group.Wait()
	})
	return s
}

var connCounters sync.Map

func (s *scriptedServer) serve(c net.Conn, handle func(s *scriptedServer, number int, c net.Conn, in *bufio.Reader)) {
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil {
		return
	}
	counter, _ := connCounters.LoadOrStore(s, new(atomic.Int32))
	handle(s, int(counter.(*atomic.Int32).Add(1))-1, c, in)
}

// readRequest takes in one request and reports false at the connection's end.
func (s *scriptedServer) readRequest(in *bufio.Reader) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.requests.Add(1)
	return true
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
