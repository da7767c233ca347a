package front

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/caller"
)

// breakingTransport is a transport between instances. Its next connection breaks after the request
// was written: before the gate receives it, or after the gate has responded.
type breakingTransport struct {
	http.RoundTripper
	before, after atomic.Bool
	// onBreak, if not nil, is called when the connection breaks.
	onBreak func()
}

var errBroken = errors.New("connection broken")

func (f *breakingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if f.before.CompareAndSwap(true, false) {
		httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
		_, _ = io.Copy(io.Discard, r.Body)
		if f.onBreak != nil {
			f.onBreak()
		}
		return nil, errBroken
	}
	response, err := f.RoundTripper.RoundTrip(r)
	if err == nil && f.after.CompareAndSwap(true, false) {
		response.Body.Close()
		if f.onBreak != nil {
			f.onBreak()
		}
		return nil, errBroken
	}
	return response, err
}

// The connection between two instances breaks while a request is forwarded. If the request has an
// id, the forwarding instance sends it to the gate again, and the idempotency record prevents it
// from running twice. If the second submission is refused as "not run", the outcome is still
// unknown, because the first one may have run.
func TestResubmitAfterBrokenForward(t *testing.T) {
	tests := map[string]struct {
		before, after bool
		headers       []string
		gone, absent  bool
		want          caller.Outcome
		runs          int32
	}{
		"request lost":                 {before: true, headers: []string{caller.HeaderRequestID, "x"}, want: caller.Ran, runs: 1},
		"response lost":                {after: true, headers: []string{caller.HeaderRequestID, "x"}, want: caller.Ran, runs: 1},
		"request without id lost":      {before: true, want: caller.Unknown},
		"response without id lost":     {after: true, want: caller.Unknown, runs: 1},
		"idempotent, response lost":    {after: true, headers: []string{caller.HeaderIdempotent, "true"}, want: caller.Unknown, runs: 1},
		"key has no owner on resubmit": {before: true, absent: true, headers: []string{caller.HeaderRequestID, "x", caller.HeaderAttempt, "1"}, want: caller.Unknown},
		"gate unavailable on resubmit": {before: true, gone: true, headers: []string{caller.HeaderRequestID, "x", caller.HeaderAttempt, "1"}, want: caller.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			broken := &breakingTransport{RoundTripper: &http.Transport{DisableKeepAlives: true}}
			gate, edge := start(t, "one", nil), start(t, "two", func(d *Deps) { d.ForwardTransport = broken })
			gate.finder.set(here(testService(), backend(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })))
			edge.finder.set(route.Forward{Service: testService(), Addresses: []string{address(gate.forwards)}})
			for range 10 {
				edge.front.service("oddaja").earnRetry()
			}
			broken.before.Store(tt.before)
			broken.after.Store(tt.after)
			if tt.absent {
				broken.onBreak = func() { edge.finder.set(route.Unavailable{Reason: route.ReasonNoOwner}) }
			}
			if tt.gone {
				gate.finder.set(route.Unavailable{Reason: route.ReasonNoOwner})
			}
			got := do(t, post(is, edge.callers.URL+"/oddaja/x", "text", tt.headers...))
			is.Equal(got.outcome(), tt.want)
			is.Equal(runs.Load(), tt.runs)
		})
	}
}

// A first submission runs, and its response is lost with the gate. The instance that forwarded it
// sends it again to a new gate, which cannot recover the idempotency records. The caller stated
// that this is the first submission, but that is no longer true: the new gate must not run it.
func TestResubmissionIsNotFirstSubmission(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	d := here(testService(), backend(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	broken := &breakingTransport{RoundTripper: &http.Transport{DisableKeepAlives: true}}
	edge := start(t, "two", func(d *Deps) { d.ForwardTransport = broken })
	old := start(t, "one", nil)
	next := start(t, "three", func(d *Deps) { d.Replicator = failingReplicator{recoverErr: errors.New("cut off")} })
	old.finder.set(d)
	next.finder.set(d)
	to := func(i *instance) route.Forward {
		return route.Forward{Service: testService(), Addresses: []string{address(i.forwards)}}
	}
	edge.finder.set(to(old))
	broken.onBreak = func() { edge.finder.set(to(next)) }
	for range 10 {
		edge.front.service("oddaja").earnRetry()
	}
	broken.after.Store(true)
	got := do(t, post(is, edge.callers.URL+"/oddaja/x", "text", caller.HeaderRequestID, "x", caller.HeaderAttempt, "1"))
	is.Equal(got.outcome(), caller.Unknown)
	is.Equal(runs.Load(), int32(1))
}
