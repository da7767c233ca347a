package admit

import "time"

// timer is an event that is due at some time. Timers are not cancelled: one whose admission, server
// or request is gone by then is ignored.
type timer interface{ timer() }

type (
	// admissionExpiry is when an admission that was not released expires, admissionCheck when its
	// holder is asked whether it still has it, expectedRelease when it is expected to end.
	admissionExpiry struct{ *heldAdmission }
	admissionCheck  struct{ *heldAdmission }
	expectedRelease struct{ *heldAdmission }
	// serverChange is when a server may become open to requests again.
	serverChange struct{ server *server }
	// crossDomainAllowed is when a request may use servers of other domains, queueTimeout when it
	// is rejected if it still waits.
	crossDomainAllowed struct{ request *waiter }
	queueTimeout       struct{ request *waiter }
)

// heldAdmission is the admission of its timers.
type heldAdmission struct {
	id     ID
	server *server
}

func (admissionExpiry) timer()    {}
func (admissionCheck) timer()     {}
func (expectedRelease) timer()    {}
func (serverChange) timer()       {}
func (crossDomainAllowed) timer() {}
func (queueTimeout) timer()       {}

// timers is a priority queue of timers, the earliest first. It is a binary heap; container/heap would allocate memory for
// each timer that is added or removed.
type timers struct{ entries []timerEntry }

type timerEntry struct {
	at    time.Time
	timer timer
}

func (t *timers) add(at time.Time, event timer) {
	t.entries = append(t.entries, timerEntry{at, event})
	for i := len(t.entries) - 1; i > 0; {
		parent := (i - 1) / 2
		if !t.before(i, parent) {
			return
		}
		t.swap(i, parent)
		i = parent
	}
}

// first returns the earliest timer, false if there is none.
func (t *timers) first() (timer, bool) {
	if len(t.entries) == 0 {
		return nil, false
	}
	return t.entries[0].timer, true
}

func (t *timers) removeFirst() {
	last := len(t.entries) - 1
	t.swap(0, last)
	t.entries[last] = timerEntry{}
	t.entries = t.entries[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child+1 < last && t.before(child+1, child) {
			child++
		}
		if child >= last || !t.before(child, i) {
			return
		}
		t.swap(i, child)
		i = child
	}
}

func (t *timers) before(i, j int) bool { return t.entries[i].at.Before(t.entries[j].at) }
func (t *timers) swap(i, j int)        { t.entries[i], t.entries[j] = t.entries[j], t.entries[i] }

// popDue removes and returns the earliest timer if it is due.
func (t *timers) popDue(now time.Time) (timer, bool) {
	next, found := t.first()
	if !found || t.entries[0].at.After(now) {
		return nil, false
	}
	t.removeFirst()
	return next, true
}
