package leader

import "example.org/mustardring/pkg/keys"

// movesAllowedAt returns until when leaders before this one may have grants running that nobody told
// of. Before that, sets are adopted and renewed as they stand and nothing else: a server that
// restarts in this time forgets the fence, and an older leader may grant it again what it
// held, until its authority ends.
func (c *Core) movesAllowedAt() Time {
	l := c.lead
	if !l.won() {
		return distantFuture
	}
	if c.config.mutated(mutNoWait) {
		return l.wonAt
	}
	return l.wonAt + c.config.withDrift(Time(c.config.Lease))
}

// settledAt returns until when requests may run under a former leader's grants that nobody
// told of. Requests to a server that does not check run on after the lease of its gate, for
// as long as their deadline and a pause of the gate allow. Before that, no range may be
// granted that was not seen held in this term.
func (c *Core) settledAt(s *service) Time {
	at := c.movesAllowedAt()
	if s.hasUnchecked && at != distantFuture && !c.config.mutated(mutNoWait) {
		at += drainTime(s, &c.config)
	}
	return at
}

// noteConfirmedHeld notes the ranges of a holder that was within its lease when asked after this leader won.
// No former leader can have given them on: it would have had to wait for the end of that
// lease, and its authority ended before. So nothing of them lingers elsewhere, and they may
// move before the service has settled.
func (c *Core) noteConfirmedHeld(h *holder, ev Answered) {
	l := c.lead
	s := c.serviceOf(h.service)
	if s == nil || !s.hasUnchecked || !h.live || h.confirmedEpoch == h.epoch || c.now > c.settledAt(s) {
		return
	}
	if (!l.won() || ev.AskedAt < l.wonAt) && !c.config.mutated(mutHeldBeforeWin) {
		return
	}
	h.confirmedEpoch = h.epoch
	l.confirmedHeld[s.Name] = keys.Union(l.confirmedHeld[s.Name], h.ranges)
}

// grantable returns the parts of ranges that may be granted now as far as former leaders go.
func (c *Core) grantable(s *service, ranges []keys.Range) []keys.Range {
	if c.now > c.settledAt(s) {
		return ranges
	}
	var parts []keys.Range
	for _, r := range ranges {
		parts = append(parts, intersect(r, c.lead.confirmedHeld[s.Name])...)
	}
	return parts
}

// distantFuture is later than every time.
const distantFuture = Time(1 << 62)

// drainTime returns how long requests at an unchecked server may run after their gate's lease.
func drainTime(s *service, config *Config) Time {
	return Time(s.RequestMillis)*1e6 + Time(config.Pause)
}

// updateSettled reports whether ranges became movable or a service settled since the last call.
func (c *Core) updateSettled() bool {
	l := c.lead
	if !l.won() {
		return false
	}
	any := !l.movesAllowed && c.now > c.movesAllowedAt()
	l.movesAllowed = l.movesAllowed || any
	for _, s := range c.services {
		if !l.settled[s.Name] && c.now > c.settledAt(s) {
			l.settled[s.Name] = true
			any = true
		}
	}
	return any
}
