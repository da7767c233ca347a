package edge_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/retry"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// Guards against requests that are given up after one rejection by the owner of their key, which has room, and against
// repeats where they are not allowed or do not help. The route allows one server.
func TestRejectedRequestsAreRepeatedAtTheOwner(t *testing.T) {
	rejectFirst := func(rejections, running int) func(int, net.Conn, *http.Request) {
		return func(run int, c net.Conn, r *http.Request) {
			if run <= rejections {
				respond(c, r, "503 X", "Not-Run: 1\r\nRunning: "+strconv.Itoa(running)+"\r\n", "")
				return
			}
			respondOK(run, c, r)
		}
	}
	tests := map[string]struct {
		rejections, running int
		off, pooled         bool
		earlier             admit.Earlier
		earned              int
		status, runs        int
	}{
		"last try":                     {rejections: 3, earlier: admit.Earlier{Returns: 1, LastTry: true}, earned: 100, status: 200, runs: 4},
		"last try, budget used up":     {rejections: 3, earlier: admit.Earlier{Returns: 1, LastTry: true}, earned: 10, status: 503, runs: 2},
		"first try leaves a reserve":   {rejections: 1, earned: 10, status: 503, runs: 1},
		"first try, much left":         {rejections: 1, earned: 100, status: 200, runs: 2},
		"server is full":               {rejections: 1, running: 2, earlier: admit.Earlier{LastTry: true}, earned: 100, status: 503, runs: 1},
		"setting is off":               {rejections: 1, off: true, earlier: admit.Earlier{LastTry: true}, earned: 100, status: 503, runs: 1},
		"any server may run it":        {rejections: 1, pooled: true, earlier: admit.Earlier{LastTry: true}, earned: 100, status: 503, runs: 1},
		"rejected at all times, bound": {rejections: 99, earlier: admit.Earlier{LastTry: true}, earned: 1000, status: 503, runs: 6},
	}
	for name, test := range tests {
		for kindName, kind := range map[string]rules.Kind{"idempotent": rules.Idempotent, "not idempotent": rules.NonIdempotent} {
			t.Run(name+", "+kindName, func(t *testing.T) {
				is := is.New(t)
				b := newFakeServer(t, rejectFirst(test.rejections, test.running))
				f := newFixture(kind, b)
				f.cluster.config.Services["books"] = rules.Service{Name: "books", Divided: !test.pooled}
				f.cluster.config.Hosts["a.example"][0].MaxAttempts = 1
				f.cluster.owner = shard.Range{To: 100, Server: "s0"}
				f.admitter.earlier = test.earlier
				f.edge.RepeatRejected = !test.off
				f.edge.RetryBudget = newBudget(0.2, 0)
				for range test.earned - 1 {
					f.edge.RetryBudget.Earn("books")
				}
				is.Equal(f.send(t.Context(), "Key", "5").Status, test.status)
				is.Equal(int(b.runs.Load()), test.runs)
				is.Equal(f.edge.RetryBudget.Counts()["books"].Sent, test.runs-1)
			})
		}
	}
}

// Guards against a repeat that goes to a second server where the route allows one: the key moves after the rejection.
func TestRepeatStaysWithinMaxAttempts(t *testing.T) {
	is := is.New(t)
	var f *fixture
	first := newFakeServer(t, func(_ int, c net.Conn, r *http.Request) {
		f.cluster.owner = shard.Range{To: 100, Server: "s1"}
		respond(c, r, "503 X", "Not-Run: 1\r\nRunning: 0\r\n", "")
	})
	second := newFakeServer(t, respondOK)
	f = newFixture(rules.Idempotent, first, second)
	f.cluster.config.Services["books"] = rules.Service{Name: "books", Divided: true}
	f.cluster.config.Hosts["a.example"][0].MaxAttempts = 1
	f.cluster.owner = shard.Range{To: 100, Server: "s0"}
	f.admitter.earlier, f.edge.RepeatRejected = admit.Earlier{LastTry: true}, true
	is.Equal(f.send(t.Context(), "Key", "5").Status, 503)
	is.Equal(second.runs.Load(), int32(0))
	is.Equal(f.edge.RetryBudget.Counts()["books"], retry.Counts{Refunded: 1})
}
