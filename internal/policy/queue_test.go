package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = Time(time.Millisecond)

// warm returns a queue for one warm server.
func warm(limit, slots int) *Queue {
	q := NewQueue(limit)
	q.Configure(0, limit, []Server{{Name: "a", Slots: slots}})
	for i := range warmRuns {
		q.Ask(0, Ask{Ticket: Ticket(1_000_000 + i), Caller: "warm", Deadline: 1000 * ms})
		q.Release(0, "a", defaultRun, false)
	}
	return q
}

func ask(t Ticket, caller string, deadline Time) Ask {
	return Ask{Ticket: t, Caller: caller, Deadline: deadline}
}

func TestQueueVerdicts(t *testing.T) {
	tests := map[string]struct {
		asks []Ask
		want []Decision
	}{
		"slots then wait": {
			asks: []Ask{ask(1, "x", 500*ms), ask(2, "x", 500*ms), ask(3, "x", 500*ms)},
			want: []Decision{Admitted{1, "a"}, Admitted{2, "a"}, Queued{3}},
		},
		"deadline passed": {
			asks: []Ask{ask(1, "x", 0)},
			want: []Decision{Rejected{1, ReasonDeadlinePassed, 50 * ms}},
		},
		"would wait too long": {
			asks: []Ask{ask(1, "x", 500*ms), ask(2, "x", 500*ms), ask(3, "x", 25*ms)},
			want: []Decision{Admitted{1, "a"}, Admitted{2, "a"}, Rejected{3, ReasonDeadlineTooNear, 50 * ms}},
		},
		"full": {
			asks: []Ask{ask(1, "x", 500*ms), ask(2, "x", 500*ms), ask(3, "x", 500*ms), ask(4, "x", 500*ms), ask(5, "x", 500*ms)},
			want: []Decision{Admitted{1, "a"}, Admitted{2, "a"}, Queued{3}, Queued{4}, Rejected{5, ReasonQueueFull, 50 * ms}},
		},
		"full of one caller": {
			asks: []Ask{ask(1, "x", 500*ms), ask(2, "x", 500*ms), ask(3, "x", 500*ms), ask(4, "x", 500*ms), ask(5, "y", 500*ms)},
			want: []Decision{Admitted{1, "a"}, Admitted{2, "a"}, Queued{3}, Queued{4}, Queued{5}, Rejected{4, ReasonCallerOverShare, 50 * ms}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := warm(2, 2)
			var got []Decision
			for _, a := range tt.asks {
				got = append(got, q.Ask(0, a)...)
			}
			for i, v := range got {
				if s, shed := v.(Rejected); shed && s.Reason != ReasonDeadlinePassed {
					s.RetryAt = 50 * ms
					got[i] = s
				}
			}
			is.Equal(got, tt.want)
		})
	}
}

// One coordinator's program sends a hundred requests at once; a volunteer sends one. The
// volunteer would wait behind the hundred if the queue were first come, first served.
func TestQueueIsFairBetweenCallers(t *testing.T) {
	is := is.New(t)
	q := warm(200, 1)
	q.Ask(0, ask(1, "program", 60_000*ms))
	for i := range 100 {
		q.Ask(0, ask(Ticket(10+i), "program", 60_000*ms))
	}
	q.Ask(0, ask(500, "volunteer", 60_000*ms))
	q.Release(0, "a", defaultRun, false)
	verdicts := q.Release(0, "a", defaultRun, false)
	is.Equal(verdicts[0], Admitted{Ticket: 500, Server: "a"})
}

// A server freezes with all slots in use. No request ends, so the mean running time says
// nothing of it. Callers would queue up to the limit and learn of it at their deadlines.
func TestQueueShedsWhenServerIsFrozen(t *testing.T) {
	is := is.New(t)
	q := warm(100, 2)
	q.Ask(0, ask(1, "x", 60_000*ms))
	q.Ask(0, ask(2, "x", 60_000*ms))
	shed, ok := q.Ask(5000*ms, ask(3, "y", 6000*ms))[0].(Rejected)
	is.True(ok)
	is.Equal(shed.Reason, ReasonDeadlineTooNear)
}

// A server that cannot be reached gets nothing until its time is over, and a little at first.
func TestQueueSuspendsAndWarms(t *testing.T) {
	is := is.New(t)
	q := NewQueue(10)
	q.Configure(0, 10, []Server{{Name: "a", Slots: 4}, {Name: "b", Slots: 4}})
	q.Down(0, "a")
	for i := range 2 {
		is.Equal(q.Ask(0, ask(Ticket(i), "x", 500*ms))[0], Admitted{Ticket: Ticket(i), Server: "b"})
	}
	is.Equal(q.Ask(0, ask(3, "x", 500*ms))[0], Queued{Ticket: 3})
	is.Equal(q.Advance(100*ms), []Decision{Admitted{Ticket: 3, Server: "a"}})
	is.Equal(q.Ask(100*ms, ask(4, "x", 500*ms))[0], Admitted{Ticket: 4, Server: "a"})
	is.Equal(q.Ask(100*ms, ask(5, "x", 500*ms))[0], Queued{Ticket: 5})
	is.Equal(q.Advance(1000*ms), []Decision{Rejected{Ticket: 5, Reason: ReasonDeadlinePassed, RetryAt: 1050 * ms}})
}

// Two suspects never run on one server at once, and others run beside a suspect.
func TestQueueSeparatesSuspects(t *testing.T) {
	is := is.New(t)
	q := warm(10, 2)
	is.Equal(q.Ask(0, Ask{Ticket: 1, Caller: "x", Deadline: 500 * ms, Suspect: true})[0], Admitted{1, "a"})
	is.Equal(q.Ask(0, Ask{Ticket: 2, Caller: "x", Deadline: 500 * ms, Suspect: true})[0], Queued{2})
	is.Equal(q.Ask(0, ask(3, "x", 500*ms))[0], Admitted{3, "a"})
	is.Equal(len(q.Release(0, "a", defaultRun, false)), 0)
	is.Equal(q.Release(0, "a", defaultRun, true), []Decision{Admitted{2, "a"}})
}

// The slots in use never exceed those of the server, whatever happens, and each request gets
// one final verdict.
func TestQueueKeepsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		servers := []Server{{Name: "a", Slots: 2}, {Name: "b", Slots: 4}}
		q := NewQueue(5)
		q.Configure(0, 5, servers)
		running := map[string][]Ticket{}
		waiting := map[Ticket]bool{}
		ended := map[Ticket]bool{}
		now := Time(0)
		take := func(verdicts []Decision) {
			for _, v := range verdicts {
				switch v := v.(type) {
				case Admitted:
					if ended[v.Ticket] {
						t.Fatalf("ticket %d started twice", v.Ticket)
					}
					ended[v.Ticket] = true
					delete(waiting, v.Ticket)
					running[v.Server] = append(running[v.Server], v.Ticket)
				case Rejected:
					if ended[v.Ticket] {
						t.Fatalf("ticket %d shed after its end", v.Ticket)
					}
					ended[v.Ticket] = true
					delete(waiting, v.Ticket)
				case Queued:
					waiting[v.Ticket] = true
				}
			}
		}
		for i := range 200 {
			now += Time(r.IntN(40)) * ms
			switch r.IntN(6) {
			case 0, 1, 2:
				take(q.Ask(now, Ask{
					Ticket: Ticket(i), Caller: fmt.Sprint(r.IntN(3)), Deadline: now + Time(r.IntN(400))*ms, Suspect: r.IntN(10) == 0,
				}))
			case 3, 4:
				name := servers[r.IntN(2)].Name
				if len(running[name]) > 0 {
					running[name] = running[name][1:]
					take(q.Release(now, name, defaultRun, r.IntN(10) == 0))
				}
			case 5:
				q.Down(now, servers[r.IntN(2)].Name)
				take(q.Advance(now))
			}
			for _, s := range servers {
				if len(running[s.Name]) > s.Slots || q.Busy(s.Name) != len(running[s.Name]) {
					t.Fatalf("%s runs %d, counted %d, slots %d", s.Name, len(running[s.Name]), q.Busy(s.Name), s.Slots)
				}
			}
			if q.Waiting() != len(waiting) || q.Waiting() > 5 {
				t.Fatalf("%d wait, counted %d", len(waiting), q.Waiting())
			}
		}
	})
}
