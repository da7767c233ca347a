package lease

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/shard"
)

// localView holds this instance's current view and the time as of which it is known to be the newest.
// Its methods are safe for concurrent use.
type localView struct {
	mu      sync.Mutex
	current *View
	// read is what the store holds in its latest era. It is current, unless the owners are not in force in that era yet.
	// readAsOf is then a time at which no record after read had been acknowledged by the store.
	read     *View
	readAsOf clock.Instant
	// latestEra is the latest era of the store that is known, from the store or another instance, and learnedAt when this
	// instance read the first records of it.
	latestEra logpos.Era
	learnedAt clock.Instant
	// currentAsOf is a time at which no record after current had been acknowledged by the store.
	currentAsOf clock.Instant
	// loaded is set once an update has given a value to currentAsOf.
	loaded bool
}

func newLocalView() *localView {
	empty := newView()
	return &localView{current: empty, read: empty}
}

func newView() *View {
	return &View{Maps: map[string]*shard.Map{}, Instances: map[string]roster.Entry{}}
}

// get returns the current view, which is replaced on changes and never modified.
func (v *localView) get() *View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

// fresh reports whether the view may be acted on: until its age is contactTimeout, or MaxViewAge if
// inContact reports contact with a majority of the other instances.
func (v *localView) fresh(now clock.Instant, contactTimeout time.Duration, inContact func() bool) bool {
	v.mu.Lock()
	age, loaded := now.Sub(v.currentAsOf), v.loaded
	v.mu.Unlock()
	return loaded && (age < contactTimeout || age < MaxViewAge && inContact())
}

// confirmCurrent takes in the statement of another instance that, at some time not before echo, its view up to
// offset known was of the given age. It counts only if this instance knows the same records.
func (v *localView) confirmCurrent(known logpos.Pos, echo clock.Instant, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	asOf := echo.Add(-time.Duration(float64(age) * maxClockDrift))
	if v.loaded && known == v.current.End && asOf > v.currentAsOf {
		v.currentAsOf = asOf
	}
}

// age returns the age of the view.
func (v *localView) age(now clock.Instant) clock.Instant {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now - v.currentAsOf
}

// The prefixes of record keys: the owners of a service, or the registration of an instance.
const (
	keyService  = "service/"
	keyInstance = "instance/"
)

// InstanceKey returns the key of the record of an instance.
func InstanceKey(name string) string { return keyInstance + name }

// applyUpdate applies an update that was read from the store. It reports whether a view changed, and returns the errors of
// malformed records, which are skipped.
func (v *localView) applyUpdate(u follow.Update) (changed bool, faults []error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	base := v.read
	if u.Snapshot && u.End.Era() > base.End.Era() {
		// The records may be older than those that are known, and their positions do not compare.
		base = newView()
	}
	next, changed, faults := base.with(u)
	if !next.inForce() {
		if u.End >= next.End && u.CurrentAsOf != 0 {
			v.readAsOf = max(v.readAsOf, u.CurrentAsOf)
		}
		v.read = next
		return changed, faults
	}
	v.current, v.read = next, next
	// An update that ends before the view is outdated, and one that was cut short has no CurrentAsOf. Neither
	// proves that the view is current.
	if u.End >= next.End && u.CurrentAsOf > v.currentAsOf {
		v.currentAsOf, v.loaded = u.CurrentAsOf, true
	}
	return changed, faults
}

// with returns the view after an update. It reports whether that differs, and returns the errors of malformed records.
func (v *View) with(u follow.Update) (next *View, changed bool, faults []error) {
	next = v.clone()
	records := u.Records
	if u.Snapshot {
		// Of a record of all owners and those of parts, the later ones count.
		records = slices.Clone(records)
		slices.SortStableFunc(records, func(a, b follow.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	}
	for _, r := range records {
		if r.Offset < v.End {
			continue
		}
		if err := next.put(r); err != nil {
			faults = append(faults, err)
		}
		changed = true
	}
	if u.End >= next.End && u.Snapshot {
		next.removeMissingInstances(u.Records)
	}
	if u.End > next.End {
		next.End = u.End
		changed = true
	}
	return next, changed, faults
}

// clone returns a copy of the view that can be modified by put.
func (v *View) clone() *View {
	next := *v
	next.Maps, next.Instances, next.parts, next.staged = maps.Clone(v.Maps), maps.Clone(v.Instances), maps.Clone(v.parts), maps.Clone(v.staged)
	next.supersededNames = maps.Clone(v.supersededNames)
	return &next
}

// inForce reports whether the owners in the view may be acted on: they were put in force in the era of the store, or the
// store has no eras. If no record says in which era they were, an instance of a release that does not know eras has
// written them, and the store is taken not to have come back since.
func (v *View) inForce() bool {
	return v.End.Era() == v.Opened || v.Opened == 0 && len(v.Maps) > 0
}

// Records returns records that make up the view: the owners of each service and the register of instances. They have no
// offsets.
func (v *View) Records() ([]follow.Record, error) {
	var out []follow.Record
	if v.Opened != 0 {
		r, err := v.opening().record()
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	for service, m := range v.Maps {
		data, err := m.Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, follow.Record{Key: v.ownersKey(service), Value: data})
	}
	for name, e := range v.Instances {
		data, err := e.Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, follow.Record{Key: InstanceKey(name), Value: data})
	}
	staged, err := v.stagedRecords()
	return append(out, staged...), err
}

// put applies one record: the owners of a service or the registration of an instance.
func (v *View) put(r follow.Record) error {
	if name, found := strings.CutPrefix(r.Key, keyInstance); found {
		return v.putInstance(name, r)
	}
	if strings.HasPrefix(r.Key, keyEra) {
		return v.putOpening(r)
	}
	era, key, known := parseOwnersKey(r.Key)
	switch {
	case !known:
		return errUnknownKey
	case era > v.Opened:
		return v.stage(era, key, r)
	case era == v.Opened && !v.shortKeys || era == 0 && (v.shortKeys || v.Opened == 0):
		return v.putOwners(key, r)
	default:
		// It was decided in an earlier era and carried out in this one, or is left from that era.
		return nil
	}
}

// putInstance applies the registration of an instance. That an earlier incarnation has ended or was removed says nothing about
// the registered one: the store may carry out an append seconds later.
func (v *View) putInstance(name string, r follow.Record) error {
	delete(v.supersededNames, name)
	if len(r.Value) == 0 {
		delete(v.Instances, name)
		return nil
	}
	e, err := roster.Decode(r.Value)
	if err != nil {
		return err
	}
	known, found := v.Instances[name]
	if !e.Acts() && found && known.Acts() && known.Incarnation != e.Incarnation && !v.believesFormerEnds {
		if v.supersededNames == nil {
			v.supersededNames = map[string]struct{}{}
		}
		v.supersededNames[name] = struct{}{}
		return nil
	}
	v.Instances[name] = e
	return nil
}

// superseded reports whether the newest record of a registered instance is about an earlier incarnation, so that those who read
// only the newest records do not know of the registration.
func (v *View) superseded(name string) bool {
	_, found := v.supersededNames[name]
	return found
}

// putOwners applies the record of the owners of a service, or of a part of them.
func (v *View) putOwners(key string, r follow.Record) error {
	service, index, isPart := parsePartKey(key)
	if !isPart {
		m, err := shard.Decode(r.Value)
		if err != nil {
			return err
		}
		v.Maps[service] = m
		delete(v.parts, service)
		return nil
	}
	part, err := shard.DecodePart(r.Value, index)
	if err != nil {
		return err
	}
	if m := v.Maps[service]; m != nil && len(m.Ranges) > 0 {
		next, err := m.WithPart(index, part)
		if err != nil {
			return err
		}
		v.Maps[service] = next
		return nil
	}
	parts := make([]*shard.Map, shard.NumParts)
	copy(parts, v.parts[service])
	parts[index] = part
	v.parts = maps.Clone(v.parts)
	if v.parts == nil {
		v.parts = map[string][]*shard.Map{}
	}
	v.parts[service] = parts
	if slices.Contains(parts, nil) {
		return nil
	}
	m, err := shard.JoinParts(parts)
	if err != nil {
		return err
	}
	v.Maps[service] = m
	delete(v.parts, service)
	return nil
}

// partSeparator separates the name of a service from the index of a part in the key of a record.
const partSeparator = "#part/"

// parsePartKey splits the key of a record of owners, without its prefix. It reports whether the record is of a part.
func parsePartKey(key string) (service string, index int, isPart bool) {
	at := strings.LastIndex(key, partSeparator)
	if at < 0 {
		return key, 0, false
	}
	index, err := strconv.Atoi(key[at+len(partSeparator):])
	if err != nil || index < 0 || index >= shard.NumParts {
		return key, 0, false
	}
	return key[:at], index, true
}

// maxOwnersRecord is the size in bytes from which on owners are stored in parts. It leaves room below the 262,144 bytes
// that the store takes.
const maxOwnersRecord = 160 << 10

// ownersRecords returns the records that change the owners of a service from one map to another: one for all of them,
// or those of the parts that differ if that is too large. It also returns the new owners as they are stored.
//
// Key is the key of the record of all owners.
func ownersRecords(key string, from, to *shard.Map) (out []follow.Record, stored *shard.Map, err error) {
	whole, err := to.Encode()
	if err != nil {
		return nil, nil, err
	}
	if len(whole) <= maxOwnersRecord {
		return []follow.Record{{Key: key, Value: whole}}, to, nil
	}
	to = to.SplitMovesAtParts()
	for index := range shard.NumParts {
		if len(from.Ranges) > 0 && from.SamePart(index, to) {
			continue
		}
		data, err := to.Part(index).Encode()
		if err != nil {
			return nil, nil, err
		}
		out = append(out, follow.Record{Key: key + partSeparator + strconv.Itoa(index), Value: data})
	}
	return out, to, nil
}

// removeMissingInstances removes the instances that have no record in snapshot, which holds the newest
// record of every key.
func (v *View) removeMissingInstances(snapshot []follow.Record) {
	present := make(map[string]bool, len(snapshot))
	for _, r := range snapshot {
		present[r.Key] = len(r.Value) > 0
	}
	maps.DeleteFunc(v.Instances, func(name string, _ roster.Entry) bool { return !present[InstanceKey(name)] })
}

// readAge returns the age of what was read from the store.
func (v *localView) readAge(now clock.Instant) clock.Instant {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.read == v.current {
		return now - v.currentAsOf
	}
	return now - v.readAsOf
}

// registered reports whether an incarnation of an instance is registered, and neither removed, ended nor superseded. Instances that
// have read only the newest records do not wait for one that is superseded.
func (v *View) registered(name string, incarnation uint64) bool {
	e, found := v.Instances[name]
	return found && e.Incarnation == incarnation && e.Acts() && !v.superseded(name)
}

// applyOwnerChange applies records of owners that another instance appended, ahead of the next read. It
// returns false unless they directly follow the view. The records are in the store, so they may be
// acted on; only a read can tell whether anything follows them, so currentAsOf stays.
func (v *localView) applyOwnerChange(c OwnerChange) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.loaded || c.Offset != v.current.End {
		return false
	}
	m := v.current.Maps[c.Service]
	if m == nil {
		m = &shard.Map{}
	}
	next, err := m.WithChanges(c.Fence, c.Changes)
	if err != nil {
		return false
	}
	all := maps.Clone(v.current.Maps)
	all[c.Service] = next
	changed := *v.current
	changed.Maps, changed.End = all, c.Offset+logpos.Pos(max(c.Records, 1))
	v.set(&changed)
	return true
}

// applyRegister applies records of the register that another instance read, ahead of the next read. It
// returns false unless they continue the view without a gap, and applies none if one is malformed.
func (v *localView) applyRegister(records []follow.Record) (follows bool, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.read == v.current && !v.loaded {
		return false, nil
	}
	next := v.read.clone()
	for _, r := range records {
		if r.Offset < next.End {
			continue
		}
		if r.Offset > next.End {
			return false, nil
		}
		if !isRegisterRecord(r) {
			return false, errNotRegisterRecord
		}
		if err := next.put(r); err != nil {
			return false, err
		}
		next.End++
	}
	if v.read == v.current {
		v.current = next
	}
	v.read = next
	return true, nil
}

// replace takes over the view of another instance if that one is newer. It is what the store held up to
// an offset, so it may be acted on; only a read can tell whether anything follows it.
func (v *localView) replace(peer *View) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if peer.End <= v.current.End {
		return false
	}
	v.set(peer)
	return true
}

// set replaces the current view, and what is read unless that is of a later era. The lock is held.
func (v *localView) set(view *View) {
	v.current = view
	if view.End >= v.read.End {
		v.read = view
	}
}

// getRead returns what the store holds in its latest era, the current view if the owners are in force there.
func (v *localView) getRead() *View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.read
}

// awaitsOpening reports whether the owners are not in force yet in the latest era that was read.
func (v *localView) awaitsOpening() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.read != v.current
}

// noteEra takes in the latest era that another instance knows of. It returns the latest one that is known.
func (v *localView) noteEra(era logpos.Era) logpos.Era {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.latestEra = max(v.latestEra, era, v.read.End.Era())
	return v.latestEra
}

// markLearned records that the first records of the latest era were read.
func (v *localView) markLearned(now clock.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.learnedAt = now
}

// learned returns when the first records of the latest era were read, and as of when the current view is known to have been
// the newest, zero if it is not.
func (v *localView) learned() (learnedAt, currentAsOf clock.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.loaded {
		return v.learnedAt, 0
	}
	return v.learnedAt, v.currentAsOf
}
