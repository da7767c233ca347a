package admit

import (
	"container/heap"
	"time"
)

// timer is an event that is due at some time. Timers are not cancelled: one whose admission, server
// or request is gone by then is ignored.
type timer interface{ timer() }

type (
	// admissionExpiry is when an admission that was not released expires, admissionCheck when its
	// holder is asked whether it still has it, expectedRelease when it is expected to end.
	admissionExpiry struct {
		id     ID
		server *server
	}
	admissionCheck  admissionExpiry
	expectedRelease admissionExpiry
	// serverChange is when a server may become open to requests again.
	serverChange struct{ server *server }
	// crossDomainAllowed is when a request may use servers of other domains, queueTimeout when it
	// is rejected if it still waits.
	crossDomainAllowed struct{ request *waiter }
	queueTimeout       struct{ request *waiter }
)

func (admissionExpiry) timer()    {}
func (admissionCheck) timer()     {}
func (expectedRelease) timer()    {}
func (serverChange) timer()       {}
func (crossDomainAllowed) timer() {}
func (queueTimeout) timer()       {}

// timers is a priority queue of timers, the earliest first.
type timers struct{ entries timerHeap }

type timerEntry struct {
	at    time.Time
	timer timer
}

func (t *timers) add(at time.Time, event timer) { heap.Push(&t.entries, timerEntry{at, event}) }

// first returns the earliest timer, false if there is none.
func (t *timers) first() (timer, bool) {
	if len(t.entries) == 0 {
		return nil, false
	}
	return t.entries[0].timer, true
}

func (t *timers) removeFirst() { heap.Pop(&t.entries) }

// popDue removes and returns the earliest timer if it is due.
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

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timerEntry)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timerEntry{}
	*h = old[:len(old)-1]
	return last
}
