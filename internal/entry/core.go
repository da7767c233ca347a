package entry

import (
	"context"
	"sync/atomic"
	"time"

	"example.org/mustardring/internal/leader"
)

// tickPeriod is how often the core looks at its deadlines.
const tickPeriod = 20 * time.Millisecond

// coreView holds the core's statement about itself. The core duty writes it, others read it.
type coreView struct {
	heartbeat atomic.Pointer[leader.PeerHeard]
}

// runCore is the only duty that touches the core. It turns events into effects.
func (e *Entry) runCore(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			e.handle(leader.Ticked{})
		case ev := <-e.events:
			e.handle(ev)
		}
	}
}

func (e *Entry) handle(ev leader.Event) {
	for _, effect := range e.core.Handle(e.now(), ev) {
		e.perform(effect)
	}
	heartbeat := e.core.Heartbeat()
	e.coreView.heartbeat.Store(&heartbeat)
}

func (e *Entry) perform(effect leader.Effect) {
	switch f := effect.(type) {
	case leader.Send:
		e.queueSend(f)
	case leader.Append:
		e.queueAppend(f)
	case leader.Publish:
		if e.state.setTable(&f.Table) {
			e.pushTable(&f.Table)
		}
	case leader.Led:
		e.deps.Logger.Info("leading", "domain", e.deps.Settings.Domain, "term", f.Term)
	case leader.Stepped:
		e.deps.Logger.Warn("stepped-down", "domain", e.deps.Settings.Domain, "term", f.Term, "reason", f.Reason)
	}
}

// queueSend drops an exchange when the ring is full: the core sends the next one soon.
func (e *Entry) queueSend(s leader.Send) {
	select {
	case e.sends <- s:
	default:
		e.deps.Logger.Warn("exchange-dropped", "server", s.Server)
	}
}

// queueAppend drops an append when the ring is full, which the core sees as one that the
// log never acknowledged.
func (e *Entry) queueAppend(a leader.Append) {
	select {
	case e.appends <- a:
	default:
		e.deps.Logger.Warn("append-dropped", "id", a.ID)
	}
}

// tell hands an event to the core. A full ring means that the core is far behind; the event
// waits until there is room or the context ends.
func (e *Entry) tell(ctx context.Context, ev leader.Event) {
	select {
	case e.events <- ev:
	case <-ctx.Done():
	}
}
