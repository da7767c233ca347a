package leader

import (
	"slices"

	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// seat is a place at which a grant is held: a server that checks grants, or the gate that
// holds the grant of a server which does not.
type seat struct {
	server string
	via    string
}

// holding is what the leader knows of the grant at one seat.
type holding struct {
	seat
	service string
	checks  bool
	// owns is false for an instance that only votes.
	owns bool

	heard       bool
	incarnation uint64
	// clock is the newest reading of the holder's clock, received at heardAt.
	clock   grant.Instant
	heardAt Time
	// serial is that of the newest answer.
	serial uint64
	// lapsesAt is when every grant sent or stated so far has ended, on this clock.
	lapsesAt Time
	// epoch and set are what the holder stated last; live says that it was within its lease.
	epoch    grant.Epoch
	set      []keys.Range
	live     bool
	draining []keys.Range
	// pending is the newest set that was sent and is not acknowledged.
	pending *proposal
	// lingers is how long the requests of a lapsed holder may run on.
	lingers Time
	// chased says that the lapse was followed by an exchange already.
	chased bool
	// prompt asks for an exchange before the next period.
	prompt bool
	// seenEpoch is that of the set which was noted as seen held.
	seenEpoch grant.Epoch
	// superseded says that another holder has a newer grant of one of the ranges.
	superseded bool
	// ackedAway says that the set was acknowledged while the log was away.
	ackedAway bool
	// warmAt is when the cold start of the present process ends; zero if it was there first.
	warmAt Time
}

// proposal is a set that may or may not have been accepted.
type proposal struct {
	epoch  grant.Epoch
	ranges []keys.Range
}

// claims returns every range that the holder may act on, those of a set under way included.
// Others must not be granted them.
func (h *holding) claims(pending bool) []keys.Range {
	var all []keys.Range
	if h.live {
		all = append(all, h.set...)
	}
	all = append(all, h.draining...)
	if h.pending != nil && pending {
		all = append(all, h.pending.ranges...)
	}
	return all
}

func (h *holding) idle() bool {
	return (!h.live || len(h.set) == 0) && len(h.draining) == 0 && h.pending == nil
}

// current returns the set that the holder has or is about to have.
func (h *holding) current() []keys.Range {
	switch {
	case h.pending != nil:
		return h.pending.ranges
	case h.live:
		return h.set
	default:
		return nil
	}
}

// free forgets what the holder held.
func (h *holding) free() {
	h.live = false
	h.draining = nil
	h.pending = nil
}

// seat makes a holding for every place that has to be asked and retires the others.
func (c *Core) seat() {
	l := c.lead
	wanted := make(map[seat]bool)
	for _, s := range c.services {
		for _, b := range s.Servers {
			for _, at := range c.seatsOf(s, b) {
				wanted[at] = true
				c.hold(at, s, b)
			}
		}
	}
	for at, h := range l.holdings {
		if wanted[at] {
			continue
		}
		if !h.checks && c.knows(h) && !h.idle() {
			continue
		}
		c.retire(h)
		delete(l.holdings, at)
	}
	l.dirty = true
	l.tableDirty = true
}

// knows reports whether the server of a holding is still configured.
func (c *Core) knows(h *holding) bool {
	s := c.serviceOf(h.service)
	return s != nil && slices.ContainsFunc(s.Servers, func(b Server) bool { return b.Name == h.server && b.ChecksGrants == h.checks })
}

// seatsOf returns where the grant of a server is or may be held. After taking over, the
// gates that the former leader chose are unknown, so every instance is asked.
func (c *Core) seatsOf(s *service, b Server) []seat {
	switch {
	case b.Slots == 0 || b.ChecksGrants:
		if !b.Votes && !s.Divided {
			return nil
		}
		return []seat{{server: b.Name}}
	case !s.Divided:
		return nil
	case c.now <= c.settledAt(s):
		var all []seat
		for _, name := range c.instances() {
			all = append(all, seat{server: b.Name, via: name})
		}
		return all
	case c.gates[b.Name] == "":
		return nil
	default:
		return []seat{{server: b.Name, via: c.gates[b.Name]}}
	}
}

func (c *Core) hold(at seat, s *service, b Server) {
	h := c.lead.holdings[at]
	if h == nil {
		h = &holding{seat: at, service: s.Name}
		c.lead.holdings[at] = h
	}
	if h.service != s.Name {
		return
	}
	h.checks = b.ChecksGrants || b.Slots == 0
	h.owns = b.Slots > 0 && s.Divided
	if !h.checks {
		h.lingers = Time(s.RequestMillis)*1e6 + Time(c.config.MaxPause)
	}
}

// retire keeps the claims of a process that is asked no more until they have ended.
func (c *Core) retire(h *holding) {
	if h.idle() {
		return
	}
	gone := *h
	c.lead.retired = append(c.lead.retired, &gone)
}

// lapsed reports whether everything that was ever promised to the holder is over, and no
// other leader can have renewed it: a majority still followed this term afterwards.
func (c *Core) lapsed(h *holding) bool {
	end := h.lapsesAt + h.lingers
	if c.config.without(mutLingers) {
		end = h.lapsesAt
	}
	confirmed := c.authority() > h.lapsesAt || c.config.without(mutConfirm)
	return c.now > end && confirmed
}

// lapse frees the ranges of holders whose leases are over.
func (c *Core) lapse() {
	l := c.lead
	for _, h := range l.holdings {
		if h.idle() {
			continue
		}
		if c.now > h.lapsesAt && !h.chased {
			h.chased = true
			l.exchangeAt = c.now
			l.tableDirty = true
		}
		if c.lapsed(h) {
			h.free()
			l.dirty, l.tableDirty = true, true
			c.placeSoon()
		}
	}
	kept := l.retired[:0]
	for _, h := range l.retired {
		if c.lapsed(h) {
			l.dirty = true
			continue
		}
		kept = append(kept, h)
	}
	l.retired = kept
}

// ordered returns the holdings in the order of their names.
func (l *leadership) ordered() []*holding {
	all := make([]*holding, 0, len(l.holdings))
	for _, h := range l.holdings {
		all = append(all, h)
	}
	slices.SortFunc(all, compareHoldings)
	return all
}
