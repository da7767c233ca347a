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

// knowledge is what the instance knows of the owners and since when. Its methods may be called
// from any goroutine.
type knowledge struct {
	mu     sync.Mutex
	owners *View
	// asOf is a time at which nothing newer than owners had been acknowledged.
	asOf clock.Instant
	read bool
}

func newKnowledge() *knowledge {
	return &knowledge{owners: &View{Maps: map[string]*shard.Map{}, Instances: map[string]roster.Entry{}}}
}

// get returns the owners. They are never changed, only replaced.
func (k *knowledge) get() *View {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owners
}

// fresh reports whether the owners may be acted on: for contactTime, or for knowledgeTime where contact
// says that the instance hears a majority of the others.
func (k *knowledge) fresh(now clock.Instant, contactTime time.Duration, contact func() bool) bool {
	k.mu.Lock()
	age, read := now.Sub(k.asOf), k.read
	k.mu.Unlock()
	return read && (age < contactTime || age < knowledgeTime && contact())
}

// refresh takes in the word of another instance: at a time that is not before echo, its
// knowledge that nothing follows a record was of the given age.
func (k *knowledge) refresh(known int64, echo clock.Instant, age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	asOf := echo.Add(-time.Duration(float64(age) * drift))
	if k.read && known == k.owners.End && asOf > k.asOf {
		k.asOf = asOf
	}
}

// age returns how old the knowledge is.
func (k *knowledge) age(now clock.Instant) clock.Instant {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now - k.asOf
}

// The keys of records: the owners of a service, or the registration of an instance.
const (
	keyService  = "service/"
	keyInstance = "instance/"
)

// InstanceKey returns the key of the record of an instance.
func InstanceKey(name string) string { return keyInstance + name }

// fold takes in an update of the topic. It reports whether anything is new, and the errors of
// records that cannot be read.
func (k *knowledge) fold(u follow.Update) (changed bool, faults []error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := &View{Maps: maps.Clone(k.owners.Maps), Instances: maps.Clone(k.owners.Instances), End: k.owners.End}
	for _, r := range u.Records {
		if r.Offset < k.owners.End {
			continue
		}
		if err := next.put(r); err != nil {
			faults = append(faults, err)
		}
		changed = true
	}
	if u.End >= next.End && u.Snapshot {
		next.drop(u.Records)
	}
	if u.End > next.End {
		next.End = u.End
		changed = true
	}
	k.owners = next
	// An update that ends before what is known is an old one, and one that was cut short has no time up to which it is
	// complete: neither proves anything.
	if u.End >= next.End && u.CurrentAsOf > k.asOf {
		k.asOf, k.read = u.CurrentAsOf, true
	}
	return changed, faults
}

// put takes in a record.
func (o *View) put(r follow.Record) error {
	if name, found := strings.CutPrefix(r.Key, keyInstance); found {
		if len(r.Value) == 0 {
			delete(o.Instances, name)
			return nil
		}
		e, err := roster.Decode(r.Value)
		if err != nil {
			return err
		}
		o.Instances[name] = e
		return nil
	}
	m, err := shard.Decode(r.Value)
	if err != nil {
		return err
	}
	o.Maps[strings.TrimPrefix(r.Key, keyService)] = m
	return nil
}

// drop removes the instances that are not among all records there are.
func (o *View) drop(all []follow.Record) {
	there := make(map[string]bool, len(all))
	for _, r := range all {
		there[r.Key] = len(r.Value) > 0
	}
	maps.DeleteFunc(o.Instances, func(name string, _ roster.Entry) bool { return !there[InstanceKey(name)] })
}

// registered reports whether a life of an instance is registered.
func (o *View) registered(name string, incarnation uint64) bool {
	e, found := o.Instances[name]
	return found && e.Incarnation == incarnation && !e.Removed && !e.Ended
}

// extend takes in a record that another instance wrote, ahead of the next read. It returns
// false unless the record follows what is known. The record is in the store, so acting by it
// is right; that nothing follows it is known only from a read.
func (k *knowledge) extend(service string, offset int64, fence uint64, changes []shard.Range) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.read || offset != k.owners.End {
		return false
	}
	m := k.owners.Maps[service]
	if m == nil {
		m = &shard.Map{}
	}
	next, err := m.WithChanges(fence, changes)
	if err != nil {
		return false
	}
	all := maps.Clone(k.owners.Maps)
	all[service] = next
	k.owners = &View{Maps: all, Instances: k.owners.Instances, End: offset + 1}
	return true
}

// enroll takes in records of the register that another instance read, ahead of the next read. It returns false
// unless they follow what is known, and takes in none if one is malformed.
func (k *knowledge) enroll(records []follow.Record) (follows bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.read {
		return false, nil
	}
	next := &View{Maps: k.owners.Maps, Instances: maps.Clone(k.owners.Instances), End: k.owners.End}
	for _, r := range records {
		if r.Offset < next.End {
			continue
		}
		if r.Offset > next.End {
			return false, nil
		}
		if !inRegister(r) {
			return false, errNotRegister
		}
		if err := next.put(r); err != nil {
			return false, err
		}
		next.End++
	}
	k.owners = next
	return true, nil
}

// adopt takes in all that another instance knows, if that is more. It is what the store held up to
// an offset, so acting by it is right; that nothing follows it is known only from a read.
func (k *knowledge) adopt(o *View) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o.End <= k.owners.End {
		return false
	}
	k.owners = o
	return true
}
