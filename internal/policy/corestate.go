package policy

import (
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

// Hold says that the connection was lost at a time while the request ran, before Failed.
func (c *Core) Hold(lostAt Time, p Print, server string) {
	c.crashes.AddPendingLoss(p, Loss{Server: server, AtNanos: c.nanos(lostAt)})
}

// Settle says whether the loss of a connection that was held was that of the server.
func (c *Core) Settle(now, lostAt Time, p Print, server string, died bool) {
	until := c.millis(now) + c.blockDuration().Milliseconds()
	c.crashes.ResolvePendingLoss(p, Loss{Server: server, AtNanos: c.nanos(lostAt)}, died, until)
}

// Earn counts a request that goes on to another instance.
func (c *Core) Earn() { c.budget.Earn() }

// Spend reports whether such a request may be sent once more.
func (c *Core) Spend() bool { return c.budget.Spend() }

// Suspicious reports whether any request is suspected, so that Prints are needed.
func (c *Core) Suspicious() bool { return c.crashes.Any() }

// Blocks returns what is known of requests that may crash servers.
func (c *Core) Blocks(now Time) []Block { return c.crashes.Records(c.millis(now)) }

// Merge takes in what other instances know of such requests.
func (c *Core) Merge(blocks []Block) { c.crashes.Merge(blocks) }

// Lift replaces the set of blocked requests that operators let pass.
func (c *Core) Lift(prints []Print) { c.crashes.SetLifted(prints) }

// Adopt takes in a mark of another instance. It reports false when there is no room.
func (c *Core) Adopt(now Time, m Mark) bool {
	s := Submission{RequestID: m.Name, Hash: m.Hash, ID: m.Sending, Fingerprint: m.Print, ExpiresAt: c.time(m.UntilMillis)}
	return c.table.Merge(now, s, m.Outcome, m.Status)
}

// Marks returns the remembered requests in a range.
func (c *Core) Marks(now Time, r keys.Range) []Mark {
	var marks []Mark
	c.table.Each(now, r, func(s Submission, o caller.Outcome, status int) {
		marks = append(marks, c.newRecord(s, o, status))
	})
	return marks
}

// MarkOf returns the mark of a request, as other instances take it.
func (c *Core) MarkOf(r *Request, o caller.Outcome) Mark {
	return c.newRecord(r.submission(), o, 0)
}

// Look returns what is known of a request without taking it in.
func (c *Core) Look(now Time, n Name) Recollection { return c.table.Lookup(now, n) }

// Remembers returns the number of remembered requests.
func (c *Core) Remembers() int { return c.table.Len() }

// Each calls visit for each server of each pool with its slots in use.
func (c *Core) Each(visit func(p Capacity, busy int)) {
	for _, q := range c.queues {
		q.Each(visit)
	}
}

// Waiting returns the number of waiting requests.
func (c *Core) Waiting() int { return len(c.waiting) }

func (c *Core) newRecord(s Submission, o caller.Outcome, status int) Mark {
	return Mark{
		Service: c.service, Name: s.RequestID, Hash: s.Hash, Sending: s.ID, Print: s.Fingerprint,
		UntilMillis: c.millis(s.ExpiresAt), Outcome: o, Status: status,
	}
}
