package policy

import (
	"cmp"
	"slices"
	"time"
)

// The estimate of the run time of requests.
const (
	// defaultRunTime is the estimate before any request completes.
	defaultRunTime = 20 * time.Millisecond
	// runTimeDivisor is the inverse of the weight of a new run time in the moving average.
	runTimeDivisor = 8
)

// The bounds of the delay after which a rejected caller is told to retry.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// An unreachable server is ejected for minEjection, then for twice as long each time it is
// still unreachable, up to maxEjection.
const (
	minEjection = 100 * time.Millisecond
	maxEjection = 5 * time.Second
)

// A server that is new or returns from an ejection is cold: only half its slots are used until
// it has completed warmupRequests requests, or until warmupTime after the first of them
// started.
const (
	warmupRequests = 4
	warmupTime     = time.Second
)

// SlotRequest is a request for a slot.
type SlotRequest struct {
	Ticket Ticket
	// Caller is the identity by which the queue is fair.
	Caller string
	// Deadline is when the response must be complete.
	Deadline Time
	// Suspect says that the request is suspected to crash servers.
	Suspect bool
}

// Server is a backend server behind a Queue.
type Server struct {
	Name  string
	Slots int
	// LoadHint breaks ties between servers with the same share of slots in use: the lower one
	// is preferred.
	LoadHint float64
}

// Queue assigns the slots of the servers behind one gate. Requests that get no slot wait:
// callers take turns, and the requests of one caller are ordered by deadline.
type Queue struct {
	maxWaiting int
	servers    []serverState
	callers    map[string]*callerQueue
	// order holds the callers with waiting requests. The next free slot goes to the first one
	// with a request that can start.
	order       []*callerQueue
	waiting     int
	meanRunTime time.Duration
	// decisions is returned by the methods and reused by the next call.
	decisions []Decision
}

// serverState is a server with the state of its slots.
type serverState struct {
	Server
	slotsInUse int
	// runsSuspect says that a suspect request runs at the server.
	runsSuspect bool
	// removed says that the server is no longer configured but still runs requests.
	removed bool
	// ejectedUntil is when the server gets requests again after an ejection.
	ejectedUntil Time
	// unreachableCount is the number of times in a row that the server was unreachable.
	unreachableCount int
	// completed counts the requests that completed since the server was cold, up to
	// warmupRequests.
	completed int
	// lastStartAt is when a request last started.
	lastStartAt Time
	// coldUntil is when the server stops being cold even if fewer than warmupRequests have
	// completed. It is zero until the first request starts.
	coldUntil Time
}

// usableSlots returns the number of slots that may be in use now.
func (s *serverState) usableSlots(now Time) int {
	switch {
	case s.removed || s.ejectedUntil > now:
		return 0
	case s.completed < warmupRequests && (s.coldUntil == 0 || now < s.coldUntil):
		return max(s.Slots/2, 1)
	default:
		return s.Slots
	}
}

// NewQueue returns a queue without servers, in which at most maxWaiting requests wait.
func NewQueue(maxWaiting int) *Queue {
	return &Queue{maxWaiting: maxWaiting, callers: make(map[string]*callerQueue), meanRunTime: defaultRunTime}
}

// Configure replaces the servers and the maximum number of waiting requests. Slots in use at a
// server that is no longer listed stay counted until they are released. The result holds the
// decisions about waiting requests, and is valid until the next call.
func (q *Queue) Configure(now Time, maxWaiting int, servers []Server) []Decision {
	q.decisions = q.decisions[:0]
	q.maxWaiting = maxWaiting
	for i := range q.servers {
		q.servers[i].removed = true
	}
	for _, s := range servers {
		if known := q.find(s.Name); known != nil {
			known.Server, known.removed = s, false
			continue
		}
		q.servers = append(q.servers, serverState{Server: s})
	}
	q.removeIdle()
	q.advance(now)
	return q.decisions
}

// IsConfigured reports whether Configure with these arguments would change nothing.
func (q *Queue) IsConfigured(maxWaiting int, servers []Server) bool {
	if q.maxWaiting != maxWaiting {
		return false
	}
	if slices.EqualFunc(q.servers, servers, func(known serverState, s Server) bool { return !known.removed && known.Server == s }) {
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
	for _, s := range servers {
		if known := q.find(s.Name); known == nil || known.removed || known.Server != s {
			return false
		}
	}
	return true
}

// Admit decides about a new request. The first decision is about this request, any others are
// about waiting ones. The result is valid until the next call.
func (q *Queue) Admit(now Time, r SlotRequest) []Decision {
	q.decisions = q.decisions[:0]
	q.decide(now, r)
	q.advance(now)
	return q.decisions
}

// decide appends the decision about a new request, and about the one that it displaces.
func (q *Queue) decide(now Time, r SlotRequest) {
	switch {
	case r.Deadline <= now:
		q.reject(now, r.Ticket, ReasonDeadlinePassed)
	case !q.anyUsable(now):
		q.reject(now, r.Ticket, ReasonNoServer)
	case q.tryStart(now, r):
	case now.Add(q.expectedWait(now, r.Caller)+q.meanRunTime) > r.Deadline:
		q.reject(now, r.Ticket, ReasonDeadlineTooNear)
	case q.waiting < q.maxWaiting:
		q.decisions = append(q.decisions, Queued{Ticket: r.Ticket})
		q.enqueue(r)
	default:
		q.enqueueByDisplacing(now, r)
	}
}

// tryStart starts a request if a slot is free for it. A request that is not suspect does not
// overtake waiting requests that could start now.
func (q *Queue) tryStart(now Time, r SlotRequest) bool {
	if q.waiting > 0 && !r.Suspect && q.canStartWaiting(now) {
		return false
	}
	s := q.freeServer(now, r.Suspect)
	if s == nil {
		return false
	}
	q.start(now, s, r)
	return true
}

// canStartWaiting reports whether any waiting request could start now.
func (q *Queue) canStartWaiting(now Time) bool {
	if q.freeServer(now, false) == nil {
		return false
	}
	for _, c := range q.order {
		for _, r := range c.requests {
			if q.freeServer(now, r.Suspect) != nil {
				return true
			}
		}
	}
	return false
}

// enqueueByDisplacing queues a request in a full queue by rejecting the last request of the
// caller with the most waiting requests. It rejects the new request instead if its own caller
// would then have as many.
func (q *Queue) enqueueByDisplacing(now Time, r SlotRequest) {
	longest := q.longestQueue()
	if longest == nil || len(longest.requests) <= q.queueLength(r.Caller)+1 {
		q.reject(now, r.Ticket, ReasonQueueFull)
		return
	}
	last := longest.requests[len(longest.requests)-1]
	q.remove(last.Ticket)
	q.decisions = append(q.decisions, Queued{Ticket: r.Ticket})
	q.reject(now, last.Ticket, ReasonCallerOverShare)
	q.enqueue(r)
}

// Release gives back a slot of a server after a request that ran for the given time, zero if
// it did not run. The result holds the decisions about waiting requests, and is valid until
// the next call.
func (q *Queue) Release(now Time, server string, ran time.Duration, suspect bool) []Decision {
	q.decisions = q.decisions[:0]
	s := q.find(server)
	if s == nil || s.slotsInUse == 0 {
		return q.decisions
	}
	s.slotsInUse--
	if suspect {
		s.runsSuspect = false
	}
	if ran > 0 {
		q.meanRunTime += (ran - q.meanRunTime) / runTimeDivisor
		s.completed = min(s.completed+1, warmupRequests)
		s.unreachableCount = 0
	}
	q.removeIdle()
	q.advance(now)
	return q.decisions
}

// Eject lets no request start at a server until the given time. The server is cold
// afterwards. Waiting requests stay in the queue.
func (q *Queue) Eject(server string, until Time) {
	if s := q.find(server); s != nil {
		s.ejectedUntil = max(s.ejectedUntil, until)
		s.completed, s.coldUntil = 0, 0
	}
}

// EjectUnreachable ejects a server that could not be reached, for longer each time in a row.
func (q *Queue) EjectUnreachable(now Time, server string) {
	if s := q.find(server); s != nil && s.ejectedUntil <= now {
		q.Eject(server, now.Add(min(minEjection<<min(s.unreachableCount, 10), maxEjection)))
		s.unreachableCount++
	}
}

// Advance starts or rejects waiting requests after time has passed. The result is valid until
// the next call.
func (q *Queue) Advance(now Time) []Decision {
	q.decisions = q.decisions[:0]
	q.advance(now)
	return q.decisions
}

// Remove removes a waiting request. It returns false if the request is not waiting.
func (q *Queue) Remove(t Ticket) bool {
	return q.remove(t)
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// SlotsInUse returns the number of slots in use at a server.
func (q *Queue) SlotsInUse(server string) int {
	if s := q.find(server); s != nil {
		return s.slotsInUse
	}
	return 0
}

// Each calls visit for each server with its number of slots in use. This includes servers
// that are no longer configured but still run requests.
func (q *Queue) Each(visit func(s Server, slotsInUse int)) {
	for i := range q.servers {
		visit(q.servers[i].Server, q.servers[i].slotsInUse)
	}
}

// advance starts waiting requests while slots are free for them. A request whose turn comes
// after its deadline is rejected.
func (q *Queue) advance(now Time) {
	for q.waiting > 0 {
		r, s := q.dequeueNext(now)
		if s == nil {
			return
		}
		if r.Deadline <= now {
			q.reject(now, r.Ticket, ReasonDeadlinePassed)
			continue
		}
		q.start(now, s, r)
	}
}

func (q *Queue) start(now Time, s *serverState, r SlotRequest) {
	s.slotsInUse++
	s.lastStartAt = now
	if s.coldUntil == 0 {
		s.coldUntil = now.Add(warmupTime)
	}
	s.runsSuspect = s.runsSuspect || r.Suspect
	q.decisions = append(q.decisions, Admitted{Ticket: r.Ticket, Server: s.Name})
}

func (q *Queue) reject(now Time, t Ticket, reason Reason) {
	delay := min(max(q.expectedWait(now, ""), minRetryDelay), maxRetryDelay)
	q.decisions = append(q.decisions, Rejected{Ticket: t, Reason: reason, RetryAt: now.Add(delay)})
}

// freeServer returns the server with the smallest share of its slots in use, or nil if no
// server has a free slot. A suspect request gets no server where another suspect runs.
func (q *Queue) freeServer(now Time, suspect bool) *serverState {
	var best *serverState
	for i := range q.servers {
		s := &q.servers[i]
		if s.slotsInUse >= s.usableSlots(now) || suspect && s.runsSuspect {
			continue
		}
		if best == nil || lessLoaded(s, best) {
			best = s
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
	// If ties went to the first server, it would get more than its share.
	return a.lastStartAt < b.lastStartAt
}

// anyUsable reports whether any server has usable slots, free or not.
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

// removeIdle removes the servers that are no longer configured and run no request.
func (q *Queue) removeIdle() {
	q.servers = slices.DeleteFunc(q.servers, func(s serverState) bool { return s.removed && s.slotsInUse == 0 })
}
