package policy

import (
	"cmp"
	"slices"
	"time"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/caller"
)

// MemoryTime is for how long a request is remembered after its deadline. A caller's resend
// within it is recognised.
const MemoryTime = 10 * time.Minute

// The limits of a service that states none.
const (
	defaultMaxWaiting    = 256
	defaultCrashServers  = 2
	defaultBlockDuration = 10 * time.Minute
)

// Request is a request at the gate.
type Request struct {
	Ticket Ticket
	// Pool names the servers that may run the request: the owner in a divided service.
	Pool string
	// Name is zero for a request without an id. Together with Sending it is used only if the
	// request is not idempotent.
	Name       Name
	Sending    Name
	Hash       uint64
	Print      Print
	Caller     string
	Deadline   Time
	Idempotent bool
	// Replayable says that the whole body can be sent once more.
	Replayable bool

	attempts int
	recorded bool
	suspect  bool
}

// submission returns the request as the memory knows it.
func (r *Request) submission() Submission {
	return Submission{RequestID: r.Name, Hash: r.Hash, ID: r.Sending, Fingerprint: r.Print, ExpiresAt: r.Deadline.Add(MemoryTime)}
}

// Remembered reports whether the memory holds the request on behalf of this sending.
func (r *Request) Remembered() bool { return r.recorded }

// Slot is a slot that a request holds.
type Slot struct {
	Pool   string
	Server string
	// Suspect says that no other suspect may run on the server meanwhile.
	Suspect bool
}

// Core is the policy of one service at one instance.
type Core struct {
	service string
	limits  bundle.Limits
	table   *IdempotencyTable
	crashes *CrashTracker
	budget  RetryBudget
	queues  map[string]*Queue
	waiting map[Ticket]*Request
	// originUnixMillis is the Unix time in milliseconds at Time zero.
	originUnixMillis int64
}

// NewCore returns the policy of a service. The last parameter is the Unix time in
// milliseconds at Time zero.
func NewCore(service string, b Bounds, originMillis int64) *Core {
	return &Core{
		service: service, table: NewIdempotencyTable(b), crashes: NewCrashTracker(service),
		queues: make(map[string]*Queue), waiting: make(map[Ticket]*Request), originUnixMillis: originMillis,
	}
}

// Configure sets the limits of the service and the servers of one pool. The verdicts are on
// waiting requests, and valid until the next call.
func (c *Core) Configure(now Time, pool string, limits bundle.Limits, servers []Capacity) []Verdict {
	c.limits = limits
	q := c.queues[pool]
	if q == nil {
		q = NewQueue(0)
		c.queues[pool] = q
	}
	limit := limits.Queue
	if limit <= 0 {
		limit = defaultMaxWaiting
	}
	if q.IsConfigured(limit, servers) {
		return nil
	}
	return c.applyQueueDecisions(q.Configure(now, limit, servers))
}

// Recollect asks the memory about a request. If it returns Fresh, the memory holds this
// sending from now on, until Answered, Failed with a Final, Leave or Withdraw, or a verdict that
// sheds it. A request without a name, or one that is idempotent, is always Fresh.
func (c *Core) Recollect(now Time, r *Request) Recollection {
	if r.Idempotent || r.Name.IsZero() || r.recorded {
		return Fresh{}
	}
	known := c.table.Begin(now, r.submission())
	_, r.recorded = known.(Fresh)
	return known
}

// Arrive takes a request in, asking the memory if Recollect was not called before. The first
// verdict is on the request itself, any others are on requests that wait. They are valid
// until the next call.
func (c *Core) Arrive(now Time, r *Request) []Verdict {
	known := c.Recollect(now, r)
	if _, fresh := known.(Fresh); !fresh {
		return []Verdict{Known{Ticket: r.Ticket, Recollection: known}}
	}
	if r.attempts == 0 {
		c.budget.Earn()
	}
	switch c.suspicion(now, r.Print) {
	case Blocked:
		c.recordNotRun(r)
		return []Verdict{Shed{Ticket: r.Ticket, Reason: ReasonBlocked, RetryAt: c.blockedUntil(now, r.Print)}}
	case Suspect:
		r.suspect = true
	case Unsuspected:
	}
	return c.enqueue(now, r)
}

// blockedUntil returns when a blocked request may be sent again: soon, while it is still
// being found out whether the server was lost.
func (c *Core) blockedUntil(now Time, p Print) Time {
	return max(c.time(c.crashes.BlockedUntil(p)), now.Add(minRetryDelay))
}

func (c *Core) enqueue(now Time, r *Request) []Verdict {
	q := c.queues[r.Pool]
	if q == nil {
		c.recordNotRun(r)
		return []Verdict{Shed{Ticket: r.Ticket, Reason: ReasonNoServer, RetryAt: now.Add(minRetryDelay)}}
	}
	verdicts := q.Admit(now, SlotRequest{Ticket: r.Ticket, Caller: r.Caller, Deadline: r.Deadline, Suspect: r.suspect})
	switch verdicts[0].(type) {
	case Wait:
		c.waiting[r.Ticket] = r
	case Start:
		r.attempts++
	case Shed:
		c.recordNotRun(r)
	case Known, Moved:
	}
	c.applyQueueDecisions(verdicts[1:])
	return verdicts
}

// Leave takes out a waiting request whose caller is gone or whose deadline passed. It
// reports false when the request does not wait.
func (c *Core) Leave(r *Request) bool {
	if c.waiting[r.Ticket] == nil {
		return false
	}
	delete(c.waiting, r.Ticket)
	c.recordNotRun(r)
	return c.queues[r.Pool].Remove(r.Ticket)
}

// Move takes out the waiting requests of a pool whose gate is elsewhere now.
func (c *Core) Move(pool string) []Verdict {
	var verdicts []Verdict
	for t, r := range c.waiting {
		if r.Pool == pool && c.Leave(r) {
			verdicts = append(verdicts, Moved{Ticket: t})
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Compare(a.(Moved).Ticket, b.(Moved).Ticket)
	})
	return verdicts
}

// Withdraw says that a request will not run here: it goes on to another gate, or is refused
// before a byte was written.
func (c *Core) Withdraw(r *Request) {
	c.recordNotRun(r)
}

// Doubt says that a request may have run, and that its answer did not come whole.
func (c *Core) Doubt(r *Request) {
	c.recordUnknown(r)
}

// Held returns the slot of a request that was started at a server.
func (c *Core) Held(r *Request, server string) Slot {
	return Slot{Pool: r.Pool, Server: server, Suspect: r.suspect}
}

// Freed returns a slot after a request that ran for the given time, zero if it did not run.
// The verdicts are on waiting requests, and valid until the next call.
func (c *Core) Freed(now Time, s Slot, ran time.Duration) []Verdict {
	return c.applyQueueDecisions(c.queues[s.Pool].Release(now, s.Server, ran, s.Suspect))
}

// Advance starts or sheds waiting requests of all pools after time has passed.
func (c *Core) Advance(now Time) []Verdict {
	var verdicts []Verdict
	for _, q := range c.queues {
		if q.Waiting() > 0 {
			verdicts = append(verdicts, c.applyQueueDecisions(q.Advance(now))...)
		}
	}
	return verdicts
}

// Answered says that the request had its whole answer. Kept may be nil.
func (c *Core) Answered(now Time, r *Request, status int, k *Kept) {
	if r.recorded {
		c.table.RecordRan(r.submission(), status, k)
		r.recorded = false
	}
	if r.Print != 0 {
		c.crashes.Clear(r.Print, c.nanos(now))
	}
}

// Busy suspends a server that said it has too much work.
func (c *Core) Busy(now Time, s Slot, until Time) {
	c.queues[s.Pool].Eject(s.Server, min(until, now.Add(maxEjection)))
}

// Failed decides what becomes of a request after a fault.
func (c *Core) Failed(now Time, r *Request, s Slot, f Fault) Decision {
	if f == NotSent {
		c.queues[s.Pool].EjectUnreachable(now, s.Server)
	}
	ran := f == InDoubt || f == Lost
	if ran && f == Lost && c.suspicion(now, r.Print) == Blocked {
		c.recordUnknown(r)
		return Final{Outcome: caller.Unknown, Blocked: true}
	}
	again := (!ran || r.Idempotent) && r.Replayable && r.attempts < maxAttempts && now < r.Deadline
	if again && c.budget.Spend() {
		return Retry{}
	}
	if ran {
		c.recordUnknown(r)
		return Final{Outcome: caller.Unknown}
	}
	c.recordNotRun(r)
	return Final{Outcome: caller.NotRun}
}

// applyQueueDecisions keeps account of verdicts on waiting requests.
func (c *Core) applyQueueDecisions(verdicts []Verdict) []Verdict {
	for _, v := range verdicts {
		switch v := v.(type) {
		case Start:
			if r := c.waiting[v.Ticket]; r != nil {
				r.attempts++
				delete(c.waiting, v.Ticket)
			}
		case Shed:
			if r := c.waiting[v.Ticket]; r != nil {
				c.recordNotRun(r)
				delete(c.waiting, v.Ticket)
			}
		case Wait, Known, Moved:
		}
	}
	return verdicts
}

// recordNotRun says that this sending did not run.
func (c *Core) recordNotRun(r *Request) {
	if r.recorded {
		c.table.RecordNotRun(r.submission())
		r.recorded = false
	}
}

// recordUnknown says that this sending may have run.
func (c *Core) recordUnknown(r *Request) {
	if r.recorded {
		c.table.RecordUnknown(r.submission())
		r.recorded = false
	}
}

func (c *Core) suspicion(now Time, p Print) Suspicion {
	if p == 0 || !c.crashes.Any() {
		return Unsuspected
	}
	losses := c.limits.CrashServers
	if losses <= 0 {
		losses = defaultCrashServers
	}
	return c.crashes.SuspicionOf(p, losses, c.millis(now))
}

func (c *Core) blockDuration() time.Duration {
	if c.limits.BlockMillis > 0 {
		return time.Duration(c.limits.BlockMillis) * time.Millisecond
	}
	return defaultBlockDuration
}

// millis returns the Unix time in milliseconds.
func (c *Core) millis(t Time) int64 {
	return c.originUnixMillis + int64(t)/int64(time.Millisecond)
}

// nanos returns the Unix time in nanoseconds.
func (c *Core) nanos(t Time) int64 {
	return c.originUnixMillis*int64(time.Millisecond) + int64(t)
}

// time returns the Time of a Unix time in milliseconds.
func (c *Core) time(millis int64) Time {
	return Time((millis - c.originUnixMillis) * int64(time.Millisecond))
}
