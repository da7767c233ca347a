package leader

import (
	"cmp"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/grant"
)

var zeroEpoch grant.Epoch

func compareHolders(a, b *holder) int {
	return cmp.Or(cmp.Compare(a.server, b.server), cmp.Compare(a.gate, b.gate))
}

// tickLeader does the periodic work of a candidate or leader. A leader's exchanges are sent by
// runDueWork, after every event.
func (c *Core) tickLeader() {
	l := c.lead
	if l.won() {
		c.expireHolders()
		c.record()
	}
	if c.chooseGates() || c.updateSettled() {
		c.updateHolders()
		c.placeSoon()
	}
	if !l.won() {
		c.exchangeDue()
	}
}

func (c *Core) exchangeDue() {
	if c.now >= c.lead.exchangeAt {
		c.exchangeAll()
	}
}

func (c *Core) exchangeAll() {
	c.lead.exchangeAt = c.now + Time(c.config.ExchangeInterval)
	for _, h := range c.lead.sortedHolders() {
		h.urgent = false
		c.exchange(h)
	}
}

// exchangeUrgent sends the range sets that have just changed, without waiting for the next
// exchange interval.
func (c *Core) exchangeUrgent() {
	for _, h := range c.lead.urgentHolders {
		if h.urgent {
			h.urgent = false
			c.exchange(h)
		}
	}
	c.lead.urgentHolders = nil
}

// exchange sends an exchange to a holder, with its grant once this instance has won.
func (c *Core) exchange(h *holder) {
	x := grant.Exchange{Service: h.service, Server: h.server, Term: c.lead.term, Known: h.epoch, HomesFence: c.homesFence}
	if c.lead.won() {
		x.Grant = c.grant(h)
	}
	c.emit(Send{
		Server:     h.server,
		Gate:       h.gate,
		Exchange:   x,
		AskedAt:    c.now,
		SendBefore: c.now + Time(c.config.LeaseDuration),
	})
}

// grant returns the grant to send to a holder now, or nil.
//
// The lease starts when the newest majority was asked, not now: a leader that does not know
// that it was succeeded must not grant beyond the time that its successor waits. The deadline
// is a time of the holder's own clock, so a late arrival shortens the lease and never extends
// it.
func (c *Core) grant(h *holder) *grant.Grant {
	end := c.leaseEnd(h)
	if !h.ownsRanges || !h.answered || end <= c.now {
		return nil
	}
	g := &grant.Grant{
		Incarnation: h.incarnation,
		Deadline:    h.clock + grant.Instant(end-h.answeredAt),
	}
	switch {
	case h.pending != nil:
		g.Epoch, g.Ranges = h.pending.epoch, h.pending.ranges
	case h.live && c.now <= h.expiresAt && !h.superseded:
		g.Epoch, g.Renewal = h.epoch, true
	default:
		return nil
	}
	h.expiresAt = max(h.expiresAt, h.answeredAt+c.config.withDrift(end-h.answeredAt))
	return g
}

// leaseEnd returns the end of a grant given now, on this instance's clock. A holder that does
// not answer gets no more time, so its lease ends at most one lease duration after its last
// answer.
func (c *Core) leaseEnd(h *holder) Time {
	end := c.quorumAskedAt()
	if c.config.mutated(mutLeaseFromNow) {
		end = c.now
	}
	end = min(end, h.answeredAt) + Time(c.config.LeaseDuration)
	s := c.serviceOf(h.service)
	if s != nil && s.Isolation == bundle.IsolationMove {
		end = min(end, c.isolationEnd())
	}
	return end
}

// isolationEnd returns the time until which this domain may serve a service that moves to other
// domains when the domain is isolated. A domain that has never read the log may not serve it
// at all: it cannot know whether another domain has taken the service over.
func (c *Core) isolationEnd() Time {
	if !c.log.everRead {
		return distantPast
	}
	return c.log.readAt + Time(c.config.IsolationTimeout)
}
