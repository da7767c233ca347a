package leader

import (
	"slices"

	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// holderID identifies the holder of a grant: a server that checks grants, in which case gate
// is empty, or the gate that holds the grant of a server that does not.
type holderID struct {
	server string
	gate   string
}

// holder is what the leader knows of the process that holds a grant, and of the grant.
type holder struct {
	holderID
	service      string
	checksGrants bool
	// ownsRanges is false for an instance that only votes.
	ownsRanges bool

	// answered says that the holder has answered in this term. The fields from here to live
	// are zero before.
	answered    bool
	incarnation uint64
	// clock is the reading of the holder's clock in its newest answer, received at answeredAt.
	clock      grant.Instant
	answeredAt Time
	// serial is the serial of the newest answer.
	serial uint64
	// expiresAt is the latest end of all grants sent to the holder or reported by it, on this
	// instance's clock.
	expiresAt Time
	// epoch and ranges are the grant that the holder last reported. live says that the grant
	// had not expired then, and has not been found to have expired since.
	epoch  grant.Epoch
	ranges []keys.Range
	live   bool
	// draining are ranges that the holder has given up and in which requests still run.
	draining []keys.Range
	// pending is the proposed set that the holder has not acknowledged, or nil.
	pending *proposal
	// drainTime is how long requests may still run after the lease has expired. It is zero for
	// a server that checks grants.
	drainTime Time
	// queriedAfterExpiry says that an exchange was already scheduled because the lease expired.
	queriedAfterExpiry bool
	// urgent requests an exchange without waiting for the next exchange interval.
	urgent bool
	// confirmedEpoch is the epoch of the set that noteConfirmedHeld took in last.
	confirmedEpoch grant.Epoch
	// superseded says that another holder has a newer grant of one of the ranges.
	superseded bool
	// ackedWithoutLog says that the set was acknowledged while the log was unavailable.
	ackedWithoutLog bool
	// warmAt is when the cold start of the present process ends. It is zero for the first
	// process that this leader has seen.
	warmAt Time
}

// proposal is a range set that the holder may or may not have accepted.
type proposal struct {
	epoch  grant.Epoch
	ranges []keys.Range
}

// possibleRanges returns every range that the holder may act on, those of a proposed set
// included if pending is true. No other holder must be granted any of them.
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

// idle reports whether the holder may act on no range.
func (h *holder) idle() bool {
	return (!h.live || len(h.ranges) == 0) && len(h.draining) == 0 && h.pending == nil
}

// expectedRanges returns the proposed set of the holder, or else the set that it has.
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

// forgetRanges notes that the holder may no longer act on any range.
func (h *holder) forgetRanges() {
	h.live = false
	h.draining = nil
	h.pending = nil
}

// updateHolders adds the holders that have to be asked and retires those that no longer have
// to be. A gate that the leader is giving up is asked until it holds nothing.
func (c *Core) updateHolders() {
	l := c.lead
	wanted := make(map[holderID]bool)
	for _, s := range c.services {
		for _, b := range s.Servers {
			for _, id := range c.holderIDsOf(s, b) {
				wanted[id] = true
				c.ensureHolder(id, s, b)
			}
		}
	}
	for id, h := range l.holders {
		if wanted[id] {
			continue
		}
		if !h.checksGrants && c.isConfigured(h) && !h.idle() {
			continue
		}
		c.retire(h)
		delete(l.holders, id)
	}
	l.rangesDirty = true
	l.tableDirty = true
}

// isConfigured reports whether the server of a holder is still configured.
func (c *Core) isConfigured(h *holder) bool {
	s := c.serviceOf(h.service)
	return s != nil && slices.ContainsFunc(s.Servers, func(b Server) bool { return b.Name == h.server && b.ChecksGrants == h.checksGrants })
}

// holderIDsOf returns the holders that have or may have the grant of a server. A new leader
// does not know which gates its predecessor chose, so it asks every instance until the
// service has settled.
func (c *Core) holderIDsOf(s *service, b Server) []holderID {
	switch {
	case b.Slots == 0 || b.ChecksGrants:
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

// ensureHolder adds the holder of a server's grant if there is none, and updates it to the
// configuration.
func (c *Core) ensureHolder(id holderID, s *service, b Server) {
	h := c.lead.holders[id]
	if h == nil {
		h = &holder{holderID: id, service: s.Name}
		c.lead.holders[id] = h
	}
	if h.service != s.Name {
		return
	}
	h.checksGrants = b.ChecksGrants || b.Slots == 0
	h.ownsRanges = b.Slots > 0 && s.Divided
	if !h.checksGrants {
		h.drainTime = Time(s.RequestMillis)*1e6 + Time(c.config.MaxPause)
	}
}

// retire keeps a copy of a holder that is not asked any more, so that its ranges stay blocked
// until it has expired.
func (c *Core) retire(h *holder) {
	if h.idle() {
		return
	}
	retired := *h
	c.lead.retired = append(c.lead.retired, &retired)
}

// expired reports whether all grants of the holder have expired, all requests under them have
// ended, and no other leader can have renewed them, since a majority that was asked after the
// expiry still followed this term.
func (c *Core) expired(h *holder) bool {
	end := h.expiresAt + h.drainTime
	if c.config.mutated(mutNoDrainTime) {
		end = h.expiresAt
	}
	confirmed := c.quorumAskedAt() > h.expiresAt || c.config.mutated(mutNoConfirmation)
	return c.now > end && confirmed
}

// expireHolders frees the ranges of holders that have expired, and requests an exchange at
// once with those whose lease has just ended.
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

// sortedHolders returns the holders in the order of their names.
func (l *leadership) sortedHolders() []*holder {
	all := make([]*holder, 0, len(l.holders))
	for _, h := range l.holders {
		all = append(all, h)
	}
	slices.SortFunc(all, compareHolders)
	return all
}
