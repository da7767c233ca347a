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
	heartbeatInterval        = 100 * time.Millisecond
	heartbeatIntervalOutside = time.Second
	heartbeatTimeout         = 400 * time.Millisecond
	suspectTimeout           = 500 * time.Millisecond
	suspectTimeoutOutside    = 3 * time.Second
	heartbeatTick            = 50 * time.Millisecond
	fetchTimeout             = 2 * time.Second
	heartbeatResultCapacity  = 64
	// domainsInterval is how often it is said which domains are heard: a tenth of the silence for
	// which a domain may be given notice.
	domainsInterval = time.Second
)

// Bounds of membership.
const (
	// maxFullMesh is the size up to which all instances of a domain are in direct contact.
	maxFullMesh = 16
	// maxDelegates is the number of instances of another domain that are contacted.
	maxDelegates = 2
	maxHearsay   = 64
	// listedNameTimeout is after how long a silence another process may take the name of a listed
	// one although the list does not say so.
	listedNameTimeout = 3 * time.Second
)

// heartbeatResult is a heartbeat that has ended, with its result or nil.
type heartbeatResult struct {
	remote  *remote
	askedAt leader.Time
	result  *Heartbeat
}

// runHeartbeats tells the other instances of this one and learns of them by their results.
func (e *Entry) runHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatTick)
	defer ticker.Stop()
	ended := make(chan heartbeatResult, heartbeatResultCapacity)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			e.sendDueHeartbeats(ctx, ended)
		case b := <-ended:
			e.peers.clearBusy(b.remote)
			if b.result != nil {
				e.handleAnswer(ctx, b)
			}
		}
	}
}

// sendDueHeartbeats sends the heartbeats that are due and hands on what the core now believes.
func (e *Entry) sendDueHeartbeats(ctx context.Context, ended chan<- heartbeatResult) {
	h := e.instanceState()
	e.peers.setLeading(e.now(), h)
	for _, r := range e.peers.due(e.now()) {
		go func() {
			b := e.sendHeartbeat(ctx, r)
			select {
			case ended <- b:
			case <-ctx.Done():
			}
		}()
	}
	e.state.setMembers(e.peers.members())
	if now := e.now(); now >= e.nextDomainsAt {
		e.nextDomainsAt = now + leader.Time(domainsInterval)
		e.notifyHomesCore(ctx, homes.Domains{Heard: e.peers.reachableDomains()})
	}
}

// sendHeartbeat sends one heartbeat and waits for its end.
func (e *Entry) sendHeartbeat(ctx context.Context, r *remote) heartbeatResult {
	b := heartbeatResult{remote: r, askedAt: e.now()}
	pulse := e.peers.nextHeartbeat(e.now(), r.Name, e.instanceState())
	result, err := call[Heartbeat, Heartbeat](ctx, r.client, heartbeatTimeout, methodHeartbeat, pulse)
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

// handleAnswer handles what another instance said in answer to a heartbeat. The right to be a
// gate is extended only by an answer that states the leader's present table.
func (e *Entry) handleAnswer(ctx context.Context, b heartbeatResult) {
	h, fresh, held := e.receive(*b.result, true)
	if !held {
		return
	}
	e.handleState(ctx, h, fresh)
	e.gateLease.confirm(b.askedAt, h, e.state.table())
}

// receive takes a pulse. A process that is not believed to have its name yet may answer calls all
// the same, so that it took the place of another is noted before anything else.
func (e *Entry) receive(p Heartbeat, answer bool) (h InstanceState, fresh, held bool) {
	if p.State != nil && p.State.Domain == e.deps.Settings.Domain {
		e.replaced.observe(*p.State, time.Now())
	}
	return e.peers.receive(e.now(), p, answer)
}

// handleState handles what another instance says of itself. Fresh says that it was not known.
func (e *Entry) handleState(ctx context.Context, h InstanceState, fresh bool) {
	if fresh {
		e.front.Merge(h.Blocks)
	}
	if h.Domain == e.deps.Settings.Domain {
		e.notifyLeaderCore(ctx, leaderHeartbeat(h))
	}
	view, _ := e.state.snapshot()
	newer := view.Bundle == nil && h.BundleVersion > 0 || view.Bundle != nil && h.BundleVersion > view.Bundle.Version
	homes := h.BundleVersion > 0 && h.Domain == e.deps.Settings.Domain && e.lacksHomes()
	if newer || homes {
		e.startFetch(h.Name, func(r *remote) { e.fetchBundle(ctx, r) })
	}
	if h.Domain != e.deps.Settings.Domain {
		return
	}
	t := view.Table
	if t == nil || h.TableTerm.Compare(t.Term) > 0 || h.TableTerm == t.Term && h.TableSerial > t.Serial {
		e.startFetch(h.Name, func(r *remote) { e.fetchTable(ctx, r.client) })
	}
}

// startFetch runs a fetch from an instance unless one is under way.
func (e *Entry) startFetch(name string, run func(r *remote)) {
	r := e.peers.remote(name)
	if r == nil || !r.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer r.fetching.Store(false)
		run(r)
	}()
}

// newMux answers the calls of other instances.
func (e *Entry) newMux() *peer.Mux {
	m := peer.NewMux()
	peer.Register(m, methodHeartbeat, e.handleHeartbeat)
	peer.Register(m, methodTable, e.handleTable)
	peer.Register(m, methodBundle, e.handleBundle)
	peer.Register(m, methodExchange, e.handleExchange)
	peer.Register(m, methodLoads, e.handleLoads)
	peer.Register(m, methodReplicate, e.handleReplicate)
	peer.Register(m, methodReplicateBatch, e.handleReplicateBatch)
	peer.Register(m, methodRecover, e.handleRecover)
	return m
}

func (e *Entry) handleHeartbeat(ctx context.Context, p Heartbeat) (Heartbeat, error) {
	h, fresh, held := e.receive(p, false)
	if held {
		e.handleState(ctx, h, fresh)
	}
	return e.peers.reply(e.now(), p, e.instanceState()), nil
}

// announceLeaving tells the domain at once that this instance is leaving.
func (e *Entry) announceLeaving(ctx context.Context) {
	var told sync.WaitGroup
	for _, r := range e.peers.leave(e.now()) {
		told.Go(func() { e.sendHeartbeat(ctx, r) })
	}
	told.Wait()
	if err := e.deps.List.Leave(ctx, e.listEntry()); err != nil {
		e.deps.Logger.Warn("list-unavailable", "error", err)
	}
}
