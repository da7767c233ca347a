package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"example.org/mustardring/internal/duty"

	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/permit"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
	"example.org/mustardring/internal/upstr"
)

// The times of attempts.
const (
	// retryAfterNoOwner is when a caller should come back whose key has no owner: moves take some 0.3
	// seconds, lapses of a lease 2.3.
	retryAfterNoOwner = 400 * time.Millisecond
	// retryAfterServerFull is when a caller should come back whose server rejected it: the queue of a full one
	// is shorter by a request or two by then, and one that rejects at random does not do so twice.
	retryAfterServerFull = 120 * time.Millisecond
	// minAttemptTime is the least time that must be left for another attempt.
	minAttemptTime = 60 * time.Millisecond
	// misdirectedDelay is the pause before a server is asked again that said it does not hold the
	// key: its grant is renewed, or the new owner is known by then.
	misdirectedDelay = 120 * time.Millisecond
	// maxAdmissionRequests bounds how often a request asks for a permit.
	maxAdmissionRequests = 6
)

// serve sends a request until it has an answer, or until another attempt is no use.
func (q *request) serve(ctx context.Context) *inlet.Reply {
	if q.divided {
		// Refused requests count too: they show where there is too little room.
		q.edge.Cluster.CountRequest(q.service, q.call.Key)
	}
	for range maxAdmissionRequests {
		p, s, refused := q.acquire(ctx)
		if refused != nil {
			return q.finalReply(ctx, refused)
		}
		if p == nil {
			continue
		}
		reply, again := q.attempt(ctx, p, s)
		if !again {
			return reply
		}
		if reply == nil {
			continue
		}
		q.fallback = reply
		if q.attempts >= q.route.MaxAttempts || time.Until(q.deadline) < minAttemptTime || !q.edge.RetryBudget.Spend(q.service) {
			return q.finalReply(ctx, reply)
		}
	}
	return q.finalReply(ctx, q.fallback)
}

// finalReply returns the final answer of a request whose last attempt led to the given one.
func (q *request) finalReply(ctx context.Context, reply *inlet.Reply) *inlet.Reply {
	if q.fallback != nil && (reply == nil || q.mayHaveRun) {
		reply = q.fallback
	}
	switch {
	case reply != nil && (!q.mayHaveRun || reply.Status != http.StatusServiceUnavailable):
		return reply
	case ctx.Err() != nil && q.mayHaveRun:
		q.reason = endTimeout
		return errorReply(http.StatusGatewayTimeout, 0)
	case q.mayHaveRun:
		q.reason = endInDoubt
		return errorReply(http.StatusBadGateway, 0)
	case q.reason == endServerFull:
		return errorReply(http.StatusServiceUnavailable, retryAfterServerFull)
	default:
		return errorReply(http.StatusServiceUnavailable, retryAfterNoOwner)
	}
}

// acquire waits for a permit. If all three results are nil it should be asked for again.
func (q *request) acquire(ctx context.Context) (Admission, rules.Server, *inlet.Reply) {
	began := time.Now()
	defer func() { q.waited += time.Since(began) }()
	ask := permit.Ask{
		Service: q.service, Route: q.route.Name, Priority: q.route.Priority, Returning: q.returning || q.attempts > 0,
		TargetAt: q.targetAt, LimitAt: q.deadline, Avoid: q.avoid,
	}
	domain := ""
	if q.divided {
		r, reply := q.awaitOwner(ctx)
		if reply != nil {
			return nil, rules.Server{}, reply
		}
		owner, found := q.edge.Cluster.Server(r.Server)
		if !found || owner.Closed(true, time.Now()) {
			q.reason = endNoOwner
			return nil, rules.Server{}, errorReply(http.StatusServiceUnavailable, retryAfterNoOwner)
		}
		ask.Server, domain, q.fence, q.server = r.Server, owner.Domain, r.Fence, r.Server
	}
	p, refused := q.edge.Admitter.Acquire(ctx, ask, domain)
	if refused != nil {
		return nil, rules.Server{}, q.handleRejection(ctx, refused)
	}
	s, found := q.edge.Cluster.Server(p.Server())
	if !found || s.Closed(q.divided, time.Now()) {
		p.Complete(permit.Done{Outcome: permit.Unsent})
		return nil, rules.Server{}, nil
	}
	return p, s, nil
}

// handleRejection turns a refusal of the keeper into an answer.
func (q *request) handleRejection(ctx context.Context, refused *permit.Refused) *inlet.Reply {
	switch {
	case refused.Reason == permit.Gone:
		if !duty.Pause(ctx, misdirectedDelay) {
			q.reason = endNoOwner
			return errorReply(http.StatusServiceUnavailable, retryAfterNoOwner)
		}
		return nil
	case refused.Reason == permit.NoServer:
		q.reason = endNoServer
	case errors.Is(context.Cause(ctx), context.Canceled):
		q.reason = endCallerLeft
	default:
		q.reason = endOverload
	}
	q.predictedWait, q.pool = refused.Wait, refused.Pool
	return errorReply(http.StatusServiceUnavailable, refused.RetryIn)
}

// awaitOwner returns the owner of the request's key. While the key changes hands it waits.
func (q *request) awaitOwner(ctx context.Context) (shard.Range, *inlet.Reply) {
	for {
		r, found, changed := q.edge.Cluster.Owner(q.service, q.call.Key)
		if found && len(r.Before) == 0 {
			return r, nil
		}
		// A key that has no owner yet gets one within a few tenths of a second, or after a
		// lease: what cannot wait for the former is told to come back.
		timer := time.NewTimer(min(maxOwnerWait, time.Until(q.targetAt)/2))
		select {
		case <-changed:
			timer.Stop()
			if time.Since(q.arrivedAt) < maxOwnerWait {
				continue
			}
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		q.reason = endNoOwner
		return shard.Range{}, errorReply(http.StatusServiceUnavailable, retryAfterNoOwner)
	}
}

// maxOwnerWait is how long a request waits for a key that changes hands.
const maxOwnerWait = 400 * time.Millisecond

// attempt sends the request to one server. It returns true if the request may be sent again;
// the answer is then the one for the caller if it is not, and nil if this was no attempt.
func (q *request) attempt(ctx context.Context, p Admission, s rules.Server) (*inlet.Reply, bool) {
	q.attempts++
	q.server = s.ID
	q.edge.inFlight.add(s.Domain, 1)
	defer q.edge.inFlight.add(s.Domain, -1)
	began := time.Now()
	response, err := q.send(ctx, s)
	done := permit.Done{}
	defer func() {
		done.Took = time.Since(began)
		p.Complete(done)
	}()
	if err != nil {
		return q.handleSendError(ctx, &done, s, err)
	}
	answer := q.edge.Codec.DecodeResponse(response)
	done.Load = answer.Load
	if answer.LoadErr != nil {
		q.edge.logMalformedLoad(s.ID, answer.LoadErr)
	}
	reply, err := readWhole(response)
	if err == nil && answer.ID != q.call.ID && answer.ID != "" {
		err = errMismatchedResponse
	}
	if err != nil {
		q.mayHaveRun = true
		return q.handleSendError(ctx, &done, s, err)
	}
	done.Bytes = len(reply.Body)
	q.edge.Cluster.ClearSuspicion(q.print)
	return q.handleResponse(ctx, &done, s, answer, reply)
}

// handleResponse decides about a whole answer.
func (q *request) handleResponse(ctx context.Context, done *permit.Done, s rules.Server, a ResponseInfo, reply *inlet.Reply) (*inlet.Reply, bool) {
	switch {
	case a.NotRun && a.Misdirected:
		done.Outcome = permit.NotHere
		q.reason = endNoOwner
		duty.Pause(ctx, misdirectedDelay)
		return errorReply(http.StatusServiceUnavailable, retryAfterNoOwner), true
	case a.NotRun:
		done.Outcome = permit.Full
		q.reason, q.avoid = endServerFull, s.ID
		return errorReply(http.StatusServiceUnavailable, retryAfterServerFull), true
	case reply.Status >= http.StatusInternalServerError:
		done.Outcome = permit.Failed
		q.reason, q.avoid, q.mayHaveRun = endAnswered, s.ID, true
		return reply, q.route.Kind.Idempotent()
	default:
		done.Outcome = permit.Answered
		q.reason = endAnswered
		return reply, false
	}
}

// handleSendError decides about a sending that led to no whole answer.
func (q *request) handleSendError(ctx context.Context, done *permit.Done, s rules.Server, err error) (*inlet.Reply, bool) {
	unsent := errors.Is(err, upstr.ErrNotSent)
	q.err = err
	done.Outcome = permit.Lost
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		done.Outcome = permit.Cancelled
		q.mayHaveRun = q.mayHaveRun || !unsent
		q.reason = endCallerLeft
		return &inlet.Reply{Abort: true}, false
	case errors.Is(err, errServerClosed):
		done.Outcome = permit.Unsent
		q.attempts--
		q.reason = endNoOwner
		return nil, true
	case unsent:
		if errors.Is(err, upstr.ErrConnLimit) {
			done.Outcome = permit.Unsent
		}
		q.reason, q.avoid = endUnsent, s.ID
		return errorReply(http.StatusServiceUnavailable, retryAfterNoOwner), true
	}
	q.mayHaveRun = true
	if ctx.Err() != nil || errors.Is(err, upstr.ErrDeadline) {
		q.reason = endTimeout
		return errorReply(http.StatusGatewayTimeout, 0), false
	}
	q.reason, q.avoid = endInDoubt, s.ID
	if errors.Is(err, upstr.ErrLost) {
		q.edge.Cluster.ReportCrash(q.print, s)
	}
	return errorReply(http.StatusBadGateway, 0), q.route.Kind.Idempotent()
}
