package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/caller"
)

var testLimits = bundle.Limits{Queue: 4, CrashServers: 2, BlockMillis: 60_000}

// newTestCore returns a core with two servers in one pool and a full retry budget.
func newTestCore() *Core {
	c := NewCore("oddaja", TableLimits{MaxRecords: 100, MaxResponseBytes: 1 << 10}, 0)
	c.Configure(0, "", testLimits, []Server{{Name: "a", Slots: 2}, {Name: "b", Slots: 2}})
	c.budget.saved = maxSavedRetries
	return c
}

// newRequest returns a non-idempotent request with the given id. Its submission id depends on
// the ticket.
func newRequest(t Ticket, id string) *Request {
	return &Request{
		Ticket: t, RequestID: HashRequestID("oddaja", "", id), SubmissionID: HashRequestID("", "", string(rune('a'+t))), Caller: "x",
		Deadline: 60_000 * ms, Replayable: true, Fingerprint: 9,
	}
}

func TestHandleFault(t *testing.T) {
	tests := map[string]struct {
		fault      Fault
		idempotent bool
		late       bool
		want       RetryDecision
		wantCheck  CheckResult
	}{
		"not sent":            {fault: NotSent, want: Retry{}, wantCheck: MayHaveRun{}},
		"refused":             {fault: Refused, want: Retry{}, wantCheck: MayHaveRun{}},
		"not owner":           {fault: NotOwner, want: Retry{}, wantCheck: MayHaveRun{}},
		"in doubt":            {fault: InDoubt, want: Final{Outcome: caller.Unknown}, wantCheck: MayHaveRun{}},
		"connection lost":     {fault: ConnectionLost, want: Final{Outcome: caller.Unknown}, wantCheck: MayHaveRun{}},
		"not sent and late":   {fault: NotSent, late: true, want: Final{Outcome: caller.NotRun}, wantCheck: Fresh{}},
		"idempotent in doubt": {fault: InDoubt, idempotent: true, want: Retry{}, wantCheck: Fresh{}},
		"idempotent lost":     {fault: ConnectionLost, idempotent: true, want: Retry{}, wantCheck: Fresh{}},
		"idempotent and late": {fault: InDoubt, idempotent: true, late: true, want: Final{Outcome: caller.Unknown}, wantCheck: Fresh{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore()
			r := newRequest(1, "x")
			r.Idempotent = tt.idempotent
			admitted, ok := c.Admit(0, r)[0].(Admitted)
			is.True(ok)
			now := ms
			if tt.late {
				now = r.Deadline
			}
			is.Equal(c.HandleFault(now, r, c.SlotOf(r, admitted.Server), tt.fault), tt.want)
			is.Equal(c.Lookup(now, r.RequestID), tt.wantCheck)
		})
	}
}

// All servers refuse all requests. Without a budget, each request would be sent three times.
func TestCoreLimitsRetries(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	c.budget.saved = 0
	retries := 0
	for i := range 100 {
		r := newRequest(Ticket(i), "")
		r.RequestID, r.Idempotent = ID{}, true
		admitted := c.Admit(0, r)[0].(Admitted)
		slot := c.SlotOf(r, admitted.Server)
		if _, retry := c.HandleFault(0, r, slot, Refused).(Retry); retry {
			retries++
		}
		c.Release(0, slot, 0)
	}
	is.Equal(retries, 9)
}

// A request that the queue rejects, or that leaves it, did not run: its resend counts as the
// first submission.
func TestNoRecordOfRejectedOrDequeuedRequest(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	for i := range 2 {
		c.Admit(0, newRequest(Ticket(i), string(rune('a'+i))))
	}
	late := newRequest(7, "late")
	late.Deadline = 21 * ms
	_, rejected := c.Admit(0, late)[0].(Rejected)
	is.True(rejected)
	is.Equal(c.Lookup(0, late.RequestID), Fresh{})
	waiting := newRequest(8, "waiting")
	is.Equal(c.Admit(0, waiting)[0], Queued{Ticket: 8})
	is.Equal(c.Lookup(0, waiting.RequestID), MayHaveRun{})
	is.True(c.Dequeue(waiting))
	is.True(!c.Dequeue(waiting))
	is.Equal(c.Lookup(0, waiting.RequestID), Fresh{})
}

// The second loss of a server blocks the request, though it is idempotent and could be retried.
// The rejection says when the block ends.
func TestCoreBlocksAfterTwoCrashes(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	r := newRequest(1, "")
	r.RequestID, r.Idempotent = ID{}, true
	for i, want := range []RetryDecision{Retry{}, Final{Outcome: caller.Unknown, Blocked: true}} {
		admitted := c.Admit(Time(i)*1000*ms, r)[0].(Admitted)
		slot := c.SlotOf(r, admitted.Server)
		is.Equal(slot.Suspect, i > 0)
		lost := Time(i+1) * 1000 * ms
		c.AddPendingLoss(lost, r.Fingerprint, admitted.Server)
		c.ResolvePendingLoss(lost, lost, r.Fingerprint, admitted.Server, true)
		is.Equal(c.HandleFault(lost, r, slot, ConnectionLost), want)
		c.Release(lost, slot, time.Millisecond)
	}
	resend := newRequest(2, "other id")
	rejected := c.Admit(2000*ms, resend)[0].(Rejected)
	is.Equal(rejected.Reason, ReasonBlocked)
	is.Equal(rejected.RetryAt, 62_000*ms)
	is.Equal(c.Lookup(2000*ms, resend.RequestID), Fresh{})
	c.SetLiftedBlocks([]Fingerprint{r.Fingerprint})
	_, admitted := c.Admit(2000*ms, newRequest(3, "lifted"))[0].(Admitted)
	is.True(admitted)
}
