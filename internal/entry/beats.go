package entry

import (
	"context"
	"sync"
	"time"

	"example.org/mustardring/internal/homes"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/peer"
)

// Periods and limits of heartbeats.
const (
	beatInDomain    = 100 * time.Millisecond
	beatElsewhere   = time.Second
	beatLimit       = 400 * time.Millisecond
	silentInDomain  = 500 * time.Millisecond
	silentElsewhere = 3 * time.Second
	beatCheck       = 50 * time.Millisecond
	fetchLimit      = 2 * time.Second
	maxBeats        = 64
	// domainsPeriod is how often it is said which domains are heard: a tenth of the silence for
	// which a domain may be given notice.
	domainsPeriod = time.Second
)

// Bounds of membership.
const (
	// beatAll is the size up to which all instances of a domain are in direct contact.
	beatAll = 16
	// beatDelegates is the number of instances of another domain that are contacted.
	beatDelegates = 2
	beatHearsay   = 64
	// beatPatience is after how long a silence another process may take the name of a listed
	// one although the list does not say so.
	beatPatience = 3 * time.Second
)

// beat is a heartbeat that has ended, with its result or nil.
type beat struct {
	remote  *remote
	askedAt leader.Time
	result  *Pulse
}

// runHeartbeats tells the other instances of this one and learns of them by their results.
func (e *Entry) runHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(beatCheck)
	defer ticker.Stop()
	ended := make(chan beat, maxBeats)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			e.tickMembers(ctx, ended)
		case b := <-ended:
			e.peers.ended(b.remote)
			if b.result != nil {
				e.answered(ctx, b)
			}
		}
	}
}

// tickMembers sends the heartbeats that are due and hands on what the core now believes.
func (e *Entry) tickMembers(ctx context.Context, ended chan<- beat) {
	h := e.heartbeat()
	e.peers.led(e.now(), h)
	for _, r := range e.peers.due(e.now()) {
		go func() {
			b := e.beat(ctx, r)
			select {
			case ended <- b:
			case <-ctx.Done():
			}
		}()
	}
	e.state.setMembers(e.peers.members())
	if now := e.now(); now >= e.domainsAt {
		e.domainsAt = now + leader.Time(domainsPeriod)
		e.tellHomes(ctx, homes.ReachableDomains{Names: e.peers.domains()})
	}
}

// beat sends one heartbeat and waits for its end.
func (e *Entry) beat(ctx context.Context, r *remote) beat {
	b := beat{remote: r, askedAt: e.now()}
	pulse := e.peers.pulse(e.now(), r.Name, e.heartbeat())
	result, err := call[Pulse, Pulse](ctx, r.client, beatLimit, methodHeartbeat, pulse)
	e.meter.CallsSent.Add(1)
	if err != nil {
		e.meter.CallsFailed.Add(1)
	}
	result = result.restore(pulse, r.Name)
	if err == nil && result.Name == r.Name {
		b.result = &result
	}
	return b
}

// answered handles what another instance said in answer to a heartbeat. The right to be a
// gate is extended only by an answer that states the leader's present table.
func (e *Entry) answered(ctx context.Context, b beat) {
	h, fresh, held := e.hear(*b.result, true)
	if !held {
		return
	}
	e.heard(ctx, h, fresh)
	e.lease.confirm(b.askedAt, h, e.state.table())
}

// hear takes a pulse. A process that is not believed to have its name yet may answer calls all
// the same, so that it took the place of another is noted before anything else.
func (e *Entry) hear(p Pulse, answer bool) (h Heartbeat, fresh, held bool) {
	if p.Heartbeat != nil && p.Heartbeat.Domain == e.deps.Settings.Domain {
		e.losses.heard(*p.Heartbeat, time.Now())
	}
	return e.peers.hear(e.now(), p, answer)
}

// heard handles what another instance says of itself. Fresh says that it was not known.
func (e *Entry) heard(ctx context.Context, h Heartbeat, fresh bool) {
	if fresh {
		e.front.MergeCrashRecords(h.Blocks)
	}
	if h.Domain == e.deps.Settings.Domain {
		e.tell(ctx, peerHeard(h))
	}
	view, _ := e.state.snapshot()
	newer := view.Bundle == nil && h.BundleVersion > 0 || view.Bundle != nil && h.BundleVersion > view.Bundle.Version
	homes := h.BundleVersion > 0 && h.Domain == e.deps.Settings.Domain && e.lacksHomes()
	if newer || homes {
		e.fetch(h.Name, func(r *remote) { e.fetchProof(ctx, r) })
	}
	if h.Domain != e.deps.Settings.Domain {
		return
	}
	t := view.Table
	if t == nil || h.TableTerm.Compare(t.Term) > 0 || h.TableTerm == t.Term && h.TableSerial > t.Serial {
		e.fetch(h.Name, func(r *remote) { e.fetchTable(ctx, r.client) })
	}
}

// fetch runs a fetch from an instance unless one is under way.
func (e *Entry) fetch(name string, run func(r *remote)) {
	r := e.peers.remote(name)
	if r == nil || !r.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer r.fetching.Store(false)
		run(r)
	}()
}

// mux answers the calls of other instances.
func (e *Entry) mux() *peer.Mux {
	m := peer.NewMux()
	peer.Register(m, methodHeartbeat, e.handleHeartbeat)
	peer.Register(m, methodTable, e.handleTable)
	peer.Register(m, methodProof, e.handleProof)
	peer.Register(m, methodExchange, e.handleExchange)
	peer.Register(m, methodLoads, e.handleLoads)
	peer.Register(m, methodMark, e.handleMark)
	peer.Register(m, methodMarks, e.handleMarks)
	peer.Register(m, methodRecall, e.handleRecall)
	return m
}

func (e *Entry) handleHeartbeat(ctx context.Context, p Pulse) (Pulse, error) {
	h, fresh, held := e.hear(p, false)
	if held {
		e.heard(ctx, h, fresh)
	}
	return e.peers.reply(e.now(), p, e.heartbeat()), nil
}

// announceStop tells the domain at once that this instance is leaving.
func (e *Entry) announceStop(ctx context.Context) {
	var told sync.WaitGroup
	for _, r := range e.peers.stop(e.now()) {
		told.Go(func() { e.beat(ctx, r) })
	}
	told.Wait()
	if err := e.deps.List.Leave(ctx, e.listed()); err != nil {
		e.deps.Logger.Warn("list-unavailable", "error", err)
	}
}
