package permit

import (
	"container/heap"
	"time"
)

// timer is something that is to be looked at when its time has come. What has ended until then is passed
// over.
type timer interface{ timer() }

type (
	// admissionExpiry is when a permit is taken back that nobody gave back, permitDoubted when its holder is
	// asked, permitReturns when it is expected back.
	admissionExpiry struct {
		key    ID
		server *server
	}
	admissionCheck  admissionExpiry
	expectedRelease admissionExpiry
	// serverChange is when a server may take requests again.
	serverChange struct{ server *server }
	// crossDomainAllowed is when a request may use servers of other domains, requestGivesUp when it is refused.
	crossDomainAllowed struct{ request *waiter }
	queueTimeout       struct{ request *waiter }
)

func (admissionExpiry) timer()    {}
func (admissionCheck) timer()     {}
func (expectedRelease) timer()    {}
func (serverChange) timer()       {}
func (crossDomainAllowed) timer() {}
func (queueTimeout) timer()       {}

// timers holds timers, the earliest first.
type timers struct{ entries timerHeap }

type timerEntry struct {
	at    time.Time
	timer timer
}

// add adds a timer.
func (t *timers) add(at time.Time, what timer) { heap.Push(&t.entries, timerEntry{at, what}) }

// first returns the earliest timer, false if there is none.
func (t *timers) first() (timer, bool) {
	if len(t.entries) == 0 {
		return nil, false
	}
	return t.entries[0].timer, true
}

// removeFirst removes the earliest timer.
func (t *timers) removeFirst() { heap.Pop(&t.entries) }

// popDue returns and removes the earliest timer if its time has come.
func (t *timers) popDue(now time.Time) (timer, bool) {
	next, found := t.first()
	if !found || t.entries[0].at.After(now) {
		return nil, false
	}
	t.removeFirst()
	return next, true
}

// timerHeap implements heap.Interface.
type timerHeap []timerEntry

func (e timerHeap) Len() int           { return len(e) }
func (e timerHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e timerHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *timerHeap) Push(x any)        { *e = append(*e, x.(timerEntry)) }

func (e *timerHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = timerEntry{}
	*e = old[:len(old)-1]
	return last
}
