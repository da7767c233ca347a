package policy

import (
	"cmp"
	"slices"
	"time"
)

// The running time of requests, as the queue estimates it.
const (
	// defaultRunTime is assumed before any request ended.
	defaultRunTime = 20 * time.Millisecond
	// runTimeDivisor is the share of the newest running time in the mean, as a divisor.
	runTimeDivisor = 8
)

// The shortest and longest time after which a refused caller is told to come back.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// A server that could not be reached is tried again after downFirst, then after twice that,
// up to downMost.
const (
	minEjection = 100 * time.Millisecond
	maxEjection = 5 * time.Second
)

// A new or returned server is cold: it gets work in half its slots until it has ended
// warmRuns requests, or warmTime after the first one started.
const (
	warmupRequests = 4
	warmupTime     = time.Second
)

// SlotRequest is a request for a slot.
type SlotRequest struct {
	Ticket Ticket
	// Caller is the identity between which the queue is fair.
	Caller string
	// Deadline is when the request must have its answer.
	Deadline Time
	// Suspect says that the request may crash servers.
	Suspect bool
}

// Server is one backend server behind a Queue.
type Server struct {
	Name  string
	Slots int
	// LoadHint breaks ties between servers that are equally busy: the lower goes first.
	LoadHint float64
}

// Queue hands out the slots of the servers behind one gate. Requests without a slot wait,
// fairly between callers and by deadline for one caller.
type Queue struct {
	maxWaiting int
	servers    []serverState
	callers    map[string]*callerQueue
	// order holds the callers with waiting requests; the next slot goes to the first.
	order       []*callerQueue
	waiting     int
	meanRunTime time.Duration
	// decisions is returned by the methods, and reused by the next call.
	decisions []Decision
}

// serverState is a server with the number of its slots in use.
type serverState struct {
	Server
	slotsInUse int
	// runsSuspect says that a suspect runs there.
	runsSuspect bool
	// removed says that the server left while requests still run there.
	removed bool
	// ejectedUntil is when the server may be tried again after it could not be reached, and
	// failures how often that happened in a row.
	ejectedUntil     Time
	unreachableCount int
	// completed counts the requests that ended since the server appeared, up to warmRuns.
	completed int
	// lastStartAt is when the newest request started.
	lastStartAt Time
	// coldUntil is when the cold start is over in any case; zero until the first request.
	coldUntil Time
}

// usableSlots returns the number of slots that may be in use now.
func (p *serverState) usableSlots(now Time) int {
	switch {
	case p.removed || p.ejectedUntil > now:
		return 0
	case p.completed < warmupRequests && (p.coldUntil == 0 || now < p.coldUntil):
		return max(p.Slots/2, 1)
	default:
		return p.Slots
	}
}

// NewQueue returns a queue without servers, in which at most limit requests wait.
func NewQueue(limit int) *Queue {
	return &Queue{maxWaiting: limit, callers: make(map[string]*callerQueue), meanRunTime: defaultRunTime}
}

// Configure replaces the servers and the limit. Slots that are in use at a server that is no
// longer named stay counted until they are released. The result, valid until the next call,
// names the requests that may start because of the change.
func (q *Queue) Configure(now Time, limit int, servers []Server) []Decision {
	q.decisions = q.decisions[:0]
	q.maxWaiting = limit
	for i := range q.servers {
		q.servers[i].removed = true
	}
	for _, c := range servers {
		if p := q.find(c.Name); p != nil {
			p.Server, p.removed = c, false
			continue
		}
		q.servers = append(q.servers, serverState{Server: c})
	}
	q.removeIdle()
	q.advance(now)
	return q.decisions
}

// IsConfigured reports whether the queue is configured as given.
func (q *Queue) IsConfigured(limit int, servers []Server) bool {
	if q.maxWaiting != limit {
		return false
	}
	if slices.EqualFunc(q.servers, servers, func(p serverState, c Server) bool { return !p.removed && p.Server == c }) {
		return true
	}
	present := 0
	for i := range q.servers {
		if !q.servers[i].removed {
			present++
		}
	}
	if present != len(servers) {
		return false
	}
	for _, c := range servers {
		if p := q.find(c.Name); p == nil || p.removed || p.Server != c {
			return false
		}
	}
	return true
}

// Admit takes a request in. The first verdict is on the request itself, any others on requests
// that wait. The result is valid until the next call.
func (q *Queue) Admit(now Time, a SlotRequest) []Decision {
	q.decisions = q.decisions[:0]
	q.decide(now, a)
	q.advance(now)
	return q.decisions
}

// decide adds the verdict on a new request.
func (q *Queue) decide(now Time, a SlotRequest) {
	switch {
	case a.Deadline <= now:
		q.reject(now, a.Ticket, ReasonDeadlinePassed)
	case !q.anyUsable(now):
		q.reject(now, a.Ticket, ReasonNoServer)
	case q.tryStart(now, a):
	case now.Add(q.expectedWait(now, a.Caller)+q.meanRunTime) > a.Deadline:
		q.reject(now, a.Ticket, ReasonDeadlineTooNear)
	case q.waiting < q.maxWaiting:
		q.decisions = append(q.decisions, Queued{Ticket: a.Ticket})
		q.enqueue(a)
	default:
		q.enqueueByDisplacing(now, a)
	}
}

// tryStart starts a request that need not wait behind others.
func (q *Queue) tryStart(now Time, a SlotRequest) bool {
	if q.waiting > 0 && !a.Suspect && q.canStartWaiting(now) {
		return false
	}
	p := q.freeServer(now, a.Suspect)
	if p == nil {
		return false
	}
	q.start(now, p, a)
	return true
}

// canStartWaiting reports whether a waiting request could start, which then goes first.
func (q *Queue) canStartWaiting(now Time) bool {
	if q.freeServer(now, false) == nil {
		return false
	}
	for _, l := range q.order {
		for _, a := range l.requests {
			if q.freeServer(now, a.Suspect) != nil {
				return true
			}
		}
	}
	return false
}

// enqueueByDisplacing lets a request in by shedding the last one of the caller with the longest line.
func (q *Queue) enqueueByDisplacing(now Time, a SlotRequest) {
	longest := q.longestQueue()
	if longest == nil || len(longest.requests) <= q.queueLength(a.Caller)+1 {
		q.reject(now, a.Ticket, ReasonQueueFull)
		return
	}
	last := longest.requests[len(longest.requests)-1]
	q.remove(last.Ticket)
	q.decisions = append(q.decisions, Queued{Ticket: a.Ticket})
	q.reject(now, last.Ticket, ReasonCallerOverShare)
	q.enqueue(a)
}

// Release returns a slot of a server after a request that ran for the given time, zero if it
// did not run. The result, valid until the next call, names the requests that start or are
// shed in consequence.
func (q *Queue) Release(now Time, server string, ran time.Duration, suspect bool) []Decision {
	q.decisions = q.decisions[:0]
	p := q.find(server)
	if p == nil || p.slotsInUse == 0 {
		return q.decisions
	}
	p.slotsInUse--
	if suspect {
		p.runsSuspect = false
	}
	if ran > 0 {
		q.meanRunTime += (ran - q.meanRunTime) / runTimeDivisor
		p.completed = min(p.completed+1, warmupRequests)
		p.unreachableCount = 0
	}
	q.removeIdle()
	q.advance(now)
	return q.decisions
}

// Eject gives a server no work until a time: it said that it has too much. Afterwards it
// starts cold. Waiting requests stay in the queue.
func (q *Queue) Eject(server string, until Time) {
	if p := q.find(server); p != nil {
		p.ejectedUntil = max(p.ejectedUntil, until)
		p.completed, p.coldUntil = 0, 0
	}
}

// EjectUnreachable suspends a server that could not be reached, for longer each time in a row.
func (q *Queue) EjectUnreachable(now Time, server string) {
	if p := q.find(server); p != nil && p.ejectedUntil <= now {
		q.Eject(server, now.Add(min(minEjection<<min(p.unreachableCount, 10), maxEjection)))
		p.unreachableCount++
	}
}

// Advance starts or sheds waiting requests after time has passed. The result is valid until
// the next call.
func (q *Queue) Advance(now Time) []Decision {
	q.decisions = q.decisions[:0]
	q.advance(now)
	return q.decisions
}

// Remove takes a waiting request out. It reports false when the request does not wait.
func (q *Queue) Remove(t Ticket) bool {
	return q.remove(t)
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// SlotsInUse returns the number of slots in use at a server.
func (q *Queue) SlotsInUse(server string) int {
	if p := q.find(server); p != nil {
		return p.slotsInUse
	}
	return 0
}

// Each calls visit for each server with its slots in use.
func (q *Queue) Each(visit func(c Server, busy int)) {
	for i := range q.servers {
		visit(q.servers[i].Server, q.servers[i].slotsInUse)
	}
}

// advance starts waiting requests while slots are free and sheds those that are too late.
func (q *Queue) advance(now Time) {
	for q.waiting > 0 {
		a, p := q.dequeueNext(now)
		if p == nil {
			return
		}
		if a.Deadline <= now {
			q.reject(now, a.Ticket, ReasonDeadlinePassed)
			continue
		}
		q.start(now, p, a)
	}
}

func (q *Queue) start(now Time, p *serverState, a SlotRequest) {
	p.slotsInUse++
	p.lastStartAt = now
	if p.coldUntil == 0 {
		p.coldUntil = now.Add(warmupTime)
	}
	p.runsSuspect = p.runsSuspect || a.Suspect
	q.decisions = append(q.decisions, Admitted{Ticket: a.Ticket, Server: p.Name})
}

func (q *Queue) reject(now Time, t Ticket, reason Reason) {
	wait := min(max(q.expectedWait(now, ""), minRetryDelay), maxRetryDelay)
	q.decisions = append(q.decisions, Rejected{Ticket: t, Reason: reason, RetryAt: now.Add(wait)})
}

// freeServer returns the server with the smallest share of its slots in use, nil if none is free.
func (q *Queue) freeServer(now Time, suspect bool) *serverState {
	var best *serverState
	for i := range q.servers {
		p := &q.servers[i]
		if p.slotsInUse >= p.usableSlots(now) || suspect && p.runsSuspect {
			continue
		}
		if best == nil || lessLoaded(p, best) {
			best = p
		}
	}
	return best
}

func lessLoaded(a, b *serverState) bool {
	if c := cmp.Compare(a.slotsInUse*b.Slots, b.slotsInUse*a.Slots); c != 0 {
		return c < 0
	}
	if c := cmp.Compare(a.LoadHint, b.LoadHint); c != 0 {
		return c < 0
	}
	// Ties that always went to the first server would give it more than its share.
	return a.lastStartAt < b.lastStartAt
}

// anyUsable reports whether any server may be given work.
func (q *Queue) anyUsable(now Time) bool {
	for i := range q.servers {
		if q.servers[i].usableSlots(now) > 0 {
			return true
		}
	}
	return false
}

func (q *Queue) find(server string) *serverState {
	for i := range q.servers {
		if q.servers[i].Name == server {
			return &q.servers[i]
		}
	}
	return nil
}

// removeIdle drops the servers that left and run nothing more.
func (q *Queue) removeIdle() {
	q.servers = slices.DeleteFunc(q.servers, func(p serverState) bool { return p.removed && p.slotsInUse == 0 })
}
