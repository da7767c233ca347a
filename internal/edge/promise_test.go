package edge_test

import (
	"bytes"
	"context"
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
		"nothing sent": {0, "0", "nothing-sent"}, "rejected": {1, "1", "declined"}, "rejected by both": {2, "2", "declined"},
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
