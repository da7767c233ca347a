package policy

import (
	"cmp"
	"slices"
	"time"
)

// The running time of requests, as the queue estimates it.
const (
	// defaultRun is assumed before any request ended.
	defaultRun = 20 * time.Millisecond
	// runWeight is the share of the newest running time in the mean, as a divisor.
	runWeight = 8
)

// The shortest and longest time after which a refused caller is told to come back.
const (
	retryFloor   = 50 * time.Millisecond
	retryCeiling = 30 * time.Second
)

// A server that could not be reached is tried again after downFirst, then after twice that,
// up to downMost.
const (
	downFirst = 100 * time.Millisecond
	downMost  = 5 * time.Second
)

// A new or returned server is cold: it gets work in half its slots until it has ended
// warmRuns requests, or warmTime after the first one started.
const (
	warmRuns = 4
	warmTime = time.Second
)

// Ask is a request for a slot.
type Ask struct {
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
	limit   int
	servers []place
	callers map[string]*line
	// order holds the callers with waiting requests; the next slot goes to the first.
	order   []*line
	waiting int
	meanRun time.Duration
	// verdicts is returned by the methods, and reused by the next call.
	verdicts []Decision
}

// place is a server with the number of its slots in use.
type place struct {
	Server
	busy int
	// suspect says that a suspect runs there.
	suspect bool
	// gone says that the server left while requests still run there.
	gone bool
	// downUntil is when the server may be tried again after it could not be reached, and
	// failures how often that happened in a row.
	downUntil Time
	failures  int
	// ended counts the requests that ended since the server appeared, up to warmRuns.
	ended int
	// startedAt is when the newest request started.
	startedAt Time
	// warmAt is when the cold start is over in any case; zero until the first request.
	warmAt Time
}

// usable returns the number of slots that may be in use now.
func (p *place) usable(now Time) int {
	switch {
	case p.gone || p.downUntil > now:
		return 0
	case p.ended < warmRuns && (p.warmAt == 0 || now < p.warmAt):
		return max(p.Slots/2, 1)
	default:
		return p.Slots
	}
}

// NewQueue returns a queue without servers, in which at most limit requests wait.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, callers: make(map[string]*line), meanRun: defaultRun}
}

// Configure replaces the servers and the limit. Slots that are in use at a server that is no
// longer named stay counted until they are released. The result, valid until the next call,
// names the requests that may start because of the change.
func (q *Queue) Configure(now Time, limit int, servers []Server) []Decision {
	q.verdicts = q.verdicts[:0]
	q.limit = limit
	for i := range q.servers {
		q.servers[i].gone = true
	}
	for _, c := range servers {
		if p := q.find(c.Name); p != nil {
			p.Server, p.gone = c, false
			continue
		}
		q.servers = append(q.servers, place{Server: c})
	}
	q.forget()
	q.advance(now)
	return q.verdicts
}

// Same reports whether the queue is configured as given.
func (q *Queue) Same(limit int, servers []Server) bool {
	if q.limit != limit {
		return false
	}
	if slices.EqualFunc(q.servers, servers, func(p place, c Server) bool { return !p.gone && p.Server == c }) {
		return true
	}
	present := 0
	for i := range q.servers {
		if !q.servers[i].gone {
			present++
		}
	}
	if present != len(servers) {
		return false
	}
	for _, c := range servers {
		if p := q.find(c.Name); p == nil || p.gone || p.Server != c {
			return false
		}
	}
	return true
}

// Ask takes a request in. The first verdict is on the request itself, any others on requests
// that wait. The result is valid until the next call.
func (q *Queue) Ask(now Time, a Ask) []Decision {
	q.verdicts = q.verdicts[:0]
	q.judge(now, a)
	q.advance(now)
	return q.verdicts
}

// judge adds the verdict on a new request.
func (q *Queue) judge(now Time, a Ask) {
	switch {
	case a.Deadline <= now:
		q.shed(now, a.Ticket, ReasonDeadlinePassed)
	case !q.reachable(now):
		q.shed(now, a.Ticket, ReasonNoServer)
	case q.startNow(now, a):
	case now.Add(q.expected(now, a.Caller)+q.meanRun) > a.Deadline:
		q.shed(now, a.Ticket, ReasonDeadlineTooNear)
	case q.waiting < q.limit:
		q.verdicts = append(q.verdicts, Queued{Ticket: a.Ticket})
		q.enqueue(a)
	default:
		q.displace(now, a)
	}
}

// startNow starts a request that need not wait behind others.
func (q *Queue) startNow(now Time, a Ask) bool {
	if q.waiting > 0 && !a.Suspect && q.startable(now) {
		return false
	}
	p := q.free(now, a.Suspect)
	if p == nil {
		return false
	}
	q.start(now, p, a)
	return true
}

// startable reports whether a waiting request could start, which then goes first.
func (q *Queue) startable(now Time) bool {
	if q.free(now, false) == nil {
		return false
	}
	for _, l := range q.order {
		for _, a := range l.asks {
			if q.free(now, a.Suspect) != nil {
				return true
			}
		}
	}
	return false
}

// displace lets a request in by shedding the last one of the caller with the longest line.
func (q *Queue) displace(now Time, a Ask) {
	longest := q.longest()
	if longest == nil || len(longest.asks) <= q.lineLength(a.Caller)+1 {
		q.shed(now, a.Ticket, ReasonQueueFull)
		return
	}
	last := longest.asks[len(longest.asks)-1]
	q.remove(last.Ticket)
	q.verdicts = append(q.verdicts, Queued{Ticket: a.Ticket})
	q.shed(now, last.Ticket, ReasonCallerOverShare)
	q.enqueue(a)
}

// Release returns a slot of a server after a request that ran for the given time, zero if it
// did not run. The result, valid until the next call, names the requests that start or are
// shed in consequence.
func (q *Queue) Release(now Time, server string, ran time.Duration, suspect bool) []Decision {
	q.verdicts = q.verdicts[:0]
	p := q.find(server)
	if p == nil || p.busy == 0 {
		return q.verdicts
	}
	p.busy--
	if suspect {
		p.suspect = false
	}
	if ran > 0 {
		q.meanRun += (ran - q.meanRun) / runWeight
		p.ended = min(p.ended+1, warmRuns)
		p.failures = 0
	}
	q.forget()
	q.advance(now)
	return q.verdicts
}

// Suspend gives a server no work until a time: it said that it has too much. Afterwards it
// starts cold. Waiting requests stay in the queue.
func (q *Queue) Suspend(server string, until Time) {
	if p := q.find(server); p != nil {
		p.downUntil = max(p.downUntil, until)
		p.ended, p.warmAt = 0, 0
	}
}

// Down suspends a server that could not be reached, for longer each time in a row.
func (q *Queue) Down(now Time, server string) {
	if p := q.find(server); p != nil && p.downUntil <= now {
		q.Suspend(server, now.Add(min(downFirst<<min(p.failures, 10), downMost)))
		p.failures++
	}
}

// Advance starts or sheds waiting requests after time has passed. The result is valid until
// the next call.
func (q *Queue) Advance(now Time) []Decision {
	q.verdicts = q.verdicts[:0]
	q.advance(now)
	return q.verdicts
}

// Leave takes a waiting request out. It reports false when the request does not wait.
func (q *Queue) Leave(t Ticket) bool {
	return q.remove(t)
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Busy returns the number of slots in use at a server.
func (q *Queue) Busy(server string) int {
	if p := q.find(server); p != nil {
		return p.busy
	}
	return 0
}

// Each calls visit for each server with its slots in use.
func (q *Queue) Each(visit func(c Server, busy int)) {
	for i := range q.servers {
		visit(q.servers[i].Server, q.servers[i].busy)
	}
}

// advance starts waiting requests while slots are free and sheds those that are too late.
func (q *Queue) advance(now Time) {
	for q.waiting > 0 {
		a, p := q.next(now)
		if p == nil {
			return
		}
		if a.Deadline <= now {
			q.shed(now, a.Ticket, ReasonDeadlinePassed)
			continue
		}
		q.start(now, p, a)
	}
}

func (q *Queue) start(now Time, p *place, a Ask) {
	p.busy++
	p.startedAt = now
	if p.warmAt == 0 {
		p.warmAt = now.Add(warmTime)
	}
	p.suspect = p.suspect || a.Suspect
	q.verdicts = append(q.verdicts, Admitted{Ticket: a.Ticket, Server: p.Name})
}

func (q *Queue) shed(now Time, t Ticket, reason Reason) {
	wait := min(max(q.expected(now, ""), retryFloor), retryCeiling)
	q.verdicts = append(q.verdicts, Rejected{Ticket: t, Reason: reason, RetryAt: now.Add(wait)})
}

// free returns the server with the smallest share of its slots in use, nil if none is free.
func (q *Queue) free(now Time, suspect bool) *place {
	var best *place
	for i := range q.servers {
		p := &q.servers[i]
		if p.busy >= p.usable(now) || suspect && p.suspect {
			continue
		}
		if best == nil || less(p, best) {
			best = p
		}
	}
	return best
}

func less(a, b *place) bool {
	if c := cmp.Compare(a.busy*b.Slots, b.busy*a.Slots); c != 0 {
		return c < 0
	}
	if c := cmp.Compare(a.LoadHint, b.LoadHint); c != 0 {
		return c < 0
	}
	// Ties that always went to the first server would give it more than its share.
	return a.startedAt < b.startedAt
}

// reachable reports whether any server may be given work.
func (q *Queue) reachable(now Time) bool {
	for i := range q.servers {
		if q.servers[i].usable(now) > 0 {
			return true
		}
	}
	return false
}

func (q *Queue) find(server string) *place {
	for i := range q.servers {
		if q.servers[i].Name == server {
			return &q.servers[i]
		}
	}
	return nil
}

// forget drops the servers that left and run nothing more.
func (q *Queue) forget() {
	q.servers = slices.DeleteFunc(q.servers, func(p place) bool { return p.gone && p.busy == 0 })
}
