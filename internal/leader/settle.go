package leader

import "example.org/mustardring/pkg/keys"

// movesAt returns until when leaders before this one may have grants running that nobody told
// of. Before that, sets are adopted and renewed as they stand and nothing else: a server that
// restarts in this time forgets the fence, and an older leader may grant it again what it
// held, until its authority ends.
func (c *Core) movesAt() Time {
	l := c.lead
	if !l.won() {
		return forever
	}
	if c.config.without(mutWait) {
		return l.wonAt
	}
	return l.wonAt + c.config.stretch(Time(c.config.LeaseDuration))
}

// settledAt returns until when requests may run under a former leader's grants that nobody
// told of. Requests to a server that does not check run on after the lease of its gate, for
// as long as their deadline and a pause of the gate allow. Before that, no range may be
// granted that was not seen held in this term.
func (c *Core) settledAt(s *service) Time {
	at := c.movesAt()
	if s.unchecked && at != forever && !c.config.without(mutWait) {
		at += lingering(s, &c.config)
	}
	return at
}

// see notes the ranges of a holder that was within its lease when asked after this leader won.
// No former leader can have given them on: it would have had to wait for the end of that
// lease, and its authority ended before. So nothing of them lingers elsewhere, and they may
// move before the service has settled.
func (c *Core) see(h *holding, ev Answered) {
	l := c.lead
	s := c.serviceOf(h.service)
	if s == nil || !s.unchecked || !h.live || h.seenEpoch == h.epoch || c.now > c.settledAt(s) {
		return
	}
	if (!l.won() || ev.AskedAt < l.wonAt) && !c.config.without(mutSeen) {
		return
	}
	h.seenEpoch = h.epoch
	l.seen[s.Name] = keys.Union(l.seen[s.Name], h.set)
}

// grantable returns the parts of ranges that may be granted now as far as former leaders go.
func (c *Core) grantable(s *service, ranges []keys.Range) []keys.Range {
	if c.now > c.settledAt(s) {
		return ranges
	}
	var parts []keys.Range
	for _, r := range ranges {
		parts = append(parts, intersect(r, c.lead.seen[s.Name])...)
	}
	return parts
}

// forever is later than every time.
const forever = Time(1 << 62)

// lingering returns how long requests at an unchecked server may run after their gate's lease.
func lingering(s *service, config *Config) Time {
	return Time(s.RequestMillis)*1e6 + Time(config.MaxPause)
}

// settledNow reports whether ranges became movable or a service settled since the last call.
func (c *Core) settledNow() bool {
	l := c.lead
	if !l.won() {
		return false
	}
	any := !l.movable && c.now > c.movesAt()
	l.movable = l.movable || any
	for _, s := range c.services {
		if !l.settled[s.Name] && c.now > c.settledAt(s) {
			l.settled[s.Name] = true
			any = true
		}
	}
	return any
}
