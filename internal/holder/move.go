package holder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"example.org/mustardring/internal/duty"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// moveKey identifies a move: a fence is used once.
type moveKey struct {
	service string
	from    uint16
	fence   uint64
}

// completedMove is a move that is complete: the new owner has the keys, and no other does.
type completedMove struct {
	service string
	from    uint16
	fence   uint64
}

// runningMove is the change of owner of one range in progress.
type runningMove struct {
	cancel context.CancelFunc
}

// recordDecided keeps the moves that this instance decided: nobody else has granted anything by their fences
// as long as it has not done so itself.
func (lm *Manager) recordDecided(service string, from, to *shard.Map) {
	for _, r := range to.Ranges {
		if r.Fence > from.Fence && len(r.Before) > 0 {
			lm.decidedMoves[moveKey{service, r.From, r.Fence}] = struct{}{}
		}
	}
}

// orderRetryDelay is the pause between attempts to grant keys to their new owner.
const orderRetryDelay = 150 * time.Millisecond

// requestedMoves returns the moves that the records ask for.
func requestedMoves(known *View) map[moveKey]pendingMove {
	out := map[moveKey]pendingMove{}
	for service, m := range known.Maps {
		for _, r := range m.Ranges {
			if len(r.Before) > 0 {
				out[moveKey{service, r.From, r.Fence}] = pendingMove{service: service, Range: r, offset: known.End - 1}
			}
		}
	}
	return out
}

// pruneMoves ends the moves that are overtaken or complete. An instance that leads no longer goes on
// with the others: they are right as long as their record stands, and while the store is down
// nobody else can take them over. Keys that had come to their new owner would lose it after a
// lease, since only who moved them knows that they did.
func (lm *Manager) pruneMoves(known *View) {
	if len(lm.moves)+len(lm.decidedMoves) == 0 {
		return
	}
	asked := requestedMoves(known)
	for key, m := range lm.moves {
		if _, found := asked[key]; !found {
			m.cancel()
			delete(lm.moves, key)
		}
	}
	for key := range lm.decidedMoves {
		if _, found := asked[key]; !found {
			delete(lm.decidedMoves, key)
		}
	}
}

// takeOverMoves returns a map in which this instance has decided the moves anew that another one, which led
// before, has not completed; nil if there are none. Who takes over a move of a server that keeps its
// name cannot know whether the other has granted the keys to an earlier life, so it takes a fence of
// its own: each fence is granted first by the instance that wrote it.
func (lm *Manager) takeOverMoves(service string, m *shard.Map, addresses map[string]string) *shard.Map {
	var next *shard.Map
	now := lm.Clock.Now()
	for i, r := range m.Ranges {
		key := moveKey{service, r.From, r.Fence}
		if len(r.Before) == 0 || lm.mayCarryOut(key, r) || now.Sub(lm.firstSeen[key]) < takeOverDelay {
			continue
		}
		if next == nil {
			next = m.Clone()
		}
		next.Move(i, r.Server, append(slices.Clone(r.Before), shard.Holder{Server: r.Server, Address: addresses[r.Server]}))
	}
	return next
}

// takeOverDelay is how old a move must be before another instance decides it anew: two that both take
// themselves for the leader overtake one another no more often.
const takeOverDelay = time.Second

// mayCarryOut reports whether this instance may carry out a move.
func (lm *Manager) mayCarryOut(key moveKey, r shard.Range) bool {
	_, owned := lm.decidedMoves[key]
	return owned || lm.moves[key] != nil || rules.NameOf(r.Server) == r.Server || !lm.guards.verifyConnection
}

// startMoves starts the moves that the records ask for.
func (lm *Manager) startMoves(ctx context.Context) {
	for key, c := range requestedMoves(lm.view.get()) {
		if lm.moves[key] != nil || !lm.mayCarryOut(key, c.Range) {
			continue
		}
		inner, cancel := context.WithCancel(ctx)
		lm.moves[key] = &runningMove{cancel: cancel}
		c.firstSeen = lm.firstSeen[key]
		_, c.decidedHere = lm.decidedMoves[key]
		delete(lm.decidedMoves, key)
		lm.jobs.Add(1)
		go func() {
			defer lm.jobs.Done()
			lm.carryOut(inner, c)
		}()
	}
}

// pendingMove is a move as a record asks for it.
type pendingMove struct {
	service string
	shard.Range
	// offset is that of the record or of a later one, seen the time since when it is known.
	offset    int64
	firstSeen clock.Instant
	// decidedHere says that this instance decided it and has granted nothing by its fence.
	decidedHere bool
}

// carryOut ends the rights of the owners of old and grants the keys to the new one.
func (lm *Manager) carryOut(ctx context.Context, c pendingMove) {
	service, r := c.service, c.Range
	begun := time.Now()
	handover := ""
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, b := range r.Before {
		if !lm.guards.endOldLeases {
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			got, how := lm.endLease(ctx, b, c)
			mu.Lock()
			defer mu.Unlock()
			if got != "" {
				handover = got
			}
			lm.Events.Note(event.Belief, "right-ended", "service", service, "from", r.From, "to", r.To,
				"server", b.Server, "fence", r.Fence, "how", how, "took", time.Since(begun))
		}()
	}
	all.Wait()
	if ctx.Err() != nil {
		return
	}
	lm.grantFirst(ctx, c, handover, begun)
}

// The ways in which a right ends.
const (
	endReleased  = "released"
	endExpired   = "lapsed"
	endOvertaken = "move-overtaken"
)

// endLease returns when an owner of old can have no right to a range any more.
func (lm *Manager) endLease(ctx context.Context, b shard.Holder, c pendingMove) (handover, how string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lapsed := make(chan struct{})
	lm.jobs.Add(1)
	go func() {
		defer lm.jobs.Done()
		if lm.awaitExpiry(ctx, c) {
			close(lapsed)
		}
	}()
	released := make(chan string, 1)
	if b.Address != "" {
		lm.jobs.Add(1)
		go func() {
			defer lm.jobs.Done()
			lm.release(ctx, b, c.Range, released)
		}()
	}
	select {
	case handover = <-released:
		return handover, endReleased
	case <-lapsed:
		return "", endExpired
	case <-ctx.Done():
		return "", endOvertaken
	}
}

// release asks an owner of old to give a range up until it answers.
//
// Addresses of servers that have ended go to others, also of services that know no keys: those refuse
// the order with 400, not 421. Asked again for each of some hundred ranges, releases would be most of what
// arrives at them.
func (lm *Manager) release(ctx context.Context, b shard.Holder, r shard.Range, released chan<- string) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, releaseTimeout)
		handover, err := lm.LeaseClient.Release(call, b, Grant{From: r.From, To: r.To, Fence: r.Fence})
		cancel()
		if err == nil || errors.Is(err, ErrServerGone) || errors.Is(err, ErrRefused) && lm.addressReassigned(b) {
			released <- handover
			return
		}
		duty.Pause(ctx, orderRetryDelay)
	}
}

// addressReassigned reports whether another server has the address of an owner of old. A holder of keys refuses
// no release, and an address is given on only after its server has ended.
func (lm *Manager) addressReassigned(b shard.Holder) bool {
	for id, s := range lm.Servers() {
		if s.Address == b.Address && rules.NameOf(id) != rules.NameOf(b.Server) {
			return true
		}
	}
	return false
}

// awaitExpiry returns true when every grant that an older record gave rise to has run out: once
// all instances have confirmed the record, or may not act on older ones any more, the lease
// that the last of them may have granted. When a majority has confirmed it the others may act for
// roster.ContactTime only.
func (lm *Manager) awaitExpiry(ctx context.Context, c pendingMove) bool {
	last := c.firstSeen.Add(maxViewAge)
	for lm.Clock.Now().Before(last) {
		since := time.Now().Add(-maxViewAge)
		if !lm.guards.awaitConfirmation || len(lm.Roster.Unconfirmed(c.offset, since)) == 0 {
			last = lm.Clock.Now()
			break
		}
		if lm.Roster.Confirmed(c.offset, since) {
			last = min(last, lm.Clock.Now().Add(time.Duration(float64(lm.Roster.ContactTime())*maxClockDrift)))
		}
		if !duty.Pause(ctx, tickInterval) {
			return false
		}
	}
	if !lm.guards.awaitExpiry {
		return true
	}
	return lm.sleepUntil(ctx, last.Add(time.Duration(float64(leaseDuration)*maxClockDrift)+maxTransitTime))
}

// sleepUntil waits for an instant of the lease clock.
func (lm *Manager) sleepUntil(ctx context.Context, until clock.Instant) bool {
	for {
		left := until.Sub(lm.Clock.Now())
		if left <= 0 {
			return true
		}
		if !duty.Pause(ctx, left) {
			return false
		}
	}
}

// grantFirst grants a range to its new owner until the owner answers, and from then on renews
// the grant until the record says that the move is complete: before that nobody else does.
func (lm *Manager) grantFirst(ctx context.Context, c pendingMove, handover string, begun time.Time) {
	service, r, first := c.service, c.Range, c.decidedHere
	g := Grant{From: r.From, To: r.To, Fence: r.Fence, Lease: leaseDuration, Handover: handover}
	granted := false
	wait := orderRetryDelay
	for ctx.Err() == nil {
		s, found := lm.Servers()[r.Server]
		if !found {
			if !duty.Pause(ctx, orderRetryDelay) {
				return
			}
			continue
		}
		err := lm.renewer(s).send(ctx, g, first, func() bool { return lm.isCurrent(service, r) })
		first = first && errors.Is(err, ErrUnverified)
		switch {
		case err == nil && !granted:
			granted, wait = true, renewInterval
			lm.Events.Note(event.Belief, "moved", "service", service, "from", r.From, "to", r.To, "server", r.Server,
				"fence", r.Fence, "handover", handover != "", "took", time.Since(begun))
			lm.completions <- completedMove{service, r.From, r.Fence}
		case err != nil:
			lm.Events.Note(event.Belief, "first-grant-failed", "server", r.Server, "fence", r.Fence, "error", err)
		}
		if errors.Is(err, ErrFenced) {
			return
		}
		if errors.Is(err, context.Canceled) {
			// A later record ended the order, since it changed other keys of the server. Nothing is wrong with
			// this move, and its keys have no owner until it is granted.
			duty.Pause(ctx, verifyInterval)
			continue
		}
		duty.Pause(ctx, wait)
	}
}

// isCurrent reports whether a move is still what the newest record says.
func (lm *Manager) isCurrent(service string, r shard.Range) bool {
	m := lm.view.get().Maps[service]
	if m == nil {
		return false
	}
	i := m.Find(r.From)
	return i >= 0 && m.Ranges[i].Fence == r.Fence && m.Ranges[i].Server == r.Server
}
