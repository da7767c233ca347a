package holder

import (
	"maps"
	"strings"
	"sync"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/shard"
)

// localView is what the instance knows of the owners and since when. Its methods may be called
// from any goroutine.
type localView struct {
	mu      sync.Mutex
	current *View
	// currentAsOf is a time at which nothing newer than owners had been acknowledged.
	currentAsOf clock.Instant
	loaded      bool
}

func newLocalView() *localView {
	return &localView{current: &View{Maps: map[string]*shard.Map{}, Instances: map[string]roster.Entry{}}}
}

// get returns the owners. They are never changed, only replaced.
func (v *localView) get() *View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

// fresh reports whether the owners may be acted on: for contactTime, or for knowledgeTime where contact
// says that the instance hears a majority of the others.
func (v *localView) fresh(now clock.Instant, contactTime time.Duration, contact func() bool) bool {
	v.mu.Lock()
	age, read := now.Sub(v.currentAsOf), v.loaded
	v.mu.Unlock()
	return read && (age < contactTime || age < maxViewAge && contact())
}

// confirmCurrent takes in the word of another instance: at a time that is not before echo, its
// knowledge that nothing follows a record was of the given age.
func (v *localView) confirmCurrent(known int64, echo clock.Instant, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	asOf := echo.Add(-time.Duration(float64(age) * maxClockDrift))
	if v.loaded && known == v.current.End && asOf > v.currentAsOf {
		v.currentAsOf = asOf
	}
}

// age returns how old the knowledge is.
func (v *localView) age(now clock.Instant) clock.Instant {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now - v.currentAsOf
}

// The keys of records: the owners of a service, or the registration of an instance.
const (
	keyService  = "service/"
	keyInstance = "instance/"
)

// InstanceKey returns the key of the record of an instance.
func InstanceKey(name string) string { return keyInstance + name }

// applyUpdate takes in an update of the topic. It reports whether anything is new, and the errors of
// records that cannot be read.
func (v *localView) applyUpdate(u follow.Update) (changed bool, faults []error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := &View{Maps: maps.Clone(v.current.Maps), Instances: maps.Clone(v.current.Instances), End: v.current.End}
	for _, r := range u.Records {
		if r.Offset < v.current.End {
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
	v.current = next
	// An update that ends before what is known is an old one, and one that was cut short has no time up to which it is
	// complete: neither proves anything.
	if u.End >= next.End && u.CurrentAsOf > v.currentAsOf {
		v.currentAsOf, v.loaded = u.CurrentAsOf, true
	}
	return changed, faults
}

// put takes in a record.
func (v *View) put(r follow.Record) error {
	if name, found := strings.CutPrefix(r.Key, keyInstance); found {
		if len(r.Value) == 0 {
			delete(v.Instances, name)
			return nil
		}
		e, err := roster.Decode(r.Value)
		if err != nil {
			return err
		}
		v.Instances[name] = e
		return nil
	}
	m, err := shard.Decode(r.Value)
	if err != nil {
		return err
	}
	v.Maps[strings.TrimPrefix(r.Key, keyService)] = m
	return nil
}

// removeMissingInstances removes the instances that are not among all records there are.
func (v *View) removeMissingInstances(all []follow.Record) {
	there := make(map[string]bool, len(all))
	for _, r := range all {
		there[r.Key] = len(r.Value) > 0
	}
	maps.DeleteFunc(v.Instances, func(name string, _ roster.Entry) bool { return !there[InstanceKey(name)] })
}

// registered reports whether a life of an instance is registered.
func (v *View) registered(name string, incarnation uint64) bool {
	e, found := v.Instances[name]
	return found && e.Incarnation == incarnation && !e.Removed && !e.Ended
}

// applyOwnerChange takes in a record that another instance wrote, ahead of the next read. It returns
// false unless the record follows what is known. The record is in the store, so acting by it
// is right; that nothing follows it is known only from a read.
func (v *localView) applyOwnerChange(service string, offset int64, fence uint64, changes []shard.Range) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.loaded || offset != v.current.End {
		return false
	}
	m := v.current.Maps[service]
	if m == nil {
		m = &shard.Map{}
	}
	next, err := m.With(fence, changes)
	if err != nil {
		return false
	}
	all := maps.Clone(v.current.Maps)
	all[service] = next
	v.current = &View{Maps: all, Instances: v.current.Instances, End: offset + 1}
	return true
}

// applyRegister takes in records of the register that another instance read, ahead of the next read. It returns false
// unless they follow what is known, and takes in none if one is malformed.
func (v *localView) applyRegister(records []follow.Record) (follows bool, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.loaded {
		return false, nil
	}
	next := &View{Maps: v.current.Maps, Instances: maps.Clone(v.current.Instances), End: v.current.End}
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
	v.current = next
	return true, nil
}

// replace takes in all that another instance knows, if that is more. It is what the store held up to
// an offset, so acting by it is right; that nothing follows it is known only from a read.
func (v *localView) replace(peer *View) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if peer.End <= v.current.End {
		return false
	}
	v.current = peer
	return true
}
