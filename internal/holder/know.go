package holder

import (
	"maps"
	"sync"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/shard"
)

// knowledge is what the instance knows of the owners and since when. Its methods may be called
// from any goroutine.
type knowledge struct {
	mu     sync.Mutex
	owners *Owners
	// asOf is a time at which nothing newer than owners had been acknowledged.
	asOf clock.Instant
	read bool
}

func newKnowledge() *knowledge {
	return &knowledge{owners: &Owners{Maps: map[string]*shard.Map{}}}
}

// get returns the owners. They are never changed, only replaced.
func (k *knowledge) get() *Owners {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owners
}

// fresh reports whether the owners may be acted on.
func (k *knowledge) fresh(now clock.Instant) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.read && now.Sub(k.asOf) < knowledgeTime
}

// age returns how old the knowledge is.
func (k *knowledge) age(now clock.Instant) clock.Instant {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now - k.asOf
}

// fold takes in an update of the topic. It returns the records that are new, and errors of
// those that cannot be read.
func (k *knowledge) fold(u follow.Update) (changed bool, faults []error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := &Owners{Maps: maps.Clone(k.owners.Maps), End: k.owners.End}
	for _, r := range u.Records {
		if r.Offset < k.owners.End {
			continue
		}
		m, err := shard.Decode(r.Value)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		next.Maps[r.Key] = m
		changed = true
	}
	if u.End > next.End {
		next.End = u.End
		changed = true
	}
	k.owners = next
	// An update that ends before what is known is an old one, which proves nothing.
	if u.End >= next.End && u.BegunAt > k.asOf {
		k.asOf, k.read = u.BegunAt, true
	}
	return changed, faults
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
	next, err := m.With(fence, changes)
	if err != nil {
		return false
	}
	maps := maps.Clone(k.owners.Maps)
	maps[service] = next
	k.owners = &Owners{Maps: maps, End: offset + 1}
	return true
}
