package policy

import (
	"cmp"
	"slices"
)

// line is the waiting requests of one caller, earliest deadline first.
type line struct {
	caller string
	asks   []Ask
}

func (q *Queue) lineLength(caller string) int {
	if l := q.callers[caller]; l != nil {
		return len(l.asks)
	}
	return 0
}

func (q *Queue) longest() *line {
	var longest *line
	for _, l := range q.order {
		if longest == nil || len(l.asks) > len(longest.asks) {
			longest = l
		}
	}
	return longest
}

func (q *Queue) enqueue(a Ask) {
	l := q.callers[a.Caller]
	if l == nil {
		l = &line{caller: a.Caller}
		q.callers[a.Caller] = l
		q.order = append(q.order, l)
	}
	i, _ := slices.BinarySearchFunc(l.asks, a, func(x, y Ask) int {
		return cmp.Or(cmp.Compare(x.Deadline, y.Deadline), cmp.Compare(x.Ticket, y.Ticket))
	})
	l.asks = slices.Insert(l.asks, i, a)
	q.waiting++
}

// next takes out the first request that can start, in the order of the callers' turns, and
// the server for it. The server is nil if there is none.
func (q *Queue) next(now Time) (Ask, *place) {
	if q.free(now, false) == nil {
		return Ask{}, nil
	}
	for turn, l := range q.order {
		for i, a := range l.asks {
			p := q.free(now, a.Suspect)
			if p == nil {
				continue
			}
			l.asks = slices.Delete(l.asks, i, i+1)
			q.waiting--
			q.order = slices.Delete(q.order, turn, turn+1)
			if len(l.asks) > 0 {
				q.order = append(q.order, l)
			} else {
				delete(q.callers, l.caller)
			}
			return a, p
		}
	}
	return Ask{}, nil
}

func (q *Queue) remove(t Ticket) bool {
	for i, l := range q.order {
		at := slices.IndexFunc(l.asks, func(a Ask) bool { return a.Ticket == t })
		if at < 0 {
			continue
		}
		l.asks = slices.Delete(l.asks, at, at+1)
		q.waiting--
		if len(l.asks) == 0 {
			q.order = slices.Delete(q.order, i, i+1)
			delete(q.callers, l.caller)
		}
		return true
	}
	return false
}
