// Package admit implements admission control for backend servers: it decides whether a request is
// sent to a server at once, waits in a queue, or is rejected. It performs no I/O.
//
// A server runs a few requests at a time and resets connections when the short queue behind its
// slots is full. A reset loses requests that must not be repeated. An instance that counts only its
// own requests cannot know how full a server is. Therefore one instance, the controller of a
// server, admits all requests to it, and the other instances ask that one with one small message
// per request.
//
// The package handles these situations:
//
//   - Servers are full for a moment: requests wait in order of rank as long as they can be answered
//     in time.
//   - Servers are overloaded for long: requests that cannot be answered in time are rejected at
//     once, with a delay after which to retry.
//   - Servers are slow: their measured service times count.
//   - Servers fail: they are ejected for some time, a few at most at the same time.
//   - Others use the servers as well: the load that the servers report counts.
package admit

import (
	"time"

	"example.org/mustardring/internal/stated"
)

// ID identifies a request for admission.
type ID struct {
	// From is the instance that asks, empty for the instance of the controller itself. Serial is a
	// serial number of that instance.
	From   string
	Serial uint64
}

// Request asks for the admission of one attempt to send a request to a server.
type Request struct {
	ID
	Service string
	// Pool is the name of the pool that is asked, or of the service if that is divided by key.
	Pool string
	// Server is the ID of the owner of the request's key, empty if any server of the pool will do.
	Server string
	// Domain is the failure domain whose servers are preferred: that of the instance that will send
	// the request, or that of the pool if all servers of the pool are in one domain.
	Domain string
	// Route names the kind of request. Service times are learned per route.
	Route string
	// Priority orders waiting requests; 0 goes first.
	Priority int
	// Returning reports whether the caller was rejected before and has come back.
	Returning bool
	// TargetAt is when the answer is wanted, Deadline when it is needed at the latest.
	TargetAt time.Time
	Deadline time.Time
	// Avoid is the ID of a server that failed this request before, empty if there is none.
	Avoid string
	// HasFallback reports whether the sender can ask another pool. The request is then
	// rejected with PoolBusy unless a server is free soon.
	HasFallback bool
	// NonExclusive reports whether other instances may be admitting requests to the same servers at
	// the same time, because the controller is cut off or is not the one in charge. Servers
	// that bear a bounded rate get no such requests, as these must be counted in one place.
	NonExclusive bool
	// Standby reports whether another instance is in charge of the servers, and may be admitting
	// requests to them at the same time for instances that reach it.
	Standby bool
	// Caller is a digest of the identity of the caller, and Origin one of the caller and its request,
	// which is the same when the caller sends the request again. Both are zero if they are not known.
	Caller uint32
	Origin uint64
	// Retry reports whether the router, not the caller, sends the request again.
	Retry bool
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Answered Outcome = iota
	// Failed is an answer that reports a failure, Lost means that there was no answer.
	Failed
	Lost
	// Full means that the server had no room for the request, NotOwner that it does not hold the
	// key.
	Full
	NotOwner
	// Unsent means that nothing was sent, Cancelled that the caller left.
	Unsent
	Cancelled
)

// outcomeNames holds the names of the outcomes in logs.
var outcomeNames = map[Outcome]string{
	Answered: "answered", Failed: "failed", Lost: "lost", Full: "full", NotOwner: "not-owner", Unsent: "unsent", Cancelled: "cancelled",
}

// String returns the name of the outcome in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Load is the load that a server reports of itself.
type Load struct {
	// Running and Waiting are the numbers of requests that the server runs and that wait for a slot
	// there. Known reports whether the server reported them.
	Running int
	Waiting int
	Known   bool
	// Slowdown is the factor by which requests take longer than usual on the server's machine at
	// this moment, zero if it is not reported. It changes several times a second, as servers share
	// their machines with others.
	Slowdown float64
}

// Completion reports how an admitted request ended, and ends its admission.
type Completion struct {
	ID
	Server  string
	Route   string
	Outcome Outcome
	// Took is the time from sending the request to having the whole answer, Bytes the size of the
	// answer.
	Took  time.Duration
	Bytes int
	Load  Load
	Limit stated.Limit
}

// Decision is the answer to a Request: Admitted, Queued or Rejected.
type Decision interface{ requestID() ID }

// Admitted allows the request to be sent to a server.
type Admitted struct {
	ID
	Server string
	Earlier
}

// Earlier is what the controller knows of earlier tries of a request.
type Earlier struct {
	// Returns is how often the caller has come back with the request after a rejection.
	Returns int
	// LastTry reports whether the caller is not expected to come back if this try is rejected.
	LastTry bool
	// Kept reports whether capacity was reserved for this return.
	Kept bool
}

// Queued means that the request waits. Another decision follows that admits or rejects it.
type Queued struct{ ID }

// Rejected means that the request is not admitted.
type Rejected struct {
	ID
	Reason Reason
	// RetryIn is the delay after which the caller should come back.
	RetryIn time.Duration
	// Reserved reports whether capacity is reserved for the caller after RetryIn.
	Reserved bool
	Earlier
	// Wait is the predicted time in the queue.
	Wait time.Duration
	// Pool is the name of the pool that rejected the request. The instance that asked sets it, not
	// the controller.
	Pool string
}

func (a Admitted) requestID() ID { return a.ID }
func (q Queued) requestID() ID   { return q.ID }
func (r Rejected) requestID() ID { return r.ID }

// IDOf returns the ID of the request that a decision is about.
func IDOf(d Decision) ID { return d.requestID() }

// Reason says why a request is rejected.
type Reason string

// The reasons of rejections.
const (
	// Overload means that the request would miss its target or its deadline.
	Overload Reason = "overload"
	// NoServer means that the service has no server that can be used.
	NoServer Reason = "no-server"
	// PoolBusy means that this pool has no room soon, while another pool may have some.
	PoolBusy Reason = "pool-busy"
	// OwnerGone means that the owner of the key, or the last server of the pool, is gone.
	OwnerGone Reason = "owner-gone"
	// PushedOut means that the request waited, and would miss its target behind those of callers that have had less.
	PushedOut Reason = "pushed-out"
	// Resting means that the owner of the key, or all servers of the pool, have asked for rest.
	Resting Reason = "resting"
)
