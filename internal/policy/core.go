package policy

import (
	"cmp"
	"slices"
	"time"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/caller"
)

// RecordRetention is for how long a request is remembered after its deadline. A caller's resend
// within it is recognised.
const RecordRetention = 10 * time.Minute

// The limits of a service that states none.
const (
	defaultQueue        = 256
	defaultCrashServers = 2
	defaultBlock        = 10 * time.Minute
)

// Request is a request at the gate.
type Request struct {
	Ticket Ticket
	// Pool names the servers that may run the request: the owner in a divided service.
	Pool string
	// RequestID is zero for a request without an id. Together with Sending it is used only if the
	// request is not idempotent.
	RequestID    ID
	SubmissionID ID
	Hash         uint64
	Fingerprint  Fingerprint
	Caller       string
	Deadline     Time
	Idempotent   bool
	// Replayable says that the whole body can be sent once more.
	Replayable bool

	tries      int
	remembered bool
	suspect    bool
}

// sent returns the request as the memory knows it.
func (r *Request) sent() Sent {
	return Sent{Name: r.RequestID, Hash: r.Hash, Sending: r.SubmissionID, Print: r.Fingerprint, Until: r.Deadline.Add(RecordRetention)}
}

// HasRecord reports whether the memory holds the request on behalf of this sending.
func (r *Request) HasRecord() bool { return r.remembered }

// Slot is a slot that a request holds.
type Slot struct {
	Pool   string
	Server string
	// Suspect says that no other suspect may run on the server meanwhile.
	Suspect bool
}

// Core is the policy of one service at one instance.
type Core struct {
	service  string
	limits   bundle.Limits
	memory   *Memory
	suspects *Suspects
	budget   Budget
	queues   map[string]*Queue
	waiting  map[Ticket]*Request
	// originMillis is the Unix time in milliseconds at Time zero.
	originMillis int64
}

// NewCore returns the policy of a service. The last parameter is the Unix time in
// milliseconds at Time zero.
func NewCore(service string, b TableLimits, originMillis int64) *Core {
	return &Core{
		service: service, memory: NewMemory(b), suspects: NewSuspects(service),
		queues: make(map[string]*Queue), waiting: make(map[Ticket]*Request), originMillis: originMillis,
	}
}

// Configure sets the limits of the service and the servers of one pool. The verdicts are on
// waiting requests, and valid until the next call.
func (c *Core) Configure(now Time, pool string, limits bundle.Limits, servers []Server) []Decision {
	c.limits = limits
	q := c.queues[pool]
	if q == nil {
		q = NewQueue(0)
		c.queues[pool] = q
	}
	limit := limits.Queue
	if limit <= 0 {
		limit = defaultQueue
	}
	if q.Same(limit, servers) {
		return nil
	}
	return c.settle(q.Configure(now, limit, servers))
}

// CheckIdempotency asks the memory about a request. If it returns Fresh, the memory holds this
// sending from now on, until Answered, Failed with a Final, Leave or Withdraw, or a verdict that
// sheds it. A request without a name, or one that is idempotent, is always Fresh.
func (c *Core) CheckIdempotency(now Time, r *Request) CheckResult {
	if r.Idempotent || r.RequestID.IsZero() || r.remembered {
		return Fresh{}
	}
	known := c.memory.Begin(now, r.sent())
	_, r.remembered = known.(Fresh)
	return known
}

// Admit takes a request in, asking the memory if Recollect was not called before. The first
// verdict is on the request itself, any others are on requests that wait. They are valid
// until the next call.
func (c *Core) Admit(now Time, r *Request) []Decision {
	known := c.CheckIdempotency(now, r)
	if _, fresh := known.(Fresh); !fresh {
		return []Decision{CheckFailed{Ticket: r.Ticket, Result: known}}
	}
	if r.tries == 0 {
		c.budget.Earn()
	}
	switch c.degree(now, r.Fingerprint) {
	case Blocked:
		c.forget(r)
		return []Decision{Rejected{Ticket: r.Ticket, Reason: ReasonBlocked, RetryAt: c.blockedUntil(now, r.Fingerprint)}}
	case Suspect:
		r.suspect = true
	case Unsuspected:
	}
	return c.ask(now, r)
}

// blockedUntil returns when a blocked request may be sent again: soon, while it is still
// being found out whether the server was lost.
func (c *Core) blockedUntil(now Time, p Fingerprint) Time {
	return max(c.time(c.suspects.Until(p)), now.Add(retryFloor))
}

func (c *Core) ask(now Time, r *Request) []Decision {
	q := c.queues[r.Pool]
	if q == nil {
		c.forget(r)
		return []Decision{Rejected{Ticket: r.Ticket, Reason: ReasonNoServer, RetryAt: now.Add(retryFloor)}}
	}
	verdicts := q.Ask(now, Ask{Ticket: r.Ticket, Caller: r.Caller, Deadline: r.Deadline, Suspect: r.suspect})
	switch verdicts[0].(type) {
	case Queued:
		c.waiting[r.Ticket] = r
	case Admitted:
		r.tries++
	case Rejected:
		c.forget(r)
	case CheckFailed, Moved:
	}
	c.settle(verdicts[1:])
	return verdicts
}

// Dequeue takes out a waiting request whose caller is gone or whose deadline passed. It
// reports false when the request does not wait.
func (c *Core) Dequeue(r *Request) bool {
	if c.waiting[r.Ticket] == nil {
		return false
	}
	delete(c.waiting, r.Ticket)
	c.forget(r)
	return c.queues[r.Pool].Leave(r.Ticket)
}

// DequeuePool takes out the waiting requests of a pool whose gate is elsewhere now.
func (c *Core) DequeuePool(pool string) []Decision {
	var verdicts []Decision
	for t, r := range c.waiting {
		if r.Pool == pool && c.Dequeue(r) {
			verdicts = append(verdicts, Moved{Ticket: t})
		}
	}
	slices.SortFunc(verdicts, func(a, b Decision) int {
		return cmp.Compare(a.(Moved).Ticket, b.(Moved).Ticket)
	})
	return verdicts
}

// Cancel says that a request will not run here: it goes on to another gate, or is refused
// before a byte was written.
func (c *Core) Cancel(r *Request) {
	c.forget(r)
}

// RecordUnknown says that a request may have run, and that its answer did not come whole.
func (c *Core) RecordUnknown(r *Request) {
	c.doubt(r)
}

// SlotOf returns the slot of a request that was started at a server.
func (c *Core) SlotOf(r *Request, server string) Slot {
	return Slot{Pool: r.Pool, Server: server, Suspect: r.suspect}
}

// Release returns a slot after a request that ran for the given time, zero if it did not run.
// The verdicts are on waiting requests, and valid until the next call.
func (c *Core) Release(now Time, s Slot, ran time.Duration) []Decision {
	return c.settle(c.queues[s.Pool].Release(now, s.Server, ran, s.Suspect))
}

// Advance starts or sheds waiting requests of all pools after time has passed.
func (c *Core) Advance(now Time) []Decision {
	var verdicts []Decision
	for _, q := range c.queues {
		if q.Waiting() > 0 {
			verdicts = append(verdicts, c.settle(q.Advance(now))...)
		}
	}
	return verdicts
}

// Complete says that the request had its whole answer. Kept may be nil.
func (c *Core) Complete(now Time, r *Request, status int, k *StoredResponse) {
	if r.remembered {
		c.memory.Ran(r.sent(), status, k)
		r.remembered = false
	}
	if r.Fingerprint != 0 {
		c.suspects.Clear(r.Fingerprint, c.nanos(now))
	}
}

// EjectBusy suspends a server that said it has too much work.
func (c *Core) EjectBusy(now Time, s Slot, until Time) {
	c.queues[s.Pool].Suspend(s.Server, min(until, now.Add(downMost)))
}

// HandleFault decides what becomes of a request after a fault.
func (c *Core) HandleFault(now Time, r *Request, s Slot, f Fault) RetryDecision {
	if f == NotSent {
		c.queues[s.Pool].Down(now, s.Server)
	}
	ran := f == InDoubt || f == ConnectionLost
	if ran && f == ConnectionLost && c.degree(now, r.Fingerprint) == Blocked {
		c.doubt(r)
		return Final{Outcome: caller.Unknown, Blocked: true}
	}
	again := (!ran || r.Idempotent) && r.Replayable && r.tries < maxTries && now < r.Deadline
	if again && c.budget.Spend() {
		return Retry{}
	}
	if ran {
		c.doubt(r)
		return Final{Outcome: caller.Unknown}
	}
	c.forget(r)
	return Final{Outcome: caller.NotRun}
}

// settle keeps account of verdicts on waiting requests.
func (c *Core) settle(verdicts []Decision) []Decision {
	for _, v := range verdicts {
		switch v := v.(type) {
		case Admitted:
			if r := c.waiting[v.Ticket]; r != nil {
				r.tries++
				delete(c.waiting, v.Ticket)
			}
		case Rejected:
			if r := c.waiting[v.Ticket]; r != nil {
				c.forget(r)
				delete(c.waiting, v.Ticket)
			}
		case Queued, CheckFailed, Moved:
		}
	}
	return verdicts
}

// forget says that this sending did not run.
func (c *Core) forget(r *Request) {
	if r.remembered {
		c.memory.NotRun(r.sent())
		r.remembered = false
	}
}

// doubt says that this sending may have run.
func (c *Core) doubt(r *Request) {
	if r.remembered {
		c.memory.Doubt(r.sent())
		r.remembered = false
	}
}

func (c *Core) degree(now Time, p Fingerprint) Suspicion {
	if p == 0 || !c.suspects.Any() {
		return Unsuspected
	}
	losses := c.limits.CrashServers
	if losses <= 0 {
		losses = defaultCrashServers
	}
	return c.suspects.Degree(p, losses, c.millis(now))
}

func (c *Core) blockTime() time.Duration {
	if c.limits.BlockMillis > 0 {
		return time.Duration(c.limits.BlockMillis) * time.Millisecond
	}
	return defaultBlock
}

// millis returns the Unix time in milliseconds.
func (c *Core) millis(t Time) int64 {
	return c.originMillis + int64(t)/int64(time.Millisecond)
}

// nanos returns the Unix time in nanoseconds.
func (c *Core) nanos(t Time) int64 {
	return c.originMillis*int64(time.Millisecond) + int64(t)
}

// time returns the Time of a Unix time in milliseconds.
func (c *Core) time(millis int64) Time {
	return Time((millis - c.originMillis) * int64(time.Millisecond))
}
