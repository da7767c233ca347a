package permit

import (
	"container/heap"
	"time"
)

// timer is something that is to be looked at when its time has come. What has ended until then is passed
// over.
type timer interface{ timer() }

type (
	// permitEnds is when a permit is taken back that nobody gave back, permitDoubted when its holder is
	// asked, permitReturns when it is expected back.
	permitEnds struct {
		key    ID
		server *server
	}
	permitDoubted permitEnds
	permitReturns permitEnds
	// serverChanges is when a server may take requests again.
	serverChanges struct{ server *server }
	// requestCrosses is when a request may use servers of other domains, requestGivesUp when it is refused.
	requestCrosses struct{ request *waiting }
	requestGivesUp struct{ request *waiting }
)

func (permitEnds) timer()     {}
func (permitDoubted) timer()  {}
func (permitReturns) timer()  {}
func (serverChanges) timer()  {}
func (requestCrosses) timer() {}
func (requestGivesUp) timer() {}

// timers holds timers, the earliest first.
type timers struct{ entries entries }

type entry struct {
	at    time.Time
	timer timer
}

// set adds a timer.
func (t *timers) set(at time.Time, what timer) { heap.Push(&t.entries, entry{at, what}) }

// first returns the earliest timer, false if there is none.
func (t *timers) first() (timer, bool) {
	if len(t.entries) == 0 {
		return nil, false
	}
	return t.entries[0].timer, true
}

// drop removes the earliest timer.
func (t *timers) drop() { heap.Pop(&t.entries) }

// due returns and removes the earliest timer if its time has come.
func (t *timers) due(now time.Time) (timer, bool) {
	next, found := t.first()
	if !found || t.entries[0].at.After(now) {
		return nil, false
	}
	t.drop()
	return next, true
}

// entries implements heap.Interface.
type entries []entry

func (e entries) Len() int           { return len(e) }
func (e entries) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e entries) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *entries) Push(x any)        { *e = append(*e, x.(entry)) }

func (e *entries) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = entry{}
	*e = old[:len(old)-1]
	return last
}
