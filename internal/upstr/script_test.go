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

// scriptedServer is a server that handles each connection with a function of the test.
type scriptedServer struct {
	net.Listener
	// requests is the number of requests that have been read.
	requests atomic.Int32
	mu       sync.Mutex
	conns    []net.Conn
}

// startScript starts a server that ends with the test. It calls handle for each connection on which
// something is sent, with the number of the connection counted from 0.
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
			// The monitor connection sends nothing and gets no number.
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

// connCounters holds the number of numbered connections of each scriptedServer.
var connCounters sync.Map

func (s *scriptedServer) serve(c net.Conn, handle func(s *scriptedServer, number int, c net.Conn, in *bufio.Reader)) {
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil {
		return
	}
	counter, _ := connCounters.LoadOrStore(s, new(atomic.Int32))
	handle(s, int(counter.(*atomic.Int32).Add(1))-1, c, in)
}

// readRequest reads one request. It returns false at the end of the connection.
func (s *scriptedServer) readRequest(in *bufio.Reader) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.requests.Add(1)
	return true
}

// okResponse is a complete response with the body "ok".
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
