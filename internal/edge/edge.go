// Package edge answers the requests of callers: it finds the route and the server, asks for a
// permit, sends the request, and decides what an outcome means for the caller.
//
// Three states are told apart at all times. "Not run" is said only when no byte was written to
// a server, or the server itself said so; it alone leads to the statuses 429 and 503. "Ran" is
// an answer, which is passed on as it is. All else is in doubt: a request that is not
// idempotent is then not sent again, and the caller gets 502 or 504.
package edge

import (
	"context"
	"net/http"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/permit"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// RequestInfo is what a caller states about its request.
type RequestInfo struct {
	// ID is the identity of this sending.
	ID string
	// Timeout is how long the caller will wait, if Patient is set.
	Timeout    time.Duration
	HasTimeout bool
	// Key is the key of the request, if Keyed is set.
	Key    uint16
	HasKey bool
}

// ResponseInfo is what a server states in its answer.
type ResponseInfo struct {
	// ID is the identity of the sending that is answered.
	ID string
	// NotRun says that the server did not run the request; Moved that it is not the server that
	// was meant, or does not hold the key.
	NotRun      bool
	Misdirected bool
	Load        permit.Load
	// LoadErr says that the server stated a load that cannot be read.
	LoadErr error
}

// HeaderCodec translates between the headers of requests and what they mean.
type HeaderCodec interface {
	DecodeRequest(h http.Header) RequestInfo
	// EncodeTarget states which server alone may run the request, and how long it may take.
	EncodeTarget(h http.Header, server string, left time.Duration)
	DecodeResponse(r *http.Response) ResponseInfo
}

// Admitter gives permits to send.
type Admitter interface {
	// Acquire waits for a permit. The granted one must be given back. A nil refusal means that
	// it was granted.
	Acquire(ctx context.Context, a permit.Request, domain string) (Admission, *permit.Rejected)
}

// Admission is the right to send one request to a server.
type Admission interface {
	Server() string
	Complete(d permit.Completion)
}

// Cluster is what the edge knows of its surroundings at a moment.
type Cluster interface {
	Config() *rules.Config
	Server(id string) (rules.Server, bool)
	// Owner returns the range of a key, and a channel that is closed when owners change.
	Owner(service string, key uint16) (shard.Range, bool, <-chan struct{})
	// CountRequest takes in a request for a key.
	CountRequest(service string, key uint16)
	// Quarantined reports whether a request is known to crash servers; Crashed takes in that a
	// server was lost while it ran, Cleared that it had an answer.
	Quarantined(print uint64) bool
	ReportCrash(print uint64, s rules.Server)
	ClearSuspicion(print uint64)
}

// Deps is what an Edge needs.
type Deps struct {
	Codec       HeaderCodec
	Cluster     Cluster
	Admitter    Admitter
	ConnPool    *ConnPool
	RetryBudget *RetryBudget
	Events      *event.Log
	Meters      *Meters
}

// Edge answers requests.
type Edge struct {
	Deps
	patience patience
	// oddLoads holds the servers whose load could not be read, as far as a line was written.
	oddLoads oddLoads
	running  running
}

// New returns an edge.
func New(d Deps) *Edge { return &Edge{Deps: d} }

// Handle is an inlet.Handler.
func (e *Edge) Handle(ctx context.Context, r *http.Request) *inlet.Reply {
	arrivedAt := time.Now()
	q, refused := e.admit(r, arrivedAt)
	if refused != nil {
		return refused
	}
	e.RetryBudget.Earn(q.service)
	ctx, cancel := context.WithDeadline(ctx, q.limitAt)
	defer cancel()
	reply := q.serve(ctx)
	e.note(q, reply)
	return reply
}

// note logs and counts how a request ended.
func (e *Edge) note(q *request, reply *inlet.Reply) {
	class := event.Success
	status := 0
	if reply != nil {
		status = reply.Status
	}
	if status < 200 || status > 299 {
		class = event.Failure
		e.patience.refuse(q.route.Name, time.Now())
	}
	took := time.Since(q.arrivedAt)
	e.Meters.RecordRequest(q.route.Name, q.why, took)
	e.Events.Note(class, "request", "id", q.call.ID, "route", q.route.Name, "config", q.version, "service", q.service,
		"status", status, "why", q.why, "server", q.server, "attempts", q.attempts, "took", took,
		"waited", q.waited, "dispatched", q.dispatched, "leaving-in", q.leaving, "predicted", q.predicted, "pool", q.pool, "left", time.Until(q.limitAt), "returning", q.returning, "patience", q.call.Timeout, "key", q.call.Key, "fence", q.fence,
		"error", q.err)
}
