package leader

import (
	"cmp"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/grant"
)

var zeroEpoch grant.Epoch

func compareHoldings(a, b *holding) int {
	return cmp.Or(cmp.Compare(a.server, b.server), cmp.Compare(a.via, b.via))
}

func (c *Core) tickLeader() {
	l := c.lead
	if l.won() {
		c.lapse()
		c.record()
	}
	if c.chooseGates() || c.settledNow() {
		c.seat()
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
	for _, h := range c.lead.ordered() {
		h.prompt = false
		c.exchange(h)
	}
}

// exchangePrompted sends the sets that were just changed, without waiting for the period.
func (c *Core) exchangePrompted() {
	for _, h := range c.lead.prompted {
		if h.prompt {
			h.prompt = false
			c.exchange(h)
		}
	}
	c.lead.prompted = nil
}

// exchange asks a holder and carries its grant.
func (c *Core) exchange(h *holding) {
	x := grant.Exchange{Service: h.service, Server: h.server, Term: c.lead.term, Known: h.epoch, HomesFence: c.homesFence}
	if c.lead.won() {
		x.Grant = c.grant(h)
	}
	c.emit(Send{
		Server:     h.server,
		Gate:       h.via,
		Exchange:   x,
		AskedAt:    c.now,
		SendBefore: c.now + Time(c.config.LeaseDuration),
	})
}

// grant returns the grant that a holder should have now, or nil.
//
// The deadline is counted from the moment at which the newest majority was asked, not from
// now: a leader that has been succeeded without knowing cannot promise anything beyond what
// its successor waits for. It is stated on the holder's own clock, so that a late arrival
// makes it shorter, never longer.
func (c *Core) grant(h *holding) *grant.Grant {
	end := c.leaseEnd(h)
	if !h.owns || !h.heard || end <= c.now {
		return nil
	}
	g := &grant.Grant{
		Incarnation: h.incarnation,
		Deadline:    h.clock + grant.Instant(end-h.heardAt),
	}
	switch {
	case h.pending != nil:
		g.Epoch, g.Ranges = h.pending.epoch, h.pending.ranges
	case h.live && c.now <= h.lapsesAt && !h.superseded:
		g.Epoch, g.Renewal = h.epoch, true
	default:
		return nil
	}
	h.lapsesAt = max(h.lapsesAt, h.heardAt+c.config.stretch(end-h.heardAt))
	return g
}

// leaseEnd returns when a grant given now ends, on this clock. A holder that does not answer
// is given no more time, so that its ranges are free a lease after its last answer.
func (c *Core) leaseEnd(h *holding) Time {
	end := c.authority()
	if c.config.without(mutBound) {
		end = c.now
	}
	end = min(end, h.heardAt) + Time(c.config.LeaseDuration)
	s := c.serviceOf(h.service)
	if s != nil && s.Isolation == bundle.IsolationMove {
		end = min(end, c.moveEnd())
	}
	return end
}

// moveEnd returns until when a domain may serve a service that moves away from it when it is
// isolated. A domain that never read the log does not know whether it was taken over.
func (c *Core) moveEnd() Time {
	if !c.log.read {
		return never
	}
	return c.log.readAt + Time(c.config.IsolationTimeout)
}
