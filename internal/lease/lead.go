package lease

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// lead updates whether this instance leads. If it does, it decides about owners, cleans the register and
// starts moves, or puts the owners in force first if the store has come back from an older copy.
func (lm *Manager) lead(ctx context.Context, now time.Time) {
	lm.rememberServers(lm.Servers())
	leader, found := lm.Roster.Leader(now)
	lm.logLeader(leader.Name)
	awaitsOpening := lm.view.awaitsOpening()
	if awaitsOpening && now.Sub(lm.caughtUpAt) >= catchUpInterval {
		lm.caughtUpAt = now
		lm.updateRoster()
		lm.catchUp(now)
	}
	leads := found && leader.Name == lm.Name && lm.storeReachable.Load() && (lm.mayAct() || awaitsOpening && lm.Registered())
	if leads != lm.leads {
		lm.leads = leads
		lm.leading.Store(leads)
		lm.Roster.SetLeading(leads, now)
		lm.LeadershipChanged(leads)
		lm.Events.Record(event.StateChange, "leading", "leads", leads, "offset", lm.view.get().End)
	}
	lm.pruneMoves(lm.view.get())
	switch {
	case !leads:
		return
	case awaitsOpening:
		lm.countServers(now)
		lm.rereadRegister(now)
		lm.openEra(ctx, now)
		return
	}
	lm.clear(ctx, now)
	if now.Before(lm.nextWriteAt) {
		return
	}
	if view := lm.view.get(); view.Opened == 0 && view.End.Era() != 0 {
		lm.adoptEra(ctx, view.End.Era())
		return
	}
	if !now.Before(lm.nextDecisionAt) {
		lm.appendTime = 0
		for _, service := range lm.Services() {
			if time.Now().Before(lm.nextWriteAt) {
				break
			}
			lm.decideOwners(ctx, service, now)
		}
		// The processor is not used while an append waits for the store.
		lm.nextDecisionAt = now.Add(lm.appendTime + decisionPause*(time.Since(now)-lm.appendTime))
	}
	lm.startContactChecks(ctx, now)
	lm.startMoves(ctx)
}

// decisionPause is the time between two decisions about owners, as a multiple of the time that the last one took: the time
// grows with the number of servers, and the instance has other work.
const decisionPause = 4

// logLeader logs a change of the instance that this one takes for the leader, and the conditions for leading
// itself. The name is empty if no instance reports that it reaches the store.
func (lm *Manager) logLeader(name string) {
	if name == lm.knownLeader {
		return
	}
	lm.knownLeader = name
	lm.Events.Record(event.StateChange, "leader", "instance", name, "store-reached", lm.storeReachable.Load(), "entitled", lm.mayAct(),
		"knowledge-age", time.Duration(lm.view.age(lm.Clock.Now())))
}

// clear writes the registration of one superseded instance again. If there is none, it marks one that has sent no heartbeat for
// removalTimeout as removed. If there is none of these either, it deletes the record of an instance that was marked so long ago
// that its view and its leases have expired.
func (lm *Manager) clear(ctx context.Context, now time.Time) {
	if now.Sub(lm.registerCheckedAt) < cleanInterval {
		return
	}
	lm.registerCheckedAt = now
	if lm.restoreSuperseded(ctx) {
		return
	}
	for _, p := range lm.Roster.Others() {
		if p.SinceHeartbeat(now) < removalTimeout {
			continue
		}
		lm.Events.Record(event.StateChange, "instance-removed", "instance", p.Name, "silent-for", p.SinceHeartbeat(now))
		e := p.Entry
		e.Removed = true
		if value, err := e.Encode(); err == nil {
			lm.append(ctx, follow.Record{Key: InstanceKey(p.Name), Value: value})
		}
		return
	}
	for _, name := range lm.Roster.RemovedBefore(now.Add(-MaxViewAge - leaseDuration)) {
		lm.append(ctx, follow.Record{Key: InstanceKey(name)})
		return
	}
}

// restoreSuperseded writes the registration of one superseded instance again, which may be cut off: those who read only the newest
// records would take its failure domain for empty. It reports whether there is one.
func (lm *Manager) restoreSuperseded(ctx context.Context) bool {
	view := lm.view.getRead()
	for _, name := range slices.Sorted(maps.Keys(view.supersededNames)) {
		value, err := view.Instances[name].Encode()
		if err != nil {
			continue
		}
		lm.Events.Record(event.StateChange, "registration-restored", "instance", name, "incarnation", view.Instances[name].Incarnation)
		lm.append(ctx, follow.Record{Key: InstanceKey(name), Value: value})
		return true
	}
	return false
}

// cleanInterval is the minimum time between two checks of the register by clear. Each check appends at most one
// record.
const cleanInterval = 500 * time.Millisecond

// append appends records directly behind the view and applies them. It reports whether they were appended.
func (lm *Manager) append(ctx context.Context, records ...follow.Record) bool {
	end := lm.view.getRead().End
	if !lm.guards.conditionalAppend {
		end = -1
	}
	startedAt := lm.Clock.Now()
	offset, err := lm.Store.Append(ctx, lm.Topic, records, end)
	lm.appendTime += lm.Clock.Now().Sub(startedAt)
	if err != nil {
		lm.Events.Record(event.StateChange, "owners-not-written", "key", records[0].Key, "as-of", end, "error", err)
		lm.nextWriteAt = time.Now().Add(writeRetryDelay)
		if !errors.Is(err, follow.ErrConflict) && !errors.Is(err, follow.ErrReturned) {
			lm.storeReachable.Store(false)
			lm.SendHeartbeat()
		}
		lm.RereadOwners()
		return false
	}
	for i := range records {
		records[i].Offset = offset + logpos.Pos(i)
	}
	lm.applyUpdate(follow.Update{
		Topic: lm.Topic, StartedAt: startedAt, CurrentAsOf: startedAt,
		Batch: follow.Batch{End: offset + logpos.Pos(len(records)), Records: records},
	})
	return true
}

// decideOwners appends the next owners of a service if they should change.
func (lm *Manager) decideOwners(ctx context.Context, service string, now time.Time) {
	view := lm.view.get()
	current := view.Maps[service]
	if current == nil {
		current = &shard.Map{}
	}
	if first := logpos.FirstFence(view.Opened); current.Fence < first {
		current = current.Clone()
		current.Fence = first
	}
	var next *shard.Map
	completed := lm.withoutCompleted(service, current)
	if completed != nil && !now.Before(lm.completionDueAt) {
		next = completed
	}
	in := lm.planInput(service, current, now)
	if takenOver := lm.takeOverMoves(service, current, in.Addresses); takenOver != nil {
		lm.writeOwners(ctx, service, current, takenOver)
		return
	}
	if len(current.Ranges) == 0 && !lm.readyToDivide(service, len(in.Servers), now) {
		return
	}
	urgent := len(current.Ranges) == 0 || slices.ContainsFunc(in.Servers, func(m shard.ServerState) bool {
		return m.Lost && len(current.RangesOf(m.ID)) > 0
	}) || lm.hasOrphans(in, current)
	if urgent || lm.balanceDue(service, now) {
		if completed != nil {
			in.Map = completed
		}
		if !urgent {
			lm.plannedAt = now
		}
		in.Load = lm.Load(service)
		if planned := lm.plan(service, in, urgent, now); planned != nil {
			next = planned
		}
	}
	if next != nil {
		lm.writeOwners(ctx, service, current, next)
	}
}

// maxLoggedServers is the number of servers, the most overloaded ones, in the log line of a plan.
const maxLoggedServers = 6

// balanceDue reports whether a plan is due that only balances load.
func (lm *Manager) balanceDue(service string, now time.Time) bool {
	if lm.SpeedRanges {
		return now.Sub(lm.checkedAt[service]) >= balanceInterval/2
	}
	return now.Sub(lm.plannedAt) >= balanceInterval
}

// plan returns the next owners of a service, or nil if they stay, and logs the loads that it used. With Deps.SpeedRanges
// every second plan counts only if it is urgent or many requests are expected to be lost.
func (lm *Manager) plan(service string, in shard.Input, urgent bool, now time.Time) *shard.Map {
	startedAt := time.Now()
	next, report := shard.PlanWithReport(in)
	if lm.SpeedRanges {
		lm.Planned(service, report)
		lm.checkedAt[service] = now
		if !urgent && report.LossShare < urgentLossShare && now.Sub(lm.balancedAt[service]) < balanceInterval {
			return nil
		}
		lm.balancedAt[service] = now
	}
	if next == nil {
		return nil
	}
	took, uses := time.Since(startedAt), report.Servers
	var more []any
	if lm.SpeedRanges {
		more = []any{"lost-share", fmt.Sprintf("%.3f", report.LossShare), "moves", describeMoves(report)}
	} else {
		uses = shard.ServerLoads(in)
	}
	lm.Events.Record(event.StateChange, "planned", append([]any{"service", service, "took", took, "servers", len(uses),
		"uses", fmt.Sprintf("%.3v", uses[:min(len(uses), maxLoggedServers)])}, more...)...)
	return next
}

// describeMoves lists the numbers of moves by reason for the log.
func describeMoves(report shard.Report) string {
	var out []string
	for reason, n := range report.Moves {
		if n > 0 {
			out = append(out, fmt.Sprintf("%v:%d", shard.Reason(reason), n))
		}
	}
	return strings.Join(out, " ")
}

// countServers counts the servers of the services that have no owners, for readyToDivide.
func (lm *Manager) countServers(now time.Time) {
	counts := map[string]int{}
	for _, s := range lm.Servers().All() {
		counts[s.Service]++
	}
	for _, service := range lm.Services() {
		lm.readyToDivide(service, counts[service], now)
	}
}

// readyToDivide reports whether the number of servers of a new service has stopped changing, so that its
// keys are divided among all of them at once. Otherwise the first server would get every key, and moving
// them to the others range by range takes tens of seconds.
func (lm *Manager) readyToDivide(service string, servers int, now time.Time) bool {
	c := lm.serverCounts[service]
	if c.servers != servers {
		c = serverCount{servers: servers, since: now}
		lm.serverCounts[service] = c
	}
	return servers > 0 && now.Sub(c.since) >= firstDivisionDelay
}

// serverCount is the number of servers of a service that has no owners yet, and since when it is unchanged.
type serverCount struct {
	servers int
	since   time.Time
}

// hasOrphans reports whether keys belong to servers that are not in the input of the plan.
func (lm *Manager) hasOrphans(in shard.Input, m *shard.Map) bool {
	known := make(map[string]bool, len(in.Servers))
	for _, s := range in.Servers {
		known[s.ID] = true
	}
	return slices.ContainsFunc(m.Ranges, func(r shard.Range) bool { return !known[r.Server] })
}

// withoutCompleted returns the map without the former owners of ranges whose moves are complete, or nil if
// that changes nothing.
func (lm *Manager) withoutCompleted(service string, m *shard.Map) *shard.Map {
	var next *shard.Map
	for _, c := range lm.completedMoves {
		if c.service != service {
			continue
		}
		if next == nil {
			next = m.Clone()
		}
		if i := next.Find(c.from); i >= 0 && next.Ranges[i].Fence == c.fence && next.Ranges[i].From == c.from {
			next.Ranges[i].FormerOwners = nil
		}
	}
	if next == nil || slices.EqualFunc(next.Ranges, m.Ranges, sameLease) {
		return nil
	}
	return next
}

// minRestToMove is how much longer a server must want no requests for its keys to be given to others. Moving them takes
// some tenths of a second, and slows the requests for them down for longer.
const minRestToMove = time.Second

// planInput returns the input of a plan.
func (lm *Manager) planInput(service string, m *shard.Map, now time.Time) shard.Input {
	servers, capacities := lm.Servers(), lm.Capacities(service)
	in := shard.Input{
		Map: m, TargetLatency: lm.TargetLatency(service).Seconds(), Addresses: map[string]string{}, Restarted: restarted(servers, m),
	}
	var rejects map[string]float64
	usualRejects := 0.0
	if lm.SpeedRanges {
		in.SpeedRanges, in.Work = true, lm.Work(service)
		rejects, usualRejects = lm.RejectRates(service)
	}
	average, n := 0.0, 0
	for _, c := range capacities {
		average, n = average+c, n+1
	}
	if n > 0 {
		average /= float64(n)
	}
	failing := lm.failingServers(servers, now)
	cutOff := lm.cutOffDomains(servers, now)
	trusted := lm.trustedServers(m, in.Restarted)
	for id, s := range servers.All() {
		if s.Service != service {
			continue
		}
		capacity := capacities[id]
		if capacity == 0 {
			capacity = max(average, float64(s.Slots))
			if average > 0 {
				capacity = average
			}
		}
		lost := s.Leaving() || s.RestsUntil.Sub(now) > minRestToMove || failing[id] && !cutOff[s.Domain]
		capped := false
		if now.Before(s.WarmAt) {
			capacity *= coldCapacityFactor
			if s.ColdRate > 0 {
				capacity, capped = min(capacity, boundedLoadFactor*s.ColdRate), true
			}
		}
		if s.RateLimit > 0 {
			capacity, capped = min(capacity, boundedLoadFactor*s.RateLimit), true
		}
		usable := !lost && (s.Domain == lm.Domain || !cutOff[s.Domain])
		// A cold server has started lately, and gets the keys of those that it replaces at once. A server that this
		// instance does not reach itself may be served well by others: it keeps its keys, and gets no more.
		_, trusts := trusted[id]
		unproven := len(m.Ranges) > 0 && !trusts && !now.Before(s.WarmAt)
		if usable && (unproven || lm.contacts.isSuspected(id)) {
			usable = lm.contacts.reachable(shard.Owner{Server: id, Address: s.Address}, now)
		}
		rejectRate, known := rejects[id]
		if !known {
			rejectRate = usualRejects
		}
		in.Servers = append(in.Servers, shard.ServerState{
			ID: id, Address: s.Address, Capacity: capacity, Slots: s.Slots, Usable: usable, Lost: lost, Capped: capped, RejectRate: rejectRate,
		})
		in.Addresses[id] = s.Address
	}
	for id, s := range lm.leftServers {
		in.Addresses[id] = s.Address
		if in.Restarted[id] == "" && s.Service == service && lm.Roster.CutOff(s.Domain, cutOffHoldTime, now) {
			// It may only seem to have left, so it keeps its keys for now.
			in.Servers = append(in.Servers, shard.ServerState{ID: id, Address: s.Address, Slots: s.Slots})
		}
	}
	in.Servers = append(in.Servers, lm.unknownOwners(m, in, now)...)
	for old, id := range in.Restarted {
		in.Addresses[old] = addressOf(servers, id)
	}
	return in
}

// unknownOwners returns the owners of keys that this instance has never seen in the directory, if a failure domain is cut
// off: they may be servers of that domain whose entries had expired before this instance started. They keep their keys.
func (lm *Manager) unknownOwners(m *shard.Map, in shard.Input, now time.Time) []shard.ServerState {
	if !lm.anyDomainCutOff(now) {
		return nil
	}
	var out []shard.ServerState
	for id := range ownersOf(m) {
		_, listed := in.Addresses[id]
		if !listed && in.Restarted[id] == "" {
			out = append(out, shard.ServerState{ID: id, Slots: 1})
		}
	}
	return out
}

// anyDomainCutOff reports whether a failure domain with registered instances may be cut off.
func (lm *Manager) anyDomainCutOff(now time.Time) bool {
	checked := map[string]bool{}
	for _, p := range lm.Roster.Others() {
		if !checked[p.Domain] && lm.Roster.MayBeCutOff(p.Domain, cutOffHoldTime, now) {
			return true
		}
		checked[p.Domain] = true
	}
	return false
}

// addressOf returns the address of a server, empty if it is not listed.
func addressOf(servers *rules.ServerSet, id string) string {
	s, _ := servers.Get(id)
	return s.Address
}

// trustedServers returns the servers that may get keys without a check that they accept connections: those with keys,
// whose renewals show whether they do, and those that have just been restarted.
func (lm *Manager) trustedServers(m *shard.Map, restarted map[string]string) map[string]struct{} {
	out := ownersOf(m)
	for _, id := range restarted {
		out[id] = struct{}{}
	}
	return out
}

// cutOffDomains reports which failure domains are cut off. Keys of servers in another domain that is cut off
// cannot be moved, nor can its servers get keys: such a move would leave keys without an owner that are
// served within the domain.
//
// The own domain may also be reported, for a while after this process was paused.
func (lm *Manager) cutOffDomains(servers *rules.ServerSet, now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, s := range servers.All() {
		if _, known := out[s.Domain]; !known {
			out[s.Domain] = lm.Roster.CutOff(s.Domain, cutOffHoldTime, now)
		}
	}
	return out
}

// restarted maps the ended incarnations that still own keys to the current incarnation of the same server.
// Requests to an ended incarnation go to the address of the current one, which alone can answer for it.
func restarted(servers *rules.ServerSet, m *shard.Map) map[string]string {
	ended := ownersOf(m)
	maps.DeleteFunc(ended, func(id string, _ struct{}) bool { return servers.Has(id) })
	if len(ended) == 0 {
		return nil
	}
	incarnations := make(map[string]string, servers.Len())
	for id := range servers.All() {
		incarnations[rules.NameOf(id)] = id
	}
	out := map[string]string{}
	for id := range ended {
		if current, found := incarnations[rules.NameOf(id)]; found {
			out[id] = current
		}
	}
	return out
}

// rememberServers keeps the entries of servers that left the directory.
func (lm *Manager) rememberServers(servers *rules.ServerSet) {
	if servers == lm.presentServers {
		return
	}
	for id, s := range lm.presentServers.All() {
		if !servers.Has(id) {
			lm.leftServers[id] = s
		}
	}
	for id := range lm.leftServers {
		if servers.Has(id) {
			delete(lm.leftServers, id)
		}
	}
	lm.presentServers = servers
	if len(lm.leftServers) > maxLeftServers {
		clear(lm.leftServers)
	}
}

// failingServers returns the servers that have failed: all instances in charge of them report that, or the first
// requiredReporters do and no instance reaches them. Reports of other instances do not count, as they may have lost
// their own connection: when a cut between two failure domains ended, the instances of one still reported the
// servers of the other as failing, though these had been renewed all the time.
func (lm *Manager) failingServers(servers *rules.ServerSet, now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, reporter := range lm.Roster.Alive(now) {
		for _, id := range reporter.Heartbeat.Failing {
			s, found := servers.Get(id)
			if _, decided := out[id]; found && !decided {
				out[id] = lm.hasFailed(s, now)
			}
		}
	}
	return out
}

// hasFailed reports whether a server that some instance reports as failing has failed.
func (lm *Manager) hasFailed(s rules.Server, now time.Time) bool {
	inCharge := lm.Roster.RankConnected(s.ID, s.Domain, now)
	reporters := slices.IndexFunc(inCharge, func(p roster.Peer) bool { return !slices.Contains(p.Heartbeat.Failing, s.ID) })
	switch {
	case reporters < 0:
		return true
	case reporters == 0:
		return false
	default:
		// The check begins with the first report, so that the last one need not wait for it.
		unreachable := lm.Probe == nil || lm.anyPath.unreachable(shard.Owner{Server: s.ID, Address: s.Address}, now)
		return unreachable && reporters >= requiredReporters
	}
}

// writeOwners appends the next owners of a service directly behind the view that they were decided from.
func (lm *Manager) writeOwners(ctx context.Context, service string, from, to *shard.Map) {
	records, to, err := ownersRecords(lm.view.get().ownersKey(service), from, to)
	if err != nil || len(records) == 0 {
		lm.Events.Record(event.StateChange, "owners-not-written", "service", service, "error", err)
		return
	}
	lm.plannedAt = time.Now()
	if !lm.append(ctx, records...) {
		return
	}
	lm.recordDecided(service, from, to)
	offset := lm.view.get().End - logpos.Pos(len(records))
	lm.BroadcastOwners(OwnerChange{Service: service, Offset: offset, Records: len(records), Fence: to.Fence, Changes: to.Changes(from)})
	lm.Events.Record(event.StateChange, "owners-written", "service", service, "offset", offset, "fence", to.Fence,
		"records", len(records), "ranges", len(to.Ranges), "changes", describeChanges(from, to))
	lm.completedMoves = slices.DeleteFunc(lm.completedMoves, func(c completedMove) bool { return c.service == service })
}

// writeRetryDelay is the delay before the next write of owners after a failed one: some fifty times the
// response time of the store.
const writeRetryDelay = 200 * time.Millisecond

// describeChanges lists the changed owners, cut off after some 200 bytes, for the log.
func describeChanges(from, to *shard.Map) string {
	var b strings.Builder
	for _, r := range to.Ranges {
		i := from.Find(r.From)
		if i >= 0 && from.Ranges[i].Server == r.Server {
			continue
		}
		if b.Len() > 200 {
			b.WriteString("...")
			break
		}
		old := ""
		if i >= 0 {
			old = from.Ranges[i].Server
		}
		b.WriteString(old + ">" + r.Server + " ")
	}
	return strings.TrimSpace(b.String())
}
