package resv

import (
	"container/list"
	"time"
)

// recent is a map that keeps its entries in the order of their last use.
type recent[K comparable, V any] struct {
	entries map[K]*list.Element
	order   list.List
}

type entry[K comparable, V any] struct {
	key    K
	value  V
	usedAt time.Time
}

func newRecent[K comparable, V any]() recent[K, V] {
	return recent[K, V]{entries: map[K]*list.Element{}}
}

// get returns the entry of a key, nil if there is none.
func (r *recent[K, V]) get(key K) *entry[K, V] {
	if e, found := r.entries[key]; found {
		return e.Value.(*entry[K, V])
	}
	return nil
}

// use returns the entry of a key and makes it the newest one. A new entry has the zero value.
func (r *recent[K, V]) use(now time.Time, key K) (e *entry[K, V], known bool) {
	element, known := r.entries[key]
	if known {
		r.order.MoveToBack(element)
	} else {
		element = r.order.PushBack(&entry[K, V]{key: key})
		r.entries[key] = element
	}
	e = element.Value.(*entry[K, V])
	e.usedAt = now
	return e, known
}

// oldest returns the entry that has not been used for the longest time, nil if there is none.
func (r *recent[K, V]) oldest() *entry[K, V] {
	if r.order.Len() == 0 {
		return nil
	}
	return r.order.Front().Value.(*entry[K, V])
}

func (r *recent[K, V]) remove(key K) {
	r.order.Remove(r.entries[key])
	delete(r.entries, key)
}

// expired returns the oldest entry if it has not been used for the lifetime, nil otherwise.
func (r *recent[K, V]) expired(now time.Time) *entry[K, V] {
	if e := r.oldest(); e != nil && !now.Before(e.usedAt.Add(lifetime)) {
		return e
	}
	return nil
}
