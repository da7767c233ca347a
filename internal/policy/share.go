package policy

import (
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

// Hold says that the connection was lost at a time while the request ran, before Failed.
func (c *Core) Hold(lostAt Time, p Print, server string) {
	c.suspects.Hold(p, Loss{Server: server, AtNanos: c.nanos(lostAt)})
}

// Settle says whether the loss of a connection that was held was that of the server.
func (c *Core) Settle(now, lostAt Time, p Print, server string, died bool) {
	until := c.millis(now) + c.blockTime().Milliseconds()
	c.suspects.Settle(p, Loss{Server: server, AtNanos: c.nanos(lostAt)}, died, until)
}

// Earn counts a request that goes on to another instance.
func (c *Core) Earn() { c.budget.Earn() }

// Spend reports whether such a request may be sent once more.
func (c *Core) Spend() bool { return c.budget.Spend() }

// Suspicious reports whether any request is suspected, so that Prints are needed.
func (c *Core) Suspicious() bool { return c.suspects.Any() }

// Blocks returns what is known of requests that may crash servers.
func (c *Core) Blocks(now Time) []Block { return c.suspects.Blocks(c.millis(now)) }

// Merge takes in what other instances know of such requests.
func (c *Core) Merge(blocks []Block) { c.suspects.Merge(blocks) }

// Lift replaces the set of blocked requests that operators let pass.
func (c *Core) Lift(prints []Print) { c.suspects.Lift(prints) }

// Adopt takes in a mark of another instance. It reports false when there is no room.
func (c *Core) Adopt(now Time, m Mark) bool {
	s := Sent{Name: m.Name, Hash: m.Hash, Sending: m.Sending, Print: m.Print, Until: c.time(m.UntilMillis)}
	return c.memory.Adopt(now, s, m.Outcome, m.Status)
}

// Marks returns the remembered requests in a range.
func (c *Core) Marks(now Time, r keys.Range) []Mark {
	var marks []Mark
	c.memory.Each(now, r, func(s Sent, o caller.Outcome, status int) {
		marks = append(marks, c.mark(s, o, status))
	})
	return marks
}

// MarkOf returns the mark of a request, as other instances take it.
func (c *Core) MarkOf(r *Request, o caller.Outcome) Mark {
	return c.mark(r.sent(), o, 0)
}

// Look returns what is known of a request without taking it in.
func (c *Core) Look(now Time, n Name) Recollection { return c.memory.Look(now, n) }

// Remembers returns the number of remembered requests.
func (c *Core) Remembers() int { return c.memory.Len() }

// Each calls visit for each server of each pool with its slots in use.
func (c *Core) Each(visit func(p Capacity, busy int)) {
	for _, q := range c.queues {
		q.Each(visit)
	}
}

// Waiting returns the number of waiting requests.
func (c *Core) Waiting() int { return len(c.waiting) }

func (c *Core) mark(s Sent, o caller.Outcome, status int) Mark {
	return Mark{
		Service: c.service, Name: s.Name, Hash: s.Hash, Sending: s.Sending, Print: s.Print,
		UntilMillis: c.millis(s.Until), Outcome: o, Status: status,
	}
}
