package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/caller"
)

var testLimits = bundle.Limits{Queue: 4, CrashServers: 2, BlockMillis: 60_000}

// newCore returns a core with two servers in one pool.
func newCore() *Core {
	c := NewCore("oddaja", Bounds{Entries: 100, KeptBytes: 1 << 10}, 0)
	c.Configure(0, "", testLimits, []Capacity{{Server: "a", Slots: 2}, {Server: "b", Slots: 2}})
	c.budget.saved = maxSavedRetries
	return c
}

// submission returns a sending of non-idempotent work.
func submission(t Ticket, id string) *Request {
	return &Request{
		Ticket: t, Name: NameOf("oddaja", "", id), Sending: NameOf("", "", string(rune('a'+t))), Caller: "x",
		Deadline: 60_000 * ms, Replayable: true, Print: 9,
	}
}

func TestCoreDecides(t *testing.T) {
	tests := map[string]struct {
		fault      Fault
		idempotent bool
		late       bool
		want       Decision
		again      Recollection
	}{
		"not sent":            {fault: NotSent, want: Retry{}, again: Doubtful{}},
		"refused":             {fault: Refused, want: Retry{}, again: Doubtful{}},
		"moved":               {fault: NotOwner, want: Retry{}, again: Doubtful{}},
		"in doubt":            {fault: InDoubt, want: Final{Outcome: caller.Unknown}, again: Doubtful{}},
		"lost":                {fault: Lost, want: Final{Outcome: caller.Unknown}, again: Doubtful{}},
		"not sent and late":   {fault: NotSent, late: true, want: Final{Outcome: caller.NotRun}, again: Fresh{}},
		"idempotent in doubt": {fault: InDoubt, idempotent: true, want: Retry{}, again: Fresh{}},
		"idempotent lost":     {fault: Lost, idempotent: true, want: Retry{}, again: Fresh{}},
		"idempotent and late": {fault: InDoubt, idempotent: true, late: true, want: Final{Outcome: caller.Unknown}, again: Fresh{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore()
			r := submission(1, "x")
			r.Idempotent = tt.idempotent
			start, ok := c.Arrive(0, r)[0].(Start)
			is.True(ok)
			now := ms
			if tt.late {
				now = r.Deadline
			}
			is.Equal(c.Failed(now, r, c.Held(r, start.Server), tt.fault), tt.want)
			is.Equal(c.Look(now, r.Name), tt.again)
		})
	}
}

// All servers fail at once. Without a budget each caller's request would be sent three times.
func TestCoreBoundsRetries(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.budget.saved = 0
	retries := 0
	for i := range 100 {
		r := submission(Ticket(i), "")
		r.Name, r.Idempotent = Name{}, true
		start := c.Arrive(0, r)[0].(Start)
		slot := c.Held(r, start.Server)
		if _, again := c.Failed(0, r, slot, Refused).(Retry); again {
			retries++
		}
		c.Freed(0, slot, 0)
	}
	is.Equal(retries, 9)
}

// A request that the queue refuses did not run: its resend is a first sending.
func TestCoreForgetsWhatItSheds(t *testing.T) {
	is := is.New(t)
	c := newCore()
	for i := range 2 {
		c.Arrive(0, submission(Ticket(i), string(rune('a'+i))))
	}
	late := submission(7, "late")
	late.Deadline = 21 * ms
	_, shed := c.Arrive(0, late)[0].(Shed)
	is.True(shed)
	is.Equal(c.Look(0, late.Name), Fresh{})
	waiting := submission(8, "waiting")
	is.Equal(c.Arrive(0, waiting)[0], Wait{Ticket: 8})
	is.Equal(c.Look(0, waiting.Name), Doubtful{})
	is.True(c.Leave(waiting))
	is.True(!c.Leave(waiting))
	is.Equal(c.Look(0, waiting.Name), Fresh{})
}

// The second loss of a server blocks the request for good, though it is idempotent and could
// be tried again. The block tells when it ends.
func TestCoreBlocks(t *testing.T) {
	is := is.New(t)
	c := newCore()
	r := submission(1, "")
	r.Name, r.Idempotent = Name{}, true
	for i, want := range []Decision{Retry{}, Final{Outcome: caller.Unknown, Blocked: true}} {
		start := c.Arrive(Time(i)*1000*ms, r)[0].(Start)
		slot := c.Held(r, start.Server)
		is.Equal(slot.Suspect, i > 0)
		lost := Time(i+1) * 1000 * ms
		c.Hold(lost, r.Print, start.Server)
		c.Settle(lost, lost, r.Print, start.Server, true)
		is.Equal(c.Failed(lost, r, slot, Lost), want)
		c.Freed(lost, slot, time.Millisecond)
	}
	again := submission(2, "other id")
	shed := c.Arrive(2000*ms, again)[0].(Shed)
	is.Equal(shed.Reason, ReasonBlocked)
	is.Equal(shed.RetryAt, 62_000*ms)
	is.Equal(c.Look(2000*ms, again.Name), Fresh{})
	c.Lift([]Print{r.Print})
	_, started := c.Arrive(2000*ms, submission(3, "lifted"))[0].(Start)
	is.True(started)
}
