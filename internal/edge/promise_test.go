package edge_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/rules"
)

// Guards against a promise that a request has not run whose line does not say on what it rests.
func TestLinesStateTheProof(t *testing.T) {
	rejects := func(_ int, c net.Conn, r *http.Request) { respond(c, r, "503 X", "Not-Run: 1\r\n", "") }
	for name, test := range map[string]struct {
		backends        int
		sendings, proof string
	}{
		"nothing sent": {0, "0", "nothing-sent"}, "rejected": {1, "1", "rejected"}, "rejected by both": {2, "2", "rejected"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var lines bytes.Buffer
			backends := []*fakeServer{newFakeServer(t, rejects), newFakeServer(t, rejects)}
			f := newFixture(rules.NonIdempotent, backends...)
			f.cluster.config.Hosts["a.example"][0].MaxAttempts = test.backends
			if test.backends == 0 {
				_ = backends[0].listener.Close()
				_ = backends[1].listener.Close()
			}
			f.edge.Events = event.New(&lines, log.InfoLevel)
			is.Equal(f.send(t.Context()).Status, http.StatusServiceUnavailable)
			got := linesOf(t, f.edge.Events, &lines)["request"]
			is.Equal([]string{got["sendings"], got["proof"]}, []string{test.sendings, test.proof})
			is.Equal(len(f.edge.Meters.Snapshot().Promises), 1)
		})
	}
}

// linesOf ends a log and returns the fields of the last line of each message that it has written.
func linesOf(t *testing.T, events *event.Log, written io.Reader) map[string]map[string]string {
	t.Helper()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_ = events.Run(ended)
	out, fields := map[string]map[string]string{}, map[string]string{}
	for line, err := range event.Lines(written) {
		if err != nil {
			t.Fatal(err)
		}
		clear(fields)
		event.ParseFields(line, fields)
		out[fields["msg"]] = maps.Clone(fields)
	}
	return out
}

// ownHeaders holds headers that servers send with answers of their own which do not state that the request did not run.
var ownHeaders = map[string]string{
	"no headers": "", "unsigned": "Unsigned: 1\r\n", "retry after": "Retry-After: 0.2\r\nRest: 200\r\n", "closes": "Connection: close\r\n",
}

// Guards against REFUSED: a server answers with a status that promises that the request has not run, but does not state so,
// and the caller is given the promise.
func TestServersOwnPromiseIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"503", "429", "408"} {
		for headersName, headers := range ownHeaders {
			for _, body := range []string{"", "busy"} {
				for _, backends := range []int{1, 2} {
					for kindName, kind := range map[string]rules.Kind{"idempotent": rules.Idempotent, "not idempotent": rules.NonIdempotent} {
						t.Run(fmt.Sprintf("%s, %s, body %q, %d servers, %s", status, headersName, body, backends, kindName), func(t *testing.T) {
							is := is.New(t)
							first := newFakeServer(t, func(_ int, c net.Conn, r *http.Request) { respond(c, r, status+" X", "From: server\r\n"+headers, body) })
							f := newFixture(kind, append([]*fakeServer{first}, newFakeServer(t, respondOK))[:backends]...)
							reply := f.send(t.Context())
							want, runs := http.StatusBadGateway, int32(1)
							if kind == rules.Idempotent && backends == 2 {
								want = http.StatusOK
							} else if kind == rules.Idempotent && headersName != "retry after" {
								runs = 2 // both at the only server
							}
							is.Equal(reply.Status, want)
							is.Equal(reply.Header.Get("From"), "") // an answer of our own bears nothing of the server's
							is.True(first.runs.Load() <= runs)
						})
					}
				}
			}
		}
	}
}

// Guards against REFUSED over the connection of another instance.
func TestCarriedPromiseIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"503", "429", "408"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			f, c, _, r := newCarryFixture(t, rules.Idempotent, nil)
			f.cluster.config.Hosts["a.example"][0].MaxAttempts = 1
			c.response = responseTo("id-1", status+" X", "", "")
			is.Equal(f.edge.Handle(t.Context(), r).Status, http.StatusBadGateway)
		})
	}
}

// Guards against a request that is sent again, or is said not to have run, because its server states that it did not run it
// beside a status by which it did.
func TestContradictingAnswersProveNothing(t *testing.T) {
	for name, test := range map[string]struct {
		status string
		// once is the status that the caller gets if the request is not idempotent.
		once int
	}{
		"success": {"200 OK", 502}, "no content": {"204 X", 502}, "error": {"500 X", 500}, "deadline": {"504 X", 504}, "bad gateway": {"502 X", 502},
		"redirect": {"302 X", 302}, "not found": {"404 X", 404},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := newFakeServer(t, func(_ int, c net.Conn, r *http.Request) { respond(c, r, test.status, "Not-Run: 1\r\n", "") })
			second := newFakeServer(t, respondOK)
			f := newFixture(rules.NonIdempotent, first, second)
			is.Equal(f.send(t.Context()).Status, test.once)
			is.Equal(first.runs.Load()+second.runs.Load(), int32(1))
		})
	}
}
