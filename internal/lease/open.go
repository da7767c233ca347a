package lease

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/shard"
)

const (
	// maxLeaseTime is how long a lease may be valid after the last instance could send a grant.
	maxLeaseTime = leaseDuration*102/100 + maxTransitTime
	// catchUpInterval is the time between two checks what other instances know of an earlier era. minViewDelay is the mean delay
	// after the first request for the view of one; it doubles with each request up to maxViewDelay, since hundreds that have
	// started again may ask the one that has not.
	catchUpInterval = 200 * time.Millisecond
	minViewDelay    = 200 * time.Millisecond
	maxViewDelay    = 6400 * time.Millisecond
	// maxOpeningSize is the maximum size in bytes of the records that one append of an opening takes, well below what the
	// store takes.
	maxOpeningSize = 1 << 20
)

// verdict is what is known of the records of owners that the store may have lost. It is one of the types below.
type verdict interface{ isVerdict() }

// undecided means that a lost record that this instance does not know may still be acted on. Reason says why.
type undecided struct{ reason string }

// complete means that this instance knows all records on which a valid lease may rest. NothingLost says that there cannot
// have been others, so that no fence can have been given that it does not know.
type complete struct{ nothingLost bool }

func (undecided) isVerdict() {}
func (complete) isVerdict()  {}

// openEra puts the owners in force in the latest era of the store, if this instance knows enough of them.
//
// Whoever decided or granted something because of a lost record is an instance that was registered. It is still running, and
// states by its heartbeats what it knows, or it has ended and its leases expire, or it is cut off, and its view gets too old
// to act on.
func (lm *Manager) openEra(ctx context.Context, now time.Time) {
	current, read := lm.view.get(), lm.view.getRead()
	v := lm.assess(current, read, now)
	if !lm.guards.awaitKnowledge {
		v = complete{}
	}
	switch v := v.(type) {
	case undecided:
		if v.reason != lm.undecidedReason {
			lm.undecidedReason = v.reason
			lm.Events.Record(event.StateChange, "era-awaits", "era", read.End.Era(), "known", current.End, "read", read.End, "reason", v.reason)
		}
	case complete:
		if !now.Before(lm.nextWriteAt) {
			lm.writeOpening(ctx, current, read, v.nothingLost)
		}
	}
}

// rereadRegister asks for reads of the register at short intervals, so that instances that have started again are known, and
// their statements count, before the owners are put in force.
func (lm *Manager) rereadRegister(now time.Time) {
	if now.Sub(lm.registerReadAt) >= catchUpInterval {
		lm.registerReadAt = now
		lm.RereadOwners()
	}
}

// assess returns what is known of lost records, given what this instance acts on and what the store holds.
func (lm *Manager) assess(current, read *View, now time.Time) verdict {
	learnedAt, currentAsOf := lm.view.learned()
	a := assessment{
		current: current.End, era: read.End.Era(), learnedAt: learnedAt, currentAsOf: currentAsOf, now: now, clockNow: lm.Clock.Now(),
	}
	a.silentUntil = lm.silentUntil(a)
	out := complete{nothingLost: !hasNewer(read, current)}
	// A process that has just started does not know what the one before it has granted.
	verdicts := []verdict{a.ofStart("this one", lm.startedAt)}
	for _, p := range lm.Roster.Others() {
		verdicts = append(verdicts, a.ofPeer(p, lm.Roster.ReplacedSince(p.Name)))
	}
	if lm.Roster.HasRemoved() {
		verdicts = append(verdicts, a.ofSilent("removed"))
	}
	for _, v := range verdicts {
		switch v := v.(type) {
		case undecided:
			return v
		case complete:
			out.nothingLost = out.nothingLost && v.nothingLost
		}
	}
	return out
}

// assessment holds what the verdict about each instance depends on.
type assessment struct {
	// current is the end of the view that this instance acts on, currentAsOf a time at which it was the newest, zero if that
	// is not known. era is the latest era of the store, of which this instance read the first records at learnedAt.
	current     logpos.Pos
	currentAsOf clock.Instant
	era         logpos.Era
	learnedAt   clock.Instant
	// silentUntil is until when leases may be valid that are based on what silent instances know.
	silentUntil clock.Instant
	now         time.Time
	clockNow    clock.Instant
}

// instant converts a time to one of the lease clock.
func (a assessment) instant(at time.Time) clock.Instant { return a.clockNow.Add(-a.now.Sub(at)) }

// ofPeer returns the verdict about another instance, given since when another incarnation of it is heard, zero for none.
func (a assessment) ofPeer(p roster.Peer, replacedSince time.Time) verdict {
	h, since := p.Heartbeat, p.IncarnationSince
	if !p.HeardSince.IsZero() {
		since = clock.Earlier(since, p.HeardSince)
	}
	switch {
	case !replacedSince.IsZero():
		return a.ofStart(p.Name, replacedSince)
	case p.HeartbeatAt.IsZero() || h.EchoAt < int64(a.learnedAt):
		return a.ofSilent(p.Name)
	case h.Known.Era() >= a.era:
		return undecided{"has entered the era: " + p.Name}
	case h.Known > a.current:
		return undecided{"knows more: " + p.Name}
	default:
		return a.ofStart(p.Name, since)
	}
}

// ofStart returns the verdict about an instance that has started before a time: the process before it may have used a record
// that was lost, unless the current view is known to have been the newest later.
func (a assessment) ofStart(name string, since time.Time) verdict {
	switch startedBy := a.instant(since); {
	case a.currentAsOf >= startedBy && a.currentAsOf != 0:
		return complete{nothingLost: true}
	case a.clockNow < startedBy.Add(maxLeaseTime):
		return undecided{"has just started: " + name}
	default:
		return complete{}
	}
}

// ofSilent returns the verdict about an instance that does not state what it knows.
func (a assessment) ofSilent(name string) verdict {
	if a.clockNow < a.silentUntil {
		return undecided{"is silent: " + name}
	}
	return complete{}
}

// hasNewer reports whether the store holds owners that are newer than those that are known.
func hasNewer(read, known *View) bool {
	for service, m := range read.Maps {
		if k := known.Maps[service]; k == nil || k.Fence < m.Fence {
			return true
		}
	}
	return false
}

// silentUntil returns until when leases may be valid that are based on what silent instances know. Such an instance acts on
// its view until that is too old, or, if half of the instances do not agree with it, for the contact timeout only.
func (lm *Manager) silentUntil(a assessment) clock.Instant {
	until := a.learnedAt.Add(MaxViewAge)
	if !lm.Roster.HalfKnows(a.era, a.current) {
		lm.agreedSince = time.Time{}
		return until.Add(maxLeaseTime)
	}
	if lm.agreedSince.IsZero() {
		lm.agreedSince = a.now
	}
	contactTimeout := time.Duration(float64(lm.Roster.ContactTimeout()) * maxClockDrift)
	agreedSince := max(a.instant(lm.agreedSince), a.learnedAt)
	return min(until, agreedSince.Add(contactTimeout)).Add(maxLeaseTime)
}

// catchUp asks another instance for its view if that knows more records of an earlier era: the store has lost them. An
// instance that has just started sends requests by that view until the owners are in force.
func (lm *Manager) catchUp(now time.Time) {
	if now.Before(lm.nextViewAt) {
		return
	}
	known := lm.view.get().End
	var ahead []string
	for _, p := range lm.Roster.Alive(now) {
		if p.Name != lm.Name && p.Heartbeat.Known > known {
			ahead = append(ahead, p.Name)
		}
	}
	if len(ahead) == 0 {
		lm.viewRequests = 0
		return
	}
	lm.FetchView(ahead[rand.N(len(ahead))])
	delay := min(minViewDelay<<min(lm.viewRequests, maxViewDoublings), maxViewDelay)
	lm.nextViewAt = now.Add(delay/2 + rand.N(delay))
	lm.viewRequests++
}

// maxViewDoublings bounds the exponent of the delay between two requests for views.
const maxViewDoublings = 8

// writeOpening writes the owners and the lost registrations behind what the store holds, and puts them in force.
func (lm *Manager) writeOpening(ctx context.Context, current, read *View, nothingLost bool) {
	era := read.End.Era()
	owners := lm.openingOwners(current, read, nothingLost)
	records, err := openingRecords(era, owners)
	if err != nil {
		lm.Events.Record(event.StateChange, "era-not-opened", "era", era, "error", err)
		return
	}
	lost, err := lostRegistrations(lm.instances(), read.Instances)
	if err != nil {
		lm.Events.Record(event.StateChange, "era-not-opened", "era", era, "error", err)
		return
	}
	last, err := opening{Era: era}.record()
	if err != nil {
		lm.Events.Record(event.StateChange, "era-not-opened", "era", era, "error", err)
		return
	}
	records = slices.Concat(lost, records, []follow.Record{last}, read.deletions())
	for len(records) > 0 {
		part := firstRecords(records, maxOpeningSize)
		if !lm.append(ctx, records[:part]...) {
			return
		}
		records = records[part:]
	}
	lm.Events.Record(event.StateChange, "era-opened", "era", era, "known", current.End, "read", read.End, "nothing-lost", nothingLost,
		"services", len(owners), "registrations", len(lost))
	lm.EraChanged()
}

// openingOwners returns the owners of all services as they are put in force in a new era. What is known is newer than what the
// store holds, unless it is so old that all leases based on it have expired.
//
// If a lost record may have given fences that are not known, all ranges get new ones. No move is needed for that, since
// nobody but the known owner can have a lease.
func (lm *Manager) openingOwners(current, read *View, nothingLost bool) map[string]*shard.Map {
	servers := lm.Servers()
	out := map[string]*shard.Map{}
	for service := range unionOfKeys(current.Maps, read.Maps) {
		m := current.Maps[service]
		if r := read.Maps[service]; m == nil || r != nil && r.Fence > m.Fence && lm.leasesExpired() {
			m = r
		}
		next := m.Clone()
		next.Fence = max(next.Fence, logpos.FirstFence(read.End.Era()))
		if !nothingLost && lm.guards.renewFences {
			renewFences(next, func(id string) string { return addressOf(servers, id) })
		}
		out[service] = next
	}
	return out
}

// leasesExpired reports whether all leases have expired that are based on the current view.
func (lm *Manager) leasesExpired() bool {
	_, currentAsOf := lm.view.learned()
	return lm.Clock.Now() >= currentAsOf.Add(MaxViewAge+maxLeaseTime)
}

// renewFences gives each range a new fence, given the addresses of servers. A move that has not ended is decided anew.
func renewFences(m *shard.Map, addressOf func(id string) string) {
	for i, r := range m.Ranges {
		var former []shard.Owner
		if len(r.FormerOwners) > 0 {
			former = append(slices.Clone(r.FormerOwners), shard.Owner{Server: r.Server, Address: addressOf(r.Server)})
		}
		m.Reassign(i, r.Server, former)
	}
}

// openingRecords returns the records of all owners in an era.
func openingRecords(era logpos.Era, owners map[string]*shard.Map) ([]follow.Record, error) {
	var out []follow.Record
	for _, service := range slices.Sorted(maps.Keys(owners)) {
		records, _, err := ownersRecords(ownersKeyIn(era, service), &shard.Map{}, owners[service])
		if err != nil {
			return nil, err
		}
		out = append(out, records...)
	}
	return out, nil
}

// deletions returns the records that delete those of the era that was opened last, which a later one has replaced.
func (v *View) deletions() []follow.Record {
	if v.Opened == 0 || v.shortKeys {
		return nil
	}
	out := []follow.Record{{Key: keyEra + strconv.FormatUint(uint64(v.Opened), 10)}}
	for _, service := range slices.Sorted(maps.Keys(v.Maps)) {
		stored, _, err := ownersRecords(v.ownersKey(service), &shard.Map{}, v.Maps[service])
		if err != nil {
			continue // it was not written either
		}
		for _, r := range stored {
			out = append(out, follow.Record{Key: r.Key})
		}
	}
	return out
}

// lostRegistrations returns the records of the instances that the store lacks, or lists with an earlier state.
func lostRegistrations(known, stored map[string]roster.Entry) ([]follow.Record, error) {
	var out []follow.Record
	for _, name := range slices.Sorted(maps.Keys(known)) {
		e := known[name]
		s, listed := stored[name]
		if listed && s == e || !listed && e.Ended {
			continue
		}
		value, err := e.Encode()
		if err != nil {
			return nil, errors.Join(errNotRegisterRecord, err)
		}
		out = append(out, follow.Record{Key: InstanceKey(name), Value: value})
	}
	return out, nil
}

// firstRecords returns how many records from the first on fit into a size in bytes, at least one.
func firstRecords(records []follow.Record, size int) int {
	for i, r := range records {
		if size -= len(r.Key) + len(r.Value); size < 0 && i > 0 {
			return i
		}
	}
	return len(records)
}

// NewView returns the view that an update of another instance with a snapshot holds, and the errors of malformed records,
// which are skipped.
func NewView(p follow.PeerUpdate) (*View, []error) {
	view, _, faults := newView().with(follow.Update{Batch: p.Batch, Snapshot: true})
	return view, faults
}

// instances returns the register. While the owners are not in force in the latest era, that is what is known of earlier ones
// and what the store holds. Of two incarnations of an instance the known one counts, unless the other one was heard last or
// is this one.
func (lm *Manager) instances() map[string]roster.Entry {
	current, read := lm.view.get(), lm.view.getRead()
	if current == read {
		return current.Instances
	}
	out := maps.Clone(current.Instances)
	for name, e := range read.Instances {
		self := name == lm.Name && e.Incarnation == lm.Incarnation
		if known, found := out[name]; !found || self || known.Incarnation != e.Incarnation && lm.Roster.LastHeard(name, e.Incarnation) {
			out[name] = e
		}
	}
	return out
}

// unionOfKeys returns the keys of two maps.
func unionOfKeys[V any](a, b map[string]V) map[string]struct{} {
	out := map[string]struct{}{}
	for k := range a {
		out[k] = struct{}{}
	}
	for k := range b {
		out[k] = struct{}{}
	}
	return out
}

// adoptEra states in a record which era the owners are in force in that an instance of a release without eras has written.
func (lm *Manager) adoptEra(ctx context.Context, era logpos.Era) {
	r, err := opening{Era: era, ShortKeys: true}.record()
	if err == nil && lm.append(ctx, r) {
		lm.Events.Record(event.StateChange, "era-adopted", "era", era, "offset", lm.view.get().End)
	}
}

// logEra logs what an update has changed about the era, given the views before it.
func (lm *Manager) logEra(current, read *View) {
	nowCurrent, nowRead := lm.view.get(), lm.view.getRead()
	if nowRead.End.Era() > read.End.Era() {
		lm.Events.Record(event.StateChange, "owners-returned", "era", nowRead.End.Era(), "known", current.End, "read", nowRead.End,
			"in-force", nowRead == nowCurrent, "instances", len(nowRead.Instances), "instances-known", len(current.Instances))
		lm.EraChanged()
	}
	if nowCurrent.End.Era() > current.End.Era() && current.End > 0 {
		lm.Events.Record(event.StateChange, "era-entered", "era", nowCurrent.End.Era(), "known", current.End, "offset", nowCurrent.End)
	}
}
