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
	guards          guards
	view            *localView
	storeUpdates    chan follow.Update
	ownerChanges    chan OwnerChange
	registerUpdates chan []follow.Record
	peerViews       chan *View
	// completions takes moves that are complete.
	completions chan completedMove
	jobs        sync.WaitGroup

	storeReachable atomic.Bool
	leading        atomic.Bool

	mu              sync.Mutex
	renewers        map[string]*renewer
	confirmedOffset int64
	stopping        bool

	// The rest belongs to the goroutine of Run.
	moves          map[moveKey]*runningMove
	decidedMoves   map[moveKey]struct{}
	completedMoves []completedMove
	// firstSeen holds since when the moves in progress are known.
	firstSeen         map[moveKey]clock.Instant
	recordCompletedAt time.Time
	startedAt         time.Time
	registerCheckedAt time.Time
	plannedAt         time.Time
	leads             bool
	// knownLeader is the instance that was last taken for the leader, empty for none.
	knownLeader  string
	serverCounts map[string]serverCount
	// nextWriteAt keeps a failed write from being repeated at once.
	nextWriteAt time.Time
	// presentServers holds the servers as of the last decision, left those that were there before.
	presentServers map[string]rules.Server
	leftServers    map[string]rules.Server
}

// New returns a holder.
func New(d Deps) *Manager {
	return &Manager{
		Deps: d, guards: allGuards, view: newLocalView(), storeUpdates: make(chan follow.Update, 16),
		ownerChanges: make(chan OwnerChange, 64), registerUpdates: make(chan []follow.Record, 64), peerViews: make(chan *View, 4), completions: make(chan completedMove, 256), renewers: map[string]*renewer{},
		moves: map[moveKey]*runningMove{}, decidedMoves: map[moveKey]struct{}{}, serverCounts: map[string]serverCount{}, leftServers: map[string]rules.Server{},
	}
}

// StoreUpdates takes the updates of the topic of owners.
func (lm *Manager) StoreUpdates() chan<- follow.Update { return lm.storeUpdates }

// View returns what is known of the owners.
func (lm *Manager) View() *View { return lm.view.get() }

// ConfirmedOffset returns the offset that a heartbeat confirms.
func (lm *Manager) ConfirmedOffset() int64 {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return lm.confirmedOffset
}

// StoreOK reports whether the store answered the last call about owners.
func (lm *Manager) StoreOK() bool { return lm.storeReachable.Load() }

// Leads reports whether this instance decides about owners.
func (lm *Manager) Leads() bool { return lm.leading.Load() }

// Failing returns the servers that do not answer renewals.
func (lm *Manager) Failing() []string {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	now := time.Now()
	var out []string
	for id, r := range lm.renewers {
		if r.failing(now) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Stop ends renewals: the instance is about to end, and others take over.
func (lm *Manager) Stop() {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.stopping = true
}

func (lm *Manager) isStopping() bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return lm.stopping
}

// Run keeps rights until the context ends.
func (lm *Manager) Run(ctx context.Context) (err error) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	renewals := duty.New(ctx, 1)
	renewals.Go("renewals", lm.renewLoop)
	defer lm.jobs.Wait()
	defer func() { err = errors.Join(err, renewals.Wait(0)) }()
	lm.startedAt = time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case u := <-lm.storeUpdates:
			lm.applyUpdate(u)
		case e := <-lm.ownerChanges:
			lm.applyOwnerChange(e)
		case e := <-lm.registerUpdates:
			lm.applyRegister(e)
		case o := <-lm.peerViews:
			lm.applyPeerView(o)
		case s := <-lm.completions:
			lm.recordCompletion(s)
		case <-ticker.C:
		}
		if lm.isStopping() {
			continue
		}
		now := time.Now()
		if up := now.Sub(lm.startedAt); up >= maxListenTime || up >= minListenTime && lm.Roster.HeardHalf() {
			lm.lead(ctx, now)
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
func (lm *Manager) OwnerChanges() chan<- OwnerChange { return lm.ownerChanges }

// applyOwnerChange takes in a record that another instance wrote.
func (lm *Manager) applyOwnerChange(w OwnerChange) {
	before := lm.view.get()
	if w.Offset < before.End {
		return
	}
	if !lm.view.applyOwnerChange(w.Service, w.Offset, w.Fence, w.Changes) {
		lm.RereadOwners()
		return
	}
	lm.viewChanged(before)
}

// viewChanged does what follows from knowing more than before.
func (lm *Manager) viewChanged(before *View) {
	after := lm.view.get()
	lm.trackMoves(after)
	lm.updateRoster(before, after)
	lm.OwnersChanged()
	lm.confirmView(before, after)
}

// PeerViews takes all that another instance knows of the owners.
//
// An instance that the store refuses hears of owners by message only. Once a message was missing, or
// a record was written that no message tells of, it stayed behind until the store let it in again:
// requests for moved keys failed there, and each move from a silent server waited twelve seconds for
// it. So it asks one that knows more.
func (lm *Manager) PeerViews() chan<- *View { return lm.peerViews }

// applyPeerView takes in all that another instance knows.
func (lm *Manager) applyPeerView(o *View) {
	before := lm.view.get()
	if !lm.view.replace(o) {
		return
	}
	lm.Events.Note(event.Belief, "owners-adopted", "offset", o.End, "known-before", before.End)
	lm.viewChanged(before)
}

// trackMoves notes since when each move is known. Its record was in the store by then, so that the
// time after which nobody can act on an older one counts from there, whoever leads meanwhile.
func (lm *Manager) trackMoves(known *View) {
	now := lm.Clock.Now()
	seen := make(map[moveKey]clock.Instant)
	for service, m := range known.Maps {
		for _, r := range m.Ranges {
			if len(r.Before) == 0 {
				continue
			}
			key := moveKey{service, r.From, r.Fence}
			since, before := lm.firstSeen[key]
			if !before {
				since = now
			}
			seen[key] = since
		}
	}
	lm.firstSeen = seen
}

// recordCompletion takes in that a move is complete.
func (lm *Manager) recordCompletion(s completedMove) {
	if len(lm.completedMoves) == 0 {
		lm.recordCompletedAt = time.Now().Add(maxCompletionDelay)
	}
	lm.completedMoves = append(lm.completedMoves, s)
	lm.MoveCompleted(s.service, s.from, s.fence)
}

// applyUpdate takes in news of the owners.
func (lm *Manager) applyUpdate(u follow.Update) {
	if (u.Err == nil) != lm.storeReachable.Load() {
		lm.storeReachable.Store(u.Err == nil)
		if u.Err == nil {
			lm.Events.Note(event.Belief, "owners-regained", "offset", u.End)
		} else {
			lm.Events.Note(event.Belief, "owners-unread", "error", u.Err, "knowledge-age", time.Duration(lm.view.age(lm.Clock.Now())))
		}
	}
	if u.Err != nil {
		return
	}
	before := lm.view.get()
	changed, faults := lm.view.applyUpdate(u)
	for _, err := range faults {
		lm.Events.Note(event.Belief, "owners-malformed", "error", err)
	}
	if !changed {
		return
	}
	lm.viewChanged(before)
	if lm.leads {
		lm.broadcastRegister(before.End, u)
	}
}

// updateRoster brings the roster up to the register.
func (lm *Manager) updateRoster(before, after *View) {
	now := time.Now()
	for name, e := range after.Instances {
		if old, known := before.Instances[name]; !known || old != e {
			lm.Roster.Put(name, e, now)
		}
	}
	for name := range before.Instances {
		if _, there := after.Instances[name]; !there {
			lm.Roster.Remove(name, now)
		}
	}
}

// HandleHeartbeat takes in the word of another instance that nothing follows the newest record it knows.
func (lm *Manager) HandleHeartbeat(b roster.Beat) {
	if b.KnownAge >= 0 && b.EchoAt > 0 {
		lm.view.confirmCurrent(b.Known, clock.Instant(b.EchoAt), time.Duration(b.KnownAge)*time.Millisecond)
	}
}

// Age returns how old the knowledge is that no owner has changed.
func (lm *Manager) Age() time.Duration { return time.Duration(lm.view.age(lm.Clock.Now())) }

// Registered reports whether this life of the instance stands in the register, as far as is
// known.
func (lm *Manager) Registered() bool { return lm.view.get().registered(lm.Name, lm.Incarnation) }

// confirmView ends the orders that the new record contradicts, and then lets the heartbeat say so.
func (lm *Manager) confirmView(before, after *View) {
	var stale []*renewer
	lm.mu.Lock()
	for id, r := range lm.renewers {
		if !slices.EqualFunc(rangesOf(before, r.server), rangesOf(after, r.server), sameLease) {
			stale = append(stale, lm.renewers[id])
		}
	}
	lm.mu.Unlock()
	lm.jobs.Add(1)
	go func() {
		defer lm.jobs.Done()
		for _, r := range stale {
			if lm.guards.stopStaleGrants {
				r.cancelAndWait()
			}
		}
		lm.mu.Lock()
		lm.confirmedOffset = max(lm.confirmedOffset, after.End)
		lm.mu.Unlock()
		lm.SendHeartbeat()
	}()
}

// sameLease reports whether two ranges are the same right.
func sameLease(a, b shard.Range) bool {
	return a.From == b.From && a.To == b.To && a.Fence == b.Fence && len(a.Before) == len(b.Before)
}

func rangesOf(o *View, s rules.Server) []shard.Range {
	if m := o.Maps[s.Service]; m != nil {
		return m.Of(s.ID)
	}
	return nil
}

// renewalSet are the servers that fall to this instance, as of a time and of what decides it.
type renewalSet struct {
	renewers []*renewer
	inputs   renewalInputs
	at       time.Time
}

// renewLoop starts renewals until the context ends. It is a duty of its own: a decision about owners waits for the
// store to write it down, and leases would run out meanwhile.
func (lm *Manager) renewLoop(ctx context.Context) error {
	var c renewalSet
	for duty.Pause(ctx, tickInterval) {
		if !lm.isStopping() {
			lm.startDueRenewals(ctx, &c, time.Now())
		}
	}
	return ctx.Err()
}

// startDueRenewals starts the renewals that are due and fall to this instance.
func (lm *Manager) startDueRenewals(ctx context.Context, c *renewalSet, now time.Time) {
	owners := lm.view.get()
	if rest := lm.currentInputs(owners, now); rest != c.inputs && (owners != c.inputs.view || now.Sub(c.at) >= renewalSetInterval) {
		*c = renewalSet{renewers: lm.responsibleRenewers(owners, now), inputs: rest, at: now}
	}
	for _, r := range c.renewers {
		r.startIfDue(ctx, now)
	}
}

// renewalInputs is what decides which servers fall to this instance.
type renewalInputs struct {
	view             *View
	directoryVersion uint64
	rankVersion      uint64
}

func (lm *Manager) currentInputs(owners *View, now time.Time) renewalInputs {
	return renewalInputs{view: owners, directoryVersion: lm.DirectoryVersion(), rankVersion: lm.Roster.ChargeVersion(now)}
}

// responsibleRenewers returns the renewers of the servers that fall to this instance.
func (lm *Manager) responsibleRenewers(known *View, now time.Time) []*renewer {
	servers := lm.Servers()
	var out []*renewer
	for service, m := range known.Maps {
		for id := range ownersOf(m) {
			s, found := servers[id]
			if found && s.Service == service && lm.Roster.Charged(s.ID, s.Domain, now) {
				out = append(out, lm.renewer(s))
			}
		}
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	for id, r := range lm.renewers {
		if _, there := servers[id]; !there && r.idle() {
			delete(lm.renewers, id)
		}
	}
	return out
}

// ownersOf returns the servers of a map.
func ownersOf(m *shard.Map) map[string]struct{} {
	out := map[string]struct{}{}
	for _, r := range m.Ranges {
		out[r.Server] = struct{}{}
	}
	return out
}

func (lm *Manager) renewer(s rules.Server) *renewer {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	r := lm.renewers[s.ID]
	if r == nil || r.server.Address != s.Address {
		r = &renewer{manager: lm, server: s, sending: make(chan struct{}, 1), answeredAt: time.Now()}
		lm.renewers[s.ID] = r
	}
	return r
}

// startIfDue begins a round if one is due.
func (r *renewer) startIfDue(ctx context.Context, now time.Time) {
	if !r.tryBegin(now) {
		return
	}
	r.manager.jobs.Add(1)
	go func() {
		defer r.manager.jobs.Done()
		r.renewAll(ctx)
	}()
}
