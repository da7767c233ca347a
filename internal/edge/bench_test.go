package edge_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"example.org/mustardring/internal/rules"
)

// BenchmarkHandle measures a request that is answered by its first server over a kept connection, with that server's work.
func BenchmarkHandle(b *testing.B) {
	s := newBenchServer(b)
	f := newFixture(rules.NonIdempotent)
	f.cluster.servers["s0"] = rules.Server{ID: "s0", Service: "books", Address: s, Slots: 2}
	f.admitter.ids = []string{"s0"}
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		r.Host, r.Header = "a.example", http.Header{"Id": {"id-1"}, "Left": {"900"}}
		if reply := f.edge.Handle(b.Context(), r); reply.Status != http.StatusOK {
			b.Fatal(reply.Status)
		}
		f.admitter.outcomes = f.admitter.outcomes[:0]
	}
}

// newBenchServer starts a server that answers each read with the same response, without a Go request, and returns its address.
func newBenchServer(b *testing.B) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				response, buffer := []byte(responseTo("id-1", "200 OK", "", "fine")), make([]byte, 4096)
				for _, err := c.Read(buffer); err == nil; _, err = c.Read(buffer) {
					if _, err := c.Write(response); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}
