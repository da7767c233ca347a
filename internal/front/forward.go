package front

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/caller"
)

// noUserAgent prevents net/http from sending its own User-Agent. The slice is shared by all
// requests, because values of headers are never modified.
var noUserAgent = []string{""}

// errForward is wrapped by errors of forwarding.
var errForward = errors.New("front: forwarding failed")

// forwardRequest is a request that is forwarded to another instance.
type forwardRequest struct {
	*request
	front *Front
	dest  route.Forward
	// record is this instance's copy of the idempotency record, nil if the request is not
	// deduplicated or the table is full.
	record *policy.IdempotencyRecord
	// timer cancels the request if the head of the response has not arrived by the deadline.
	timer *time.Timer
}

// forward sends a request to another instance and passes on the response. It tries the addresses in
// turn as long as no byte of the request can have been sent.
func (f *Front) forward(w http.ResponseWriter, q *request, d route.Forward) *refusal {
	if q.hops+1 >= maxHops {
		return ownerMovedRefusal(q)
	}
	if len(d.Addresses) == 0 {
		return unavailableRefusal(q, route.Unavailable{Reason: route.ReasonDomainUnreachable})
	}
	ctx, cancel := context.WithCancelCause(q.Context())
	defer cancel(nil)
	r := &forwardRequest{request: q, front: f, dest: d}
	r.timer = time.AfterFunc(q.deadline.Until(f.now()), func() { cancel(errDeadline) })
	defer r.timer.Stop()
	if q.deduplicated() {
		if err := q.body.buffer(w, q.ContentLength, f.wallTime(q.deadline)); err != nil {
			return asUnsent(failureRefusal(q, unreachedOutcome(q), err))
		}
	}
	r.addRecord()
	f.service(q.service).earnRetry()
	ref := r.send(ctx, w)
	if ref != nil && ref.didNotRun() {
		r.recordOutcome(caller.NotRun, 0)
	}
	return ref
}

// addRecord adds the idempotency record of a deduplicated request to the table of this instance. If
// it belongs to the domain of the gate, the gate need not make another copy (see sendTo).
func (r *forwardRequest) addRecord() {
	if !r.deduplicated() {
		return
	}
	scope := ""
	if r.dest.Service.Divided {
		scope = r.key
	}
	rec := policy.IdempotencyRecord{
		Service: r.service, RequestID: policy.HashRequestID(r.service, scope, r.id), Hash: r.hash, SubmissionID: r.submissionID,
		UntilMillis: r.front.wallTime(r.deadline.Add(policy.RecordRetention)).UnixMilli(), Outcome: caller.Unknown,
	}
	if r.front.service(r.service).addRecord(rec) {
		r.record = &rec
	}
}

// submissionOutcome returns the outcome of this submission according to the response of another
// instance. The outcome header itself is about the request, of which earlier submissions may have
// run.
func submissionOutcome(h http.Header) caller.Outcome {
	o := caller.Outcome(h.Get(caller.HeaderOutcome))
	if o != caller.Ran && h.Get(caller.HeaderUnsent) == "true" {
		return caller.NotRun
	}
	return o
}

// recordOutcome updates the idempotency record with the outcome, unless that is unknown.
func (r *forwardRequest) recordOutcome(o caller.Outcome, status int) {
	if r.record == nil || o == caller.Unknown {
		return
	}
	r.record.Outcome, r.record.Status = o, status
	r.front.service(r.service).addRecord(*r.record)
}

// send tries the addresses in turn, beginning with a different one for each request.
func (r *forwardRequest) send(ctx context.Context, w http.ResponseWriter) *refusal {
	f := r.front
	first := int(f.nextAddress.Add(1) % uint64(len(r.dest.Addresses)))
	for i := range r.dest.Addresses {
		address := r.dest.Addresses[(first+i)%len(r.dest.Addresses)]
		r.body.rewind()
		response, sent, err := r.sendTo(ctx, address)
		if err == nil {
			r.timer.Stop()
			return r.writeResponse(w, response)
		}
		f.deps.Log.Warn("forward-failed", "request", r.id, "service", r.service, "address", address, "sent", sent, "error", err)
		if sent || r.body.streaming {
			return r.resubmit(ctx, w)
		}
		if ctx.Err() != nil {
			return asUnsent(failureRefusal(r.request, unreachedOutcome(r.request), context.Cause(ctx)))
		}
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: ReasonUnreachable, outcome: unreachedOutcome(r.request), unsent: true, retryAfter: shortRetryDelay,
	}
}

// resubmit handles a request of which bytes may have been sent, but that got no response, for
// example because the other instance stopped. If it is idempotent, it is routed and sent again. So
// is a deduplicated request with a record, as a new submission: the gate does not run that one if
// the first submission has arrived or arrives later.
func (r *forwardRequest) resubmit(ctx context.Context, w http.ResponseWriter) *refusal {
	retryable := (r.idempotent || r.record != nil) && r.body.rewind() && ctx.Err() == nil
	if !retryable || !r.front.service(r.service).spendRetry() {
		return failureRefusal(r.request, caller.Unknown, context.Cause(ctx))
	}
	r.front.counters.retried.Add(1)
	r.submissionID = policy.ID(uuid.New())
	r.mayHaveRun = true
	// The number that the caller stated is that of the first submission.
	r.submissionNumber = max(r.submissionNumber, 1) + 1
	r.Header.Set(caller.HeaderAttempt, strconv.Itoa(r.submissionNumber))
	ref := r.front.route(w, r.request)
	if ref != nil && ref.didNotRun() {
		ref.outcome, ref.unsent = caller.Unknown, false
	}
	return ref
}

// sendTo sends the request to one instance. The second result says whether bytes of it may have
// been sent.
func (r *forwardRequest) sendTo(ctx context.Context, address string) (*http.Response, bool, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out := r.front.outgoing(httptrace.WithClientTrace(ctx, trace), r.request)
	hideRequestID(out.Header)
	out.URL.Scheme, out.URL.Host = r.front.deps.ForwardScheme, address
	setPath(out.URL, "/"+r.service+r.serverPath)
	out.Header.Set(caller.HeaderHops, strconv.Itoa(r.hops+1))
	out.Header.Set(caller.HeaderCaller, r.caller)
	if r.deduplicated() {
		text, _ := r.submissionID.MarshalText()
		out.Header.Set(caller.HeaderSending, string(text))
	}
	if r.record != nil && r.dest.Domain == r.front.deps.Domain {
		// A new gate recovers records only from the instances of its own domain.
		out.Header.Set(caller.HeaderWitness, r.front.deps.Instance)
	}
	r.front.counters.forwarded.Add(1)
	defer r.front.startHopSpan(ctx, spanForward, address, out.Header)()
	response, err := r.front.deps.ForwardTransport.RoundTrip(out)
	if err != nil {
		return nil, connected.Load(), errors.Join(errForward, err)
	}
	return response, true, nil
}

// writeResponse passes on the response of another instance, which has the outcome headers already.
// It returns a refusal instead if the outcome is "not run" but an earlier submission may have run.
func (r *forwardRequest) writeResponse(w http.ResponseWriter, response *http.Response) *refusal {
	defer response.Body.Close()
	r.recordOutcome(submissionOutcome(response.Header), response.StatusCode)
	if r.mayHaveRun && response.Header.Get(caller.HeaderOutcome) == string(caller.NotRun) {
		return &refusal{status: http.StatusBadGateway, reason: ReasonServerLost, outcome: caller.Unknown, retryAfter: shortRetryDelay}
	}
	copyHeader(w.Header(), response.Header)
	buffer := chunkPool.Get().(*[chunkBytes]byte)
	defer chunkPool.Put(buffer)
	if err := stream(w, response, buffer); err != nil {
		r.front.counters.answersCut.Add(1)
		r.front.deps.Log.Warn("answer-cut", "request", r.id, "service", r.service, "error", err)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// outgoing returns a copy of a request for the next hop, with the URL's query but without its path.
func (f *Front) outgoing(ctx context.Context, q *request) *http.Request {
	b := q.body
	out := (&http.Request{
		Method: q.Method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(q.Header)+4), ContentLength: q.ContentLength, Host: q.Host,
		URL: &url.URL{RawQuery: q.URL.RawQuery},
	}).WithContext(ctx)
	switch {
	case b.complete:
		out.ContentLength = int64(len(b.prefix))
		if len(b.prefix) > 0 {
			out.Body = b
		}
	default:
		out.Body = b
	}
	copyHeader(out.Header, q.Header)
	for _, name := range internalHeaders {
		delete(out.Header, name)
	}
	if _, found := out.Header["User-Agent"]; !found {
		out.Header["User-Agent"] = noUserAgent
	}
	deadline := f.wallTime(q.deadline).Add(-hopAllowance)
	// Both values share one array, which saves an allocation.
	values := [...]string{strconv.FormatInt(deadline.UnixMilli(), 10), q.id}
	out.Header[caller.HeaderDeadline] = values[0:1:1]
	out.Header[caller.HeaderRequest] = values[1:2:2]
	return out
}

// setPath sets the path of a URL from its escaped form.
func setPath(u *url.URL, escaped string) {
	path, err := url.PathUnescape(escaped)
	if err != nil {
		path = escaped
	}
	u.Path, u.RawPath = path, escaped
}
