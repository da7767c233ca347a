package permit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/permit"
	"example.org/mustardring/internal/rules"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newKeeper(servers ...rules.Server) *permit.Controller {
	k := permit.New(rand.New(rand.NewPCG(1, 2)))
	k.SetServers(start, servers)
	return k
}

func server(id, domain string, slots int) rules.Server {
	return rules.Server{ID: id, Service: "books", Domain: domain, Slots: slots}
}

// patient returns a request whose target is twice as far as that of others: it makes it behind two of them.
func patient(serial uint64, now time.Time) permit.Request {
	a := ask(serial, now)
	a.TargetAt, a.Deadline = now.Add(1200*time.Millisecond), now.Add(2400*time.Millisecond)
	return a
}

// fill takes what is open of a server: its slots, and the place of a request that waits there.
func fill(is *is.I, k *permit.Controller, server string) {
	is.Helper()
	for i := range uint64(16) {
		a := ask(1000+i, start)
		a.Server = server
		if i > 0 {
			a.TargetAt, a.Deadline = start.Add(time.Hour), start.Add(time.Hour)
		}
		if _, granted := k.Decide(start, a).(permit.Admitted); !granted {
			k.Cancel(start, a.ID)
			return
		}
	}
	is.Fail() // a server takes that many
}

func ask(serial uint64, now time.Time) permit.Request {
	return permit.Request{
		ID: permit.ID{From: "a", Serial: serial}, Service: "books", Domain: "north", Route: "read",
		TargetAt: now.Add(600 * time.Millisecond), Deadline: now.Add(1200 * time.Millisecond),
	}
}

// A caller waited behind a full server. Its instance asked the keeper after 300 ms whether the
// request was still known. The keeper took that for a new request, refused it, and gave the
// first one a permit later that nobody used: the server looked full although it was idle.
func TestAskAgain(t *testing.T) {
	is := is.New(t)
	k := newKeeper(server("s", "north", 1))
	first := ask(1, start)
	is.Equal(k.Decide(start, first), permit.Admitted{ID: first.ID, Server: "s"})
	is.Equal(k.Decide(start, first), permit.Admitted{ID: first.ID, Server: "s"}) // the verdict was lost
	fill(is, k, "s")
	second := patient(2, start)
	is.Equal(k.Decide(start, second), permit.Queued{ID: second.ID})
	later := start.Add(300 * time.Millisecond)
	is.Equal(k.Decide(later, second), permit.Queued{ID: second.ID})
	verdicts := k.Complete(later, permit.Completion{ID: first.ID, Server: "s", Route: "read", Took: 300 * time.Millisecond})
	is.Equal(verdicts, []permit.Decision{permit.Admitted{ID: second.ID, Server: "s"}})
	verdicts = k.Complete(later, permit.Completion{ID: second.ID, Server: "s", Route: "read", Took: 300 * time.Millisecond})
	is.Equal(len(verdicts), 0) // no second copy was in the queue
}

// All slots of a slow server were taken, the next one free in 0.2 seconds. A request that needs 0.3
// had 0.6 to its target, which it would miss by little, and two seconds to its limit. It was refused,
// came back as told, and was refused again, as it then had even less time.
func TestWaitsBehindThoseInTime(t *testing.T) {
	is := is.New(t)
	k := newKeeper(rules.Server{ID: "s", Service: "books", Slots: 1})
	ask := func(now time.Time, serial uint64, target time.Duration) permit.Decision {
		return k.Decide(now, permit.Request{
			ID: permit.ID{From: "i", Serial: serial}, Service: "books", Server: "s", Route: "r",
			TargetAt: now.Add(target), Deadline: now.Add(2 * time.Second),
		})
	}
	_, granted := ask(start, 1, 900*time.Millisecond).(permit.Admitted) // a third of that is taken for its time
	is.True(granted)
	now := start.Add(100 * time.Millisecond)
	_, sent := ask(now, 2, 600*time.Millisecond).(permit.Admitted) // it waits at the server
	is.True(sent)
	_, refused := ask(now, 3, 600*time.Millisecond).(permit.Rejected) // behind that one it would be held for nothing
	is.True(refused)
	now = start.Add(300 * time.Millisecond)
	verdicts := k.Complete(now, permit.Completion{ID: permit.ID{From: "i", Serial: 1}, Server: "s", Route: "r", Took: 300 * time.Millisecond})
	is.Equal(len(verdicts), 0)
}

// Guards against a first request that waits for servers which are free, and all others behind it: the keeper was made for
// it, a moment after its time was taken.
func TestFirstRequestOfAKeeper(t *testing.T) {
	for name, servers := range map[string][]rules.Server{
		"warm": {server("s", "north", 2)}, "cold": {coldServer("s")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := newKeeper(servers...)
			a := ask(1, start)
			a.HasFallback = true // as the first pool that a request asks
			_, granted := k.Decide(start.Add(-time.Microsecond), a).(permit.Admitted)
			is.True(granted)
		})
	}
}
