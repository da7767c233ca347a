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

	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/caller"
)

// errForward is wrapped by errors of forwarding.
var errForward = errors.New("front: forwarding failed")

// forward sends a request to another instance and passes its answer on. Addresses are tried
// in turn while no byte of the request has left.
func (f *Front) forward(w http.ResponseWriter, q *request, d route.Forward) (refusal, bool) {
	if q.hops+1 >= maxHops {
		return refusal{
			status: http.StatusServiceUnavailable, reason: ReasonHops, outcome: caller.NotRun, retry: retrySoon,
			detail: "the owner of the key moved while the request was on its way",
		}, true
	}
	if len(d.Addresses) == 0 {
		return absent(route.Absent{Reason: route.AbsentDomain}), true
	}
	ctx, cancel := context.WithCancelCause(q.Context())
	defer cancel(nil)
	timer := time.AfterFunc(q.deadline.Until(f.now()), func() { cancel(errDeadline) })
	defer timer.Stop()
	body := newBody(q.Body, limitOf(d.Service))
	first := int(f.turn.Add(1))
	for i := range d.Addresses {
		address := d.Addresses[(first+i)%len(d.Addresses)]
		response, sent, err := f.forwardTo(ctx, q, address, body)
		if err == nil {
			if q.idempotent {
				timer.Stop()
			}
			f.answerForward(w, q, response)
			return refusal{}, false
		}
		f.deps.Log.Warn("forward failed", "request", q.id, "service", q.service, "address", address, "sent", sent, "error", err)
		if sent || body.touched() {
			return failed(ctx, body, caller.Unknown), true
		}
		if ctx.Err() != nil {
			return failed(ctx, body, caller.NotRun), true
		}
	}
	return refusal{
		status: http.StatusServiceUnavailable, reason: ReasonUnreachable, outcome: caller.NotRun, retry: retrySoon,
	}, true
}

// forwardTo sends a request to one instance. The second result says whether bytes may have
// left.
func (f *Front) forwardTo(ctx context.Context, q *request, address string, b *body) (*http.Response, bool, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out := f.outgoing(httptrace.WithClientTrace(ctx, trace), q, b)
	out.URL = &url.URL{Scheme: f.deps.ForwardScheme, Host: address, RawQuery: q.URL.RawQuery}
	setPath(out.URL, "/"+q.service+q.rest)
	out.Header.Set(caller.HeaderHops, strconv.Itoa(q.hops+1))
	out.Header.Set(caller.HeaderRequest, q.id)
	out.Header.Set(caller.HeaderCaller, q.caller)
	out.Header.Set(caller.HeaderWitness, f.deps.Domain)
	response, err := f.deps.Forward.RoundTrip(out)
	if err != nil {
		return nil, connected.Load(), errors.Join(errForward, err)
	}
	return response, true, nil
}

// answerForward passes on the answer of another instance, whose headers say what happened.
func (f *Front) answerForward(w http.ResponseWriter, q *request, response *http.Response) {
	defer response.Body.Close()
	copyHeader(w.Header(), response.Header)
	f.stream(w, q, response)
}

// outgoing returns a copy of a request for the next hop.
func (f *Front) outgoing(ctx context.Context, q *request, b *body) *http.Request {
	out := (&http.Request{
		Method: q.Method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(q.Header)+4), ContentLength: q.ContentLength, Host: q.Host,
	}).WithContext(ctx)
	if q.ContentLength != 0 {
		out.Body = b
	}
	copyHeader(out.Header, q.Header)
	for _, name := range ours {
		delete(out.Header, name)
	}
	hideID(out.Header)
	if _, found := out.Header["User-Agent"]; !found {
		// An empty value keeps net/http from naming itself in the caller's place.
		out.Header["User-Agent"] = []string{""}
	}
	handed := f.at(q.deadline).Add(-hopTime)
	out.Header.Set(caller.HeaderDeadline, strconv.FormatInt(handed.UnixMilli(), 10))
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
