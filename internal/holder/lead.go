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
func (h *Manager) lead(ctx context.Context, now time.Time) {
	leader, found := h.Roster.Leader(now)
	h.noteLeader(leader.Name)
	leads := found && leader.Name == h.Name && h.reached.Load() && h.entitled()
	if leads != h.leads {
		h.leads = leads
		h.leading.Store(leads)
		h.Roster.SetLeading(leads, now)
		h.LeadershipChanged(leads)
		h.Events.Note(event.Belief, "leading", "leads", leads, "offset", h.know.get().End)
	}
	h.prune(h.know.get())
	if !leads {
		return
	}
	h.clear(ctx, now)
	if now.Before(h.pauseUntil) {
		return
	}
	for _, service := range h.Services() {
		if time.Now().Before(h.pauseUntil) {
			break
		}
		h.decide(ctx, service, now)
	}
	h.move(ctx)
}

// noteLeader logs whom this instance takes for the leader, when that changes, and what it lacks to lead
// itself. The name is empty if no instance says that it reaches the store.
func (h *Manager) noteLeader(name string) {
	if name == h.leader {
		return
	}
	h.leader = name
	h.Events.Note(event.Belief, "leader", "instance", name, "store-reached", h.reached.Load(), "entitled", h.entitled(),
		"knowledge-age", time.Duration(h.know.age(h.Clock.Now())))
}

// clear marks the instances that have been silent for long as removed, and deletes the records
// of those that were marked for so long that nothing they know is fresh.
func (h *Manager) clear(ctx context.Context, now time.Time) {
	if now.Sub(h.clearedAt) < clearEvery {
		return
	}
	h.clearedAt = now
	for _, p := range h.Roster.Others() {
		if p.SinceHeartbeat(now) < registerSilence {
			continue
		}
		h.Events.Note(event.Belief, "instance-removed", "instance", p.Name, "silent-for", p.SinceHeartbeat(now))
		e := p.Entry
		e.Removed = true
		if value, err := e.Encode(); err == nil {
			h.append(ctx, InstanceKey(p.Name), value)
		}
		return
	}
	for _, name := range h.Roster.RemovedBefore(now.Add(-knowledgeTime - leaseTime)) {
		h.append(ctx, InstanceKey(name), nil)
		return
	}
}

// clearEvery is how often the leader looks for instances that are gone. Each finding is one
// call to the store.
const clearEvery = 500 * time.Millisecond

// append writes a record behind what is known, and takes it in.
func (h *Manager) append(ctx context.Context, key string, value []byte) bool {
	end := h.know.get().End
	if !h.guards.condition {
		end = -1
	}
	begun := h.Clock.Now()
	offset, err := h.Store.Append(ctx, h.Topic, key, value, end)
	if err != nil {
		h.Events.Note(event.Belief, "owners-not-written", "key", key, "as-of", end, "error", err)
		h.pauseUntil = time.Now().Add(writePause)
		if !errors.Is(err, follow.ErrConflict) {
			h.reached.Store(false)
			h.SendHeartbeat()
		}
		h.RereadOwners()
		return false
	}
	h.fold(follow.Update{
		Topic: h.Topic, StartedAt: begun, CurrentAsOf: begun,
		Batch: follow.Batch{End: offset + 1, Records: []follow.Record{{Key: key, Value: value, Offset: offset}}},
	})
	return true
}

// decide writes the next owners of a service, if they should change.
func (h *Manager) decide(ctx context.Context, service string, now time.Time) {
	known := h.know.get()
	current := known.Maps[service]
	if current == nil {
		current = &shard.Map{}
	}
	var next *shard.Map
	settled := h.settle(service, current)
	if settled != nil && !now.Before(h.settleAt) {
		next = settled
	}
	in := h.input(service, current, now)
	if adopted := h.adoptMoves(service, current, in.Addresses); adopted != nil {
		h.write(ctx, service, current, adopted)
		return
	}
	if len(current.Ranges) == 0 && !h.gathered(service, len(in.Servers), now) {
		return
	}
	urgent := len(current.Ranges) == 0 || slices.ContainsFunc(in.Servers, func(m shard.ServerState) bool {
		return m.Lost && len(current.RangesOf(m.ID)) > 0
	}) || h.orphans(in, current)
	if urgent || now.Sub(h.plannedAt) >= balanceEvery {
		if settled != nil {
			in.Map = settled
		}
		if !urgent {
			h.plannedAt = now
		}
		in.Load = h.Load(service)
		if planned := h.plan(service, in); planned != nil {
			next = planned
		}
	}
	if next != nil {
		h.write(ctx, service, current, next)
	}
}

// usesLogged is the number of servers, those that lose most, that a line about a plan names.
const usesLogged = 6

// plan returns the owners that should follow, nil if they stay, and logs what that rests on.
func (h *Manager) plan(service string, in shard.Input) *shard.Map {
	begun := time.Now()
	next := shard.Plan(in)
	if next != nil {
		took, uses := time.Since(begun), shard.ServerLoads(in)
		h.Events.Note(event.Belief, "planned", "service", service, "took", took, "servers", len(uses),
			"uses", fmt.Sprintf("%.3v", uses[:min(len(uses), usesLogged)]))
	}
	return next
}

// gathered reports whether the servers of a new service have stopped coming, so that its keys
// are divided among all of them at once. The first to come would get every key, and giving
// them away one range after the other takes tens of seconds.
func (h *Manager) gathered(service string, members int, now time.Time) bool {
	g := h.gathering[service]
	if g.members != members {
		g = gathering{members: members, since: now}
		h.gathering[service] = g
	}
	return members > 0 && now.Sub(g.since) >= gatherTime
}

// gathering is the number of servers of a service that has no owners yet.
type gathering struct {
	members int
	since   time.Time
}

// orphans reports whether keys belong to servers that are not there.
func (h *Manager) orphans(in shard.Input, m *shard.Map) bool {
	known := make(map[string]bool, len(in.Servers))
	for _, s := range in.Servers {
		known[s.ID] = true
	}
	return slices.ContainsFunc(m.Ranges, func(r shard.Range) bool { return !known[r.Server] })
}

// settle returns the map without the owners of old whose moves are complete, nil if there are
// none.
func (h *Manager) settle(service string, m *shard.Map) *shard.Map {
	var next *shard.Map
	for _, s := range h.finished {
		if s.service != service {
			continue
		}
		if next == nil {
			next = m.Clone()
		}
		if i := next.Find(s.from); i >= 0 && next.Ranges[i].Fence == s.fence && next.Ranges[i].From == s.from {
			next.Ranges[i].FormerOwners = nil
		}
	}
	if next == nil || slices.EqualFunc(next.Ranges, m.Ranges, sameRight) {
		return nil
	}
	return next
}

// input gathers what a plan is made from.
func (h *Manager) input(service string, m *shard.Map, now time.Time) shard.Input {
	servers, powers := h.Servers(), h.Capacities(service)
	in := shard.Input{
		Map: m, TargetLatency: h.TargetLatency(service).Seconds(), Addresses: map[string]string{}, Restarted: reborn(servers, m),
	}
	usual, n := 0.0, 0
	for _, p := range powers {
		usual, n = usual+p, n+1
	}
	if n > 0 {
		usual /= float64(n)
	}
	failing := h.failing(servers, now)
	cutOff := h.cutOff(servers, now)
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
			power *= coldPower
			if s.ColdRate > 0 {
				power, capped = min(power, coldShare*s.ColdRate), true
			}
		}
		in.Servers = append(in.Servers, shard.ServerState{
			ID: id, Address: s.Address, Capacity: power, Slots: s.Slots, Usable: !lost && (s.Domain == h.Domain || !cutOff[s.Domain]), Lost: lost, Capped: capped,
		})
		in.Addresses[id] = s.Address
	}
	h.remember(servers)
	for id, s := range h.left {
		in.Addresses[id] = s.Address
		if in.Restarted[id] == "" && s.Service == service && h.Roster.CutOff(s.Domain, holdTime, now) {
			// It may only seem to have left: it keeps its keys for now.
			in.Servers = append(in.Servers, shard.ServerState{ID: id, Address: s.Address, Slots: s.Slots})
		}
	}
	for before, id := range in.Restarted {
		in.Addresses[before] = servers[id].Address
	}
	return in
}

// cutOff returns the failure domains that are cut off. No key can be taken from the servers of others than the own one, or
// given to them: planned all the same, such a move leaves keys without an owner that are served behind the cut.
//
// The own domain seems cut off, too, while this instance has just stood still.
func (h *Manager) cutOff(servers map[string]rules.Server, now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, s := range servers {
		if _, known := out[s.Domain]; !known {
			out[s.Domain] = h.Roster.CutOff(s.Domain, holdTime, now)
		}
	}
	return out
}

// reborn returns the lives of today of the servers that own keys in the name of an earlier one.
// An earlier life gets its orders at the address of the new one: nobody else can answer for it.
func reborn(servers map[string]rules.Server, m *shard.Map) map[string]string {
	gone := owners(m)
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

// remember keeps what is known of servers that left.
func (h *Manager) remember(servers map[string]rules.Server) {
	for id, s := range h.present {
		if _, there := servers[id]; !there {
			h.left[id] = s
		}
	}
	for id := range servers {
		delete(h.left, id)
	}
	h.present = servers
	if len(h.left) > leftMost {
		clear(h.left)
	}
}

// failing returns the servers that those in charge of them do not reach. Others may have lost their
// own way to a server: when a cut between two failure domains ended, the instances of one still
// took the servers of the other for silent, though these had been renewed all the while.
func (h *Manager) failing(servers map[string]rules.Server, now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, reporter := range h.Roster.Alive(now) {
		for _, id := range reporter.Heartbeat.Failing {
			s, there := servers[id]
			if !there || out[id] {
				continue
			}
			charged := h.Roster.Rank(id, s.Domain, now)
			charged = charged[:min(witnesses, len(charged))]
			out[id] = !slices.ContainsFunc(charged, func(p roster.Peer) bool {
				return !slices.Contains(p.Heartbeat.Failing, id)
			})
		}
	}
	return out
}

// write appends the next owners of a service behind those they were decided from.
func (h *Manager) write(ctx context.Context, service string, from, to *shard.Map) {
	value, err := to.Encode()
	if err != nil {
		h.Events.Note(event.Belief, "owners-not-written", "service", service, "error", err)
		return
	}
	h.plannedAt = time.Now()
	if !h.append(ctx, keyService+service, value) {
		return
	}
	h.own(service, from, to)
	offset := h.know.get().End - 1
	h.BroadcastOwners(service, offset, to.Fence, to.Changes(from))
	h.Events.Note(event.Belief, "owners-written", "service", service, "offset", offset, "fence", to.Fence,
		"ranges", len(to.Ranges), "changes", describe(from, to))
	h.finished = slices.DeleteFunc(h.finished, func(s settlement) bool { return s.service == service })
}

// writePause is the time between attempts to write the owners: some fifty answers of the store.
const writePause = 200 * time.Millisecond

// describe lists the changes of owners, for the log.
func describe(from, to *shard.Map) string {
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
