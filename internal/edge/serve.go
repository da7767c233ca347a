package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
	"example.org/mustardring/internal/stated"
	"example.org/mustardring/internal/upstr"
	"example.org/mustardring/internal/worker"
)

// The delays and limits of attempts.
const (
	// retryAfterNoOwner is the Retry-After of a request whose key has no owner. Moving a key takes
	// about 0.3 seconds, the expiry of a lease about 2.3.
	retryAfterNoOwner = 400 * time.Millisecond
	// minSettleSpread is the time over which callers come back that were rejected before the owners were settled and can
	// still meet their target, maxSettleSpread that of the others.
	minSettleSpread = 150 * time.Millisecond
	maxSettleSpread = 500 * time.Millisecond
	// retryAfterServerFull is the Retry-After of a request that its server rejected. By then the
	// queue of a full server is shorter by a request or two, and a server that rejects requests
	// at random does not do so twice.
	retryAfterServerFull = 120 * time.Millisecond
	// minAttemptTime is the time that must be left for another attempt.
	minAttemptTime = 60 * time.Millisecond
	// misdirectedDelay is the delay before the next attempt after the server or its controller
	// said that the server does not own the key. By then the server's lease has been renewed, or
	// the new owner is known.
	misdirectedDelay = 120 * time.Millisecond
	// maxAdmissionRequests is how often an admission may be requested for one request of a caller.
	maxAdmissionRequests = 6
)

// serve sends the request until it gets a reply or a retry is pointless or not allowed.
func (q *request) serve(ctx context.Context) *inlet.Reply {
	if q.divided {
		// Rejected requests count too: they show which keys need more capacity.
		q.edge.Cluster.CountRequest(q.service, q.info.Key)
	}
	defer q.refundRetry()
	for range maxAdmissionRequests {
		a, s, rejection := q.acquire(ctx)
		if rejection != nil {
			return q.finalReply(rejection)
		}
		if a == nil {
			continue
		}
		reply, retry := q.attempt(ctx, a, s)
		if !retry {
			return reply
		}
		if reply == nil {
			continue
		}
		q.fallback = reply
		if !q.spendRetry() {
			return q.finalReply(reply)
		}
		if q.rejection == misdirected {
			worker.Sleep(ctx, misdirectedDelay)
		}
	}
	return q.finalReply(q.fallback)
}

// finalReply returns the reply of a request that is not retried any more. Reply is the reply of its
// last attempt, or nil.
func (q *request) finalReply(reply *inlet.Reply) *inlet.Reply {
	if q.fallback != nil && (reply == nil || q.sendings.mayHaveRun()) {
		reply = q.fallback
	}
	switch {
	case reply != nil:
		return reply
	case q.reason == endServerFull:
		return errorReply(http.StatusServiceUnavailable, retryAfterServerFull)
	default:
		return errorReply(http.StatusServiceUnavailable, q.noOwnerDelay())
	}
}

// acquire waits for an admission. It returns either the admission and its server, or the reply to
// a rejection. If it returns neither, the admission should be requested again.
func (q *request) acquire(ctx context.Context) (Admission, rules.Server, *inlet.Reply) {
	startedAt := time.Now()
	defer func() { q.waited += time.Since(startedAt) }()
	req := admit.Request{
		Service: q.service, Route: q.route.Name, Priority: q.route.Priority, Returning: q.returning || q.attempts > 0,
		TargetAt: q.targetAt, Deadline: q.deadline, Avoid: q.avoid, Caller: q.caller, Origin: q.origin, Retry: q.attempts > 0,
	}
	domain := ""
	if q.divided {
		r, reply := q.awaitOwner(ctx)
		if reply != nil {
			return nil, rules.Server{}, reply
		}
		if !q.mayUse(r.Server) {
			return nil, rules.Server{}, q.fallback
		}
		owner, found := q.edge.Cluster.Server(r.Server)
		req.Server, domain = r.Server, owner.Domain
		q.server, q.fence, q.leavesIn = r.Server, r.Fence, owner.LeavesIn(time.Now())
		if !found || owner.Closed(true, time.Now()) {
			q.reason = endNoOwner
			return nil, rules.Server{}, errorReply(http.StatusServiceUnavailable, q.unreachableDelay())
		}
		if q.serverRests(r.Server) {
			q.reason = endServerRests
			return nil, rules.Server{}, errorReply(http.StatusServiceUnavailable, q.rejectionDelay(r.Server))
		}
	}
	a, rejected := q.edge.Admitter.Acquire(ctx, req, domain)
	if rejected != nil {
		return nil, rules.Server{}, q.handleRejection(ctx, rejected)
	}
	q.noteEarlier(a.Earlier())
	s, found := q.edge.Cluster.Server(a.Server())
	if !found || s.Closed(q.divided, time.Now()) || q.serverRests(s.ID) {
		a.Complete(admit.Completion{Outcome: admit.Unsent})
		q.avoid = a.Server()
		return nil, rules.Server{}, nil
	}
	return a, s, nil
}

// noteEarlier takes in what a controller knows of earlier tries. It knows nothing when the router itself sends a request again.
func (q *request) noteEarlier(e admit.Earlier) {
	if q.attempts == 0 {
		q.earlier = e
	}
}

// serverRests reports whether a server wants no requests of this instance now.
func (q *request) serverRests(server string) bool {
	return time.Now().Before(q.edge.Cluster.RestUntil(server))
}

// ownerRests reports whether only one server may run the request, and that one wants no requests of this instance now.
func (q *request) ownerRests() bool {
	if !q.divided {
		return false
	}
	r, found, _ := q.edge.Cluster.Owner(q.service, q.info.Key)
	return found && q.serverRests(r.Server)
}

// rejectionDelay returns the Retry-After of a request that a server has rejected, or that it would reject. If the server
// wants no requests for a time, it may still take those of other instances, and by the time that a move takes the key may
// belong to another server.
func (q *request) rejectionDelay(server string) time.Duration {
	rest := time.Until(q.edge.Cluster.RestUntil(server))
	if !q.divided || rest <= 0 {
		return retryAfterServerFull
	}
	return min(rest, retryAfterNoOwner)
}

// noOwnerDelay returns the Retry-After of a request whose key has no owner. After a start of this instance it may take until
// the owners of all keys are settled. Callers that can still meet their target come back first then, the others after them,
// spread over some time.
func (q *request) noOwnerDelay() time.Duration {
	settleAt := q.edge.Cluster.OwnersSettleAt()
	left := time.Until(settleAt)
	switch {
	case left <= retryAfterNoOwner:
		return retryAfterNoOwner
	case q.targetAt.After(settleAt.Add(minSettleSpread)):
		return left + rand.N(minSettleSpread)
	default:
		return left + minSettleSpread + rand.N(maxSettleSpread)
	}
}

// maxPatienceShare is the part of the time that a caller still waits after which it may be told to come back, so that there is
// time left to serve it.
const maxPatienceShare = 0.3

// unreachableDelay returns the Retry-After of a request whose server is not reached or has left the directory. Either its
// failure domain is cut off, for seconds, or its keys get another owner when its leases have ended. So the caller comes back
// as late as it can still be served.
func (q *request) unreachableDelay() time.Duration {
	if !q.divided || !q.info.HasTimeout {
		return retryAfterNoOwner
	}
	left := q.info.Timeout - time.Since(q.arrivedAt)
	return max(time.Duration(maxPatienceShare*float64(left)), retryAfterNoOwner)
}

// handleRejection returns the reply to a rejection by the admission controller, or nil if the
// admission should be requested again.
func (q *request) handleRejection(ctx context.Context, rejected *admit.Rejected) *inlet.Reply {
	switch {
	case rejected.Reason == admit.OwnerGone:
		if !worker.Sleep(ctx, misdirectedDelay) {
			q.reason = endNoOwner
			return errorReply(http.StatusServiceUnavailable, q.noOwnerDelay())
		}
		return nil
	case rejected.Reason == admit.Resting:
		q.reason = endServerRests
	case rejected.Reason == admit.NoServer:
		q.reason = endNoServer
	case errors.Is(context.Cause(ctx), context.Canceled):
		q.reason = endCallerLeft
	default:
		q.reason = endOverload
	}
	q.predictedWait, q.pool, q.reserved = rejected.Wait, rejected.Pool, rejected.Reserved
	q.noteEarlier(rejected.Earlier)
	return errorReply(http.StatusServiceUnavailable, rejected.RetryIn)
}

// awaitOwner returns the range that contains the request's key. If the key has no owner, or moves to
// another one, it waits. If that takes too long it returns the reply for the caller instead.
func (q *request) awaitOwner(ctx context.Context) (shard.Range, *inlet.Reply) {
	for {
		r, found, changed := q.edge.Cluster.Owner(q.service, q.info.Key)
		if found && len(r.FormerOwners) == 0 {
			return r, nil
		}
		// A key without an owner gets one within a few tenths of a second, or else only after a
		// lease has expired. The request waits only long enough for the former; after that the
		// caller is asked to retry.
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
		return shard.Range{}, errorReply(http.StatusServiceUnavailable, q.noOwnerDelay())
	}
}

// maxOwnerWait bounds how long a request waits for the owner of its key.
const maxOwnerWait = 400 * time.Millisecond

// attempt sends the request to a server and completes the admission. It returns the reply for the
// caller, and whether the request may be retried. If it may, the reply is the one to use if there is
// no retry after all, or nil if the request was not sent and the attempt does not count.
func (q *request) attempt(ctx context.Context, a Admission, s rules.Server) (*inlet.Reply, bool) {
	q.attempts++
	q.server, q.through, q.carried, q.rejection, q.sending, q.err = s.ID, "", "", notRejected, sending{}, nil
	isNew := !slices.Contains(q.sentTo, s.ID)
	if isNew {
		q.sentTo = append(q.sentTo, s.ID)
	}
	q.edge.inFlight.add(s.Domain, 1)
	defer q.edge.inFlight.add(s.Domain, -1)
	startedAt := time.Now()
	q.sendings.begin()
	response, err := q.dispatch(ctx, a, s, startedAt)
	if errors.Is(err, upstr.ErrNotSent) {
		q.sendings.settle(unwritten)
	}
	completion := admit.Completion{}
	defer func() {
		completion.Took = time.Since(startedAt)
		a.Complete(completion)
		q.recordSending(completion)
	}()
	if err != nil {
		if isNew && errors.Is(err, errServerClosed) {
			q.sentTo = q.sentTo[:len(q.sentTo)-1]
		}
		return q.handleFailure(ctx, &completion, s, err)
	}
	q.retryOpen = false
	info := q.answer
	completion.Load, completion.Limit = info.Load, info.Limit
	q.edge.logMalformed(s.ID, info)
	if !info.Statement.Empty() && q.carried == "" {
		q.edge.Cluster.ObserveStatement(s.ID, info.Statement, stated.Source{Request: q.info.ID, Through: q.through, Status: response.StatusCode})
	}
	reply, err := q.edge.readWhole(response)
	if err != nil {
		return q.handleFailure(ctx, &completion, s, err)
	}
	completion.Bytes = len(reply.Body)
	if info.NotRun && !q.sending.sameConn {
		q.sendings.settle(rejectedByServer)
	}
	if !info.NotRun && !promises(reply.Status) {
		// A server that rejects the request has not shown that it survives it.
		q.edge.Cluster.ClearSuspicion(q.print)
	}
	return q.handleResponse(&completion, s, info, reply)
}

// handleResponse decides what a complete response means for the caller and for the admission. It sets
// the outcome of the completion and returns the results of attempt.
func (q *request) handleResponse(completion *admit.Completion, s rules.Server, info ResponseInfo, reply *inlet.Reply) (*inlet.Reply, bool) {
	switch {
	case info.NotRun && info.Misdirected:
		completion.Outcome = admit.NotOwner
		q.reason, q.rejection = endNoOwner, misdirected
		return errorReply(http.StatusServiceUnavailable, q.noOwnerDelay()), true
	case info.NotRun:
		completion.Outcome = admit.Full
		q.reason, q.avoid, q.rejection = endServerFull, s.ID, full
		if l := info.Load; l.Known && l.Running+l.Waiting < s.Slots {
			q.rejection = withRoom
		}
		return errorReply(http.StatusServiceUnavailable, q.rejectionDelay(s.ID)), true
	case reply.Status >= http.StatusInternalServerError, promises(reply.Status):
		completion.Outcome = admit.Failed
		q.reason, q.avoid = endAnswered, s.ID
		return reply, q.route.Kind.Idempotent()
	default:
		completion.Outcome = admit.Answered
		q.reason = endAnswered
		return reply, false
	}
}

// handleFailure decides what an attempt without a complete response means for the caller and for the
// admission. It sets the outcome of the completion and returns the results of attempt.
func (q *request) handleFailure(ctx context.Context, completion *admit.Completion, s rules.Server, err error) (*inlet.Reply, bool) {
	unsent := errors.Is(err, upstr.ErrNotSent)
	q.err = err
	completion.Outcome = admit.Lost
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		completion.Outcome = admit.Cancelled
		q.reason = endCallerLeft
		return &inlet.Reply{Abort: true}, false
	case errors.Is(err, errDirectoryOutdated):
		completion.Outcome = admit.Unsent
		q.attempts--
		q.reason = endOutdatedDirectory
		return errorReply(http.StatusServiceUnavailable, retryAfterNoConfig), false
	case errors.Is(err, errServerClosed):
		completion.Outcome = admit.Unsent
		q.attempts--
		q.reason, q.avoid = endNoOwner, s.ID
		return nil, true
	case unsent:
		if !errors.Is(err, upstr.ErrUnreachable) {
			// That this instance could not send says nothing about the server.
			completion.Outcome = admit.Unsent
		}
		q.reason, q.avoid = endUnsent, s.ID
		return errorReply(http.StatusServiceUnavailable, q.unreachableDelay()), true
	}
	q.retryOpen = false
	if ctx.Err() != nil || errors.Is(err, upstr.ErrDeadline) {
		q.reason = endTimeout
		return errorReply(http.StatusGatewayTimeout, 0), false
	}
	q.reason, q.avoid = endInDoubt, s.ID
	if q.through != "" || q.carried != "" && !errors.Is(err, upstr.ErrLost) {
		// The instance in the middle may have failed, or its path.
		completion.Outcome = admit.Cancelled
	}
	if errors.Is(err, upstr.ErrLost) {
		q.edge.Cluster.ReportCrash(q.print, s)
	}
	return errorReply(http.StatusBadGateway, 0), q.route.Kind.Idempotent()
}
