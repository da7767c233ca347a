package policy

import (
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

// AddPendingLoss says that the connection was lost at a time while the request ran, before Failed.
func (c *Core) AddPendingLoss(lostAt Time, p Fingerprint, server string) {
	c.suspects.Hold(p, Loss{Server: server, AtNanos: c.nanos(lostAt)})
}

// ResolvePendingLoss says whether the loss of a connection that was held was that of the server.
func (c *Core) ResolvePendingLoss(now, lostAt Time, p Fingerprint, server string, died bool) {
	until := c.millis(now) + c.blockTime().Milliseconds()
	c.suspects.Settle(p, Loss{Server: server, AtNanos: c.nanos(lostAt)}, died, until)
}

// EarnRetry counts a request that goes on to another instance.
func (c *Core) EarnRetry() { c.budget.Earn() }

// SpendRetry reports whether such a request may be sent once more.
func (c *Core) SpendRetry() bool { return c.budget.Spend() }

// HasSuspects reports whether any request is suspected, so that Prints are needed.
func (c *Core) HasSuspects() bool { return c.suspects.Any() }

// CrashRecords returns what is known of requests that may crash servers.
func (c *Core) CrashRecords(now Time) []CrashRecord { return c.suspects.Blocks(c.millis(now)) }

// MergeCrashRecords takes in what other instances know of such requests.
func (c *Core) MergeCrashRecords(blocks []CrashRecord) { c.suspects.Merge(blocks) }

// SetLiftedBlocks replaces the set of blocked requests that operators let pass.
func (c *Core) SetLiftedBlocks(prints []Fingerprint) { c.suspects.Lift(prints) }

// AddRecord takes in a mark of another instance. It reports false when there is no room.
func (c *Core) AddRecord(now Time, m IdempotencyRecord) bool {
	s := Sent{Name: m.RequestID, Hash: m.Hash, Sending: m.SubmissionID, Print: m.Fingerprint, Until: c.time(m.UntilMillis)}
	return c.memory.Adopt(now, s, m.Outcome, m.Status)
}

// Records returns the remembered requests in a range.
func (c *Core) Records(now Time, r keys.Range) []IdempotencyRecord {
	var marks []IdempotencyRecord
	c.memory.Each(now, r, func(s Sent, o caller.Outcome, status int) {
		marks = append(marks, c.mark(s, o, status))
	})
	return marks
}

// RecordOf returns the mark of a request, as other instances take it.
func (c *Core) RecordOf(r *Request, o caller.Outcome) IdempotencyRecord {
	return c.mark(r.sent(), o, 0)
}

// Lookup returns what is known of a request without taking it in.
func (c *Core) Lookup(now Time, n ID) CheckResult { return c.memory.Look(now, n) }

// NumRecords returns the number of remembered requests.
func (c *Core) NumRecords() int { return c.memory.Len() }

// EachServer calls visit for each server of each pool with its slots in use.
func (c *Core) EachServer(visit func(p Server, busy int)) {
	for _, q := range c.queues {
		q.Each(visit)
	}
}

// Waiting returns the number of waiting requests.
func (c *Core) Waiting() int { return len(c.waiting) }

func (c *Core) mark(s Sent, o caller.Outcome, status int) IdempotencyRecord {
	return IdempotencyRecord{
		Service: c.service, RequestID: s.Name, Hash: s.Hash, SubmissionID: s.Sending, Fingerprint: s.Print,
		UntilMillis: c.millis(s.Until), Outcome: o, Status: status,
	}
}
