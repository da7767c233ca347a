package admit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// rank orders waiting requests: by priority, then those that can meet their target before those
// that cannot.
//
// Requests of callers that come back after a rejection do not go first. Under overload they would
// take all of the servers' time, too late for their own target, and push new requests beyond theirs
// (TestOverload).
type rank struct {
	priority int
	late     bool
}

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.priority, o.priority), trueFirst(o.late, r.late))
}

// trueFirst compares two booleans; true sorts before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// waiter is a request on which the controller decides, with its state while it waits in a queue.
type waiter struct {
	Request
	// sequence is the position in the order of arrival.
	sequence uint64
	// crossDomainAt is when the request may use servers of other domains.
	crossDomainAt time.Time
	// expectedTime is the expected service time.
	expectedTime time.Duration
	// late reports whether the request cannot meet its target. queueDeadline is when the request is
	// rejected if it still waits; a late one is rejected earlier.
	late          bool
	queueDeadline time.Time

	// rankQueue is where the request waits, nil if it does not wait, and index its position in the
	// heap.
	rankQueue *rankQueue
	index     int
}

func (w *waiter) rank() rank { return rank{w.Priority, w.late} }

// precedes reports whether the request goes before another one.
func (w *waiter) precedes(o *waiter) bool {
	return cmp.Or(w.rank().compare(o.rank()), cmp.Compare(w.sequence, o.sequence)) < 0
}

// rankQueue holds the waiting requests of one rank in order of arrival.
type rankQueue struct {
	rank    rank
	waiters waiterHeap
	// work is the sum of their expected service times.
	work time.Duration
}

func (rq *rankQueue) push(w *waiter) {
	w.rankQueue = rq
	rq.work += w.expectedTime
	heap.Push(&rq.waiters, w)
}

// remove removes the request from the queue in which it waits.
func (w *waiter) remove() {
	w.rankQueue.work -= w.expectedTime
	heap.Remove(&w.rankQueue.waiters, w.index)
	w.rankQueue = nil
}

// waiterHeap implements heap.Interface.
type waiterHeap []*waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return h[i].sequence < h[j].sequence }

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// queue holds the requests that wait for the same servers, sorted by rank.
type queue struct {
	ranks []*rankQueue
}

func (q *queue) push(w *waiter) {
	at, found := slices.BinarySearchFunc(q.ranks, w.rank(), func(rq *rankQueue, r rank) int { return rq.rank.compare(r) })
	if !found {
		q.ranks = slices.Insert(q.ranks, at, &rankQueue{rank: w.rank()})
	}
	q.ranks[at].push(w)
}

// head returns the request that goes first, nil if none waits.
func (q *queue) head() *waiter {
	for _, rq := range q.ranks {
		if len(rq.waiters) > 0 {
			return rq.waiters[0]
		}
	}
	return nil
}

// inOrder returns the waiting requests in the order in which they go.
func (q *queue) inOrder() []*waiter {
	var out []*waiter
	for _, rq := range q.ranks {
		out = append(out, slices.SortedFunc(slices.Values(rq.waiters), func(a, b *waiter) int { return cmp.Compare(a.sequence, b.sequence) })...)
	}
	return out
}

// ahead returns the expected service time of all requests of the same or a better rank, and their
// number.
func (q *queue) ahead(r rank) (work time.Duration, count int) {
	for _, rq := range q.ranks {
		if rq.rank.compare(r) > 0 {
			break
		}
		work += rq.work
		count += len(rq.waiters)
	}
	return work, count
}
