package leader

import "example.org/mustardring/pkg/keys"

// movesAllowedAt returns the time until which grants of former leaders may run that no holder
// has reported. Until then, the leader only renews the sets that holders report. Moving a
// range earlier is unsafe: its server may restart and forget the fence, and then a former
// leader, whose last majority was asked less than a lease ago, may grant it the range again.
// The time is distantFuture until this instance has won.
func (c *Core) movesAllowedAt() Time {
	l := c.lead
	if !l.won() {
		return distantFuture
	}
	if c.config.mutated(mutNoWait) {
		return l.wonAt
	}
	return l.wonAt + c.config.withDrift(Time(c.config.LeaseDuration))
}

// settledAt returns the time until which requests may run under grants of former leaders that
// no holder has reported. Until then, only ranges in confirmedHeld may be granted. Requests to
// a server that does not check grants may outlast the lease of its gate by the drain time.
func (c *Core) settledAt(s *service) Time {
	at := c.movesAllowedAt()
	if s.hasUnchecked && at != distantFuture && !c.config.mutated(mutNoWait) {
		at += drainTime(s, &c.config)
	}
	return at
}

// noteConfirmedHeld records the ranges of a holder that was asked after this leader won and
// was within its lease. No former leader can have granted them to another holder: it would
// have had to wait for the end of that lease, and its own authority ended before. So no
// request for them runs at another server, and they may move before the service has settled.
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

// grantable returns the parts of ranges that cannot be in use under grants of former leaders.
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

// distantFuture is later than every time of the clock.
const distantFuture = Time(1 << 62)

// drainTime returns how long requests to a server that does not check grants may run after the
// lease of their gate: the gate may pause before it sends one, which then runs until its
// deadline.
func drainTime(s *service, config *Config) Time {
	return Time(s.RequestMillis)*1e6 + Time(config.MaxPause)
}

// updateSettled reports whether moves have become allowed or a service has settled since the
// last call.
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
