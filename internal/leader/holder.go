package leader

import (
	"slices"

	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// holderID is a place at which a grant is held: a server that checks grants, or the gate that
// holds the grant of a server which does not.
type holderID struct {
	server string
	gate   string
}

// holder is what the leader knows of the grant at one seat.
type holder struct {
	holderID
	service      string
	checksGrants bool
	// ownsRanges is false for an instance that only votes.
	ownsRanges bool

	answered    bool
	incarnation uint64
	// clock is the newest reading of the holder's clock, received at heardAt.
	clock      grant.Instant
	answeredAt Time
	// serial is that of the newest answer.
	serial uint64
	// expiresAt is when every grant sent or stated so far has ended, on this clock.
	expiresAt Time
	// epoch and set are what the holder stated last; live says that it was within its lease.
	epoch    grant.Epoch
	ranges   []keys.Range
	live     bool
	draining []keys.Range
	// pending is the newest set that was sent and is not acknowledged.
	pending *proposal
	// drainTime is how long the requests of a lapsed holder may run on.
	drainTime Time
	// queriedAfterExpiry says that the lapse was followed by an exchange already.
	queriedAfterExpiry bool
	// urgent asks for an exchange before the next period.
	urgent bool
	// confirmedEpoch is that of the set which was noted as seen held.
	confirmedEpoch grant.Epoch
	// superseded says that another holder has a newer grant of one of the ranges.
	superseded bool
	// ackedWithoutLog says that the set was acknowledged while the log was away.
	ackedWithoutLog bool
	// warmAt is when the cold start of the present process ends; zero if it was there first.
	warmAt Time
}

// proposal is a set that may or may not have been accepted.
type proposal struct {
	epoch  grant.Epoch
	ranges []keys.Range
}

// possibleRanges returns every range that the holder may act on, those of a set under way included.
// Others must not be granted them.
func (h *holder) possibleRanges(pending bool) []keys.Range {
	var all []keys.Range
	if h.live {
		all = append(all, h.ranges...)
	}
	all = append(all, h.draining...)
	if h.pending != nil && pending {
		all = append(all, h.pending.ranges...)
	}
	return all
}

func (h *holder) idle() bool {
	return (!h.live || len(h.ranges) == 0) && len(h.draining) == 0 && h.pending == nil
}

// expectedRanges returns the set that the holder has or is about to have.
func (h *holder) expectedRanges() []keys.Range {
	switch {
	case h.pending != nil:
		return h.pending.ranges
	case h.live:
		return h.ranges
	default:
		return nil
	}
}

// forgetRanges forgets what the holder held.
func (h *holder) forgetRanges() {
	h.live = false
	h.draining = nil
	h.pending = nil
}

// updateHolders makes a holding for every place that has to be asked and retires the others.
func (c *Core) updateHolders() {
	l := c.lead
	wanted := make(map[holderID]bool)
	for _, s := range c.services {
		for _, b := range s.Servers {
			for _, at := range c.holderIDsOf(s, b) {
				wanted[at] = true
				c.ensureHolder(at, s, b)
			}
		}
	}
	for at, h := range l.holders {
		if wanted[at] {
			continue
		}
		if !h.checksGrants && c.isConfigured(h) && !h.idle() {
			continue
		}
		c.retire(h)
		delete(l.holders, at)
	}
	l.rangesDirty = true
	l.tableDirty = true
}

// isConfigured reports whether the server of a holding is still configured.
func (c *Core) isConfigured(h *holder) bool {
	s := c.serviceOf(h.service)
	return s != nil && slices.ContainsFunc(s.Servers, func(b Server) bool { return b.Name == h.server && b.Checks == h.checksGrants })
}

// holderIDsOf returns where the grant of a server is or may be held. After taking over, the
// gates that the former leader chose are unknown, so every instance is asked.
func (c *Core) holderIDsOf(s *service, b Server) []holderID {
	switch {
	case b.Slots == 0 || b.Checks:
		if !b.Votes && !s.Divided {
			return nil
		}
		return []holderID{{server: b.Name}}
	case !s.Divided:
		return nil
	case c.now <= c.settledAt(s):
		var all []holderID
		for _, name := range c.aliveInstances() {
			all = append(all, holderID{server: b.Name, gate: name})
		}
		return all
	case c.gates[b.Name] == "":
		return nil
	default:
		return []holderID{{server: b.Name, gate: c.gates[b.Name]}}
	}
}

func (c *Core) ensureHolder(at holderID, s *service, b Server) {
	h := c.lead.holders[at]
	if h == nil {
		h = &holder{holderID: at, service: s.Name}
		c.lead.holders[at] = h
	}
	if h.service != s.Name {
		return
	}
	h.checksGrants = b.Checks || b.Slots == 0
	h.ownsRanges = b.Slots > 0 && s.Divided
	if !h.checksGrants {
		h.drainTime = Time(s.RequestMillis)*1e6 + Time(c.config.Pause)
	}
}

// retire keeps the claims of a process that is asked no more until they have ended.
func (c *Core) retire(h *holder) {
	if h.idle() {
		return
	}
	gone := *h
	c.lead.retired = append(c.lead.retired, &gone)
}

// expired reports whether everything that was ever promised to the holder is over, and no
// other leader can have renewed it: a majority still followed this term afterwards.
func (c *Core) expired(h *holder) bool {
	end := h.expiresAt + h.drainTime
	if c.config.mutated(mutNoDrainTime) {
		end = h.expiresAt
	}
	confirmed := c.quorumAskedAt() > h.expiresAt || c.config.mutated(mutNoConfirmation)
	return c.now > end && confirmed
}

// expireHolders frees the ranges of holders whose leases are over.
func (c *Core) expireHolders() {
	l := c.lead
	for _, h := range l.holders {
		if h.idle() {
			continue
		}
		if c.now > h.expiresAt && !h.queriedAfterExpiry {
			h.queriedAfterExpiry = true
			l.exchangeAt = c.now
			l.tableDirty = true
		}
		if c.expired(h) {
			h.forgetRanges()
			l.rangesDirty, l.tableDirty = true, true
			c.placeSoon()
		}
	}
	kept := l.retired[:0]
	for _, h := range l.retired {
		if c.expired(h) {
			l.rangesDirty = true
			continue
		}
		kept = append(kept, h)
	}
	l.retired = kept
}

// sortedHolders returns the holdings in the order of their names.
func (l *leadership) sortedHolders() []*holder {
	all := make([]*holder, 0, len(l.holders))
	for _, h := range l.holders {
		all = append(all, h)
	}
	slices.SortFunc(all, compareHolders)
	return all
}
