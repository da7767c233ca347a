package permit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// rank orders requests that wait: by priority, then those that can make their target before those that
// cannot.
//
// Callers that return after a refusal do not go first. Under overload they would take all of the servers'
// time, too late for their target, and push new ones beyond theirs (TestOverload).
type rank struct {
	priority int
	late     bool
}

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.priority, o.priority), trueFirst(o.late, r.late))
}

// trueFirst compares by a property whose bearers go first.
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

// waiter is a request that asked for a permit.
type waiter struct {
	Request
	// sequence is the order of arrival.
	sequence uint64
	// crossDomainAt is when servers of other domains may be used.
	crossDomainAt time.Time
	expectedTime  time.Duration
	// late says that the target is out of reach. Such a request is refused at giveUpAt if it
	// still waits then.
	late          bool
	queueDeadline time.Time

	// rankQueue is where the request waits, nil if it does not, and index its position there.
	rankQueue *rankQueue
	index     int
}

func (w *waiter) rank() rank { return rank{w.Priority, w.late} }

// precedes reports whether a request goes before another one.
func (w *waiter) precedes(o *waiter) bool {
	return cmp.Or(w.rank().compare(o.rank()), cmp.Compare(w.sequence, o.sequence)) < 0
}

// rankQueue holds the requests of one rank, the first to arrive at its head.
type rankQueue struct {
	rank    rank
	waiters waiterHeap
	// work is what the requests take together.
	work time.Duration
}

func (l *rankQueue) push(w *waiter) {
	w.rankQueue = l
	l.work += w.expectedTime
	heap.Push(&l.waiters, w)
}

// remove takes a request out of the line in which it waits.
func (w *waiter) remove() {
	w.rankQueue.work -= w.expectedTime
	heap.Remove(&w.rankQueue.waiters, w.index)
	w.rankQueue = nil
}

// waiterHeap implements heap.Interface.
type waiterHeap []*waiter

func (m waiterHeap) Len() int           { return len(m) }
func (m waiterHeap) Less(i, j int) bool { return m[i].sequence < m[j].sequence }

func (m waiterHeap) Swap(i, j int) {
	m[i], m[j] = m[j], m[i]
	m[i].index, m[j].index = i, j
}

func (m *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*m)
	*m = append(*m, w)
}

func (m *waiterHeap) Pop() any {
	old := *m
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*m = old[:len(old)-1]
	return last
}

// queue holds the requests that wait for the same servers, a line for each rank.
type queue struct {
	ranks []*rankQueue
}

func (q *queue) push(w *waiter) {
	at, found := slices.BinarySearchFunc(q.ranks, w.rank(), func(l *rankQueue, r rank) int { return l.rank.compare(r) })
	if !found {
		q.ranks = slices.Insert(q.ranks, at, &rankQueue{rank: w.rank()})
	}
	q.ranks[at].push(w)
}

// head returns the request that goes first, nil if none waits.
func (q *queue) head() *waiter {
	for _, l := range q.ranks {
		if len(l.waiters) > 0 {
			return l.waiters[0]
		}
	}
	return nil
}

// ahead returns the work of the requests of the same or a better rank, and their number.
func (q *queue) ahead(r rank) (work time.Duration, count int) {
	for _, l := range q.ranks {
		if l.rank.compare(r) > 0 {
			break
		}
		work += l.work
		count += len(l.waiters)
	}
	return work, count
}
