package leader

import (
	"slices"
)

// handleAnswer takes an answer to an exchange. An answer that carries a higher term ends the
// leadership, and one that carries a lower term is ignored.
func (c *Core) handleAnswer(ev Answered) {
	l := c.lead
	if l == nil {
		c.handlePreVote(ev)
		return
	}
	switch ev.Answer.Fence.Compare(l.term) {
	case 1:
		c.noteTerm(ev.Answer.Fence)
		c.stepDown(reasonFenced)
		return
	case -1:
		return
	}
	c.countVote(ev)
	c.checkWon()
	h := l.holders[holderID{server: ev.Server, gate: ev.Gate}]
	if h == nil || !c.isNewer(h, ev) {
		return
	}
	c.applyAnswer(h, ev)
}

// checkWon makes a candidate the leader once a majority of every voter set follows its term.
func (c *Core) checkWon() {
	l := c.lead
	if l.won() || c.quorumAskedAt() == distantPast {
		return
	}
	l.wonAt = max(c.now, 1)
	l.exchangeAt = c.now
	l.rangesDirty, l.tableDirty = true, true
	c.emit(StartedLeading{Term: l.term})
}

// isNewer reports whether an answer was given later than the last one taken from its holder.
// Answers may arrive out of order. The serial orders the answers of one process. Answers of
// two processes are ordered only if the second was asked for after the first had arrived.
func (c *Core) isNewer(h *holder, ev Answered) bool {
	if !h.answered {
		return true
	}
	if h.incarnation == ev.Answer.Incarnation {
		return ev.Answer.Serial > h.serial || c.config.mutated(mutAnswerOrder)
	}
	if ev.AskedAt <= h.answeredAt && !c.config.mutated(mutProcessOrder) {
		return false
	}
	c.handleRestart(h)
	return true
}

// handleRestart forgets the grant of the previous process of a holder. The requests of a
// server that checks grants ended with its process. Requests that a gate sent may still run
// at the server, so the ranges of a gate stay blocked until these have ended.
func (c *Core) handleRestart(h *holder) {
	if !h.checksGrants {
		c.retire(h)
	}
	h.forgetRanges()
	h.epoch, h.ranges = zeroEpoch, nil
	h.expiresAt = 0
	if s := c.serviceOf(h.service); s != nil {
		h.warmAt = c.now + Time(s.ColdStartMillis)*1e6
	}
	c.lead.rangesDirty, c.lead.tableDirty = true, true
	c.placeSoon()
}

// applyAnswer records the state that a holder reports. The reported deadline may be later than
// every deadline that this leader gave, since a former leader may have granted more time.
func (c *Core) applyAnswer(h *holder, ev Answered) {
	l := c.lead
	a := ev.Answer
	live := a.Deadline > a.Clock
	if !h.answered {
		c.placeSoon()
	}
	changed := !h.answered || live != h.live || a.Epoch != h.epoch || !slices.Equal(h.draining, a.Draining)
	h.answered = true
	h.incarnation = a.Incarnation
	h.clock = a.Clock
	h.serial = a.Serial
	h.answeredAt = c.now
	h.queriedAfterExpiry = false
	h.live = live
	h.draining = a.Draining
	if a.Epoch != h.epoch {
		h.epoch, h.ranges = a.Epoch, a.Ranges
		h.ackedWithoutLog = c.log.unavailable
		h.superseded = false
		l.sawOtherTerm = l.sawOtherTerm || a.Epoch.Term != l.term
		c.noteMoves(h)
	}
	c.noteConfirmedHeld(h, ev)
	if live && !c.config.mutated(mutIgnoreDeadline) {
		h.expiresAt = max(h.expiresAt, c.now+c.config.withDrift(Time(a.Deadline-a.Clock)))
	}
	if h.pending != nil && a.Epoch.Compare(h.pending.epoch) >= 0 {
		h.pending = nil
		changed = true
	}
	if changed {
		l.rangesDirty, l.tableDirty = true, true
	}
}

// noteMoves records the time at which the ranges of a holder were first seen at its server.
func (c *Core) noteMoves(h *holder) {
	s := c.serviceOf(h.service)
	if s == nil {
		return
	}
	for _, r := range h.ranges {
		if m, found := s.moves[r]; !found || m.server != h.server {
			s.moves[r] = move{server: h.server, at: c.now}
		}
	}
}
