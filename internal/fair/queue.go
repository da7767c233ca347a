// Package fair shares the time of a saturated server between callers and between priorities. It
// performs no I/O, and its types are not safe for concurrent use.
//
// Callers share by start-time fair queueing (Goyal, Vin and Cheng, 1996): a request starts, in
// virtual time, when the previous request of its caller finishes, and requests are served in the
// order of their start tags. Priorities share by Floors.
package fair

import (
	"cmp"
	"iter"
	"math/rand/v2"
	"time"
)

// Item is an entry of a Queue. Tag, Sequence and Work must not change while it is in a queue.
type Item[T any] struct {
	Value T
	// Tag orders the items of a queue, and Sequence those with the same tag. No two items of a
	// queue have both in common.
	Tag      float64
	Sequence uint64
	// Work is the expected service time.
	Work time.Duration

	// queue is the queue that the item is in, nil if there is none.
	queue       *Queue[T]
	left, right *Item[T]
	// weight is the random number by which a parent precedes its children.
	weight uint32
	// count and work are sums over the item and everything below it.
	count int32
	work  time.Duration
}

// Queue orders items by Tag, then by Sequence. Its operations cost O(log n), as it is a treap: a
// search tree that is balanced by random weights. The zero value is an empty queue.
type Queue[T any] struct {
	root *Item[T]
}

// Push adds an item. An item that is in a queue is removed from it first.
func (q *Queue[T]) Push(it *Item[T]) {
	if it.queue != nil {
		it.queue.Remove(it)
	}
	it.queue, it.weight = q, rand.Uint32()
	it.sum()
	before, after := split(q.root, it.Tag, it.Sequence)
	q.root = join(join(before, it), after)
}

// Remove removes an item. It does nothing if the item is not in the queue.
func (q *Queue[T]) Remove(it *Item[T]) {
	if it.queue != q {
		return
	}
	before, rest := split(q.root, it.Tag, it.Sequence)
	_, after := split(rest, it.Tag, it.Sequence+1)
	q.root = join(before, after)
	it.queue, it.left, it.right = nil, nil, nil
}

// First returns the item that is ordered before all others, nil if the queue is empty.
func (q *Queue[T]) First() *Item[T] {
	it := q.root
	for it != nil && it.left != nil {
		it = it.left
	}
	return it
}

// Last returns the item that is ordered after all others, nil if the queue is empty.
func (q *Queue[T]) Last() *Item[T] {
	it := q.root
	for it != nil && it.right != nil {
		it = it.right
	}
	return it
}

// Len returns the number of items.
func (q *Queue[T]) Len() int {
	_, count := q.root.sums()
	return int(count)
}

// Work returns the sum of the work of all items.
func (q *Queue[T]) Work() time.Duration {
	work, _ := q.root.sums()
	return work
}

// Ahead returns the work and the number of the items that are ordered before a position.
func (q *Queue[T]) Ahead(tag float64, sequence uint64) (work time.Duration, count int) {
	for it := q.root; it != nil; {
		if !it.before(tag, sequence) {
			it = it.left
			continue
		}
		leftWork, leftCount := it.left.sums()
		work += leftWork + it.Work
		count += int(leftCount) + 1
		it = it.right
	}
	return work, count
}

// All returns the items in order. The loop may push and remove items.
func (q *Queue[T]) All() iter.Seq[*Item[T]] {
	return func(yield func(*Item[T]) bool) {
		for it := q.First(); it != nil && yield(it); it = q.from(it.Tag, it.Sequence+1) {
		}
	}
}

// from returns the first item that is not ordered before a position, nil if there is none.
func (q *Queue[T]) from(tag float64, sequence uint64) (first *Item[T]) {
	for it := q.root; it != nil; {
		if it.before(tag, sequence) {
			it = it.right
		} else {
			first, it = it, it.left
		}
	}
	return first
}

// split divides a tree into the items ordered before a position and the others.
func split[T any](it *Item[T], tag float64, sequence uint64) (before, after *Item[T]) {
	switch {
	case it == nil:
		return nil, nil
	case it.before(tag, sequence):
		it.right, after = split(it.right, tag, sequence)
		before = it
	default:
		before, it.left = split(it.left, tag, sequence)
		after = it
	}
	it.sum()
	return before, after
}

// join makes one tree of two, of which the items of the first are ordered before the others.
func join[T any](before, after *Item[T]) *Item[T] {
	switch {
	case before == nil:
		return after
	case after == nil:
		return before
	case before.weight > after.weight:
		before.right = join(before.right, after)
		before.sum()
		return before
	default:
		after.left = join(before, after.left)
		after.sum()
		return after
	}
}

// before reports whether the item is ordered before a position.
func (it *Item[T]) before(tag float64, sequence uint64) bool {
	return cmp.Or(cmp.Compare(it.Tag, tag), cmp.Compare(it.Sequence, sequence)) < 0
}

func (it *Item[T]) sums() (work time.Duration, count int32) {
	if it == nil {
		return 0, 0
	}
	return it.work, it.count
}

// sum computes the sums of the item from those of its children.
func (it *Item[T]) sum() {
	leftWork, leftCount := it.left.sums()
	rightWork, rightCount := it.right.sums()
	it.work, it.count = leftWork+it.Work+rightWork, leftCount+1+rightCount
}
