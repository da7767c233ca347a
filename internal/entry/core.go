package entry

import (
	"context"
	"sync/atomic"
	"time"

	"example.org/mustardring/internal/homes"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/pkg/keys"
)

// tickInterval is how often the cores look at their deadlines.
const tickInterval = 20 * time.Millisecond

// heldInterval is how often the core of homes is told what this instance holds, beside each time
// that it decides on other news.
const heldInterval = 100 * time.Millisecond

// event is an input of the duty that runs the cores: forLeader or forHomes. The set is sealed.
type event interface {
	isEvent()
}

// leaderEvent is an event of the core that leads the domain.
type leaderEvent struct {
	event leader.Event
}

// homesEvent is an event of the core that keeps the homes of the domain.
type homesEvent struct {
	event homes.Event
}

func (leaderEvent) isEvent() {}
func (homesEvent) isEvent()  {}

// leadership holds the core's statement about itself. The core duty writes it, others read it.
type leadership struct {
	heartbeat atomic.Pointer[leader.Heartbeat]
}

// runCores is the only duty that touches the cores. It turns events into effects.
func (e *Entry) runCores(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var heldAt time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			e.handleLeaderEvent(leader.Ticked{})
			if !now.Before(heldAt) {
				heldAt = now.Add(heldInterval)
				e.reportHeldRanges()
			}
			e.extendOwnGateLease()
			e.closeExpiredGrants()
		case ev := <-e.events:
			e.handleEvent(ev)
		}
	}
}

// handleEvent hands an event to the core that it is for. The core of homes decides only on what
// this instance holds at that moment: a range that the leader adopted just before must not
// count as one that nobody holds.
func (e *Entry) handleEvent(ev event) {
	switch ev := ev.(type) {
	case homesEvent:
		e.reportHeldRanges()
		e.performHomesEffects(e.homesCore.Handle(e.now(), ev.event))
	case leaderEvent:
		e.handleLeaderEvent(ev.event)
	}
}

func (e *Entry) handleLeaderEvent(ev leader.Event) {
	for _, effect := range e.leaderCore.Handle(e.now(), ev) {
		e.performLeaderEffect(effect)
	}
	heartbeat := e.leaderCore.Heartbeat()
	e.leadership.heartbeat.Store(&heartbeat)
}

// reportHeldRanges tells the core of homes what this instance holds as leader.
func (e *Entry) reportHeldRanges() {
	term, leads := e.leaderCore.LogTerm()
	b := e.state.bundle()
	if !leads || b == nil {
		e.performHomesEffects(e.homesCore.Handle(e.now(), homes.Follows{}))
		return
	}
	held := homes.Held{Log: term, Settled: true, Ranges: make(map[string][]keys.Range)}
	held.Fence, held.Taught = e.leaderCore.HomesFence()
	for _, s := range b.Services {
		if !s.Divided {
			continue
		}
		ranges, settled := e.leaderCore.HeldRanges(s.Name)
		held.Ranges[s.Name] = ranges
		held.Settled = held.Settled && settled
	}
	e.performHomesEffects(e.homesCore.Handle(e.now(), held))
}

// extendOwnGateLease extends the right of the leader to be a gate itself.
func (e *Entry) extendOwnGateLease() {
	if askedAt, leads := e.leaderCore.QuorumAskedAt(); leads {
		e.gateLease.extend(askedAt + leader.Time(gateLeaseDuration))
	}
}

func (e *Entry) performHomesEffects(effects []homes.Effect) {
	for _, effect := range effects {
		switch f := effect.(type) {
		case homes.Allow:
			e.handleLeaderEvent(leaderConfig(f.Bundle, e.deps.Settings.Domain, f.Ranges))
		case homes.Append:
			e.queueAppend(leader.Append{ID: f.ID, Record: f.Record})
		case homes.Teach:
			e.leaderCore.RaiseHomesFence(f.Fence)
		}
	}
}

func (e *Entry) performLeaderEffect(effect leader.Effect) {
	switch f := effect.(type) {
	case leader.Send:
		e.queueSend(f)
	case leader.Append:
		e.queueAppend(f)
	case leader.Publish:
		if e.setTable(&f.Table) {
			e.pushTable(&f.Table)
		}
	case leader.StartedLeading:
		e.meter.TermsBegun.Add(1)
		e.deps.Logger.Info("leading", "domain", e.deps.Settings.Domain, "term", f.Term)
	case leader.SteppedDown:
		e.meter.TermsEnded.Add(1)
		e.deps.Logger.Warn("stepped-down", "domain", e.deps.Settings.Domain, "term", f.Term, "reason", f.Reason)
	}
}

// queueSend drops an exchange when the ring is full: the core sends the next one soon.
func (e *Entry) queueSend(s leader.Send) {
	select {
	case e.sends <- s:
	default:
		e.meter.EventsDropped.Add(1)
		e.deps.Logger.Warn("exchange-dropped", "server", s.Server)
	}
}

// queueAppend drops an append when the ring is full, which the core sees as one that the
// log never acknowledged.
func (e *Entry) queueAppend(a leader.Append) {
	select {
	case e.appends <- a:
	default:
		e.meter.EventsDropped.Add(1)
		e.deps.Logger.Warn("append-dropped", "id", a.ID)
	}
}

// notifyLeaderCore hands an event to the core that leads.
func (e *Entry) notifyLeaderCore(ctx context.Context, ev leader.Event) {
	e.enqueue(ctx, leaderEvent{event: ev})
}

// notifyHomesCore hands an event to the core of homes.
func (e *Entry) notifyHomesCore(ctx context.Context, ev homes.Event) {
	e.enqueue(ctx, homesEvent{event: ev})
}

// enqueue gives an event to the core duty. A full ring means that the cores are far behind; the
// event waits until there is room or the context ends.
func (e *Entry) enqueue(ctx context.Context, ev event) {
	select {
	case e.events <- ev:
	case <-ctx.Done():
	}
}
