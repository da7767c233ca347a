package holder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/duty"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// Manager is the duty that keeps rights.
type Manager struct {
	Deps
	guards   guards
	know     *knowledge
	updates  chan follow.Update
	written  chan OwnerChange
	enrolled chan []follow.Record
	adopted  chan *View
	// settled takes moves that are complete.
	settled chan settlement
	jobs    sync.WaitGroup

	reached atomic.Bool
	leading atomic.Bool

	mu        sync.Mutex
	renewers  map[string]*renewer
	confirmed int64
	stopping  bool

	// The rest belongs to the goroutine of Run.
	moves    map[moveKey]*move
	owned    map[moveKey]struct{}
	finished []settlement
	// seen holds since when the moves in progress are known.
	seen      map[moveKey]clock.Instant
	settleAt  time.Time
	startedAt time.Time
	clearedAt time.Time
	plannedAt time.Time
	leads     bool
	// leader is the instance that was last taken for the leader, empty for none.
	leader    string
	gathering map[string]gathering
	// pauseUntil keeps a failed write from being repeated at once.
	pauseUntil time.Time
	// present holds the servers as of the last decision, left those that were there before.
	present map[string]rules.Server
	left    map[string]rules.Server
}

// New returns a holder.
func New(d Deps) *Manager {
	return &Manager{
		Deps: d, guards: allGuards, know: newKnowledge(), updates: make(chan follow.Update, 16),
		written: make(chan OwnerChange, 64), enrolled: make(chan []follow.Record, 64), adopted: make(chan *View, 4), settled: make(chan settlement, 256), renewers: map[string]*renewer{},
		moves: map[moveKey]*move{}, owned: map[moveKey]struct{}{}, gathering: map[string]gathering{}, left: map[string]rules.Server{},
	}
}

// StoreUpdates takes the updates of the topic of owners.
func (h *Manager) StoreUpdates() chan<- follow.Update { return h.updates }

// View returns what is known of the owners.
func (h *Manager) View() *View { return h.know.get() }

// ConfirmedOffset returns the offset that a heartbeat confirms.
func (h *Manager) ConfirmedOffset() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed
}

// StoreOK reports whether the store answered the last call about owners.
func (h *Manager) StoreOK() bool { return h.reached.Load() }

// Leads reports whether this instance decides about owners.
func (h *Manager) Leads() bool { return h.leading.Load() }

// Failing returns the servers that do not answer renewals.
func (h *Manager) Failing() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var out []string
	for id, r := range h.renewers {
		if r.failing(now) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Stop ends renewals: the instance is about to end, and others take over.
func (h *Manager) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
}

func (h *Manager) stopped() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopping
}

// Run keeps rights until the context ends.
func (h *Manager) Run(ctx context.Context) (err error) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	renewals := duty.New(ctx, 1)
	renewals.Go("renewals", h.keepRenewing)
	defer h.jobs.Wait()
	defer func() { err = errors.Join(err, renewals.Wait(0)) }()
	h.startedAt = time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case u := <-h.updates:
			h.fold(u)
		case e := <-h.written:
			h.extend(e)
		case e := <-h.enrolled:
			h.enroll(e)
		case o := <-h.adopted:
			h.adopt(o)
		case s := <-h.settled:
			h.finish(s)
		case <-ticker.C:
		}
		if h.stopped() {
			continue
		}
		now := time.Now()
		if up := now.Sub(h.startedAt); up >= listenMost || up >= listenTime && h.Roster.HalfOfDomainAlive() {
			h.lead(ctx, now)
		}
	}
}

// OwnerChange is a record that another instance wrote.
type OwnerChange struct {
	Service string
	Offset  int64
	Fence   uint64
	Changes []shard.Range
}

// OwnerChanges takes the records that other instances wrote.
func (h *Manager) OwnerChanges() chan<- OwnerChange { return h.written }

// extend takes in a record that another instance wrote.
func (h *Manager) extend(w OwnerChange) {
	before := h.know.get()
	if w.Offset < before.End {
		return
	}
	if !h.know.extend(w.Service, w.Offset, w.Fence, w.Changes) {
		h.RereadOwners()
		return
	}
	h.follow(before)
}

// follow does what follows from knowing more than before.
func (h *Manager) follow(before *View) {
	after := h.know.get()
	h.see(after)
	h.enlist(before, after)
	h.OwnersChanged()
	h.confirm(before, after)
}

// PeerViews takes all that another instance knows of the owners.
//
// An instance that the store refuses hears of owners by message only. Once a message was missing, or
// a record was written that no message tells of, it stayed behind until the store let it in again:
// requests for moved keys failed there, and each move from a silent server waited twelve seconds for
// it. So it asks one that knows more.
func (h *Manager) PeerViews() chan<- *View { return h.adopted }

// adopt takes in all that another instance knows.
func (h *Manager) adopt(o *View) {
	before := h.know.get()
	if !h.know.adopt(o) {
		return
	}
	h.Events.Note(event.Belief, "owners-adopted", "offset", o.End, "known-before", before.End)
	h.follow(before)
}

// see notes since when each move is known. Its record was in the store by then, so that the
// time after which nobody can act on an older one counts from there, whoever leads meanwhile.
func (h *Manager) see(known *View) {
	now := h.Clock.Now()
	seen := make(map[moveKey]clock.Instant)
	for service, m := range known.Maps {
		for _, r := range m.Ranges {
			if len(r.FormerOwners) == 0 {
				continue
			}
			key := moveKey{service, r.From, r.Fence}
			since, before := h.seen[key]
			if !before {
				since = now
			}
			seen[key] = since
		}
	}
	h.seen = seen
}

// finish takes in that a move is complete.
func (h *Manager) finish(s settlement) {
	if len(h.finished) == 0 {
		h.settleAt = time.Now().Add(settleTime)
	}
	h.finished = append(h.finished, s)
	h.MoveCompleted(s.service, s.from, s.fence)
}

// fold takes in news of the owners.
func (h *Manager) fold(u follow.Update) {
	if (u.Err == nil) != h.reached.Load() {
		h.reached.Store(u.Err == nil)
		if u.Err == nil {
			h.Events.Note(event.Belief, "owners-regained", "offset", u.End)
		} else {
			h.Events.Note(event.Belief, "owners-unread", "error", u.Err, "knowledge-age", time.Duration(h.know.age(h.Clock.Now())))
		}
	}
	if u.Err != nil {
		return
	}
	before := h.know.get()
	changed, faults := h.know.fold(u)
	for _, err := range faults {
		h.Events.Note(event.Belief, "owners-malformed", "error", err)
	}
	if !changed {
		return
	}
	h.follow(before)
	if h.leads {
		h.tellRegister(before.End, u)
	}
}

// enlist brings the roster up to the register.
func (h *Manager) enlist(before, after *View) {
	now := time.Now()
	for name, e := range after.Instances {
		if old, known := before.Instances[name]; !known || old != e {
			h.Roster.Put(name, e, now)
		}
	}
	for name := range before.Instances {
		if _, there := after.Instances[name]; !there {
			h.Roster.Remove(name, now)
		}
	}
}

// HandleHeartbeat takes in the word of another instance that nothing follows the newest record it knows.
func (h *Manager) HandleHeartbeat(b roster.Heartbeat) {
	if b.KnownAge >= 0 && b.EchoAt > 0 {
		h.know.refresh(b.Known, clock.Instant(b.EchoAt), time.Duration(b.KnownAge)*time.Millisecond)
	}
}

// Age returns how old the knowledge is that no owner has changed.
func (h *Manager) Age() time.Duration { return time.Duration(h.know.age(h.Clock.Now())) }

// Registered reports whether this life of the instance stands in the register, as far as is
// known.
func (h *Manager) Registered() bool { return h.know.get().registered(h.Name, h.Incarnation) }

// confirm ends the orders that the new record contradicts, and then lets the heartbeat say so.
func (h *Manager) confirm(before, after *View) {
	var stale []*renewer
	h.mu.Lock()
	for id, r := range h.renewers {
		if !slices.EqualFunc(ranges(before, r.server), ranges(after, r.server), sameRight) {
			stale = append(stale, h.renewers[id])
		}
	}
	h.mu.Unlock()
	h.jobs.Add(1)
	go func() {
		defer h.jobs.Done()
		for _, r := range stale {
			if h.guards.stopping {
				r.stop()
			}
		}
		h.mu.Lock()
		h.confirmed = max(h.confirmed, after.End)
		h.mu.Unlock()
		h.SendHeartbeat()
	}()
}

// sameRight reports whether two ranges are the same right.
func sameRight(a, b shard.Range) bool {
	return a.From == b.From && a.To == b.To && a.Fence == b.Fence && len(a.FormerOwners) == len(b.FormerOwners)
}

func ranges(o *View, s rules.Server) []shard.Range {
	if m := o.Maps[s.Service]; m != nil {
		return m.RangesOf(s.ID)
	}
	return nil
}

// charges are the servers that fall to this instance, as of a time and of what decides it.
type charges struct {
	renewers []*renewer
	rest     basis
	at       time.Time
}

// keepRenewing starts renewals until the context ends. It is a duty of its own: a decision about owners waits for the
// store to write it down, and leases would run out meanwhile.
func (h *Manager) keepRenewing(ctx context.Context) error {
	var c charges
	for duty.Pause(ctx, tickEvery) {
		if !h.stopped() {
			h.renew(ctx, &c, time.Now())
		}
	}
	return ctx.Err()
}

// renew starts the renewals that are due and fall to this instance.
func (h *Manager) renew(ctx context.Context, c *charges, now time.Time) {
	owners := h.know.get()
	if rest := h.chargesRestOn(owners, now); rest != c.rest && (owners != c.rest.owners || now.Sub(c.at) >= chargeEvery) {
		*c = charges{renewers: h.charge(owners, now), rest: rest, at: now}
	}
	for _, r := range c.renewers {
		r.start(ctx, now)
	}
}

// basis is what decides which servers fall to this instance.
type basis struct {
	owners    *View
	directory uint64
	ranks     uint64
}

func (h *Manager) chargesRestOn(owners *View, now time.Time) basis {
	return basis{owners: owners, directory: h.DirectoryVersion(), ranks: h.Roster.RankVersion(now)}
}

// charge returns the renewers of the servers that fall to this instance.
func (h *Manager) charge(known *View, now time.Time) []*renewer {
	servers := h.Servers()
	var out []*renewer
	for service, m := range known.Maps {
		for id := range owners(m) {
			s, found := servers[id]
			if found && s.Service == service && h.Roster.Responsible(s.ID, s.Domain, now) {
				out = append(out, h.renewer(s))
			}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, r := range h.renewers {
		if _, there := servers[id]; !there && r.idle() {
			delete(h.renewers, id)
		}
	}
	return out
}

// owners returns the servers of a map.
func owners(m *shard.Map) map[string]struct{} {
	out := map[string]struct{}{}
	for _, r := range m.Ranges {
		out[r.Server] = struct{}{}
	}
	return out
}

func (h *Manager) renewer(s rules.Server) *renewer {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.renewers[s.ID]
	if r == nil || r.server.Address != s.Address {
		r = &renewer{holder: h, server: s, sending: make(chan struct{}, 1), renewedAt: time.Now()}
		h.renewers[s.ID] = r
	}
	return r
}

// start begins a round if one is due.
func (r *renewer) start(ctx context.Context, now time.Time) {
	if !r.due(now) {
		return
	}
	r.holder.jobs.Add(1)
	go func() {
		defer r.holder.jobs.Done()
		r.round(ctx)
	}()
}
