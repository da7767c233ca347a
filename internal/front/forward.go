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

// noAgent keeps net/http from naming itself. Headers are not written to, so it is shared.
var noAgent = []string{""}

// errForward is wrapped by errors of forwarding.
var errForward = errors.New("front: forwarding failed")

// relay is a request on its way to another instance.
type relay struct {
	*request
	front *Front
	dest  route.Forward
	// mark is the memory that this instance keeps of the request, nil if none is needed.
	mark *policy.IdempotencyRecord
	// timer cancels the request at the deadline of the answer's head.
	timer *time.Timer
}

// forward sends a request to another instance and passes its answer on. Addresses are tried
// in turn while no byte of the request has left.
func (f *Front) forward(w http.ResponseWriter, q *request, d route.Forward) *refusal {
	if q.hops+1 >= maxHops {
		return moving(q)
	}
	if len(d.Addresses) == 0 {
		return absent(q, route.Unavailable{Reason: route.ReasonDomainUnreachable})
	}
	ctx, cancel := context.WithCancelCause(q.Context())
	defer cancel(nil)
	r := &relay{request: q, front: f, dest: d}
	r.timer = time.AfterFunc(q.deadline.Until(f.now()), func() { cancel(errDeadline) })
	defer r.timer.Stop()
	if q.once() {
		if err := q.body.hold(w, q.ContentLength, f.at(q.deadline)); err != nil {
			return unsent(failed(q, unreached(q), err))
		}
	}
	r.remember()
	f.service(q.service).earn()
	no := r.send(ctx, w)
	if no != nil && no.ranNot() {
		r.settle(caller.NotRun, 0)
	}
	return no
}

// remember makes this instance the witness of a request that must not run twice.
func (r *relay) remember() {
	if !r.once() {
		return
	}
	scope := ""
	if r.dest.Service.Divided {
		scope = r.key
	}
	m := policy.IdempotencyRecord{
		Service: r.service, RequestID: policy.HashRequestID(r.service, scope, r.id), Hash: r.hash, SubmissionID: r.sending,
		UntilMillis: r.front.at(r.deadline.Add(policy.RecordRetention)).UnixMilli(), Outcome: caller.Unknown,
	}
	if r.front.service(r.service).adopt(m) {
		r.mark = &m
	}
}

// outcomeOfSending returns what another instance says of this sending, as opposed to what it
// says of the request, of which earlier sendings may have run.
func outcomeOfSending(h http.Header) caller.Outcome {
	o := caller.Outcome(h.Get(caller.HeaderOutcome))
	if o != caller.Ran && h.Get(caller.HeaderUnsent) == "true" {
		return caller.NotRun
	}
	return o
}

// settle takes in what became of the request.
func (r *relay) settle(o caller.Outcome, status int) {
	if r.mark == nil || o == caller.Unknown {
		return
	}
	r.mark.Outcome, r.mark.Status = o, status
	r.front.service(r.service).adopt(*r.mark)
}

// send tries the addresses in turn.
func (r *relay) send(ctx context.Context, w http.ResponseWriter) *refusal {
	f := r.front
	first := int(f.turn.Add(1) % uint64(len(r.dest.Addresses)))
	for i := range r.dest.Addresses {
		address := r.dest.Addresses[(first+i)%len(r.dest.Addresses)]
		r.body.rewind()
		response, sent, err := r.sendTo(ctx, address)
		if err == nil {
			r.timer.Stop()
			return r.answer(w, response)
		}
		f.deps.Log.Warn("forward-failed", "request", r.id, "service", r.service, "address", address, "sent", sent, "error", err)
		if sent || r.body.begun {
			return r.inDoubt(ctx, w)
		}
		if ctx.Err() != nil {
			return unsent(failed(r.request, unreached(r.request), context.Cause(ctx)))
		}
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: ReasonUnreachable, outcome: unreached(r.request), unsent: true, retry: retrySoon,
	}
}

// inDoubt follows a request of which bytes may have reached the other instance without an
// answer, as when an instance ends. An idempotent one is looked up and sent anew. So is one
// whose id the gate remembers: as a new sending, which the gate does not run if the first one
// came, or comes later.
func (r *relay) inDoubt(ctx context.Context, w http.ResponseWriter) *refusal {
	again := (r.idempotent || r.mark != nil) && r.body.rewind() && ctx.Err() == nil
	if !again || !r.front.service(r.service).spend() {
		return failed(r.request, caller.Unknown, context.Cause(ctx))
	}
	r.front.meters.retried.Add(1)
	r.sending = policy.ID(uuid.New())
	r.doubt = true
	// What the caller stated is true of the first sending only.
	r.attempt = max(r.attempt, 1) + 1
	r.Header.Set(caller.HeaderAttempt, strconv.Itoa(r.attempt))
	no := r.front.route(w, r.request)
	if no != nil && no.ranNot() {
		no.outcome, no.unsent = caller.Unknown, false
	}
	return no
}

// sendTo sends the request to one instance. The second result says whether bytes may have
// left.
func (r *relay) sendTo(ctx context.Context, address string) (*http.Response, bool, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out := r.front.outgoing(httptrace.WithClientTrace(ctx, trace), r.request)
	hideID(out.Header)
	out.URL.Scheme, out.URL.Host = r.front.deps.ForwardScheme, address
	setPath(out.URL, "/"+r.service+r.rest)
	out.Header.Set(caller.HeaderHops, strconv.Itoa(r.hops+1))
	out.Header.Set(caller.HeaderCaller, r.caller)
	if r.once() {
		text, _ := r.sending.MarshalText()
		out.Header.Set(caller.HeaderSending, string(text))
	}
	if r.mark != nil && r.dest.Domain == r.front.deps.Domain {
		// A new gate asks only the instances of its own domain what they remember.
		out.Header.Set(caller.HeaderWitness, r.front.deps.Instance)
	}
	r.front.meters.forwarded.Add(1)
	defer r.front.nextSpan(ctx, spanForward, address, out.Header)()
	response, err := r.front.deps.ForwardTransport.RoundTrip(out)
	if err != nil {
		return nil, connected.Load(), errors.Join(errForward, err)
	}
	return response, true, nil
}

// answer passes on the answer of another instance, whose headers say what happened. A refusal
// is returned in its place if it says "not run" of this sending while another one of the same
// request is in doubt.
func (r *relay) answer(w http.ResponseWriter, response *http.Response) *refusal {
	defer response.Body.Close()
	r.settle(outcomeOfSending(response.Header), response.StatusCode)
	if r.doubt && response.Header.Get(caller.HeaderOutcome) == string(caller.NotRun) {
		return &refusal{status: http.StatusBadGateway, reason: ReasonServerLost, outcome: caller.Unknown, retry: retrySoon}
	}
	copyHeader(w.Header(), response.Header)
	buffer := chunks.Get().(*[chunk]byte)
	defer chunks.Put(buffer)
	if err := stream(w, response, buffer); err != nil {
		r.front.meters.cut.Add(1)
		r.front.deps.Log.Warn("answer-cut", "request", r.id, "service", r.service, "error", err)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// outgoing returns a copy of a request for the next hop, without a path.
func (f *Front) outgoing(ctx context.Context, q *request) *http.Request {
	b := q.body
	out := (&http.Request{
		Method: q.Method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(q.Header)+4), ContentLength: q.ContentLength, Host: q.Host,
		URL: &url.URL{RawQuery: q.URL.RawQuery},
	}).WithContext(ctx)
	switch {
	case b.whole:
		out.ContentLength = int64(len(b.prefix))
		if len(b.prefix) > 0 {
			out.Body = b
		}
	default:
		out.Body = b
	}
	copyHeader(out.Header, q.Header)
	for _, name := range ours {
		delete(out.Header, name)
	}
	if _, found := out.Header["User-Agent"]; !found {
		out.Header["User-Agent"] = noAgent
	}
	handed := f.at(q.deadline).Add(-hopTime)
	// One array serves the values that are set on every request.
	values := [...]string{strconv.FormatInt(handed.UnixMilli(), 10), q.id}
	out.Header[caller.HeaderDeadline] = values[0:1:1]
	out.Header[caller.HeaderRequest] = values[1:2:2]
	return out
}

// setPath sets a URL's path from its escaped form.
func setPath(u *url.URL, escaped string) {
	path, err := url.PathUnescape(escaped)
	if err != nil {
		path = escaped
	}
	u.Path, u.RawPath = path, escaped
}
