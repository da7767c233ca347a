// Package permit decides which request may go to which backend server, and when: whether it
// goes at once, waits, or is refused. It has no input or output.
//
// Servers run a few requests at a time and reset connections when a short queue behind them
// is full, which loses requests that must not be repeated. Instances that each count only
// their own requests cannot know how full a server is. So one instance, the keeper, gives the
// permits for a server, and the others ask it with one small message a request.
//
// The package answers these loads: servers that are full for a moment (a request waits in
// order of rank as long as it still makes its target), more than the servers can do for long
// (what cannot make its target is refused at once and told when to come back), servers that
// are slow (their measured speed counts), that fail (set aside for a time, a few at most), or
// that others use as well (the load that they report counts).
package permit

import (
	"time"
)

// ID identifies one asking: the instance that asked, and its serial number there.
type ID struct {
	From   string
	Serial uint64
}

// Request asks for a server to send a request to.
type Request struct {
	ID
	Service string
	// Pool names the pool that is asked, or the service if that is divided by key.
	Pool string
	// Server is the owner of the request's key, empty if any server of the pool will do.
	Server string
	// Domain is the failure domain whose servers are preferred: that of the instance that will send, or of
	// the pool if that has servers of another one only.
	Domain string
	// Route names the kind of work, whose time is learnt.
	Route    string
	Priority int
	// Returning says that the caller was refused before and came back.
	Returning bool
	// TargetAt is when the answer should be there, LimitAt when it must.
	TargetAt time.Time
	Deadline time.Time
	// Avoid is a server that failed this request before.
	Avoid string
	// HasFallback says that the request can ask another pool, and should be told if there is no room soon.
	HasFallback bool
	// NonExclusive says that other instances may give permits for the same servers meanwhile: the keeper is cut off, or not
	// the one in charge. Cold servers, whose requests must be counted in one place, get none then.
	NonExclusive bool
}

// Outcome says how a sending ended.
type Outcome int

// The outcomes.
const (
	Answered Outcome = iota
	// Failed is an answer that reports a failure, Lost none at all.
	Failed
	Lost
	// Full says that the server had no room; NotHere that it does not hold the key.
	Full
	NotOwner
	// Unsent says that nothing was sent, Cancelled that the caller left.
	Unsent
	Cancelled
)

// Load is what a server reports of itself.
type Load struct {
	Running int
	Waiting int
	Known   bool
	// Slowdown is the factor by which work takes longer on the server's machine at this moment than usual, zero if
	// it is not stated. Servers share their machines with others, so it changes several times a second.
	Slowdown float64
}

// Completion gives a permit back.
type Completion struct {
	ID
	Server  string
	Route   string
	Outcome Outcome
	// Took is the time from sending to the whole answer, Bytes the size of the answer.
	Took  time.Duration
	Bytes int
	Load  Load
}

// Decision is the answer to an Ask.
type Decision interface{ verdict() ID }

// Admitted permits a sending to a server.
type Admitted struct {
	ID
	Server string
}

// Queued says that the request is in the queue.
type Queued struct{ ID }

// Rejected says that the request will get no permit.
type Rejected struct {
	ID
	Reason Reason
	// RetryIn is when the caller should come back.
	RetryIn time.Duration
	// Wait is the wait that was predicted.
	Wait time.Duration
	// Pool is the pool that refused, if the request was asked for by pools.
	Pool string
}

func (v Admitted) verdict() ID { return v.ID }
func (v Queued) verdict() ID   { return v.ID }
func (v Rejected) verdict() ID { return v.ID }

// IDOf returns what a verdict is about.
func IDOf(v Decision) ID { return v.verdict() }

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	// Overload says that the request would miss its target or its limit.
	Overload Reason = "overload"
	// NoServer says that the service has no server that can be used.
	NoServer Reason = "no-server"
	// PoolBusy says that this pool has no room soon, and another one may have.
	PoolBusy Reason = "pool-busy"
	// OwnerGone says that the owner of the key is no longer there.
	OwnerGone Reason = "owner-gone"
)
