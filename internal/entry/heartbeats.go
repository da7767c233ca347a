package entry

import (
	"context"
	"sync"
	"time"

	"example.org/mustardring/internal/homes"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/peer"
)

// Intervals and timeouts of heartbeats. Those with the suffix Outside hold for instances of other
// failure domains.
const (
	heartbeatInterval        = 100 * time.Millisecond
	heartbeatIntervalOutside = time.Second
	heartbeatTimeout         = 400 * time.Millisecond
	// unreachableAfter is the time without a heartbeat after which an instance is not live.
	unreachableAfter        = 500 * time.Millisecond
	unreachableAfterOutside = 3 * time.Second
	heartbeatTick           = 50 * time.Millisecond
	fetchTimeout            = 2 * time.Second
	heartbeatResultCapacity = 64
	// domainsInterval is how often the reachable domains are reported to the homes core: a tenth of
	// the time without heartbeats after which ranges of a domain may be freed.
	domainsInterval = time.Second
)

// Bounds of membership.
const (
	// maxFullMesh is the number of instances of a domain up to which all send heartbeats to all.
	maxFullMesh = 16
	// maxDelegates is the number of instances of each other domain that get heartbeats.
	maxDelegates = 2
	// maxGossip is the maximum number of heartbeat counts of other instances in one heartbeat.
	maxGossip = 64
	// listedNameTimeout is the time without a heartbeat of a process after which another process
	// may take over its name while the platform's list still shows the old one.
	listedNameTimeout = 3 * time.Second
)

// heartbeatResult is a heartbeat call that has ended. The result is nil if the call failed.
type heartbeatResult struct {
	remote  *remote
	askedAt leader.Time
	result  *Heartbeat
}

// runHeartbeats sends heartbeats to the other instances and handles their answers.
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
		case done := <-ended:
			e.peers.clearBusy(done.remote)
			if done.result != nil {
				e.handleAnswer(ctx, done)
			}
		}
	}
}

// sendDueHeartbeats sends the heartbeats that are due and publishes the current membership.
func (e *Entry) sendDueHeartbeats(ctx context.Context, ended chan<- heartbeatResult) {
	s := e.instanceState()
	e.peers.setLeading(e.now(), s)
	for _, r := range e.peers.due(e.now()) {
		go func() {
			done := e.sendHeartbeat(ctx, r)
			select {
			case ended <- done:
			case <-ctx.Done():
			}
		}()
	}
	e.state.setMembers(e.peers.members())
	if now := e.now(); now >= e.nextDomainsAt {
		e.nextDomainsAt = now + leader.Time(domainsInterval)
		e.notifyHomesCore(ctx, homes.ReachableDomains{Names: e.peers.reachableDomains()})
	}
}

// sendHeartbeat sends one heartbeat and waits for the answer or the timeout.
func (e *Entry) sendHeartbeat(ctx context.Context, r *remote) heartbeatResult {
	done := heartbeatResult{remote: r, askedAt: e.now()}
	request := e.peers.nextHeartbeat(e.now(), r.Name, e.instanceState())
	result, err := call[Heartbeat, Heartbeat](ctx, r.client, heartbeatTimeout, methodHeartbeat, request)
	e.meter.CallsSent.Add(1)
	if err != nil {
		e.meter.CallsFailed.Add(1)
	}
	result = result.restore(request, r.Name)
	if err == nil && result.Name == r.Name {
		done.result = &result
	}
	return done
}

// handleAnswer handles the answer to a heartbeat. The gate lease is extended only by an answer of
// the leader that states the routing table which this instance has.
func (e *Entry) handleAnswer(ctx context.Context, done heartbeatResult) {
	s, isNew, accepted := e.receive(*done.result, true)
	if !accepted {
		return
	}
	e.handleState(ctx, s, isNew)
	e.gateLease.confirm(done.askedAt, s, e.state.table())
}

// receive handles a heartbeat or the answer to one; see peers.receive for the results. It first
// records that the sender replaces another process of its name: the membership may not accept the
// new process yet, but the process already answers calls.
func (e *Entry) receive(h Heartbeat, isAnswer bool) (s InstanceState, isNew, accepted bool) {
	if h.State != nil && h.State.Domain == e.deps.Settings.Domain {
		e.replaced.observe(*h.State, time.Now())
	}
	return e.peers.receive(e.now(), h, isAnswer)
}

// handleState handles the state of another instance, and fetches the bundle, the homes or the
// routing table if the other instance has newer ones. isNew reports that the state has changed.
func (e *Entry) handleState(ctx context.Context, s InstanceState, isNew bool) {
	if isNew {
		e.front.MergeCrashRecords(s.Blocks)
	}
	if s.Domain == e.deps.Settings.Domain {
		e.notifyLeaderCore(ctx, leaderHeartbeat(s))
	}
	view, _ := e.state.snapshot()
	needsBundle := view.Bundle == nil && s.BundleVersion > 0 || view.Bundle != nil && s.BundleVersion > view.Bundle.Version
	needsHomes := s.BundleVersion > 0 && s.Domain == e.deps.Settings.Domain && e.lacksHomes()
	if needsBundle || needsHomes {
		e.startFetch(s.Name, func(r *remote) { e.fetchBundle(ctx, r) })
	}
	if s.Domain != e.deps.Settings.Domain {
		return
	}
	t := view.Table
	if t == nil || s.TableTerm.Compare(t.Term) > 0 || s.TableTerm == t.Term && s.TableSerial > t.Serial {
		e.startFetch(s.Name, func(r *remote) { e.fetchTable(ctx, r.client) })
	}
}

// startFetch runs a fetch from an instance in the background, unless one is already running.
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

// newMux returns the handlers for the calls of other instances.
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

func (e *Entry) handleHeartbeat(ctx context.Context, h Heartbeat) (Heartbeat, error) {
	s, isNew, accepted := e.receive(h, false)
	if accepted {
		e.handleState(ctx, s, isNew)
	}
	return e.peers.reply(e.now(), h, e.instanceState()), nil
}

// announceLeaving tells the other instances of the domain and the platform's list at once that
// this instance is leaving.
func (e *Entry) announceLeaving(ctx context.Context) {
	var wg sync.WaitGroup
	for _, r := range e.peers.leave(e.now()) {
		wg.Go(func() { e.sendHeartbeat(ctx, r) })
	}
	wg.Wait()
	if err := e.deps.List.Leave(ctx, e.listEntry()); err != nil {
		e.deps.Logger.Warn("list-unavailable", "error", err)
	}
}
