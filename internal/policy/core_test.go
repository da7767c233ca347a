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
	c := NewCore("oddaja", TableLimits{Entries: 100, KeptBytes: 1 << 10}, 0)
	c.Configure(0, "", testLimits, []Server{{Name: "a", Slots: 2}, {Name: "b", Slots: 2}})
	c.budget.saved = retryMost
	return c
}

// submission returns a sending of non-idempotent work.
func submission(t Ticket, id string) *Request {
	return &Request{
		Ticket: t, RequestID: HashRequestID("oddaja", "", id), SubmissionID: HashRequestID("", "", string(rune('a'+t))), Caller: "x",
		Deadline: 60_000 * ms, Replayable: true, Fingerprint: 9,
	}
}

func TestCoreDecides(t *testing.T) {
	tests := map[string]struct {
		fault      Fault
		idempotent bool
		late       bool
		want       RetryDecision
		again      CheckResult
	}{
		"not sent":            {fault: NotSent, want: Retry{}, again: MayHaveRun{}},
		"refused":             {fault: Refused, want: Retry{}, again: MayHaveRun{}},
		"moved":               {fault: NotOwner, want: Retry{}, again: MayHaveRun{}},
		"in doubt":            {fault: InDoubt, want: Final{Outcome: caller.Unknown}, again: MayHaveRun{}},
		"lost":                {fault: ConnectionLost, want: Final{Outcome: caller.Unknown}, again: MayHaveRun{}},
		"not sent and late":   {fault: NotSent, late: true, want: Final{Outcome: caller.NotRun}, again: Fresh{}},
		"idempotent in doubt": {fault: InDoubt, idempotent: true, want: Retry{}, again: Fresh{}},
		"idempotent lost":     {fault: ConnectionLost, idempotent: true, want: Retry{}, again: Fresh{}},
		"idempotent and late": {fault: InDoubt, idempotent: true, late: true, want: Final{Outcome: caller.Unknown}, again: Fresh{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore()
			r := submission(1, "x")
			r.Idempotent = tt.idempotent
			start, ok := c.Admit(0, r)[0].(Admitted)
			is.True(ok)
			now := ms
			if tt.late {
				now = r.Deadline
			}
			is.Equal(c.HandleFault(now, r, c.SlotOf(r, start.Server), tt.fault), tt.want)
			is.Equal(c.Lookup(now, r.RequestID), tt.again)
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
		r.RequestID, r.Idempotent = ID{}, true
		start := c.Admit(0, r)[0].(Admitted)
		slot := c.SlotOf(r, start.Server)
		if _, again := c.HandleFault(0, r, slot, Refused).(Retry); again {
			retries++
		}
		c.Release(0, slot, 0)
	}
	is.Equal(retries, 9)
}

// A request that the queue refuses did not run: its resend is a first sending.
func TestCoreForgetsWhatItSheds(t *testing.T) {
	is := is.New(t)
	c := newCore()
	for i := range 2 {
		c.Admit(0, submission(Ticket(i), string(rune('a'+i))))
	}
	late := submission(7, "late")
	late.Deadline = 21 * ms
	_, shed := c.Admit(0, late)[0].(Rejected)
	is.True(shed)
	is.Equal(c.Lookup(0, late.RequestID), Fresh{})
	waiting := submission(8, "waiting")
	is.Equal(c.Admit(0, waiting)[0], Queued{Ticket: 8})
	is.Equal(c.Lookup(0, waiting.RequestID), MayHaveRun{})
	is.True(c.Dequeue(waiting))
	is.True(!c.Dequeue(waiting))
	is.Equal(c.Lookup(0, waiting.RequestID), Fresh{})
}

// The second loss of a server blocks the request for good, though it is idempotent and could
// be tried again. The block tells when it ends.
func TestCoreBlocks(t *testing.T) {
	is := is.New(t)
	c := newCore()
	r := submission(1, "")
	r.RequestID, r.Idempotent = ID{}, true
	for i, want := range []RetryDecision{Retry{}, Final{Outcome: caller.Unknown, Blocked: true}} {
		start := c.Admit(Time(i)*1000*ms, r)[0].(Admitted)
		slot := c.SlotOf(r, start.Server)
		is.Equal(slot.Suspect, i > 0)
		lost := Time(i+1) * 1000 * ms
		c.AddPendingLoss(lost, r.Fingerprint, start.Server)
		c.ResolvePendingLoss(lost, lost, r.Fingerprint, start.Server, true)
		is.Equal(c.HandleFault(lost, r, slot, ConnectionLost), want)
		c.Release(lost, slot, time.Millisecond)
	}
	again := submission(2, "other id")
	shed := c.Admit(2000*ms, again)[0].(Rejected)
	is.Equal(shed.Reason, ReasonBlocked)
	is.Equal(shed.RetryAt, 62_000*ms)
	is.Equal(c.Lookup(2000*ms, again.RequestID), Fresh{})
	c.SetLiftedBlocks([]Fingerprint{r.Fingerprint})
	_, started := c.Admit(2000*ms, submission(3, "lifted"))[0].(Admitted)
	is.True(started)
}
