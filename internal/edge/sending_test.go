package edge_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// responseTo returns a response that states an ID.
func responseTo(id, status, headers, body string) string {
	return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\n" + headers + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// copyingServer rejects the first requests that it gets, and sends each rejection once more when the next request has
// arrived on its connection, before it runs that.
type copyingServer struct {
	mu         sync.Mutex
	rejections int
	copies     map[net.Conn]string
	// ran holds the IDs of the requests that ran.
	ran []string
}

func (s *copyingServer) handle(_ int, c net.Conn, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(c, s.copies[c])
	delete(s.copies, c)
	id := r.Header.Get("Id")
	if s.rejections > 0 {
		s.rejections--
		s.copies[c] = responseTo(id, "503 X", "Not-Run: 1\r\nRunning: 0\r\n", "")
		_, _ = io.WriteString(c, s.copies[c])
		return
	}
	s.ran = append(s.ran, id)
	_, _ = io.WriteString(c, responseTo(id, "200 OK", "", "fine"))
}

// Guards against the copy of a rejection that passes for the answer to the next sending of its request: callers are told
// "not run" although the request runs, or it runs twice.
func TestCopyOfARejectionIsNotTheNextAnswer(t *testing.T) {
	for name, rejections := range map[string]int{"one": 1, "two": 2, "as many as connections": 3, "more than connections": 5} {
		for kindName, kind := range map[string]rules.Kind{"idempotent": rules.Idempotent, "not idempotent": rules.NonIdempotent} {
			t.Run(name+", "+kindName, func(t *testing.T) {
				is := is.New(t)
				s := &copyingServer{rejections: rejections, copies: map[net.Conn]string{}}
				f := newFixture(kind, newFakeServer(t, s.handle))
				f.cluster.config.Services["books"] = rules.Service{Name: "books", Divided: true}
				f.cluster.owner = shard.Range{To: 100, Server: "s0"}
				f.admitter.earlier, f.edge.RepeatRejected = admit.Earlier{LastTry: true}, true
				is.Equal(f.send(t.Context(), "Key", "5").Status, http.StatusOK)
				s.mu.Lock()
				defer s.mu.Unlock()
				is.Equal(s.ran, []string{"id-1"})
			})
		}
	}
}
