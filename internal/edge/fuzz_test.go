package edge_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/rules"
)

// scriptDialer implements upstr.Dialer with a server that answers each request with some bytes and closes the connection.
type scriptDialer struct{ answer []byte }

func (d scriptDialer) DialServer(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		if r, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = server.Write(d.answer)
		}
	}()
	return client, nil
}

func (scriptDialer) Answered(net.Conn) {}

// FuzzAnswer guards against bytes that pass for a success, or for "not run", without stating the ID of the request.
func FuzzAnswer(f *testing.F) {
	for _, answer := range []string{
		"", "\r\n", "HTTP/1.1 200 OK\r\n\r\nfine", "HTTP/1.1 200 OK\r\nId: victim\r\n\r\nfine",
		"HTTP/1.1 200 OK\r\nId: victim\r\nUnsigned: 1\r\nContent-Length: 2\r\n\r\nno", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 503 X\r\nId: victim\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 103 X\r\nId: victim\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: victim\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nno!", "HTTP/1.1 101 X\r\nId: victim\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: victim\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nId: victim\r\nContent-Length: 9\r\n\r\nfine",
	} {
		f.Add([]byte(answer))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		x := newFixture(rules.NonIdempotent, newFakeServer(t, respondOK))
		x.edge.ConnPool = edge.NewConnPool(func(string) int { return 10 }, scriptDialer{answer})
		reply := x.send(t.Context(), "Id", "victim")
		lower := bytes.ToLower(answer)
		stated := bytes.Contains(lower, []byte("id:")) && bytes.Contains(lower, []byte("victim"))
		switch {
		case reply.Status >= 200 && reply.Status < 300 && !stated:
			t.Errorf("status %d for %q", reply.Status, answer)
		case reply.Status == http.StatusServiceUnavailable && !stated:
			t.Errorf("not run for %q", answer)
		}
	})
}
