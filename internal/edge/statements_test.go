package edge_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// asksForRest returns a script of a server that rejects its first request and asks for rest in it, and answers others.
func asksForRest(rest time.Duration) func(run int, c net.Conn, r *http.Request) {
	return func(run int, c net.Conn, r *http.Request) {
		if run == 1 {
			respond(c, r, "503 X", "Not-Run: 1\r\nRest: "+strconv.Itoa(int(rest.Milliseconds()))+"\r\n", "")
			return
		}
		respondOK(run, c, r)
	}
}

// Guards against requests, and retries, for keys whose only owner has asked for rest.
func TestRestingOwnerGetsNoRequests(t *testing.T) {
	is := is.New(t)
	const rest = 250 * time.Millisecond
	b := newFakeServer(t, asksForRest(rest))
	f := newFixture(rules.Idempotent, b)
	f.cluster.config.Services["books"] = rules.Service{Name: "books", Divided: true}
	f.cluster.owner = shard.Range{To: 100, Server: "s0"}
	begun := time.Now()
	for range 3 {
		reply := f.send(t.Context(), "Key", "5")
		is.Equal(reply.Status, http.StatusServiceUnavailable)
		retryAfter, err := strconv.ParseFloat(reply.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(retryAfter > 0 && retryAfter <= rest.Seconds())
	}
	is.True(time.Since(begun) < rest/2) // rejected at once
	is.Equal(b.runs.Load(), int32(1))
	time.Sleep(rest)
	is.Equal(f.send(t.Context(), "Key", "5").Status, http.StatusOK)
}

// Guards against requests to a server that has asked for rest while others could serve them.
func TestRestingServerIsPassedOver(t *testing.T) {
	is := is.New(t)
	resting, other := newFakeServer(t, asksForRest(time.Minute)), newFakeServer(t, respondOK)
	f := newFixture(rules.NonIdempotent, resting, other)
	for range 6 {
		is.Equal(f.send(t.Context()).Status, http.StatusOK)
	}
	is.Equal(resting.runs.Load(), int32(1))
}

// hookedDialer connects to servers after a function has returned.
type hookedDialer struct{ before func() }

func (d hookedDialer) DialServer(ctx context.Context, _, address string) (net.Conn, error) {
	d.before()
	return new(net.Dialer).DialContext(ctx, "tcp4", address)
}

func (hookedDialer) Answered(net.Conn) {}

// Guards against requests that are admitted, and sent after the server has asked for rest.
func TestRestWhileConnecting(t *testing.T) {
	is := is.New(t)
	b := newFakeServer(t, respondOK)
	f := newFixture(rules.Idempotent, b)
	f.edge.ConnPool = edge.NewConnPool(func(string) int { return 10 }, hookedDialer{func() {
		f.cluster.statements.ObserveRest("s0", time.Now().Add(time.Minute))
	}})
	is.Equal(f.send(t.Context()).Status, http.StatusServiceUnavailable)
	is.Equal(b.runs.Load(), int32(0))
}
