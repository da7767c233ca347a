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

// settlement is a move that is complete: the new owner has the keys, and no other does.
type settlement struct {
	service string
	from    uint16
	fence   uint64
}

// move is the change of owner of one range in progress.
type move struct {
	cancel context.CancelFunc
}

// own keeps the moves that this instance decided: nobody else has granted anything by their fences
// as long as it has not done so itself.
func (h *Manager) own(service string, from, to *shard.Map) {
	for _, r := range to.Ranges {
		if r.Fence > from.Fence && len(r.FormerOwners) > 0 {
			h.owned[moveKey{service, r.From, r.Fence}] = struct{}{}
		}
	}
}

// grantRetry is the pause between attempts to grant keys to their new owner.
const grantRetry = 150 * time.Millisecond

// wanted returns the moves that the records ask for.
func wanted(known *View) map[moveKey]change {
	out := map[moveKey]change{}
	for service, m := range known.Maps {
		for _, r := range m.Ranges {
			if len(r.FormerOwners) > 0 {
				out[moveKey{service, r.From, r.Fence}] = change{service: service, Range: r, offset: known.End - 1}
			}
		}
	}
	return out
}

// prune ends the moves that are overtaken or complete. An instance that leads no longer goes on
// with the others: they are right as long as their record stands, and while the store is down
// nobody else can take them over. Keys that had come to their new owner would lose it after a
// lease, since only who moved them knows that they did.
func (h *Manager) prune(known *View) {
	if len(h.moves)+len(h.owned) == 0 {
		return
	}
	asked := wanted(known)
	for key, m := range h.moves {
		if _, found := asked[key]; !found {
			m.cancel()
			delete(h.moves, key)
		}
	}
	for key := range h.owned {
		if _, found := asked[key]; !found {
			delete(h.owned, key)
		}
	}
}

// adoptMoves returns a map in which this instance has decided the moves anew that another one, which led
// before, has not completed; nil if there are none. Who takes over a move of a server that keeps its
// name cannot know whether the other has granted the keys to an earlier life, so it takes a fence of
// its own: each fence is granted first by the instance that wrote it.
func (h *Manager) adoptMoves(service string, m *shard.Map, addresses map[string]string) *shard.Map {
	var next *shard.Map
	now := h.Clock.Now()
	for i, r := range m.Ranges {
		key := moveKey{service, r.From, r.Fence}
		if len(r.FormerOwners) == 0 || h.mine(key, r) || now.Sub(h.seen[key]) < adoptAfter {
			continue
		}
		if next == nil {
			next = m.Clone()
		}
		next.Reassign(i, r.Server, append(slices.Clone(r.FormerOwners), shard.Owner{Server: r.Server, Address: addresses[r.Server]}))
	}
	return next
}

// adoptAfter is how old a move must be before another instance decides it anew: two that both take
// themselves for the leader overtake one another no more often.
const adoptAfter = time.Second

// mine reports whether this instance may carry out a move.
func (h *Manager) mine(key moveKey, r shard.Range) bool {
	_, owned := h.owned[key]
	return owned || h.moves[key] != nil || rules.NameOf(r.Server) == r.Server || !h.guards.proving
}

// move starts the moves that the records ask for.
func (h *Manager) move(ctx context.Context) {
	for key, c := range wanted(h.know.get()) {
		if h.moves[key] != nil || !h.mine(key, c.Range) {
			continue
		}
		inner, cancel := context.WithCancel(ctx)
		h.moves[key] = &move{cancel: cancel}
		c.seen = h.seen[key]
		_, c.own = h.owned[key]
		delete(h.owned, key)
		h.jobs.Add(1)
		go func() {
			defer h.jobs.Done()
			h.carryOut(inner, c)
		}()
	}
}

// change is a move as a record asks for it.
type change struct {
	service string
	shard.Range
	// offset is that of the record or of a later one, seen the time since when it is known.
	offset int64
	seen   clock.Instant
	// own says that this instance decided it and has granted nothing by its fence.
	own bool
}

// carryOut ends the rights of the owners of old and grants the keys to the new one.
func (h *Manager) carryOut(ctx context.Context, c change) {
	service, r := c.service, c.Range
	begun := time.Now()
	handover := ""
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, b := range r.FormerOwners {
		if !h.guards.ending {
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			got, how := h.end(ctx, b, c)
			mu.Lock()
			defer mu.Unlock()
			if got != "" {
				handover = got
			}
			h.Events.Note(event.Belief, "right-ended", "service", service, "from", r.From, "to", r.To,
				"server", b.Server, "fence", r.Fence, "how", how, "took", time.Since(begun))
		}()
	}
	all.Wait()
	if ctx.Err() != nil {
		return
	}
	h.grantFirst(ctx, c, handover, begun)
}

// The ways in which a right ends.
const (
	endReleased  = "released"
	endLapsed    = "lapsed"
	endAbandoned = "move-overtaken"
)

// end returns when an owner of old can have no right to a range any more.
func (h *Manager) end(ctx context.Context, b shard.Owner, c change) (handover, how string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lapsed := make(chan struct{})
	h.jobs.Add(1)
	go func() {
		defer h.jobs.Done()
		if h.awaitLapse(ctx, c) {
			close(lapsed)
		}
	}()
	released := make(chan string, 1)
	if b.Address != "" {
		h.jobs.Add(1)
		go func() {
			defer h.jobs.Done()
			h.release(ctx, b, c.Range, released)
		}()
	}
	select {
	case handover = <-released:
		return handover, endReleased
	case <-lapsed:
		return "", endLapsed
	case <-ctx.Done():
		return "", endAbandoned
	}
}

// release asks an owner of old to give a range up until it answers.
//
// Addresses of servers that have ended go to others, also of services that know no keys: those refuse
// the order with 400, not 421. Asked again for each of some hundred ranges, releases would be most of what
// arrives at them.
func (h *Manager) release(ctx context.Context, b shard.Owner, r shard.Range, released chan<- string) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, releaseTimeout)
		handover, err := h.LeaseClient.Release(call, b, Grant{From: r.From, To: r.To, Fence: r.Fence})
		cancel()
		if err == nil || errors.Is(err, ErrServerGone) || errors.Is(err, ErrRefused) && h.replaced(b) {
			released <- handover
			return
		}
		duty.Pause(ctx, grantRetry)
	}
}

// replaced reports whether another server has the address of an owner of old. A holder of keys refuses
// no release, and an address is given on only after its server has ended.
func (h *Manager) replaced(b shard.Owner) bool {
	for id, s := range h.Servers() {
		if s.Address == b.Address && rules.NameOf(id) != rules.NameOf(b.Server) {
			return true
		}
	}
	return false
}

// awaitLapse returns true when every grant that an older record gave rise to has run out: once
// all instances have confirmed the record, or may not act on older ones any more, the lease
// that the last of them may have granted. When a majority has confirmed it the others may act for
// roster.ContactTime only.
func (h *Manager) awaitLapse(ctx context.Context, c change) bool {
	last := c.seen.Add(knowledgeTime)
	for h.Clock.Now().Before(last) {
		since := time.Now().Add(-knowledgeTime)
		if !h.guards.confirming || len(h.Roster.Unconfirmed(c.offset, since)) == 0 {
			last = h.Clock.Now()
			break
		}
		if h.Roster.HalfConfirmed(c.offset, since) {
			last = min(last, h.Clock.Now().Add(time.Duration(float64(h.Roster.ContactTimeout())*drift)))
		}
		if !duty.Pause(ctx, tickEvery) {
			return false
		}
	}
	if !h.guards.lapsing {
		return true
	}
	return h.sleepUntil(ctx, last.Add(time.Duration(float64(leaseTime)*drift)+flightTime))
}

// sleepUntil waits for an instant of the lease clock.
func (h *Manager) sleepUntil(ctx context.Context, until clock.Instant) bool {
	for {
		left := until.Sub(h.Clock.Now())
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
func (h *Manager) grantFirst(ctx context.Context, c change, handover string, begun time.Time) {
	service, r, first := c.service, c.Range, c.own
	g := Grant{From: r.From, To: r.To, Fence: r.Fence, Lease: leaseTime, Handover: handover}
	granted := false
	wait := grantRetry
	for ctx.Err() == nil {
		s, found := h.Servers()[r.Server]
		if !found {
			if !duty.Pause(ctx, grantRetry) {
				return
			}
			continue
		}
		err := h.renewer(s).send(ctx, g, first, func() bool { return h.current(service, r) })
		first = first && errors.Is(err, ErrUnverified)
		switch {
		case err == nil && !granted:
			granted, wait = true, renewEvery
			h.Events.Note(event.Belief, "moved", "service", service, "from", r.From, "to", r.To, "server", r.Server,
				"fence", r.Fence, "handover", handover != "", "took", time.Since(begun))
			h.settled <- settlement{service, r.From, r.Fence}
		case err != nil:
			h.Events.Note(event.Belief, "first-grant-failed", "server", r.Server, "fence", r.Fence, "error", err)
		}
		if errors.Is(err, ErrFenced) {
			return
		}
		if errors.Is(err, context.Canceled) {
			// A later record ended the order, since it changed other keys of the server. Nothing is wrong with
			// this move, and its keys have no owner until it is granted.
			duty.Pause(ctx, proofPause)
			continue
		}
		duty.Pause(ctx, wait)
	}
}

// current reports whether a move is still what the newest record says.
func (h *Manager) current(service string, r shard.Range) bool {
	m := h.know.get().Maps[service]
	if m == nil {
		return false
	}
	i := m.Find(r.From)
	return i >= 0 && m.Ranges[i].Fence == r.Fence && m.Ranges[i].Server == r.Server
}
