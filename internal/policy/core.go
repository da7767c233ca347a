package policy

import (
	"cmp"
	"slices"
	"time"

	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/caller"
)

// RecordRetention is how long the idempotency record of a request is kept after the deadline
// of the request. A resend within this time is recognized.
const RecordRetention = 10 * time.Minute

// The limits of a service whose bundle sets none.
const (
	defaultMaxWaiting    = 256
	defaultCrashServers  = 2
	defaultBlockDuration = 10 * time.Minute
)

// Request is a request at the gate.
type Request struct {
	Ticket Ticket
	// Pool names the servers that may run the request. In a divided service it is the name of
	// the owner; otherwise it is empty.
	Pool string
	// RequestID is zero for a request without an id. Like SubmissionID it is used only if the
	// request is not idempotent.
	RequestID    ID
	SubmissionID ID
	// Hash is the position of the request in the hash space.
	Hash uint64
	// Fingerprint is zero if it was not computed.
	Fingerprint Fingerprint
	Caller      string
	Deadline    Time
	Idempotent  bool
	// Replayable says that the whole body can be sent again.
	Replayable bool

	// attempts is the number of times that the request got a slot.
	attempts int
	// recorded says that the table holds a record for this submission.
	recorded bool
	suspect  bool
}

func (r *Request) submission() Submission {
	return Submission{RequestID: r.RequestID, Hash: r.Hash, ID: r.SubmissionID, Fingerprint: r.Fingerprint, ExpiresAt: r.Deadline.Add(RecordRetention)}
}

// HasRecord reports whether the idempotency table holds a record for this submission whose
// outcome is still to be recorded.
func (r *Request) HasRecord() bool { return r.recorded }

// Slot is a slot that a request holds.
type Slot struct {
	Pool   string
	Server string
	// Suspect says that no other suspect may run at the server meanwhile.
	Suspect bool
}

// Core decides about the requests of one service at one instance. It combines the queue of
// each pool, the idempotency table, the crash tracker and the retry budget.
type Core struct {
	service string
	limits  bundle.Limits
	table   *IdempotencyTable
	crashes *CrashTracker
	budget  RetryBudget
	// queues holds a queue per pool.
	queues  map[string]*Queue
	waiting map[Ticket]*Request
	// originUnixMillis is the Unix time in milliseconds at Time zero.
	originUnixMillis int64
}

// NewCore returns the Core of a service. The parameter originUnixMillis is the Unix time in
// milliseconds at Time zero.
func NewCore(service string, l TableLimits, originUnixMillis int64) *Core {
	return &Core{
		service: service, table: NewIdempotencyTable(l), crashes: NewCrashTracker(service),
		queues: make(map[string]*Queue), waiting: make(map[Ticket]*Request), originUnixMillis: originUnixMillis,
	}
}

// Configure sets the limits of the service and the servers of one pool. The decisions are about
// waiting requests, and are valid until the next call.
func (c *Core) Configure(now Time, pool string, limits bundle.Limits, servers []Server) []Decision {
	c.limits = limits
	q := c.queues[pool]
	if q == nil {
		q = NewQueue(0)
		c.queues[pool] = q
	}
	maxWaiting := limits.Queue
	if maxWaiting <= 0 {
		maxWaiting = defaultMaxWaiting
	}
	if q.IsConfigured(maxWaiting, servers) {
		return nil
	}
	return c.applyQueueDecisions(q.Configure(now, maxWaiting, servers))
}

// CheckIdempotency checks whether a request may run. It always returns Fresh for a request that
// has no id or is idempotent. If it returns Fresh for another request, the table holds a record
// of this submission from then on. The record stays open until Complete, RecordUnknown, Cancel
// or Dequeue, a Final from HandleFault, or a Rejected.
func (c *Core) CheckIdempotency(now Time, r *Request) CheckResult {
	if r.Idempotent || r.RequestID.IsZero() || r.recorded {
		return Fresh{}
	}
	result := c.table.Begin(now, r.submission())
	_, r.recorded = result.(Fresh)
	return result
}

// Admit decides about a request, after CheckIdempotency unless that was called before. It is
// called once for each attempt. The first decision is about this request, any others are about
// waiting ones. They are valid until the next call.
func (c *Core) Admit(now Time, r *Request) []Decision {
	result := c.CheckIdempotency(now, r)
	if _, fresh := result.(Fresh); !fresh {
		return []Decision{CheckFailed{Ticket: r.Ticket, Result: result}}
	}
	if r.attempts == 0 {
		c.budget.Earn()
	}
	switch c.suspicion(now, r.Fingerprint) {
	case Blocked:
		c.recordNotRun(r)
		return []Decision{Rejected{Ticket: r.Ticket, Reason: ReasonBlocked, RetryAt: c.blockedUntil(now, r.Fingerprint)}}
	case Suspect:
		r.suspect = true
	case Unsuspected:
	}
	return c.enqueue(now, r)
}

// blockedUntil returns when a blocked request may be sent again: when its crash record expires, but
// not before minRetryDelay. A request that is blocked only by pending losses may have none.
func (c *Core) blockedUntil(now Time, f Fingerprint) Time {
	return max(c.time(c.crashes.BlockedUntil(f)), now.Add(minRetryDelay))
}

func (c *Core) enqueue(now Time, r *Request) []Decision {
	q := c.queues[r.Pool]
	if q == nil {
		c.recordNotRun(r)
		return []Decision{Rejected{Ticket: r.Ticket, Reason: ReasonNoServer, RetryAt: now.Add(minRetryDelay)}}
	}
	decisions := q.Admit(now, SlotRequest{Ticket: r.Ticket, Caller: r.Caller, Deadline: r.Deadline, Suspect: r.suspect})
	switch decisions[0].(type) {
	case Queued:
		c.waiting[r.Ticket] = r
	case Admitted:
		r.attempts++
	case Rejected:
		c.recordNotRun(r)
	case CheckFailed, Moved:
	}
	c.applyQueueDecisions(decisions[1:])
	return decisions
}

// Dequeue removes a waiting request whose caller is gone or whose deadline passed. It returns
// false if the request is not waiting.
func (c *Core) Dequeue(r *Request) bool {
	if c.waiting[r.Ticket] == nil {
		return false
	}
	delete(c.waiting, r.Ticket)
	c.recordNotRun(r)
	return c.queues[r.Pool].Remove(r.Ticket)
}

// DequeuePool removes the waiting requests of a pool whose gate is now at another instance. It
// returns a Moved for each of them, ordered by ticket.
func (c *Core) DequeuePool(pool string) []Decision {
	var decisions []Decision
	for t, r := range c.waiting {
		if r.Pool == pool && c.Dequeue(r) {
			decisions = append(decisions, Moved{Ticket: t})
		}
	}
	slices.SortFunc(decisions, func(a, b Decision) int {
		return cmp.Compare(a.(Moved).Ticket, b.(Moved).Ticket)
	})
	return decisions
}

// Cancel records that a request will not run here: it is forwarded to another gate, or it is
// rejected before a byte of it was written to a server.
func (c *Core) Cancel(r *Request) {
	c.recordNotRun(r)
}

// RecordUnknown records that a request may have run but got no complete response.
func (c *Core) RecordUnknown(r *Request) {
	c.recordUnknown(r)
}

// SlotOf returns the slot of a request that was admitted to a server.
func (c *Core) SlotOf(r *Request, server string) Slot {
	return Slot{Pool: r.Pool, Server: server, Suspect: r.suspect}
}

// Release gives back a slot after a request that ran for the given time, zero if it did not
// run. The decisions are about waiting requests, and are valid until the next call.
func (c *Core) Release(now Time, s Slot, ran time.Duration) []Decision {
	return c.applyQueueDecisions(c.queues[s.Pool].Release(now, s.Server, ran, s.Suspect))
}

// Advance admits or rejects waiting requests of all pools after time has passed.
func (c *Core) Advance(now Time) []Decision {
	var decisions []Decision
	for _, q := range c.queues {
		if q.Waiting() > 0 {
			decisions = append(decisions, c.applyQueueDecisions(q.Advance(now))...)
		}
	}
	return decisions
}

// Complete records that the request got a complete response. The stored response may be nil.
func (c *Core) Complete(now Time, r *Request, status int, response *StoredResponse) {
	if r.recorded {
		c.table.RecordRan(r.submission(), status, response)
		r.recorded = false
	}
	if r.Fingerprint != 0 {
		c.crashes.Clear(r.Fingerprint, c.nanos(now))
	}
}

// EjectBusy ejects a server that reported that it is overloaded, for at most maxEjection.
func (c *Core) EjectBusy(now Time, s Slot, until Time) {
	c.queues[s.Pool].Eject(s.Server, min(until, now.Add(maxEjection)))
}

// HandleFault decides whether a request is retried after a fault. A request that may have run
// is retried only if it is idempotent.
func (c *Core) HandleFault(now Time, r *Request, s Slot, f Fault) RetryDecision {
	if f == NotSent {
		c.queues[s.Pool].EjectUnreachable(now, s.Server)
	}
	mayHaveRun := f == InDoubt || f == ConnectionLost
	if mayHaveRun && f == ConnectionLost && c.suspicion(now, r.Fingerprint) == Blocked {
		c.recordUnknown(r)
		return Final{Outcome: caller.Unknown, Blocked: true}
	}
	retry := (!mayHaveRun || r.Idempotent) && r.Replayable && r.attempts < maxAttempts && now < r.Deadline
	if retry && c.budget.Spend() {
		return Retry{}
	}
	if mayHaveRun {
		c.recordUnknown(r)
		return Final{Outcome: caller.Unknown}
	}
	c.recordNotRun(r)
	return Final{Outcome: caller.NotRun}
}

// applyQueueDecisions updates the state of the waiting requests that a queue decided about. It
// returns the decisions.
func (c *Core) applyQueueDecisions(decisions []Decision) []Decision {
	for _, d := range decisions {
		switch d := d.(type) {
		case Admitted:
			if r := c.waiting[d.Ticket]; r != nil {
				r.attempts++
				delete(c.waiting, d.Ticket)
			}
		case Rejected:
			if r := c.waiting[d.Ticket]; r != nil {
				c.recordNotRun(r)
				delete(c.waiting, d.Ticket)
			}
		case Queued, CheckFailed, Moved:
		}
	}
	return decisions
}

// recordNotRun records that this submission did not run.
func (c *Core) recordNotRun(r *Request) {
	if r.recorded {
		c.table.RecordNotRun(r.submission())
		r.recorded = false
	}
}

// recordUnknown records that this submission may have run.
func (c *Core) recordUnknown(r *Request) {
	if r.recorded {
		c.table.RecordUnknown(r.submission())
		r.recorded = false
	}
}

func (c *Core) suspicion(now Time, f Fingerprint) Suspicion {
	if f == 0 || !c.crashes.Any() {
		return Unsuspected
	}
	crashLimit := c.limits.CrashServers
	if crashLimit <= 0 {
		crashLimit = defaultCrashServers
	}
	return c.crashes.SuspicionOf(f, crashLimit, c.millis(now))
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
func (c *Core) time(unixMillis int64) Time {
	return Time((unixMillis - c.originUnixMillis) * int64(time.Millisecond))
}
