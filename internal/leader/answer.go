package leader

import (
	"slices"
)

func (c *Core) answered(ev Answered) {
	l := c.lead
	if l == nil {
		c.surveyed(ev)
		return
	}
	switch ev.Answer.Fence.Compare(l.term) {
	case 1:
		c.know(ev.Answer.Fence)
		c.stepDown(reasonFenced)
		return
	case -1:
		return
	}
	c.count(ev)
	c.win()
	h := l.holdings[seat{server: ev.Server, via: ev.Gate}]
	if h == nil || !c.follows(h, ev) {
		return
	}
	c.learn(h, ev)
}

func (c *Core) win() {
	l := c.lead
	if l.won() || c.authority() == never {
		return
	}
	l.wonAt = max(c.now, 1)
	l.exchangeAt = c.now
	l.dirty, l.tableDirty = true, true
	c.emit(StartedLeading{Term: l.term})
}

// follows reports whether an answer is newer than what is known of its holder. Answers may
// arrive in another order than they were given. Of one process the serial orders them. Of
// two processes only this is sure: what was asked after an answer had arrived was answered
// later.
func (c *Core) follows(h *holding, ev Answered) bool {
	if !h.heard {
		return true
	}
	if h.incarnation == ev.Answer.Incarnation {
		return ev.Answer.Serial > h.serial || c.config.without(mutOrder)
	}
	if ev.AskedAt <= h.heardAt && !c.config.without(mutProcesses) {
		return false
	}
	c.restarted(h)
	return true
}

// restarted forgets the grant of a process that is gone. A server that checks took its
// requests with it; a gate may have left requests running at the server.
func (c *Core) restarted(h *holding) {
	if !h.checks {
		c.retire(h)
	}
	h.free()
	h.epoch, h.set = zeroEpoch, nil
	h.lapsesAt = 0
	if s := c.serviceOf(h.service); s != nil {
		h.warmAt = c.now + Time(s.ColdStartMillis)*1e6
	}
	c.lead.dirty, c.lead.tableDirty = true, true
	c.placeSoon()
}

// learn takes what a holder states about itself. The stated deadline may be later than any
// that this leader gave: the former leader may have granted more.
func (c *Core) learn(h *holding, ev Answered) {
	l := c.lead
	a := ev.Answer
	live := a.Deadline > a.Clock
	if !h.heard {
		c.placeSoon()
	}
	changed := !h.heard || live != h.live || a.Epoch != h.epoch || !slices.Equal(h.draining, a.Draining)
	h.heard = true
	h.incarnation = a.Incarnation
	h.clock = a.Clock
	h.serial = a.Serial
	h.heardAt = c.now
	h.chased = false
	h.live = live
	h.draining = a.Draining
	if a.Epoch != h.epoch {
		h.epoch, h.set = a.Epoch, a.Ranges
		h.ackedAway = c.log.away
		h.superseded = false
		l.adopted = l.adopted || a.Epoch.Term != l.term
		c.noteMoves(h)
	}
	c.see(h, ev)
	if live && !c.config.without(mutAdopted) {
		h.lapsesAt = max(h.lapsesAt, c.now+c.config.stretch(Time(a.Deadline-a.Clock)))
	}
	if h.pending != nil && a.Epoch.Compare(h.pending.epoch) >= 0 {
		h.pending = nil
		changed = true
	}
	if changed {
		l.dirty, l.tableDirty = true, true
	}
}

func (c *Core) noteMoves(h *holding) {
	s := c.serviceOf(h.service)
	if s == nil {
		return
	}
	for _, r := range h.set {
		if m, found := s.moves[r]; !found || m.server != h.server {
			s.moves[r] = move{server: h.server, at: c.now}
		}
	}
}
