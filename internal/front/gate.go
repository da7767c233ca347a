package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/internal/upstr"
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/grant"
)

// errNotAuthorized is wrapped by errors of the Authorizer.
var errNotAuthorized = errors.New("front: this instance may not send to the server")

// gateRequest is a request at an instance that is the gate of its servers.
type gateRequest struct {
	*request
	front         *Front
	service       *service
	dest          route.Local
	policyRequest *policy.Request
	// replicated says that the Replicator has copied the idempotency record.
	replicated bool
	// newConn makes the next attempt use a new connection.
	newConn bool
}

// runAtGate sends a request to one of the servers of which this instance is the gate. It buffers
// the body, checks the idempotency record and then makes the attempts.
func (f *Front) runAtGate(w http.ResponseWriter, q *request, d route.Local) *refusal {
	g := &gateRequest{request: q, front: f, service: f.service(d.Service.Name), dest: d}
	if err := g.body.buffer(w, q.ContentLength, f.wallTime(q.deadline)); err != nil {
		return asUnsent(failureRefusal(q, unreachedOutcome(q), err))
	}
	g.policyRequest = &policy.Request{
		Ticket: policy.Ticket(f.lastTicket.Add(1)), Pool: poolOf(d), Hash: q.hash, Caller: q.caller,
		Deadline: q.deadline, Idempotent: q.idempotent, Replayable: g.body.complete,
	}
	if q.deduplicated() {
		if ref, done := g.checkAndReplicate(w); done {
			return ref
		}
	} else if g.service.hasSuspects() {
		g.print()
	}
	ref := g.runAttempts(w)
	if ref != nil && ref.didNotRun() {
		g.replicateOutcome(caller.NotRun, 0)
	}
	return ref
}

// checkAndReplicate checks the idempotency record of a deduplicated request, and makes sure that
// another instance holds a copy of it before the request is sent. It returns true if the request
// must not be sent. The refusal is nil then if the response has already been written.
func (g *gateRequest) checkAndReplicate(w http.ResponseWriter) (*refusal, bool) {
	scope := ""
	if g.dest.Service.Divided {
		scope = g.key
	}
	g.policyRequest.RequestID = policy.HashRequestID(g.request.service, scope, g.id)
	g.policyRequest.SubmissionID = g.submissionID
	g.print()
	server, epoch := g.recoveryScope()
	// A first submission is sent even if the recovery fails, since no earlier one can have run.
	if err := g.service.ensureRecovered(g.Context(), g.hash, server, epoch); err != nil && g.submissionNumber != 1 {
		g.front.deps.Log.Warn("recall-failed", "request", g.id, "service", g.service.name, "error", err)
		return &refusal{
			status: http.StatusServiceUnavailable, reason: ReasonMemoryIncomplete, outcome: unreachedOutcome(g.request), unsent: true,
			retryAfter: shortRetryDelay,
		}, true
	}
	result := g.service.checkIdempotency(g.policyRequest)
	if _, fresh := result.(policy.Fresh); !fresh {
		return g.respondToResend(w, result), true
	}
	if g.replica != "" && g.replica != g.front.deps.Instance || g.front.deps.Replicator == nil {
		return nil, false
	}
	ctx, cancel := context.WithDeadline(g.Context(), g.front.wallTime(g.deadline))
	defer cancel()
	if err := g.front.deps.Replicator.Replicate(ctx, g.record(caller.Unknown, 0)); err != nil {
		g.service.cancel(g.policyRequest)
		g.front.deps.Log.Warn("no-witness", "request", g.id, "service", g.service.name, "error", err)
		return &refusal{
			status: http.StatusServiceUnavailable, reason: ReasonNoWitness, outcome: caller.NotRun, retryAfter: shortRetryDelay,
		}, true
	}
	g.replicated = true
	return nil, false
}

// recoveryScope returns the server and its epoch for which idempotency records must have been
// recovered. Both are empty in a service that is not divided.
func (g *gateRequest) recoveryScope() (string, grant.Epoch) {
	if g.policyRequest.Pool == "" {
		return "", grant.Epoch{}
	}
	return g.policyRequest.Pool, g.dest.Servers[0].Epoch
}

func (g *gateRequest) record(o caller.Outcome, status int) policy.IdempotencyRecord {
	rec := g.service.core.RecordOf(g.policyRequest, o)
	rec.Status = status
	return rec
}

// replicateOutcome updates the copy of the idempotency record with the outcome.
func (g *gateRequest) replicateOutcome(o caller.Outcome, status int) {
	if g.replicated {
		g.front.deps.Replicator.ReplicateOutcome(g.record(o, status))
	}
}

// print computes the fingerprint of the request, by which requests that crash servers are
// recognized.
func (g *gateRequest) print() {
	g.policyRequest.Fingerprint = policy.FingerprintOf(policy.Content{
		Service: g.request.service, Method: g.Method, Path: g.URL.RequestURI(), Key: g.key,
		Body: g.body.prefix, Length: g.ContentLength,
	})
}

// respondToResend responds to a request that the idempotency check did not let through. It replays
// the stored response if there is one, and otherwise returns a refusal.
func (g *gateRequest) respondToResend(w http.ResponseWriter, result policy.CheckResult) *refusal {
	ref := &refusal{
		status: http.StatusConflict, outcome: caller.Unknown, unsent: true, reason: policy.ReasonInProgress, retryAfter: shortRetryDelay,
	}
	switch r := result.(type) {
	case policy.AlreadyRan:
		if r.Response != nil {
			g.replay(w, r.Response)
			return nil
		}
		ref.reason, ref.outcome, ref.retryAfter = policy.ReasonAlreadyRan, caller.Ran, 0
	case policy.IDReused:
		ref.status, ref.reason, ref.outcome, ref.retryAfter = http.StatusUnprocessableEntity, policy.ReasonIDReused, caller.NotRun, 0
	case policy.TableFull:
		ref.status, ref.reason, ref.outcome = http.StatusServiceUnavailable, policy.ReasonMemoryFull, caller.NotRun
	case policy.MayHaveRun, policy.Fresh:
	}
	g.front.counters.resendsRefused.Add(1)
	return ref
}

// runAttempts acquires a slot and sends the request, until the policy allows no further attempt.
func (g *gateRequest) runAttempts(w http.ResponseWriter) *refusal {
	for first := true; ; first = false {
		decision, waited, err := g.service.acquire(g.Context(), g.policyRequest, g.dest)
		if err != nil {
			return failureRefusal(g.request, caller.NotRun, err)
		}
		admitted, ok := decision.(policy.Admitted)
		if !ok {
			return g.handleNotAdmitted(w, decision)
		}
		if (waited || !first) && !g.stillLocal(admitted.Server) {
			g.service.cancelAndRelease(g.policyRequest, admitted.Server)
			return g.front.route(w, g.request)
		}
		target, found := g.target(admitted.Server)
		if !found {
			g.service.cancelAndRelease(g.policyRequest, admitted.Server)
			return &refusal{
				status: http.StatusServiceUnavailable, reason: policy.ReasonNoServer, outcome: caller.NotRun, retryAfter: shortRetryDelay,
			}
		}
		ref, retry := g.attempt(w, target)
		if !retry {
			return ref
		}
		g.front.counters.retried.Add(1)
		g.body.rewind()
	}
}

// stillLocal routes the request again and reports whether it may still be sent to the server. While
// it was queued, the key may have got another owner, or the server another gate.
func (g *gateRequest) stillLocal(server string) bool {
	d, local := g.front.findDestination(g.request).(route.Local)
	if !local || poolOf(d) != g.policyRequest.Pool {
		return false
	}
	g.dest = d
	_, found := g.target(server)
	return found
}

// target returns the server with the given name among those of the destination.
func (g *gateRequest) target(server string) (route.Target, bool) {
	for _, t := range g.dest.Servers {
		if t.Server.Name == server {
			return t, true
		}
	}
	return route.Target{}, false
}

// handleNotAdmitted responds to a request that got no slot, or routes it again if the gate moved.
func (g *gateRequest) handleNotAdmitted(w http.ResponseWriter, decision policy.Decision) *refusal {
	switch v := decision.(type) {
	case policy.Rejected:
		ref := &refusal{
			status: http.StatusServiceUnavailable, reason: v.Reason, outcome: caller.NotRun,
			retryAfter: v.RetryAt.Until(g.front.now()),
		}
		if v.Reason == policy.ReasonCallerOverShare {
			ref.status = http.StatusTooManyRequests
		}
		if v.Reason == policy.ReasonBlocked {
			ref.detail = "block " + g.policyRequest.Fingerprint.String()
		}
		return ref
	case policy.CheckFailed:
		return g.respondToResend(w, v.Result)
	case policy.Moved:
		return g.front.route(w, g.request)
	default:
		return &refusal{status: http.StatusInternalServerError, reason: ReasonNoRoute, outcome: caller.NotRun}
	}
}

// attempt sends the request to a server of which it holds a slot, and passes on the response. It
// returns true if the request is to be retried.
func (g *gateRequest) attempt(w http.ResponseWriter, t route.Target) (*refusal, bool) {
	f, server := g.front, t.Server.Name
	slot := g.service.slotOf(g.policyRequest, server)
	start := f.now()
	out := g.outgoing(t)
	defer f.startHopSpan(g.Context(), spanSend, server, out.Header)()
	var work Work
	response, err := g.service.client(t.Server).Send(out, upstr.SendOptions{
		Deadline: f.wallTime(g.deadline), InMemory: g.body.complete, NewConn: g.newConn, BeforeWrite: g.authorizeWrite(t, &work),
		// Responses do not say whose they are. A copy of this one would say of the next request that it did not run.
		LastUse: refusedBeforeRunning,
		Done: func(sent bool) {
			if work != nil {
				work.End()
			}
			ran := time.Duration(f.now() - start)
			if !sent {
				ran = 0
			}
			g.service.release(slot, ran)
		},
	})
	if err != nil {
		return g.handleNoResponse(slot, t, err)
	}
	defer response.Body.Close()
	if refusedBeforeRunning(response) {
		return g.handleRefusal(slot, response)
	}
	ref, retry := g.writeResponse(w, slot, t, response)
	if f.deps.ObserveRun != nil {
		f.deps.ObserveRun(g.request.service, server, g.hash, time.Duration(f.now()-start))
	}
	return ref, retry
}

// authorizeWrite returns a function that calls the Authorizer and stores the Work that it returns.
//
// The function is called when the connection is open, because opening one may take long and this
// instance may cease to be the gate meanwhile. If it sent the request nevertheless, the server
// might not notice: two gates would then send requests for one key to two servers, or send one
// request twice.
func (g *gateRequest) authorizeWrite(t route.Target, work *Work) func(upstr.Sending) error {
	if g.front.deps.Authorizer == nil {
		return nil
	}
	return func(upstr.Sending) error {
		begun, err := g.front.deps.Authorizer.Begin(Attempt{
			Service:      g.request.service,
			Server:       t.Server.Name,
			Hash:         g.hash,
			Divided:      g.dest.Service.Divided,
			ChecksGrants: t.Server.ChecksGrants,
			Idempotent:   g.idempotent,
		})
		if err != nil {
			return fmt.Errorf("%w: %w", errNotAuthorized, err)
		}
		*work = begun
		return nil
	}
}

// outgoing returns the request that is sent to the server.
func (g *gateRequest) outgoing(t route.Target) *http.Request {
	out := g.front.outgoing(g.Context(), g.request)
	setPath(out.URL, g.serverPath)
	if !t.Epoch.IsZero() {
		out.Header[caller.HeaderEpoch] = g.service.epochHeader(t)
	}
	return out
}
