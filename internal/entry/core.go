package entry

import (
	"context"
	"sync/atomic"
	"time"

	"example.org/mustardring/internal/homes"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/pkg/keys"
)

// tickInterval is how often the leader core checks its deadlines.
const tickInterval = 20 * time.Millisecond

// heldInterval is how often the ranges that this instance holds are reported to the homes core, in
// addition to the report before each of its events.
const heldInterval = 100 * time.Millisecond

// event is an input of the worker that runs the cores: a leaderEvent or a homesEvent. The set is
// sealed.
type event interface {
	isEvent()
}

// leaderEvent is an event for the leader core, which leads the domain.
type leaderEvent struct {
	event leader.Event
}

// homesEvent is an event for the homes core, which decides which ranges the domain may serve.
type homesEvent struct {
	event homes.Event
}

func (leaderEvent) isEvent() {}
func (homesEvent) isEvent()  {}

// leadership holds the newest heartbeat of the leader core, nil before its first event. The core
// worker writes it, the other workers read it.
type leadership struct {
	heartbeat atomic.Pointer[leader.Heartbeat]
}

// runCores passes events to the cores and performs their effects. It is the only worker that uses
// the cores.
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

// handleEvent passes an event to its core. The homes core first gets the ranges that this
// instance holds at that moment; otherwise it would take a range that the leader has just adopted
// for one that nobody holds.
func (e *Entry) handleEvent(ev event) {
	switch ev := ev.(type) {
	case homesEvent:
		e.reportHeldRanges()
		e.performHomesEffects(e.homesCore.Handle(e.now(), ev.event))
	case leaderEvent:
		e.handleLeaderEvent(ev.event)
	}
}

// handleLeaderEvent passes an event to the leader core, performs the effects and publishes
// whether this instance leads.
func (e *Entry) handleLeaderEvent(ev leader.Event) {
	for _, effect := range e.leaderCore.Handle(e.now(), ev) {
		e.performLeaderEffect(effect)
	}
	heartbeat := e.leaderCore.Heartbeat()
	e.leadership.heartbeat.Store(&heartbeat)
}

// reportHeldRanges reports to the homes core which ranges of each divided service this instance
// holds as leader, or that it does not lead.
func (e *Entry) reportHeldRanges() {
	term, leads := e.leaderCore.LogTerm()
	b := e.state.bundle()
	if !leads || b == nil {
		e.performHomesEffects(e.homesCore.Handle(e.now(), homes.NotLeading{}))
		return
	}
	held := homes.LeaderState{LogTerm: term, Settled: true, Ranges: make(map[string][]keys.Range)}
	held.Fence, held.MajorityFence = e.leaderCore.HomesFence()
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

// extendOwnGateLease extends the gate lease of an instance that leads. It needs no answer from
// another leader; a quorum that follows it confirms it.
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
		case homes.DistributeFence:
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

// queueSend queues an exchange. It drops the exchange if the channel is full; the core soon sends
// the next one.
func (e *Entry) queueSend(s leader.Send) {
	select {
	case e.sends <- s:
	default:
		e.meter.EventsDropped.Add(1)
		e.deps.Logger.Warn("exchange-dropped", "server", s.Server)
	}
}

// queueAppend queues an append. It drops the append if the channel is full; to the core this looks
// like an append that the log never acknowledged.
func (e *Entry) queueAppend(a leader.Append) {
	select {
	case e.appends <- a:
	default:
		e.meter.EventsDropped.Add(1)
		e.deps.Logger.Warn("append-dropped", "id", a.ID)
	}
}

// notifyLeaderCore queues an event for the leader core.
func (e *Entry) notifyLeaderCore(ctx context.Context, ev leader.Event) {
	e.enqueue(ctx, leaderEvent{event: ev})
}

// notifyHomesCore queues an event for the homes core.
func (e *Entry) notifyHomesCore(ctx context.Context, ev homes.Event) {
	e.enqueue(ctx, homesEvent{event: ev})
}

// enqueue queues an event for the core worker. If the channel is full, it blocks until there is
// room or the context is done.
func (e *Entry) enqueue(ctx context.Context, ev event) {
	select {
	case e.events <- ev:
	case <-ctx.Done():
	}
}
