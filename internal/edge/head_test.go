package edge_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// Guards against a success without a body, or with a part of it, for a response whose head was cut off.
func TestResponseThatEndsInItsHeadIsNoSuccess(t *testing.T) {
	const whole = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 12\r\n\r\nbody of a resp"
	const head = len(whole) - len("body of a resp")
	for name, test := range map[string]struct {
		// from is where the response begins in whole.
		from int
	}{
		"after an informational response": {0}, "alone": {len("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			for end := test.from; end < head; end++ {
				is := is.New(t)
				f := newFixture(rules.NonIdempotent, newFakeServer(t, func(_ int, c net.Conn, _ *http.Request) {
					_, _ = io.WriteString(c, whole[test.from:end])
					_ = c.Close()
				}))
				is.Equal(f.send(t.Context()).Status, http.StatusBadGateway) // it may have run
				f.cluster.owner = shard.Range{To: 100, Server: "s0"}
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a.example/x", nil)
				is.NoErr(err)
				r.Header.Set("Id", "id-1")
				_, err = f.edge.SendFor(r, "s0", f.cluster.servers["s0"].Address, time.Now().Add(5*time.Second))
				is.True(err != nil) // for another instance
			}
		})
	}
}
