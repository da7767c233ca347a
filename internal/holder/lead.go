package holder

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
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// lead decides about owners, if this instance is the one to do so.
func (lm *Manager) lead(ctx context.Context, now time.Time) {
	leader, found := lm.Roster.Leader(now)
	lm.logLeader(leader.Name)
	leads := found && leader.Name == lm.Name && lm.storeReachable.Load() && lm.mayAct()
	if leads != lm.leads {
		lm.leads = leads
		lm.leading.Store(leads)
		lm.Roster.Lead(leads, now)
		lm.LeadershipChanged(leads)
		lm.Events.Note(event.Belief, "leading", "leads", leads, "offset", lm.view.get().End)
	}
	lm.pruneMoves(lm.view.get())
	if !leads {
		return
	}
	lm.clear(ctx, now)
	if now.Before(lm.nextWriteAt) {
		return
	}
	for _, service := range lm.Services() {
		if time.Now().Before(lm.nextWriteAt) {
			break
		}
		lm.decideOwners(ctx, service, now)
	}
	lm.startMoves(ctx)
}

// logLeader logs whom this instance takes for the leader, when that changes, and what it lacks to lead
// itself. The name is empty if no instance says that it reaches the store.
func (lm *Manager) logLeader(name string) {
	if name == lm.knownLeader {
		return
	}
	lm.knownLeader = name
	lm.Events.Note(event.Belief, "leader", "instance", name, "store-reached", lm.storeReachable.Load(), "entitled", lm.mayAct(),
		"knowledge-age", time.Duration(lm.view.age(lm.Clock.Now())))
}

// clear marks the instances that have been silent for long as removed, and deletes the records
// of those that were marked for so long that nothing they know is fresh.
func (lm *Manager) clear(ctx context.Context, now time.Time) {
	if now.Sub(lm.registerCheckedAt) < cleanInterval {
		return
	}
	lm.registerCheckedAt = now
	for _, p := range lm.Roster.Others() {
		if p.Silent(now) < removalTimeout {
			continue
		}
		lm.Events.Note(event.Belief, "instance-removed", "instance", p.Name, "silent-for", p.Silent(now))
		e := p.Entry
		e.Removed = true
		if value, err := e.Encode(); err == nil {
			lm.append(ctx, InstanceKey(p.Name), value)
		}
		return
	}
	for _, name := range lm.Roster.Removed(now.Add(-maxViewAge - leaseDuration)) {
		lm.append(ctx, InstanceKey(name), nil)
		return
	}
}

// cleanInterval is how often the leader looks for instances that are gone. Each finding is one
// call to the store.
const cleanInterval = 500 * time.Millisecond

// append writes a record behind what is known, and takes it in.
func (lm *Manager) append(ctx context.Context, key string, value []byte) bool {
	end := lm.view.get().End
	if !lm.guards.conditionalAppend {
		end = -1
	}
	begun := lm.Clock.Now()
	offset, err := lm.Store.Append(ctx, lm.Topic, key, value, end)
	if err != nil {
		lm.Events.Note(event.Belief, "owners-not-written", "key", key, "as-of", end, "error", err)
		lm.nextWriteAt = time.Now().Add(writeRetryDelay)
		if !errors.Is(err, follow.ErrConflict) {
			lm.storeReachable.Store(false)
			lm.SendHeartbeat()
		}
		lm.RereadOwners()
		return false
	}
	lm.applyUpdate(follow.Update{
		Topic: lm.Topic, StartedAt: begun, CurrentAsOf: begun,
		Batch: follow.Batch{End: offset + 1, Records: []follow.Record{{Key: key, Value: value, Offset: offset}}},
	})
	return true
}

// decideOwners writes the next owners of a service, if they should change.
func (lm *Manager) decideOwners(ctx context.Context, service string, now time.Time) {
	known := lm.view.get()
	current := known.Maps[service]
	if current == nil {
		current = &shard.Map{}
	}
	var next *shard.Map
	settled := lm.withoutCompleted(service, current)
	if settled != nil && !now.Before(lm.recordCompletedAt) {
		next = settled
	}
	in := lm.planInput(service, current, now)
	if adopted := lm.takeOverMoves(service, current, in.Addresses); adopted != nil {
		lm.writeOwners(ctx, service, current, adopted)
		return
	}
	if len(current.Ranges) == 0 && !lm.readyToDivide(service, len(in.Members), now) {
		return
	}
	urgent := len(current.Ranges) == 0 || slices.ContainsFunc(in.Members, func(m shard.Member) bool {
		return m.Lost && len(current.Of(m.ID)) > 0
	}) || lm.hasOrphans(in, current)
	if urgent || now.Sub(lm.plannedAt) >= balanceInterval {
		if settled != nil {
			in.Map = settled
		}
		if !urgent {
			lm.plannedAt = now
		}
		in.Load = lm.Load(service)
		if planned := lm.plan(service, in); planned != nil {
			next = planned
		}
	}
	if next != nil {
		lm.writeOwners(ctx, service, current, next)
	}
}

// maxLoggedServers is the number of servers, those that lose most, that a line about a plan names.
const maxLoggedServers = 6

// plan returns the owners that should follow, nil if they stay, and logs what that rests on.
func (lm *Manager) plan(service string, in shard.Input) *shard.Map {
	begun := time.Now()
	next := shard.Plan(in)
	if next != nil {
		took, uses := time.Since(begun), shard.Uses(in)
		lm.Events.Note(event.Belief, "planned", "service", service, "took", took, "servers", len(uses),
			"uses", fmt.Sprintf("%.3v", uses[:min(len(uses), maxLoggedServers)]))
	}
	return next
}

// readyToDivide reports whether the servers of a new service have stopped coming, so that its keys
// are divided among all of them at once. The first to come would get every key, and giving
// them away one range after the other takes tens of seconds.
func (lm *Manager) readyToDivide(service string, members int, now time.Time) bool {
	g := lm.serverCounts[service]
	if g.servers != members {
		g = serverCount{servers: members, since: now}
		lm.serverCounts[service] = g
	}
	return members > 0 && now.Sub(g.since) >= firstDivisionDelay
}

// serverCount is the number of servers of a service that has no owners yet.
type serverCount struct {
	servers int
	since   time.Time
}

// hasOrphans reports whether keys belong to servers that are not there.
func (lm *Manager) hasOrphans(in shard.Input, m *shard.Map) bool {
	known := make(map[string]bool, len(in.Members))
	for _, s := range in.Members {
		known[s.ID] = true
	}
	return slices.ContainsFunc(m.Ranges, func(r shard.Range) bool { return !known[r.Server] })
}

// withoutCompleted returns the map without the owners of old whose moves are complete, nil if there are
// none.
func (lm *Manager) withoutCompleted(service string, m *shard.Map) *shard.Map {
	var next *shard.Map
	for _, s := range lm.completedMoves {
		if s.service != service {
			continue
		}
		if next == nil {
			next = m.Clone()
		}
		if i := next.Find(s.from); i >= 0 && next.Ranges[i].Fence == s.fence && next.Ranges[i].From == s.from {
			next.Ranges[i].Before = nil
		}
	}
	if next == nil || slices.EqualFunc(next.Ranges, m.Ranges, sameLease) {
		return nil
	}
	return next
}

// planInput gathers what a plan is made from.
func (lm *Manager) planInput(service string, m *shard.Map, now time.Time) shard.Input {
	servers, powers := lm.Servers(), lm.Capacities(service)
	in := shard.Input{
		Map: m, Target: lm.TargetLatency(service).Seconds(), Addresses: map[string]string{}, Reborn: restarted(servers, m),
	}
	usual, n := 0.0, 0
	for _, p := range powers {
		usual, n = usual+p, n+1
	}
	if n > 0 {
		usual /= float64(n)
	}
	failing := lm.failingServers(servers, now)
	cutOff := lm.cutOffDomains(servers, now)
	for id, s := range servers {
		if s.Service != service {
			continue
		}
		power := powers[id]
		if power == 0 {
			power = max(usual, float64(s.Slots))
			if usual > 0 {
				power = usual
			}
		}
		lost := s.Leaving() || failing[id] && !cutOff[s.Domain]
		capped := false
		if now.Before(s.WarmAt) {
			power *= coldCapacityFactor
			if s.ColdRate > 0 {
				power, capped = min(power, coldLoadFactor*s.ColdRate), true
			}
		}
		in.Members = append(in.Members, shard.Member{
			ID: id, Address: s.Address, Power: power, Slots: s.Slots, Usable: !lost && (s.Domain == lm.Domain || !cutOff[s.Domain]), Lost: lost, Capped: capped,
		})
		in.Addresses[id] = s.Address
	}
	lm.rememberServers(servers)
	for id, s := range lm.leftServers {
		in.Addresses[id] = s.Address
		if in.Reborn[id] == "" && s.Service == service && lm.Roster.CutOff(s.Domain, cutOffHoldTime, now) {
			// It may only seem to have left: it keeps its keys for now.
			in.Members = append(in.Members, shard.Member{ID: id, Address: s.Address, Slots: s.Slots})
		}
	}
	for before, id := range in.Reborn {
		in.Addresses[before] = servers[id].Address
	}
	return in
}

// cutOffDomains returns the failure domains that are cut off. No key can be taken from the servers of others than the own one, or
// given to them: planned all the same, such a move leaves keys without an owner that are served behind the cut.
//
// The own domain seems cut off, too, while this instance has just stood still.
func (lm *Manager) cutOffDomains(servers map[string]rules.Server, now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, s := range servers {
		if _, known := out[s.Domain]; !known {
			out[s.Domain] = lm.Roster.CutOff(s.Domain, cutOffHoldTime, now)
		}
	}
	return out
}

// restarted returns the lives of today of the servers that own keys in the name of an earlier one.
// An earlier life gets its orders at the address of the new one: nobody else can answer for it.
func restarted(servers map[string]rules.Server, m *shard.Map) map[string]string {
	gone := ownersOf(m)
	maps.DeleteFunc(gone, func(id string, _ struct{}) bool { _, there := servers[id]; return there })
	if len(gone) == 0 {
		return nil
	}
	lives := make(map[string]string, len(servers))
	for id := range servers {
		lives[rules.NameOf(id)] = id
	}
	out := map[string]string{}
	for id := range gone {
		if now, there := lives[rules.NameOf(id)]; there {
			out[id] = now
		}
	}
	return out
}

// rememberServers keeps what is known of servers that left.
func (lm *Manager) rememberServers(servers map[string]rules.Server) {
	for id, s := range lm.presentServers {
		if _, there := servers[id]; !there {
			lm.leftServers[id] = s
		}
	}
	for id := range servers {
		delete(lm.leftServers, id)
	}
	lm.presentServers = servers
	if len(lm.leftServers) > maxLeftServers {
		clear(lm.leftServers)
	}
}

// failingServers returns the servers that those in charge of them do not reach. Others may have lost their
// own way to a server: when a cut between two failure domains ended, the instances of one still
// took the servers of the other for silent, though these had been renewed all the while.
func (lm *Manager) failingServers(servers map[string]rules.Server, now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, reporter := range lm.Roster.Alive(now) {
		for _, id := range reporter.Beat.Failing {
			s, there := servers[id]
			if !there || out[id] {
				continue
			}
			charged := lm.Roster.Rank(id, s.Domain, now)
			charged = charged[:min(requiredReporters, len(charged))]
			out[id] = !slices.ContainsFunc(charged, func(p roster.Peer) bool {
				return !slices.Contains(p.Beat.Failing, id)
			})
		}
	}
	return out
}

// writeOwners appends the next owners of a service behind those they were decided from.
func (lm *Manager) writeOwners(ctx context.Context, service string, from, to *shard.Map) {
	value, err := to.Encode()
	if err != nil {
		lm.Events.Note(event.Belief, "owners-not-written", "service", service, "error", err)
		return
	}
	lm.plannedAt = time.Now()
	if !lm.append(ctx, keyService+service, value) {
		return
	}
	lm.recordDecided(service, from, to)
	offset := lm.view.get().End - 1
	lm.BroadcastOwners(service, offset, to.Fence, to.Changes(from))
	lm.Events.Note(event.Belief, "owners-written", "service", service, "offset", offset, "fence", to.Fence,
		"ranges", len(to.Ranges), "changes", describeChanges(from, to))
	lm.completedMoves = slices.DeleteFunc(lm.completedMoves, func(s completedMove) bool { return s.service == service })
}

// writeRetryDelay is the time between attempts to write the owners: some fifty answers of the store.
const writeRetryDelay = 200 * time.Millisecond

// describeChanges lists the changes of owners, for the log.
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
