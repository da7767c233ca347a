package lease

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
	"example.org/mustardring/internal/worker"
)

// moveKey identifies a move. Each fence is used for one move only.
type moveKey struct {
	service string
	from    uint16
	fence   uint64
}

// completedMove is a move whose new owner has its first grant while no other server has a lease on the keys. Delegated
// says that this instance does not reach the new owner, and leaves the first grant to the instances in charge of it.
type completedMove struct {
	service   string
	from      uint16
	fence     uint64
	delegated bool
}

// runningMove is a move that a goroutine of this instance carries out.
type runningMove struct {
	cancel context.CancelFunc
}

// recordDecided remembers the moves that this instance decided. No other instance grants keys with the
// fences of these moves unless this one has done so.
func (lm *Manager) recordDecided(service string, from, to *shard.Map) {
	for _, r := range to.Ranges {
		if r.Fence > from.Fence && len(r.FormerOwners) > 0 {
			lm.decidedMoves[moveKey{service, r.From, r.Fence}] = struct{}{}
		}
	}
}

// orderRetryDelay is the delay between attempts to send a release or a first grant.
const orderRetryDelay = 150 * time.Millisecond

// requestedMoves returns the moves that the records ask for: the ranges that still have former owners.
func requestedMoves(view *View) map[moveKey]pendingMove {
	out := map[moveKey]pendingMove{}
	for service, m := range view.Maps {
		for _, r := range m.Ranges {
			if len(r.FormerOwners) > 0 {
				out[moveKey{service, r.From, r.Fence}] = pendingMove{service: service, Range: r, offset: view.End - 1}
			}
		}
	}
	return out
}

// pruneMoves cancels the moves that are overtaken or complete. An instance that stops leading continues
// the others: they are right as long as their record is the newest, and while the store is down no other
// instance can take them over. If they were canceled, keys that have reached their new owner would lose it after
// a lease, since only this instance knows that they have.
func (lm *Manager) pruneMoves(view *View) {
	if len(lm.moves)+len(lm.decidedMoves) == 0 {
		return
	}
	requested := requestedMoves(view)
	for key, m := range lm.moves {
		if _, found := requested[key]; !found {
			m.cancel()
			delete(lm.moves, key)
		}
	}
	for key := range lm.decidedMoves {
		if _, found := requested[key]; !found {
			delete(lm.decidedMoves, key)
		}
	}
}

// takeOverMoves returns a map with new decisions for the incomplete moves of an earlier leader, or nil if
// there are none. If a server keeps its name when it restarts, this instance cannot know whether the
// earlier leader has already granted the keys to a previous incarnation. So it uses a fence of
// its own: the first grant with a fence always comes from the instance that wrote the fence.
func (lm *Manager) takeOverMoves(service string, m *shard.Map, addresses map[string]string) *shard.Map {
	var next *shard.Map
	now := lm.Clock.Now()
	for i, r := range m.Ranges {
		key := moveKey{service, r.From, r.Fence}
		if len(r.FormerOwners) == 0 || lm.mayCarryOut(key, r) || now.Sub(lm.firstSeen[key]) < takeOverDelay {
			continue
		}
		if next == nil {
			next = m.Clone()
		}
		next.Reassign(i, r.Server, append(slices.Clone(r.FormerOwners), shard.Owner{Server: r.Server, Address: addresses[r.Server]}))
	}
	return next
}

// takeOverDelay is the minimum age of a move before another instance takes it over. It limits how often
// two instances that both take themselves for the leader overtake each other's moves.
const takeOverDelay = time.Second

// mayCarryOut reports whether this instance may carry out a move: it decided the move or is carrying it out
// already, or each incarnation of the new owner has a name of its own.
func (lm *Manager) mayCarryOut(key moveKey, r shard.Range) bool {
	_, decided := lm.decidedMoves[key]
	return decided || lm.moves[key] != nil || rules.NameOf(r.Server) == r.Server || !lm.guards.verifyConnection
}

// startMoves starts the requested moves that this instance may carry out and that are not running yet.
func (lm *Manager) startMoves(ctx context.Context) {
	for key, p := range requestedMoves(lm.view.get()) {
		if lm.moves[key] != nil || !lm.mayCarryOut(key, p.Range) {
			continue
		}
		moveCtx, cancel := context.WithCancel(ctx)
		lm.moves[key] = &runningMove{cancel: cancel}
		p.firstSeen = lm.firstSeen[key]
		_, p.decidedHere = lm.decidedMoves[key]
		delete(lm.decidedMoves, key)
		lm.jobs.Add(1)
		go func() {
			defer lm.jobs.Done()
			lm.carryOut(moveCtx, p)
		}()
	}
}

// pendingMove is a move that is to be carried out.
type pendingMove struct {
	service string
	shard.Range
	// offset is the offset of the record that asks for the move, or of a later one. firstSeen is when this
	// instance first knew of the move.
	offset    logpos.Pos
	firstSeen clock.Instant
	// decidedHere means that this instance decided the move and has not sent a grant with its fence yet.
	decidedHere bool
}

// carryOut ends the leases of the former owners and then grants the keys to the new one.
func (lm *Manager) carryOut(ctx context.Context, p pendingMove) {
	service, r := p.service, p.Range
	startedAt := time.Now()
	handover := ""
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, former := range r.FormerOwners {
		if !lm.guards.endOldLeases {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			h, how := lm.endLease(ctx, former, p)
			mu.Lock()
			defer mu.Unlock()
			if h != "" {
				handover = h
			}
			lm.Events.Record(event.StateChange, "right-ended", "service", service, "from", r.From, "to", r.To,
				"server", former.Server, "fence", r.Fence, "how", how, "took", time.Since(startedAt))
		}()
	}
	wg.Wait()
	if ctx.Err() != nil {
		return
	}
	lm.grantFirst(ctx, p, handover, startedAt)
}

// The ways in which endLease ends, as logged.
const (
	endReleased  = "released"
	endExpired   = "lapsed"
	endOvertaken = "move-overtaken"
)

// endLease blocks until a former owner cannot hold the range any more: it has released the range or its
// lease has expired. It also returns when ctx is done because the move was overtaken.
func (lm *Manager) endLease(ctx context.Context, former shard.Owner, p pendingMove) (handover, how string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	expired := make(chan struct{})
	lm.jobs.Add(1)
	go func() {
		defer lm.jobs.Done()
		if lm.awaitExpiry(ctx, p) {
			close(expired)
		}
	}()
	released := make(chan string, 1)
	if former.Address != "" {
		lm.jobs.Add(1)
		go func() {
			defer lm.jobs.Done()
			lm.release(ctx, former, p.Range, released)
		}()
	}
	select {
	case handover = <-released:
		return handover, endReleased
	case <-expired:
		return "", endExpired
	case <-ctx.Done():
		return "", endOvertaken
	}
}

// release asks a former owner to release a range, and retries until it answers.
//
// The address of an ended server may be reassigned to a server of a service without keys, which refuses a
// release with status 400, not 421. Without addressReassigned the release of each of some hundred ranges
// would be retried, and releases would be most of the requests to that server.
func (lm *Manager) release(ctx context.Context, former shard.Owner, r shard.Range, released chan<- string) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		reply, err := lm.LeaseClient.Release(callCtx, former, Grant{From: r.From, To: r.To, Fence: r.Fence})
		cancel()
		lm.observeReply(former.Server, reply)
		if err == nil || errors.Is(err, ErrServerGone) || errors.Is(err, ErrRefused) && lm.addressReassigned(former) {
			released <- reply.Handover
			return
		}
		if errors.Is(err, ErrNoAnswer) && ctx.Err() == nil {
			lm.contacts.suspect(former.Server)
		}
		worker.Sleep(ctx, orderRetryDelay)
	}
}

// addressReassigned reports whether another server has the address of a former owner. A server that holds
// keys never refuses a release, and an address is reassigned only after its server has ended.
func (lm *Manager) addressReassigned(former shard.Owner) bool {
	for id, s := range lm.Servers().All() {
		if s.Address == former.Address && rules.NameOf(id) != rules.NameOf(former.Server) {
			return true
		}
	}
	return false
}

// awaitExpiry blocks until every grant that was sent because of an older record has expired, and reports
// whether it did so before ctx was done. That is one lease after the last instance has confirmed the record
// or may no longer act on an older view. Once at least half of the instances, in all and in each failure
// domain, have confirmed the record, the others may act on an older view for the contact timeout of the
// roster only.
func (lm *Manager) awaitExpiry(ctx context.Context, p pendingMove) bool {
	staleUntil := p.firstSeen.Add(MaxViewAge)
	for lm.Clock.Now().Before(staleUntil) {
		since := time.Now().Add(-MaxViewAge)
		if !lm.guards.awaitConfirmation || len(lm.Roster.Unconfirmed(p.offset, since)) == 0 {
			staleUntil = lm.Clock.Now()
			break
		}
		if lm.Roster.HalfConfirmed(p.offset, since) {
			staleUntil = min(staleUntil, lm.Clock.Now().Add(time.Duration(float64(lm.Roster.ContactTimeout())*maxClockDrift)))
		}
		if !worker.Sleep(ctx, tickInterval) {
			return false
		}
	}
	if !lm.guards.awaitExpiry {
		return true
	}
	return lm.sleepUntil(ctx, staleUntil.Add(time.Duration(float64(leaseDuration)*maxClockDrift)+maxTransitTime))
}

// sleepUntil blocks until the lease clock reaches an instant, and reports whether it did so before ctx was done.
func (lm *Manager) sleepUntil(ctx context.Context, until clock.Instant) bool {
	for {
		left := until.Sub(lm.Clock.Now())
		if left <= 0 {
			return true
		}
		if !worker.Sleep(ctx, left) {
			return false
		}
	}
}

// grantFirst sends the first grant to the new owner until it answers, and then renews the lease until a
// record states that the move is complete. No other instance renews it before that.
//
// If the new owner does not answer this instance, the move is recorded as complete without a first grant. The former
// owners have lost their leases, so that the instances in charge of the new owner may grant it the keys as if they
// renewed them. If none of them reaches it either, it is lost and the keys move on.
func (lm *Manager) grantFirst(ctx context.Context, p pendingMove, handover string, startedAt time.Time) {
	service, r, firstGrant := p.service, p.Range, p.decidedHere
	g := Grant{From: r.From, To: r.To, Fence: r.Fence, Lease: leaseDuration, Handover: handover}
	granted, fenced, failures := false, false, 0
	delay := orderRetryDelay
	for ctx.Err() == nil {
		s, found := lm.Servers().Get(r.Server)
		if !found {
			if !worker.Sleep(ctx, orderRetryDelay) {
				return
			}
			continue
		}
		renewer := lm.renewer(s)
		err := renewer.send(ctx, g, firstGrant, func() bool { return lm.isCurrent(service, r) })
		firstGrant = firstGrant && errors.Is(err, ErrUnverified)
		switch {
		case err == nil && !granted:
			granted, delay = true, renewInterval
			lm.Events.Record(event.StateChange, "moved", "service", service, "from", r.From, "to", r.To, "server", r.Server,
				"fence", r.Fence, "handover", handover != "", "took", time.Since(startedAt))
			lm.completions <- completedMove{service: service, from: r.From, fence: r.Fence}
		case err != nil && !errors.Is(err, context.Canceled):
			lm.Events.Record(event.StateChange, "first-grant-failed", "server", r.Server, "fence", r.Fence, "error", err)
		}
		if err == nil {
			renewer.keepSpare(ctx)
		}
		if errors.Is(err, ErrNoAnswer) && !errors.Is(err, context.Canceled) {
			failures++
			lm.contacts.suspect(r.Server)
			if failures == maxRenewalFailures && !granted {
				lm.Events.Record(event.StateChange, "first-grant-delegated", "service", service, "from", r.From, "to", r.To, "server", r.Server, "fence", r.Fence)
				lm.completions <- completedMove{service: service, from: r.From, fence: r.Fence, delegated: true}
			}
		}
		// The server may have sent the answer to an earlier grant once more. A second refusal is its answer to this one.
		if errors.Is(err, ErrFenced) && fenced {
			return
		}
		fenced = errors.Is(err, ErrFenced)
		if errors.Is(err, context.Canceled) {
			// A later record that changed other keys of the server canceled the grant. The move is still
			// right, and its keys have no owner until it is granted, so retry without orderRetryDelay. If a later
			// record has overtaken the move itself, pruneMoves will end it.
			if lm.isCurrent(service, r) {
				worker.Sleep(ctx, verifyInterval)
			} else {
				worker.Sleep(ctx, tickInterval)
			}
			continue
		}
		worker.Sleep(ctx, delay)
	}
}

// isCurrent reports whether the view still gives a range to the same owner with the same fence.
func (lm *Manager) isCurrent(service string, r shard.Range) bool {
	m := lm.view.get().Maps[service]
	if m == nil {
		return false
	}
	i := m.Find(r.From)
	return i >= 0 && m.Ranges[i].Fence == r.Fence && m.Ranges[i].Server == r.Server
}
