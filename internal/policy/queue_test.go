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

// newWarmQueue returns a queue for one server that is no longer cold.
func newWarmQueue(maxWaiting, slots int) *Queue {
	q := NewQueue(maxWaiting)
	q.Configure(0, maxWaiting, []Server{{Name: "a", Slots: slots}})
	for i := range warmupRequests {
		q.Admit(0, SlotRequest{Ticket: Ticket(1_000_000 + i), Caller: "warm", Deadline: 1000 * ms})
		q.Release(0, "a", defaultRunTime, false)
	}
	return q
}

func newSlotRequest(t Ticket, caller string, deadline Time) SlotRequest {
	return SlotRequest{Ticket: t, Caller: caller, Deadline: deadline}
}

func TestQueueAdmit(t *testing.T) {
	tests := map[string]struct {
		requests []SlotRequest
		want     []Decision
	}{
		"slots then wait": {
			requests: []SlotRequest{newSlotRequest(1, "x", 500*ms), newSlotRequest(2, "x", 500*ms), newSlotRequest(3, "x", 500*ms)},
			want:     []Decision{Admitted{1, "a"}, Admitted{2, "a"}, Queued{3}},
		},
		"deadline passed": {
			requests: []SlotRequest{newSlotRequest(1, "x", 0)},
			want:     []Decision{Rejected{1, ReasonDeadlinePassed, 50 * ms}},
		},
		"would wait too long": {
			requests: []SlotRequest{newSlotRequest(1, "x", 500*ms), newSlotRequest(2, "x", 500*ms), newSlotRequest(3, "x", 25*ms)},
			want:     []Decision{Admitted{1, "a"}, Admitted{2, "a"}, Rejected{3, ReasonDeadlineTooNear, 50 * ms}},
		},
		"full": {
			requests: []SlotRequest{newSlotRequest(1, "x", 500*ms), newSlotRequest(2, "x", 500*ms), newSlotRequest(3, "x", 500*ms), newSlotRequest(4, "x", 500*ms), newSlotRequest(5, "x", 500*ms)},
			want:     []Decision{Admitted{1, "a"}, Admitted{2, "a"}, Queued{3}, Queued{4}, Rejected{5, ReasonQueueFull, 50 * ms}},
		},
		"full of one caller": {
			requests: []SlotRequest{newSlotRequest(1, "x", 500*ms), newSlotRequest(2, "x", 500*ms), newSlotRequest(3, "x", 500*ms), newSlotRequest(4, "x", 500*ms), newSlotRequest(5, "y", 500*ms)},
			want:     []Decision{Admitted{1, "a"}, Admitted{2, "a"}, Queued{3}, Queued{4}, Queued{5}, Rejected{4, ReasonCallerOverShare, 50 * ms}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := newWarmQueue(2, 2)
			var got []Decision
			for _, r := range tt.requests {
				got = append(got, q.Admit(0, r)...)
			}
			for i, d := range got {
				if r, rejected := d.(Rejected); rejected && r.Reason != ReasonDeadlinePassed {
					r.RetryAt = 50 * ms
					got[i] = r
				}
			}
			is.Equal(got, tt.want)
		})
	}
}

// One caller sends a hundred requests at once, another sends one. In a first-in, first-out queue
// that one would wait behind the hundred.
func TestQueueIsFairBetweenCallers(t *testing.T) {
	is := is.New(t)
	q := newWarmQueue(200, 1)
	q.Admit(0, newSlotRequest(1, "program", 60_000*ms))
	for i := range 100 {
		q.Admit(0, newSlotRequest(Ticket(10+i), "program", 60_000*ms))
	}
	q.Admit(0, newSlotRequest(500, "volunteer", 60_000*ms))
	q.Release(0, "a", defaultRunTime, false)
	decisions := q.Release(0, "a", defaultRunTime, false)
	is.Equal(decisions[0], Admitted{Ticket: 500, Server: "a"})
}

// A server freezes with all slots in use. No request completes, so the mean run time stays low.
// If only the mean counted, requests would be queued and rejected at their deadlines.
func TestQueueRejectsWhenServerIsFrozen(t *testing.T) {
	is := is.New(t)
	q := newWarmQueue(100, 2)
	q.Admit(0, newSlotRequest(1, "x", 60_000*ms))
	q.Admit(0, newSlotRequest(2, "x", 60_000*ms))
	rejected, ok := q.Admit(5000*ms, newSlotRequest(3, "y", 6000*ms))[0].(Rejected)
	is.True(ok)
	is.Equal(rejected.Reason, ReasonDeadlineTooNear)
}

// An unreachable server gets no request until its ejection ends, and is cold afterwards.
func TestQueueEjectsAndWarmsUp(t *testing.T) {
	is := is.New(t)
	q := NewQueue(10)
	q.Configure(0, 10, []Server{{Name: "a", Slots: 4}, {Name: "b", Slots: 4}})
	q.EjectUnreachable(0, "a")
	for i := range 2 {
		is.Equal(q.Admit(0, newSlotRequest(Ticket(i), "x", 500*ms))[0], Admitted{Ticket: Ticket(i), Server: "b"})
	}
	is.Equal(q.Admit(0, newSlotRequest(3, "x", 500*ms))[0], Queued{Ticket: 3})
	is.Equal(q.Advance(100*ms), []Decision{Admitted{Ticket: 3, Server: "a"}})
	is.Equal(q.Admit(100*ms, newSlotRequest(4, "x", 500*ms))[0], Admitted{Ticket: 4, Server: "a"})
	is.Equal(q.Admit(100*ms, newSlotRequest(5, "x", 500*ms))[0], Queued{Ticket: 5})
	is.Equal(q.Advance(1000*ms), []Decision{Rejected{Ticket: 5, Reason: ReasonDeadlinePassed, RetryAt: 1050 * ms}})
}

// Two suspects never run at one server at the same time. Other requests may run beside a suspect.
func TestQueueSeparatesSuspects(t *testing.T) {
	is := is.New(t)
	q := newWarmQueue(10, 2)
	is.Equal(q.Admit(0, SlotRequest{Ticket: 1, Caller: "x", Deadline: 500 * ms, Suspect: true})[0], Admitted{1, "a"})
	is.Equal(q.Admit(0, SlotRequest{Ticket: 2, Caller: "x", Deadline: 500 * ms, Suspect: true})[0], Queued{2})
	is.Equal(q.Admit(0, newSlotRequest(3, "x", 500*ms))[0], Admitted{3, "a"})
	is.Equal(len(q.Release(0, "a", defaultRunTime, false)), 0)
	is.Equal(q.Release(0, "a", defaultRunTime, true), []Decision{Admitted{2, "a"}})
}

// Whatever happens, the slots in use never exceed those of the server, and each request is
// admitted or rejected only once.
func TestQueueNeverExceedsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		servers := []Server{{Name: "a", Slots: 2}, {Name: "b", Slots: 4}}
		q := NewQueue(5)
		q.Configure(0, 5, servers)
		running := map[string][]Ticket{}
		waiting := map[Ticket]bool{}
		decided := map[Ticket]bool{}
		now := Time(0)
		apply := func(decisions []Decision) {
			for _, d := range decisions {
				switch d := d.(type) {
				case Admitted:
					if decided[d.Ticket] {
						t.Fatalf("ticket %d admitted after it was admitted or rejected", d.Ticket)
					}
					decided[d.Ticket] = true
					delete(waiting, d.Ticket)
					running[d.Server] = append(running[d.Server], d.Ticket)
				case Rejected:
					if decided[d.Ticket] {
						t.Fatalf("ticket %d rejected after it was admitted or rejected", d.Ticket)
					}
					decided[d.Ticket] = true
					delete(waiting, d.Ticket)
				case Queued:
					waiting[d.Ticket] = true
				}
			}
		}
		for i := range 200 {
			now += Time(random.IntN(40)) * ms
			switch random.IntN(6) {
			case 0, 1, 2:
				apply(q.Admit(now, SlotRequest{
					Ticket: Ticket(i), Caller: fmt.Sprint(random.IntN(3)), Deadline: now + Time(random.IntN(400))*ms, Suspect: random.IntN(10) == 0,
				}))
			case 3, 4:
				name := servers[random.IntN(2)].Name
				if len(running[name]) > 0 {
					running[name] = running[name][1:]
					apply(q.Release(now, name, defaultRunTime, random.IntN(10) == 0))
				}
			case 5:
				q.EjectUnreachable(now, servers[random.IntN(2)].Name)
				apply(q.Advance(now))
			}
			for _, s := range servers {
				if len(running[s.Name]) > s.Slots || q.SlotsInUse(s.Name) != len(running[s.Name]) {
					t.Fatalf("server %s runs %d requests, counted %d, slots %d", s.Name, len(running[s.Name]), q.SlotsInUse(s.Name), s.Slots)
				}
			}
			if q.Waiting() != len(waiting) || q.Waiting() > 5 {
				t.Fatalf("%d requests wait, counted %d", len(waiting), q.Waiting())
			}
		}
	})
}
