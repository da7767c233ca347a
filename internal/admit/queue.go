package admit

import (
	"cmp"
	"slices"
	"time"

	"example.org/mustardring/internal/fair"
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

// anyRank counts all ranks.
func anyRank(rank) bool { return true }

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
	// item has the start tag of the request and its position in the order of arrival. Without shares all tags are equal.
	item fair.Item[*waiter]
	// shares are those that the request counts for, nil if there are none.
	shares *shares
	// earlier is what is known of earlier tries.
	earlier Earlier
	// crossDomainAt is when the request may use servers of other domains.
	crossDomainAt time.Time
	// expectedTime is the expected service time, meanTime the mean of the route's when the request arrived.
	expectedTime, meanTime time.Duration
	// late reports whether the request cannot meet its target. queueDeadline is when the request is
	// rejected if it still waits; a late one is rejected earlier.
	late          bool
	queueDeadline time.Time

	// rankQueue is where the request waits, nil if it does not wait.
	rankQueue *rankQueue
}

func (w *waiter) rank() rank { return rank{w.Priority, w.late} }

// precedes reports whether the request goes before another one.
func (w *waiter) precedes(o *waiter) bool {
	return cmp.Or(w.rank().compare(o.rank()), cmp.Compare(w.item.Tag, o.item.Tag), cmp.Compare(w.item.Sequence, o.item.Sequence)) < 0
}

// rankQueue holds the waiting requests of one rank in order of start tags, then of arrival.
type rankQueue struct {
	rank    rank
	waiters fair.Queue[*waiter]
}

func (rq *rankQueue) push(w *waiter) {
	w.rankQueue = rq
	rq.waiters.Push(&w.item)
}

// remove removes the request from the queue in which it waits.
func (w *waiter) remove() {
	w.rankQueue.waiters.Remove(&w.item)
	w.rankQueue = nil
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

// head returns the request that goes first among those of some ranks, nil if none of them waits.
func (q *queue) head(counts func(rank) bool) *waiter {
	for _, rq := range q.ranks {
		if first := rq.waiters.First(); first != nil && counts(rq.rank) {
			return first.Value
		}
	}
	return nil
}

// inOrder returns the waiting requests in the order in which they go.
func (q *queue) inOrder() []*waiter {
	var out []*waiter
	for _, rq := range q.ranks {
		for item := range rq.waiters.All() {
			out = append(out, item.Value)
		}
	}
	return out
}

// ahead returns the expected service time of all requests that go before another one, and their number.
func (q *queue) ahead(w *waiter) (work time.Duration, count int) {
	for _, rq := range q.ranks {
		switch order := rq.rank.compare(w.rank()); {
		case order > 0:
			return work, count
		case order < 0:
			work += rq.waiters.Work()
			count += rq.waiters.Len()
		default:
			rankWork, rankCount := rq.waiters.Ahead(w.item.Tag, w.item.Sequence)
			work += rankWork
			count += rankCount
		}
	}
	return work, count
}

// aheadOfPriority returns the expected service time of the requests of the same priority that go before another one.
func (q *queue) aheadOfPriority(w *waiter) (work time.Duration) {
	for _, rq := range q.ranks {
		if rq.rank.priority != w.Priority || rq.rank.compare(w.rank()) > 0 {
			continue
		}
		if rq.rank == w.rank() {
			rankWork, _ := rq.waiters.Ahead(w.item.Tag, w.item.Sequence)
			work += rankWork
			continue
		}
		work += rq.waiters.Work()
	}
	return work
}
