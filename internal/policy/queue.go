package policy

import (
	"cmp"
	"slices"
	"time"
)

// defaultRun is the assumed running time of a request before any was measured.
const defaultRun = 20 * time.Millisecond

// runWeight is the share of the newest running time in the mean, as a divisor.
const runWeight = 8

// retryFloor is the shortest time after which a refused caller is told to come back.
const retryFloor = 50 * time.Millisecond

// Ask is a request for a slot.
type Ask struct {
	Ticket Ticket
	// Caller is the identity between which the queue is fair.
	Caller string
	// Deadline is when the request must have its answer.
	Deadline Time
}

// Capacity is one backend server behind a Queue.
type Capacity struct {
	Server string
	Slots  int
	// Hint breaks ties between servers that are equally busy: the lower goes first.
	Hint float64
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
}

// place is a server with the number of its slots in use.
type place struct {
	Capacity
	busy int
	// gone says that the server left while requests still run there.
	gone bool
}

// line is the waiting requests of one caller, earliest deadline first.
type line struct {
	caller string
	asks   []Ask
}

// NewQueue returns a queue in which at most limit requests wait.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, callers: make(map[string]*line), meanRun: defaultRun}
}

// Configure replaces the servers and the limit. Slots that are in use at a server that is no
// longer named stay counted until they are released. The result names the requests that may
// start because of the change.
func (q *Queue) Configure(now Time, limit int, servers []Capacity) []Verdict {
	q.limit = limit
	for i := range q.servers {
		q.servers[i].gone = true
	}
	for _, c := range servers {
		if p := q.find(c.Server); p != nil {
			p.Capacity, p.gone = c, false
			continue
		}
		q.servers = append(q.servers, place{Capacity: c})
	}
	q.forget()
	return q.advance(now)
}

// Same reports whether the queue is configured as given.
func (q *Queue) Same(limit int, servers []Capacity) bool {
	if q.limit != limit || len(q.servers) != len(servers) {
		return false
	}
	for i, c := range servers {
		p := &q.servers[i]
		if p.gone || p.Server != c.Server || p.Slots != c.Slots || p.Hint != c.Hint {
			return false
		}
	}
	return true
}

// Ask takes a request in. The first verdict is that on the request itself; a second one, if
// any, is a Shed of another request that made room for it.
func (q *Queue) Ask(now Time, a Ask) []Verdict {
	if a.Deadline <= now {
		return []Verdict{Shed{Ticket: a.Ticket, Reason: ReasonExpired, RetryAt: now.Add(retryFloor)}}
	}
	if q.slots() == 0 {
		return []Verdict{Shed{Ticket: a.Ticket, Reason: ReasonNoServer, RetryAt: now.Add(retryFloor)}}
	}
	if q.waiting == 0 {
		if p := q.free(); p != nil {
			p.busy++
			return []Verdict{Start{Ticket: a.Ticket, Server: p.Server}}
		}
	}
	if now.Add(q.expected(a.Caller)+q.meanRun) > a.Deadline {
		return []Verdict{q.shed(now, a.Ticket, ReasonTooLate)}
	}
	verdicts := []Verdict{Wait{Ticket: a.Ticket}}
	if q.waiting >= q.limit {
		victim := q.longest()
		if victim == nil || len(victim.asks) <= q.lineLength(a.Caller)+1 {
			return []Verdict{q.shed(now, a.Ticket, ReasonQueueFull)}
		}
		last := victim.asks[len(victim.asks)-1]
		q.remove(last.Ticket)
		verdicts = append(verdicts, q.shed(now, last.Ticket, ReasonOutOfShare))
	}
	q.enqueue(a)
	return verdicts
}

// Release returns a slot of a server after a request that ran for the given time. The result
// names the requests that start or are shed in consequence.
func (q *Queue) Release(now Time, server string, ran time.Duration) []Verdict {
	p := q.find(server)
	if p == nil || p.busy == 0 {
		return nil
	}
	p.busy--
	if ran > 0 {
		q.meanRun += (ran - q.meanRun) / runWeight
	}
	q.forget()
	return q.advance(now)
}

// Leave takes a waiting request out. It reports false when the request does not wait.
func (q *Queue) Leave(t Ticket) bool {
	return q.remove(t)
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	return q.waiting
}

// Busy returns the number of slots in use at a server.
func (q *Queue) Busy(server string) int {
	if p := q.find(server); p != nil {
		return p.busy
	}
	return 0
}

// Idle reports whether the queue holds no request at all.
func (q *Queue) Idle() bool {
	return q.waiting == 0 && !slices.ContainsFunc(q.servers, func(p place) bool { return p.busy > 0 })
}

// advance starts waiting requests while slots are free and sheds those that are too late.
func (q *Queue) advance(now Time) []Verdict {
	var verdicts []Verdict
	for q.waiting > 0 {
		p := q.free()
		if p == nil {
			break
		}
		a := q.next()
		if a.Deadline <= now {
			verdicts = append(verdicts, q.shed(now, a.Ticket, ReasonExpired))
			continue
		}
		p.busy++
		verdicts = append(verdicts, Start{Ticket: a.Ticket, Server: p.Server})
	}
	return verdicts
}

func (q *Queue) shed(now Time, t Ticket, reason Reason) Shed {
	wait := max(q.expected(""), retryFloor)
	return Shed{Ticket: t, Reason: reason, RetryAt: now.Add(wait)}
}

// expected returns the time that a new request of a caller is likely to wait. Callers take
// turns, so a caller with a short line is served before the long lines end.
func (q *Queue) expected(caller string) time.Duration {
	ahead := q.waiting
	if caller != "" {
		turn := q.lineLength(caller) + 1
		ahead = 0
		for _, l := range q.order {
			ahead += min(len(l.asks), turn)
		}
	}
	slots := max(q.slots(), 1)
	return q.meanRun * time.Duration(ahead+1) / time.Duration(slots)
}

// free returns the server with the smallest share of its slots in use, nil if none is free.
func (q *Queue) free() *place {
	var best *place
	for i := range q.servers {
		p := &q.servers[i]
		if p.gone || p.busy >= p.Slots {
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
	return a.Hint < b.Hint
}

func (q *Queue) slots() int {
	sum := 0
	for i := range q.servers {
		if !q.servers[i].gone {
			sum += q.servers[i].Slots
		}
	}
	return sum
}

func (q *Queue) find(server string) *place {
	for i := range q.servers {
		if q.servers[i].Server == server {
			return &q.servers[i]
		}
	}
	return nil
}

// forget drops the servers that left and run nothing more.
func (q *Queue) forget() {
	q.servers = slices.DeleteFunc(q.servers, func(p place) bool { return p.gone && p.busy == 0 })
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

// next takes out the first request of the caller whose turn it is.
func (q *Queue) next() Ask {
	l := q.order[0]
	a := l.asks[0]
	l.asks = slices.Delete(l.asks, 0, 1)
	q.waiting--
	q.order = slices.Delete(q.order, 0, 1)
	if len(l.asks) > 0 {
		q.order = append(q.order, l)
		return a
	}
	delete(q.callers, l.caller)
	return a
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
