package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/rules"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newController(servers ...rules.Server) *admit.Controller {
	c := admit.New(rand.New(rand.NewPCG(1, 2)), admit.Options{})
	c.SetServers(start, servers)
	return c
}

func server(id, domain string, slots int) rules.Server {
	return rules.Server{ID: id, Service: "books", Domain: domain, Slots: slots}
}

// requestWithLongTarget returns a request with twice the time to its target, so that it can meet
// the target behind two other requests.
func requestWithLongTarget(serial uint64, now time.Time) admit.Request {
	req := newRequest(serial, now)
	req.TargetAt, req.Deadline = now.Add(1200*time.Millisecond), now.Add(2400*time.Millisecond)
	return req
}

// fill uses up what a server accepts: its slots, and the places of requests that wait there.
func fill(is *is.I, c *admit.Controller, server string) {
	is.Helper()
	for i := range uint64(16) {
		req := newRequest(1000+i, start)
		req.Server = server
		if i > 0 {
			req.TargetAt, req.Deadline = start.Add(time.Hour), start.Add(time.Hour)
		}
		if _, admitted := c.Decide(start, req).(admit.Admitted); !admitted {
			c.Cancel(start, req.ID)
			return
		}
	}
	is.Fail() // the server accepts more requests than it can hold
}

// newRequest returns a request for any server, with 600 ms to its target and twice that to its
// deadline.
func newRequest(serial uint64, now time.Time) admit.Request {
	return admit.Request{
		ID: admit.ID{From: "a", Serial: serial}, Service: "books", Domain: "north", Route: "read",
		TargetAt: now.Add(600 * time.Millisecond), Deadline: now.Add(1200 * time.Millisecond),
	}
}

// Guards against a repeated request that is taken for a new one. The instance of a queued request
// asked after 300 ms whether the request was still known. The controller rejected it as a new one,
// and later admitted the first copy, which nobody used: the server looked full although it was
// idle.
func TestRepeatedRequest(t *testing.T) {
	is := is.New(t)
	c := newController(server("s", "north", 1))
	first := newRequest(1, start)
	is.Equal(c.Decide(start, first), admit.Admitted{ID: first.ID, Server: "s"})
	is.Equal(c.Decide(start, first), admit.Admitted{ID: first.ID, Server: "s"}) // the first decision was lost
	fill(is, c, "s")
	second := requestWithLongTarget(2, start)
	is.Equal(c.Decide(start, second), admit.Queued{ID: second.ID})
	later := start.Add(300 * time.Millisecond)
	is.Equal(c.Decide(later, second), admit.Queued{ID: second.ID})
	decisions := c.Complete(later, admit.Completion{ID: first.ID, Server: "s", Route: "read", Took: 300 * time.Millisecond})
	is.Equal(decisions, []admit.Decision{admit.Admitted{ID: second.ID, Server: "s"}})
	decisions = c.Complete(later, admit.Completion{ID: second.ID, Server: "s", Route: "read", Took: 300 * time.Millisecond})
	is.Equal(len(decisions), 0) // no second copy was in the queue
}

// Guards against the rejection of a request that would miss its target by little. All slots of a
// slow server were in use, and the next one was free in 0.2 seconds. A request of 0.3 seconds had
// 0.6 seconds to its target and two seconds to its deadline. It was rejected, came back as told,
// and was rejected again, as it had even less time left.
func TestLateRequestWaits(t *testing.T) {
	is := is.New(t)
	c := newController(rules.Server{ID: "s", Service: "books", Slots: 1})
	decide := func(now time.Time, serial uint64, target time.Duration) admit.Decision {
		return c.Decide(now, admit.Request{
			ID: admit.ID{From: "i", Serial: serial}, Service: "books", Server: "s", Route: "r",
			TargetAt: now.Add(target), Deadline: now.Add(2 * time.Second),
		})
	}
	_, admitted := decide(start, 1, 900*time.Millisecond).(admit.Admitted) // its service time is assumed to be a third of that
	is.True(admitted)
	now := start.Add(100 * time.Millisecond)
	_, sent := decide(now, 2, 600*time.Millisecond).(admit.Admitted) // it waits at the server
	is.True(sent)
	_, rejected := decide(now, 3, 600*time.Millisecond).(admit.Rejected) // behind that one it would wait for nothing
	is.True(rejected)
	now = start.Add(300 * time.Millisecond)
	decisions := c.Complete(now, admit.Completion{ID: admit.ID{From: "i", Serial: 1}, Server: "s", Route: "r", Took: 300 * time.Millisecond})
	is.Equal(len(decisions), 0)
}

// Guards against a first request that is queued although servers are free, with all others behind
// it: the controller is created for it a moment after its time was read.
func TestFirstRequestOfController(t *testing.T) {
	for name, servers := range map[string][]rules.Server{
		"warm": {server("s", "north", 2)}, "cold": {coldServer("s")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newController(servers...)
			req := newRequest(1, start)
			req.HasFallback = true // as the first pool that a request asks
			_, admitted := c.Decide(start.Add(-time.Microsecond), req).(admit.Admitted)
			is.True(admitted)
		})
	}
}
