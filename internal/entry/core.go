package entry

import (
	"context"
	"sync/atomic"
	"time"

	"example.org/mustardring/internal/homes"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/pkg/keys"
)

// tickPeriod is how often the cores look at their deadlines.
const tickPeriod = 20 * time.Millisecond

// heldPeriod is how often the core of homes is told what this instance holds, beside each time
// that it decides on other news.
const heldPeriod = 100 * time.Millisecond

// event is an input of the duty that runs the cores: forLeader or forHomes. The set is sealed.
type event interface {
	isEvent()
}

// forLeader is an event of the core that leads the domain.
type forLeader struct {
	event leader.Event
}

// forHomes is an event of the core that keeps the homes of the domain.
type forHomes struct {
	event homes.Event
}

func (forLeader) isEvent() {}
func (forHomes) isEvent()  {}

// coreView holds the core's statement about itself. The core duty writes it, others read it.
type coreView struct {
	heartbeat atomic.Pointer[leader.Heartbeat]
}

// runCore is the only duty that touches the cores. It turns events into effects.
func (e *Entry) runCore(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	var heldAt time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			e.lead(leader.Ticked{})
			if !now.Before(heldAt) {
				heldAt = now.Add(heldPeriod)
				e.reportHeld()
			}
			e.confirmOwnGates()
			e.closeLapsed()
		case ev := <-e.events:
			e.handle(ev)
		}
	}
}

// handle hands an event to the core that it is for. The core of homes decides only on what
// this instance holds at that moment: a range that the leader adopted just before must not
// count as one that nobody holds.
func (e *Entry) handle(ev event) {
	switch ev := ev.(type) {
	case forHomes:
		e.reportHeld()
		e.performHomes(e.homes.Handle(e.now(), ev.event))
	case forLeader:
		e.lead(ev.event)
	}
}

func (e *Entry) lead(ev leader.Event) {
	for _, effect := range e.core.Handle(e.now(), ev) {
		e.perform(effect)
	}
	heartbeat := e.core.Heartbeat()
	e.coreView.heartbeat.Store(&heartbeat)
}

// reportHeld tells the core of homes what this instance holds as leader.
func (e *Entry) reportHeld() {
	term, leads := e.core.LogTerm()
	b := e.state.bundle()
	if !leads || b == nil {
		e.performHomes(e.homes.Handle(e.now(), homes.NotLeading{}))
		return
	}
	held := homes.LeaderState{LogTerm: term, Settled: true, Ranges: make(map[string][]keys.Range)}
	held.Fence, held.MajorityFence = e.core.HomesFence()
	for _, s := range b.Services {
		if !s.Divided {
			continue
		}
		ranges, settled := e.core.HeldRanges(s.Name)
		held.Ranges[s.Name] = ranges
		held.Settled = held.Settled && settled
	}
	e.performHomes(e.homes.Handle(e.now(), held))
}

// confirmOwnGates extends the right of the leader to be a gate itself.
func (e *Entry) confirmOwnGates() {
	if asked, leads := e.core.QuorumAskedAt(); leads {
		e.lease.extend(asked + leader.Time(gateLease))
	}
}

func (e *Entry) performHomes(effects []homes.Effect) {
	for _, effect := range effects {
		switch f := effect.(type) {
		case homes.Allow:
			e.lead(configured(f.Bundle, e.deps.Settings.Domain, f.Ranges))
		case homes.Append:
			e.queueAppend(leader.Append{ID: f.ID, Record: f.Record})
		case homes.DistributeFence:
			e.core.RaiseHomesFence(f.Fence)
		}
	}
}

func (e *Entry) perform(effect leader.Effect) {
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

// tell hands an event to the core that leads.
func (e *Entry) tell(ctx context.Context, ev leader.Event) {
	e.put(ctx, forLeader{event: ev})
}

// tellHomes hands an event to the core of homes.
func (e *Entry) tellHomes(ctx context.Context, ev homes.Event) {
	e.put(ctx, forHomes{event: ev})
}

// put gives an event to the core duty. A full ring means that the cores are far behind; the
// event waits until there is room or the context ends.
func (e *Entry) put(ctx context.Context, ev event) {
	select {
	case e.events <- ev:
	case <-ctx.Done():
	}
}
