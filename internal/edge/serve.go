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
	// ownerRetry is when a caller should come back whose key has no owner: moves take some 0.3
	// seconds, lapses of a lease 2.3.
	ownerRetry = 400 * time.Millisecond
	// fullRetry is when a caller should come back whose server rejected it: the queue of a full one
	// is shorter by a request or two by then, and one that rejects at random does not do so twice.
	fullRetry = 120 * time.Millisecond
	// attemptLeast is the least time that must be left for another attempt.
	attemptLeast = 60 * time.Millisecond
	// movedPause is the pause before a server is asked again that said it does not hold the
	// key: its grant is renewed, or the new owner is known by then.
	movedPause = 120 * time.Millisecond
	// askMost bounds how often a request asks for a permit.
	askMost = 6
)

// serve sends a request until it has an answer, or until another attempt is no use.
func (q *request) serve(ctx context.Context) *inlet.Reply {
	if q.divided {
		// Refused requests count too: they show where there is too little room.
		q.edge.Cluster.CountRequest(q.service, q.call.Key)
	}
	for range askMost {
		p, s, refused := q.permit(ctx)
		if refused != nil {
			return q.giveUp(ctx, refused)
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
		q.last = reply
		if q.attempts >= q.route.MaxAttempts || time.Until(q.limitAt) < attemptLeast || !q.edge.RetryBudget.Spend(q.service) {
			return q.giveUp(ctx, reply)
		}
	}
	return q.giveUp(ctx, q.last)
}

// giveUp returns the final answer of a request whose last attempt led to the given one.
func (q *request) giveUp(ctx context.Context, reply *inlet.Reply) *inlet.Reply {
	if q.last != nil && (reply == nil || q.sent) {
		reply = q.last
	}
	switch {
	case reply != nil && (!q.sent || reply.Status != http.StatusServiceUnavailable):
		return reply
	case ctx.Err() != nil && q.sent:
		q.why = whyTimeout
		return refusal(http.StatusGatewayTimeout, 0)
	case q.sent:
		q.why = whyInDoubt
		return refusal(http.StatusBadGateway, 0)
	case q.why == whyFull:
		return refusal(http.StatusServiceUnavailable, fullRetry)
	default:
		return refusal(http.StatusServiceUnavailable, ownerRetry)
	}
}

// permit waits for a permit. If all three results are nil it should be asked for again.
func (q *request) permit(ctx context.Context) (Admission, rules.Server, *inlet.Reply) {
	began := time.Now()
	defer func() { q.waited += time.Since(began) }()
	ask := permit.Request{
		Service: q.service, Route: q.route.Name, Priority: q.route.Priority, Returning: q.returning || q.attempts > 0,
		TargetAt: q.targetAt, Deadline: q.limitAt, Avoid: q.avoid,
	}
	domain := ""
	if q.divided {
		r, reply := q.owner(ctx)
		if reply != nil {
			return nil, rules.Server{}, reply
		}
		owner, found := q.edge.Cluster.Server(r.Server)
		if !found || owner.Closed(true, time.Now()) {
			q.why = whyNoOwner
			return nil, rules.Server{}, refusal(http.StatusServiceUnavailable, ownerRetry)
		}
		ask.Server, domain, q.fence, q.server = r.Server, owner.Domain, r.Fence, r.Server
	}
	p, refused := q.edge.Admitter.Acquire(ctx, ask, domain)
	if refused != nil {
		return nil, rules.Server{}, q.refuse(ctx, refused)
	}
	s, found := q.edge.Cluster.Server(p.Server())
	if !found || s.Closed(q.divided, time.Now()) {
		p.Complete(permit.Completion{Outcome: permit.Unsent})
		return nil, rules.Server{}, nil
	}
	return p, s, nil
}

// refuse turns a refusal of the keeper into an answer.
func (q *request) refuse(ctx context.Context, refused *permit.Rejected) *inlet.Reply {
	switch {
	case refused.Reason == permit.OwnerGone:
		if !duty.Pause(ctx, movedPause) {
			q.why = whyNoOwner
			return refusal(http.StatusServiceUnavailable, ownerRetry)
		}
		return nil
	case refused.Reason == permit.NoServer:
		q.why = whyNoServer
	case errors.Is(context.Cause(ctx), context.Canceled):
		q.why = whyLeft
	default:
		q.why = whyOverload
	}
	q.predicted, q.pool = refused.Wait, refused.Pool
	return refusal(http.StatusServiceUnavailable, refused.RetryIn)
}

// owner returns the owner of the request's key. While the key changes hands it waits.
func (q *request) owner(ctx context.Context) (shard.Range, *inlet.Reply) {
	for {
		r, found, changed := q.edge.Cluster.Owner(q.service, q.call.Key)
		if found && len(r.FormerOwners) == 0 {
			return r, nil
		}
		// A key that has no owner yet gets one within a few tenths of a second, or after a
		// lease: what cannot wait for the former is told to come back.
		timer := time.NewTimer(min(ownerWait, time.Until(q.targetAt)/2))
		select {
		case <-changed:
			timer.Stop()
			if time.Since(q.arrivedAt) < ownerWait {
				continue
			}
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		q.why = whyNoOwner
		return shard.Range{}, refusal(http.StatusServiceUnavailable, ownerRetry)
	}
}

// ownerWait is how long a request waits for a key that changes hands.
const ownerWait = 400 * time.Millisecond

// attempt sends the request to one server. It returns true if the request may be sent again;
// the answer is then the one for the caller if it is not, and nil if this was no attempt.
func (q *request) attempt(ctx context.Context, p Admission, s rules.Server) (*inlet.Reply, bool) {
	q.attempts++
	q.server = s.ID
	q.edge.running.add(s.Domain, 1)
	defer q.edge.running.add(s.Domain, -1)
	began := time.Now()
	response, err := q.send(ctx, s)
	done := permit.Completion{}
	defer func() {
		done.Took = time.Since(began)
		p.Complete(done)
	}()
	if err != nil {
		return q.unanswered(ctx, &done, s, err)
	}
	answer := q.edge.Codec.DecodeResponse(response)
	done.Load = answer.Load
	if answer.LoadErr != nil {
		q.edge.noteOddLoad(s.ID, answer.LoadErr)
	}
	reply, err := whole(response)
	if err == nil && answer.ID != q.call.ID && answer.ID != "" {
		err = errOtherAnswer
	}
	if err != nil {
		q.sent = true
		return q.unanswered(ctx, &done, s, err)
	}
	done.Bytes = len(reply.Body)
	q.edge.Cluster.ClearSuspicion(q.print)
	return q.answered(ctx, &done, s, answer, reply)
}

// answered decides about a whole answer.
func (q *request) answered(ctx context.Context, done *permit.Completion, s rules.Server, a ResponseInfo, reply *inlet.Reply) (*inlet.Reply, bool) {
	switch {
	case a.NotRun && a.Misdirected:
		done.Outcome = permit.NotOwner
		q.why = whyNoOwner
		duty.Pause(ctx, movedPause)
		return refusal(http.StatusServiceUnavailable, ownerRetry), true
	case a.NotRun:
		done.Outcome = permit.Full
		q.why, q.avoid = whyFull, s.ID
		return refusal(http.StatusServiceUnavailable, fullRetry), true
	case reply.Status >= http.StatusInternalServerError:
		done.Outcome = permit.Failed
		q.why, q.avoid, q.sent = whyAnswered, s.ID, true
		return reply, q.route.Kind.Idempotent()
	default:
		done.Outcome = permit.Answered
		q.why = whyAnswered
		return reply, false
	}
}

// unanswered decides about a sending that led to no whole answer.
func (q *request) unanswered(ctx context.Context, done *permit.Completion, s rules.Server, err error) (*inlet.Reply, bool) {
	unsent := errors.Is(err, upstr.ErrNotSent)
	q.err = err
	done.Outcome = permit.Lost
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		done.Outcome = permit.Cancelled
		q.sent = q.sent || !unsent
		q.why = whyLeft
		return &inlet.Reply{Abort: true}, false
	case errors.Is(err, errClosed):
		done.Outcome = permit.Unsent
		q.attempts--
		q.why = whyNoOwner
		return nil, true
	case unsent:
		if errors.Is(err, upstr.ErrConnLimit) {
			done.Outcome = permit.Unsent
		}
		q.why, q.avoid = whyUnsent, s.ID
		return refusal(http.StatusServiceUnavailable, ownerRetry), true
	}
	q.sent = true
	if ctx.Err() != nil || errors.Is(err, upstr.ErrDeadline) {
		q.why = whyTimeout
		return refusal(http.StatusGatewayTimeout, 0), false
	}
	q.why, q.avoid = whyInDoubt, s.ID
	if errors.Is(err, upstr.ErrLost) {
		q.edge.Cluster.ReportCrash(q.print, s)
	}
	return refusal(http.StatusBadGateway, 0), q.route.Kind.Idempotent()
}
