package policy

import (
	"cmp"
	"slices"
)

// callerQueue is the waiting requests of one caller, earliest deadline first.
type callerQueue struct {
	caller   string
	requests []SlotRequest
}

func (q *Queue) queueLength(caller string) int {
	if l := q.callers[caller]; l != nil {
		return len(l.requests)
	}
	return 0
}

func (q *Queue) longestQueue() *callerQueue {
	var longest *callerQueue
	for _, l := range q.order {
		if longest == nil || len(l.requests) > len(longest.requests) {
			longest = l
		}
	}
	return longest
}

func (q *Queue) enqueue(a SlotRequest) {
	l := q.callers[a.Caller]
	if l == nil {
		l = &callerQueue{caller: a.Caller}
		q.callers[a.Caller] = l
		q.order = append(q.order, l)
	}
	i, _ := slices.BinarySearchFunc(l.requests, a, func(x, y SlotRequest) int {
		return cmp.Or(cmp.Compare(x.Deadline, y.Deadline), cmp.Compare(x.Ticket, y.Ticket))
	})
	l.requests = slices.Insert(l.requests, i, a)
	q.waiting++
}

// dequeueNext takes out the first request that can start, in the order of the callers' turns, and
// the server for it. The server is nil if there is none.
func (q *Queue) dequeueNext(now Time) (SlotRequest, *serverState) {
	if q.freeServer(now, false) == nil {
		return SlotRequest{}, nil
	}
	for turn, l := range q.order {
		for i, a := range l.requests {
			p := q.freeServer(now, a.Suspect)
			if p == nil {
				continue
			}
			l.requests = slices.Delete(l.requests, i, i+1)
			q.waiting--
			q.order = slices.Delete(q.order, turn, turn+1)
			if len(l.requests) > 0 {
				q.order = append(q.order, l)
			} else {
				delete(q.callers, l.caller)
			}
			return a, p
		}
	}
	return SlotRequest{}, nil
}

func (q *Queue) remove(t Ticket) bool {
	for i, l := range q.order {
		at := slices.IndexFunc(l.requests, func(a SlotRequest) bool { return a.Ticket == t })
		if at < 0 {
			continue
		}
		l.requests = slices.Delete(l.requests, at, at+1)
		q.waiting--
		if len(l.requests) == 0 {
			q.order = slices.Delete(q.order, i, i+1)
			delete(q.callers, l.caller)
		}
		return true
	}
	return false
}
