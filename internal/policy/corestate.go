package policy

import (
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

// AddPendingLoss records that the connection to a server was lost while the request ran. Call
// it before HandleFault.
func (c *Core) AddPendingLoss(lostAt Time, f Fingerprint, server string) {
	c.crashes.AddPendingLoss(f, Loss{Server: server, AtNanos: c.nanos(lostAt)})
}

// ResolvePendingLoss records whether the server itself was lost (died), or only the connection.
// The arguments lostAt, f and server are those of AddPendingLoss.
func (c *Core) ResolvePendingLoss(now, lostAt Time, f Fingerprint, server string, died bool) {
	until := c.millis(now) + c.blockDuration().Milliseconds()
	c.crashes.ResolvePendingLoss(f, Loss{Server: server, AtNanos: c.nanos(lostAt)}, died, until)
}

// EarnRetry adds a request that is forwarded to another instance to the retry budget.
func (c *Core) EarnRetry() { c.budget.Earn() }

// SpendRetry reports whether the retry budget allows such a request to be sent again, and
// takes the retry from the budget if so.
func (c *Core) SpendRetry() bool { return c.budget.Spend() }

// HasSuspects reports whether any request may be suspected to crash servers. Requests need a
// Fingerprint only then.
func (c *Core) HasSuspects() bool { return c.crashes.Any() }

// CrashRecords returns the records of requests that are suspected to crash servers.
func (c *Core) CrashRecords(now Time) []CrashRecord { return c.crashes.Records(c.millis(now)) }

// MergeCrashRecords adds the crash records of other instances.
func (c *Core) MergeCrashRecords(records []CrashRecord) { c.crashes.Merge(records) }

// SetLiftedBlocks replaces the set of requests that operators have unblocked.
func (c *Core) SetLiftedBlocks(fingerprints []Fingerprint) { c.crashes.SetLifted(fingerprints) }

// AddRecord adds an idempotency record of another instance. It returns false if the table is
// full.
func (c *Core) AddRecord(now Time, r IdempotencyRecord) bool {
	s := Submission{RequestID: r.RequestID, Hash: r.Hash, ID: r.SubmissionID, Fingerprint: r.Fingerprint, ExpiresAt: c.time(r.UntilMillis)}
	return c.table.Merge(now, s, r.Outcome, r.Status)
}

// Records returns the idempotency records of requests whose hash is in a range.
func (c *Core) Records(now Time, hashes keys.Range) []IdempotencyRecord {
	var records []IdempotencyRecord
	c.table.Each(now, hashes, func(s Submission, o caller.Outcome, status int) {
		records = append(records, c.newRecord(s, o, status))
	})
	return records
}

// RecordOf returns the idempotency record of a request for other instances.
func (c *Core) RecordOf(r *Request, o caller.Outcome) IdempotencyRecord {
	return c.newRecord(r.submission(), o, 0)
}

// Lookup returns what is known of a request without recording anything.
func (c *Core) Lookup(now Time, id ID) CheckResult { return c.table.Lookup(now, id) }

// NumRecords returns the number of idempotency records.
func (c *Core) NumRecords() int { return c.table.Len() }

// EachServer calls visit for each server of each pool with its number of slots in use.
func (c *Core) EachServer(visit func(s Server, slotsInUse int)) {
	for _, q := range c.queues {
		q.Each(visit)
	}
}

// Waiting returns the number of waiting requests of all pools.
func (c *Core) Waiting() int { return len(c.waiting) }

func (c *Core) newRecord(s Submission, o caller.Outcome, status int) IdempotencyRecord {
	return IdempotencyRecord{
		Service: c.service, RequestID: s.RequestID, Hash: s.Hash, SubmissionID: s.ID, Fingerprint: s.Fingerprint,
		UntilMillis: c.millis(s.ExpiresAt), Outcome: o, Status: status,
	}
}
