package policy

import (
	"cmp"
	"slices"
)

// callerQueue holds the waiting requests of one caller, earliest deadline first.
type callerQueue struct {
	caller   string
	requests []SlotRequest
}

func (q *Queue) queueLength(caller string) int {
	if c := q.callers[caller]; c != nil {
		return len(c.requests)
	}
	return 0
}

func (q *Queue) longestQueue() *callerQueue {
	var longest *callerQueue
	for _, c := range q.order {
		if longest == nil || len(c.requests) > len(longest.requests) {
			longest = c
		}
	}
	return longest
}

func (q *Queue) enqueue(r SlotRequest) {
	c := q.callers[r.Caller]
	if c == nil {
		c = &callerQueue{caller: r.Caller}
		q.callers[r.Caller] = c
		q.order = append(q.order, c)
	}
	i, _ := slices.BinarySearchFunc(c.requests, r, func(a, b SlotRequest) int {
		return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.Ticket, b.Ticket))
	})
	c.requests = slices.Insert(c.requests, i, r)
	q.waiting++
}

// dequeueNext removes the first waiting request that a server has a free slot for, and returns
// it with that server. Callers take turns: the caller of that request goes to the end of the
// order. The server is nil if no request can start.
func (q *Queue) dequeueNext(now Time) (SlotRequest, *serverState) {
	if q.freeServer(now, false) == nil {
		return SlotRequest{}, nil
	}
	for turn, c := range q.order {
		for i, r := range c.requests {
			s := q.freeServer(now, r.Suspect)
			if s == nil {
				continue
			}
			c.requests = slices.Delete(c.requests, i, i+1)
			q.waiting--
			q.order = slices.Delete(q.order, turn, turn+1)
			if len(c.requests) > 0 {
				q.order = append(q.order, c)
			} else {
				delete(q.callers, c.caller)
			}
			return r, s
		}
	}
	return SlotRequest{}, nil
}

func (q *Queue) remove(t Ticket) bool {
	for i, c := range q.order {
		at := slices.IndexFunc(c.requests, func(r SlotRequest) bool { return r.Ticket == t })
		if at < 0 {
			continue
		}
		c.requests = slices.Delete(c.requests, at, at+1)
		q.waiting--
		if len(c.requests) == 0 {
			q.order = slices.Delete(q.order, i, i+1)
			delete(q.callers, c.caller)
		}
		return true
	}
	return false
}
