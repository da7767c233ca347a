package lease

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
	"example.org/mustardring/internal/worker"
)

// Manager renews the leases of servers and, while this instance leads, decides about owners.
type Manager struct {
	Deps
	guards          guards
	view            *localView
	storeUpdates    chan follow.Update
	ownerChanges    chan OwnerChange
	registerUpdates chan []follow.Record
	peerViews       chan *View
	// completions takes the moves whose new owner has its first grant.
	completions chan completedMove
	// queries takes the queries of other instances about incarnations of servers, answers holds an element for each that is
	// being answered.
	queries chan IncarnationQuery
	answers chan struct{}
	// jobs counts the goroutines that Run waits for.
	jobs sync.WaitGroup

	// storeReachable reports whether the last call to the store about owners was answered, leading whether this
	// instance decides about owners.
	storeReachable atomic.Bool
	leading        atomic.Bool
	// ceased is set once this instance sends no more grants.
	ceased atomic.Bool
	// querySerial is the serial number of the last query about an incarnation of a server.
	querySerial atomic.Uint64

	// mu guards renewers, confirmedOffset and stopping.
	mu              sync.Mutex
	renewers        map[string]*renewer
	confirmedOffset logpos.Pos
	stopping        bool

	// The fields below are used by the goroutine of Run only.

	// moves holds the moves that are being carried out, decidedMoves those that this instance decided but has not
	// started, and completedMoves those whose completion has not been written yet.
	moves          map[moveKey]*runningMove
	decidedMoves   map[moveKey]struct{}
	completedMoves []completedMove
	// firstSeen holds the time since which each move in progress is known.
	firstSeen map[moveKey]clock.Instant
	// completionDueAt is when the completion of completedMoves is written at the latest.
	completionDueAt   time.Time
	startedAt         time.Time
	registerCheckedAt time.Time
	plannedAt         time.Time
	// checkedAt and balancedAt hold, by service, when a plan was last made that only balances load, and one that counted
	// whatever the loss. They are used with Deps.SpeedRanges only.
	checkedAt  map[string]time.Time
	balancedAt map[string]time.Time
	leads      bool
	// knownLeader is the last known leader, empty for none.
	knownLeader  string
	serverCounts map[string]serverCount
	// rosterInstances is the register that the roster has been given.
	rosterInstances map[string]roster.Entry
	// agreedSince is since when half of the instances agree with what is known of an earlier era, zero if they do not.
	agreedSince time.Time
	// undecidedReason is the last reason that was logged for which owners are not put in force.
	undecidedReason string
	// caughtUpAt is when this instance last took in what others know of an earlier era.
	caughtUpAt time.Time
	// registerReadAt is when the register was last read while the owners were not in force.
	registerReadAt time.Time
	// nextViewAt is when another instance may next be asked for its view, viewRequests the number of such requests in a row.
	nextViewAt   time.Time
	viewRequests int
	// nextDecisionAt is when owners are next decided about, appendTime how long appends have taken since the last decision began.
	nextDecisionAt time.Time
	appendTime     time.Duration
	// nextWriteAt delays the next write after a failed one.
	nextWriteAt time.Time
	// releasedFor holds the LeaveBy of the servers whose keys this instance has released, by id. Only renewLoop uses it.
	releasedFor map[string]time.Time
	// presentServers holds the servers of the directory at the last decision, leftServers those that have left it.
	presentServers *rules.ServerSet
	leftServers    map[string]rules.Server
	// contacts checks which servers this instance reaches, anyPath which ones any instance does.
	contacts *contacts
	anyPath  *contacts
}

// New returns a Manager that is not running.
func New(d Deps) *Manager {
	connect := func(ctx context.Context, server shard.Owner) error { return d.LeaseClient.Connect(ctx, server) }
	lm := &Manager{
		Deps: d, guards: allGuards, view: newLocalView(), storeUpdates: make(chan follow.Update, 16),
		ownerChanges: make(chan OwnerChange, 64), registerUpdates: make(chan []follow.Record, 64), peerViews: make(chan *View, 4), completions: make(chan completedMove, 256), queries: make(chan IncarnationQuery, 64), answers: make(chan struct{}, maxAnswers), renewers: map[string]*renewer{},
		moves: map[moveKey]*runningMove{}, decidedMoves: map[moveKey]struct{}{}, serverCounts: map[string]serverCount{}, checkedAt: map[string]time.Time{}, balancedAt: map[string]time.Time{}, leftServers: map[string]rules.Server{}, presentServers: &rules.ServerSet{},
		releasedFor: map[string]time.Time{}, contacts: newContacts(connect, grantTimeout), anyPath: newContacts(d.Probe, probeTimeout),
	}
	// The answer to a query of an earlier process may be late.
	lm.querySerial.Store(d.Incarnation)
	return lm
}

// StoreUpdates takes the updates of Deps.Topic that were read from the store.
func (lm *Manager) StoreUpdates() chan<- follow.Update { return lm.storeUpdates }

// View returns what this instance believes about the owners. It must not be modified.
func (lm *Manager) View() *View { return lm.view.get() }

// ConfirmedOffset returns the offset up to which this instance acts on the records of owners: no grant that
// is based on an older view is being sent any more. Heartbeats carry it.
func (lm *Manager) ConfirmedOffset() logpos.Pos {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return lm.confirmedOffset
}

// RecordAnswer records that the store answered a call about owners that was not a read.
func (lm *Manager) RecordAnswer() { lm.storeReachable.Store(true) }

// StoreOK reports whether the store answered the last call about owners.
func (lm *Manager) StoreOK() bool { return lm.storeReachable.Load() }

// Leads reports whether this instance decides about owners.
func (lm *Manager) Leads() bool { return lm.leading.Load() }

// Failing returns the ids of the servers that do not answer renewals, sorted.
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

// Stop ends renewals and decisions because the instance is about to stop. Others take over.
func (lm *Manager) Stop() {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.stopping = true
}

// Cease ends all grants: none is sent after it has returned, apart from those on their way. Once the end of an instance is in the
// register, the others wait for its leases only as long as that.
func (lm *Manager) Cease() {
	lm.ceased.Store(true)
	lm.mu.Lock()
	all := slices.Collect(maps.Values(lm.renewers))
	lm.mu.Unlock()
	for _, r := range all {
		r.cancelAndWait()
	}
}

func (lm *Manager) isStopping() bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return lm.stopping
}

// Run renews leases and decides about owners until ctx is done.
func (lm *Manager) Run(ctx context.Context) (err error) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	renewals := worker.New(ctx, 1)
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
		case c := <-lm.ownerChanges:
			lm.applyOwnerChange(c)
		case records := <-lm.registerUpdates:
			lm.applyRegister(records)
		case peer := <-lm.peerViews:
			lm.applyPeerView(peer)
		case m := <-lm.completions:
			lm.recordCompletion(m)
		case q := <-lm.queries:
			lm.answerQuery(ctx, q)
		case <-ticker.C:
		}
		if lm.isStopping() {
			lm.pruneMoves(lm.view.get())
			continue
		}
		now := time.Now()
		if up := now.Sub(lm.startedAt); up >= maxListenTime || up >= minListenTime && lm.Roster.HeardFromHalf() {
			lm.lead(ctx, now)
		}
	}
}

// OwnerChange is a change of owners that another instance appended. Offset is that of its first record, Records the
// number of its records; zero means one.
type OwnerChange struct {
	Service string
	Offset  logpos.Pos
	Records int
	Fence   uint64
	Changes []shard.Range
}

// OwnerChanges takes the records of owners that other instances appended.
func (lm *Manager) OwnerChanges() chan<- OwnerChange { return lm.ownerChanges }

// applyOwnerChange applies a record of owners that another instance appended.
func (lm *Manager) applyOwnerChange(c OwnerChange) {
	before := lm.view.get()
	c.Offset = c.Offset.In(before.End.Era())
	if c.Offset < before.End {
		return
	}
	if !lm.view.applyOwnerChange(c) {
		lm.RereadOwners()
		return
	}
	lm.viewChanged(before)
}

// viewChanged updates everything that depends on the view. before is the previous view.
func (lm *Manager) viewChanged(before *View) {
	after := lm.view.get()
	lm.trackMoves(after)
	lm.updateRoster()
	lm.OwnersChanged()
	lm.confirmView(before, after)
}

// PeerViews takes the views of other instances that Deps.FetchView was asked for: they may hold records of owners that the
// store has lost.
func (lm *Manager) PeerViews() chan<- *View { return lm.peerViews }

// applyPeerView takes over the view of another instance if that one is newer.
func (lm *Manager) applyPeerView(peer *View) {
	before := lm.view.get()
	if !lm.view.replace(peer) {
		return
	}
	lm.Events.Record(event.StateChange, "owners-adopted", "offset", peer.End, "known-before", before.End)
	lm.viewChanged(before)
}

// trackMoves records since when each move is known. Its record was in the store by then, so the time
// until no instance can act on an older record counts from there, also if the leader changes.
func (lm *Manager) trackMoves(view *View) {
	now := lm.Clock.Now()
	firstSeen := make(map[moveKey]clock.Instant)
	for service, m := range view.Maps {
		for _, r := range m.Ranges {
			if len(r.FormerOwners) == 0 {
				continue
			}
			key := moveKey{service, r.From, r.Fence}
			since, known := lm.firstSeen[key]
			if !known {
				since = now
			}
			firstSeen[key] = since
		}
	}
	lm.firstSeen = firstSeen
}

// recordCompletion records that the new owner of a move has its first grant, or is to get it from the instances in charge
// of it.
func (lm *Manager) recordCompletion(m completedMove) {
	if len(lm.completedMoves) == 0 {
		lm.completionDueAt = time.Now().Add(maxCompletionDelay)
	}
	lm.completedMoves = append(lm.completedMoves, m)
	if m.delegated {
		// The instances in charge of the new owner renew only by a record without former owners.
		lm.completionDueAt = time.Now()
		return
	}
	lm.MoveCompleted(m.service, m.from, m.fence)
}

// applyUpdate applies an update that was read from the store.
func (lm *Manager) applyUpdate(u follow.Update) {
	// An update of another instance says nothing about the store.
	if fromStore := u.Err != nil || u.StartedAt != 0; fromStore && (u.Err == nil) != lm.storeReachable.Load() {
		lm.storeReachable.Store(u.Err == nil)
		if u.Err == nil {
			lm.Events.Record(event.StateChange, "owners-regained", "offset", u.End)
		} else {
			lm.Events.Record(event.StateChange, "owners-unread", "error", u.Err, "knowledge-age", time.Duration(lm.view.age(lm.Clock.Now())))
		}
	}
	if u.Err != nil {
		return
	}
	before := lm.view.get()
	read := lm.view.getRead()
	changed, faults := lm.view.applyUpdate(u)
	if lm.view.getRead().End.Era() > read.End.Era() {
		lm.view.markLearned(lm.Clock.Now())
	}
	lm.logEra(before, read)
	for _, err := range faults {
		lm.Events.Record(event.StateChange, "owners-malformed", "error", err)
	}
	if !changed {
		return
	}
	if lm.view.get() == before {
		lm.updateRoster()
	} else {
		lm.viewChanged(before)
	}
	if lm.leads {
		lm.broadcastRegister(read.End, u)
	}
}

// HandleHeartbeat uses the statement of another instance that its view is the newest.
func (lm *Manager) HandleHeartbeat(h roster.Heartbeat) {
	lm.view.noteEra(h.LatestEra)
	if h.KnownAge >= 0 && h.EchoAt > 0 {
		lm.view.confirmCurrent(h.Known, clock.Instant(h.EchoAt), time.Duration(h.KnownAge)*time.Millisecond)
	}
}

// Age returns the age of the view.
func (lm *Manager) Age() time.Duration { return time.Duration(lm.view.age(lm.Clock.Now())) }

// ReadAge returns the age of what was read from the store, which may be of an era in which no owners are in force yet.
func (lm *Manager) ReadAge() time.Duration { return time.Duration(lm.view.readAge(lm.Clock.Now())) }

// Read returns what the store holds in its latest era, as far as it was read. It must not be modified.
func (lm *Manager) Read() *View { return lm.view.getRead() }

// UnopenedEnd returns the end of what the store holds in its latest era, as far as it was read, zero if the owners are in
// force there.
func (lm *Manager) UnopenedEnd() logpos.Pos {
	if !lm.view.awaitsOpening() {
		return 0
	}
	return lm.Read().End
}

// Registered reports whether this incarnation of the instance is registered, according to the view, and not superseded.
// A registration that the store has lost does not count: instances that start know only what the store holds.
func (lm *Manager) Registered() bool { return lm.view.getRead().registered(lm.Name, lm.Incarnation) }

// Superseded reports whether the newest record of this instance in the store is about an earlier incarnation: those who read
// only the newest records take this one for unregistered.
func (lm *Manager) Superseded() bool { return lm.view.getRead().superseded(lm.Name) }

// LatestEra returns the latest era of the store that is known.
func (lm *Manager) LatestEra() logpos.Era { return lm.view.noteEra(0) }

// confirmView cancels the grants that the new view contradicts, and then raises the confirmed offset.
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

// sameLease reports whether two ranges are the same lease, in the same state of a move.
func sameLease(a, b shard.Range) bool {
	return a.From == b.From && a.To == b.To && a.Fence == b.Fence && len(a.FormerOwners) == len(b.FormerOwners)
}

// rangesOf returns the ranges of a server.
func rangesOf(v *View, s rules.Server) []shard.Range {
	if m := v.Maps[s.Service]; m != nil {
		return m.RangesOf(s.ID)
	}
	return nil
}

// renewalSet holds the renewers of the servers that this instance is responsible for, and the inputs and the
// time that it was computed from.
type renewalSet struct {
	renewers []*renewer
	// leaving holds the ids of the servers that leave and whose keys this instance releases.
	leaving    []string
	inputs     renewalInputs
	computedAt time.Time
}

// renewLoop starts renewals until ctx is done. It runs in a goroutine of its own because decisions about owners
// wait for the store, and leases would expire meanwhile.
func (lm *Manager) renewLoop(ctx context.Context) error {
	var set renewalSet
	for worker.Sleep(ctx, tickInterval) {
		if !lm.isStopping() {
			lm.startDueRenewals(ctx, &set, time.Now())
		}
	}
	return ctx.Err()
}

// startDueRenewals starts the due renewals of the servers that this instance is responsible for.
func (lm *Manager) startDueRenewals(ctx context.Context, set *renewalSet, now time.Time) {
	view := lm.view.get()
	if inputs := lm.currentInputs(view, now); inputs != set.inputs && (view != set.inputs.view || now.Sub(set.computedAt) >= renewalSetInterval) {
		*set = renewalSet{renewers: lm.responsibleRenewers(view, now), leaving: lm.leavingServers(view, now), inputs: inputs, computedAt: now}
	}
	for _, r := range set.renewers {
		r.startIfDue(ctx, now)
	}
	lm.releaseLeaving(ctx, set.leaving, now)
}

// renewalInputs is what decides which servers this instance is responsible for.
type renewalInputs struct {
	view             *View
	directoryVersion uint64
	rankVersion      uint64
}

func (lm *Manager) currentInputs(view *View, now time.Time) renewalInputs {
	return renewalInputs{view: view, directoryVersion: lm.DirectoryVersion(), rankVersion: lm.Roster.RankVersion(now)}
}

// responsibleRenewers returns the renewers of the servers that this instance is responsible for, and deletes idle
// renewers of servers that have left the directory.
func (lm *Manager) responsibleRenewers(view *View, now time.Time) []*renewer {
	servers := lm.Servers()
	var out []*renewer
	for service, m := range view.Maps {
		for id := range ownersOf(m) {
			s, found := servers.Get(id)
			if found && s.Service == service && lm.Roster.Responsible(s.ID, s.Domain, now) {
				out = append(out, lm.renewer(s))
			}
		}
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	for id, r := range lm.renewers {
		if !servers.Has(id) && r.idle() {
			delete(lm.renewers, id)
		}
	}
	return out
}

// ownersOf returns the ids of the servers that own keys in a map.
func ownersOf(m *shard.Map) map[string]struct{} {
	out := map[string]struct{}{}
	for _, r := range m.Ranges {
		out[r.Server] = struct{}{}
	}
	return out
}

// renewer returns the renewer of a server, which it creates if there is none for its address.
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

// startIfDue starts a round of renewals if one is due.
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
