// Package edge handles the requests of callers: it finds the route and the server, requests an
// admission, sends the request, and turns the outcome into a reply.
//
// An attempt has one of three outcomes. "Not run" is claimed only if no byte was written to a
// server, or if the server itself said so. "Ran" means that the server sent a response, which is
// passed on unchanged. Everything else is in doubt: a non-idempotent request is then not retried,
// and the caller gets 502 or 504. Statuses 408, 421, 429 and 503 tell a caller that its request has
// not run and never will, so they are passed on only if that is the outcome of each attempt.
//
// All sendings of a request have one ID. A response is that of a sending only if it states the ID,
// on a connection that has carried the request once.
package edge

import (
	"context"
	"net/http"
	"time"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/retry"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
	"example.org/mustardring/internal/stated"
)

// RequestInfo is what the headers of a request state.
type RequestInfo struct {
	// ID identifies this attempt of the caller. A caller that retries uses another ID.
	ID string
	// Timeout is how long the caller will wait from now on. It is valid if HasTimeout is set.
	Timeout    time.Duration
	HasTimeout bool
	// Key is the key of the request. It is valid if HasKey is set.
	Key    uint16
	HasKey bool
}

// ResponseInfo is what the headers of a server's response state.
type ResponseInfo struct {
	// ID is the RequestInfo.ID of the request that the response belongs to. A response without it belongs to no request that
	// has one.
	ID string
	// Signed says that the response bears the signature of a server that has run the request. A success without it is none.
	Signed bool
	// NotRun says that the response states that the server did not run the request, which is believed only beside a status
	// with which a server may reject it. Misdirected says that the server is not the one that was addressed, or does not own
	// the key.
	NotRun      bool
	Misdirected bool
	Load        admit.Load
	// LoadErr is set if the server stated a malformed load.
	LoadErr error
	// Limit is the request rate that the server states. LimitErr is set if a statement was malformed.
	Limit    stated.Limit
	LimitErr error
	// Statement is what the server states about itself besides. LeavingErr and RestErr are set if a part of it was malformed.
	Statement  stated.Statement
	LeavingErr error
	RestErr    error
}

// HeaderCodec decodes and encodes the headers that callers, instances and servers exchange.
type HeaderCodec interface {
	DecodeRequest(h http.Header) RequestInfo
	// EncodeTarget sets the only server that may run the request, and the time left for it.
	EncodeTarget(h http.Header, server string, left time.Duration)
	// DecodeResponse decodes a response whose head was received at a time.
	DecodeResponse(r *http.Response, receivedAt time.Time) ResponseInfo
}

// Admitter admits requests to servers.
type Admitter interface {
	// Acquire waits for an admission. It returns either an admission, which must be completed,
	// or a rejection. If the request names its server, domain is the failure domain of that
	// server; otherwise domain is empty.
	Acquire(ctx context.Context, a admit.Request, domain string) (Admission, *admit.Rejected)
}

// Admission is the right to send one request to a server.
type Admission interface {
	// Server returns the ID of the server.
	Server() string
	// Earlier returns what the controller knows of earlier tries of the request.
	Earlier() admit.Earlier
	// Complete reports the end of the request and frees the slot of the server. It must be
	// called exactly once.
	Complete(d admit.Completion)
}

// Cluster is this instance's current view of the configuration, the servers and the owners of keys.
// It also takes in what the edge learns about requests.
type Cluster interface {
	// Config returns nil until a configuration has been read.
	Config() *rules.Config
	// ConfigOutdated reports whether this instance knows that there is something newer than Config, which it does not have yet.
	ConfigOutdated() bool
	// DirectoryOutdated reports whether this instance may lack the news of a server that leaves for so long that a request could
	// reach the server too late.
	DirectoryOutdated() bool
	// Server returns a server of the directory. Its LeaveBy allows for the time that requests of this instance take to arrive.
	Server(id string) (rules.Server, bool)
	// ObserveSendDelay takes in how long it took to write a request, once it was clear that the server accepts it.
	ObserveSendDelay(took time.Duration, now time.Time)
	// Owner returns the range that contains a key, whether there is one, and a channel that is
	// closed when owners change.
	Owner(service string, key uint16) (shard.Range, bool, <-chan struct{})
	// OwnersSettleAt returns until when keys may have no owner because this instance has started, and perhaps the others with
	// it, a time in the past if none is expected to.
	OwnersSettleAt() time.Time
	// CountRequest counts a request for a key.
	CountRequest(service string, key uint16)
	// Quarantined reports whether the request with a fingerprint is suspected to crash servers.
	Quarantined(print uint64) bool
	// ReportCrash reports that the connection to a server was lost while the server ran the
	// request with a fingerprint.
	ReportCrash(print uint64, s rules.Server)
	// ObserveStatement takes in what a response to this instance states about its server.
	ObserveStatement(server string, s stated.Statement, source stated.Source)
	// RestUntil returns until when a server wants no requests of this instance, the zero time or one in the past if it
	// takes them.
	RestUntil(server string) time.Time
	// ClearSuspicion reports that the request with a fingerprint got a response.
	ClearSuspicion(print uint64)
}

// Deps holds the dependencies of an Edge.
type Deps struct {
	Codec    HeaderCodec
	Cluster  Cluster
	Admitter Admitter
	// Carrier is nil if requests are sent over connections of this instance only.
	Carrier     Carrier
	ConnPool    *ConnPool
	ReplyMemory *ReplyMemory
	RetryBudget *retry.Budget
	Events      *event.Log
	Meters      *Meters
	// Identity tells callers apart. CallerNames names them in the lines of requests, nil if these name none.
	Identity    Identity
	CallerNames *CallerNames
	// RepeatRejected allows repeats at the owner of a key that has rejected a request although it had room.
	RepeatRejected bool
}

// Edge handles the requests of the callers that are connected to this instance.
type Edge struct {
	Deps
	returns returnDetector
	// malformed holds the servers of which something malformed has been logged.
	malformed malformed
	inFlight  inFlightCounter
}

// New returns an Edge with the given dependencies.
func New(d Deps) *Edge { return &Edge{Deps: d} }

// Handle processes one request of a caller. It is an inlet.Handler.
func (e *Edge) Handle(ctx context.Context, r *http.Request) *inlet.Reply {
	arrivedAt := time.Now()
	q, rejection := e.prepare(r, arrivedAt)
	if rejection != nil {
		return q.deliver(ctx, rejection)
	}
	e.RetryBudget.Earn(q.service)
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	reply := q.deliver(ctx, q.serve(ctx))
	e.recordEnd(q, reply)
	return reply
}

// recordEnd logs and counts the end of a request. Reply is nil if there is none.
func (e *Edge) recordEnd(q *request, reply *inlet.Reply) {
	class := event.Success
	status := 0
	if reply != nil {
		status = reply.Status
	}
	if status < 200 || status > 299 {
		class = event.Failure
		e.returns.recordRejection(q.route.Name, time.Now())
	}
	took := time.Since(q.arrivedAt)
	e.Meters.RecordRequest(q.route.Name, q.reason, took)
	pairs := []any{"id", q.info.ID, "route", q.route.Name, "config", q.configVersion, "service", q.service,
		"status", status, "why", q.reason, "server", q.server, "through", q.through, "carried", q.carried, "attempts", q.attempts, "sendings", q.sendings.sent(), "proof", q.sendings.proofOf(reply), "took", took,
		"waited", q.waited, "dispatched", q.dispatchDelay, "leaving-in", q.leavesIn, "written", q.writeDelay, "predicted", q.predictedWait, "pool", q.pool, "left", time.Until(q.deadline), "conn", q.sending.conn, "use", q.sending.use, "stated-id", q.sending.statedID, "returning", q.returning, "patience", q.info.Timeout, "key", q.info.Key, "fence", q.fence,
		"repeats", q.repeats, "origin-return", q.earlier.Returns > 0, "returns", q.earlier.Returns, "last-try", q.earlier.LastTry, "kept", q.earlier.Kept, "reserved", q.reserved, "error", q.err}
	if e.CallerNames != nil && q.caller > unidentified {
		pairs = append(pairs, "caller", e.CallerNames.of(q.caller))
	}
	e.Events.Record(class, "request", pairs...)
}
