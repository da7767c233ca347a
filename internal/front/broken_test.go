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

// fragile is a transport between instances whose next connection breaks after the request was
// written: before the gate had it, or after, when the answer is lost.
type fragile struct {
	http.RoundTripper
	before, after atomic.Bool
	// broke is called when the connection breaks, either way, if not nil.
	broke func()
}

var errBroken = errors.New("connection broken")

func (f *fragile) RoundTrip(r *http.Request) (*http.Response, error) {
	if f.before.CompareAndSwap(true, false) {
		httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
		_, _ = io.Copy(io.Discard, r.Body)
		if f.broke != nil {
			f.broke()
		}
		return nil, errBroken
	}
	response, err := f.RoundTripper.RoundTrip(r)
	if err == nil && f.after.CompareAndSwap(true, false) {
		response.Body.Close()
		if f.broke != nil {
			f.broke()
		}
		return nil, errBroken
	}
	return response, err
}

// The connection between two instances breaks under a submission. The instance that the user
// reached sends it to the gate once more, whose memory keeps it from running twice, so that
// the user has the answer; and a "not run" of the second sending is not told of the first.
func TestBrokenForward(t *testing.T) {
	tests := map[string]struct {
		before, after bool
		headers       []string
		gone, absent  bool
		want          caller.Outcome
		runs          int32
	}{
		"lost on the way there":         {before: true, headers: []string{caller.HeaderRequestID, "x"}, want: caller.Ran, runs: 1},
		"lost on the way back":          {after: true, headers: []string{caller.HeaderRequestID, "x"}, want: caller.Ran, runs: 1},
		"without an id, there":          {before: true, want: caller.Unknown},
		"without an id, back":           {after: true, want: caller.Unknown, runs: 1},
		"idempotent, back":              {after: true, headers: []string{caller.HeaderIdempotent, "true"}, want: caller.Unknown, runs: 1},
		"then nobody owns the key":      {before: true, absent: true, headers: []string{caller.HeaderRequestID, "x", caller.HeaderAttempt, "1"}, want: caller.Unknown},
		"then the gate is out of reach": {before: true, gone: true, headers: []string{caller.HeaderRequestID, "x", caller.HeaderAttempt, "1"}, want: caller.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			broken := &fragile{RoundTripper: &http.Transport{DisableKeepAlives: true}}
			gate, entry := start(t, "one", nil), start(t, "two", func(d *Deps) { d.ForwardTransport = broken })
			gate.finder.set(here(testService(), backend(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })))
			entry.finder.set(route.Forward{Service: testService(), Addresses: []string{address(gate.forwards)}})
			for range 10 {
				entry.front.service("oddaja").earn()
			}
			broken.before.Store(tt.before)
			broken.after.Store(tt.after)
			if tt.absent {
				broken.broke = func() { entry.finder.set(route.Unavailable{Reason: route.ReasonNoOwner}) }
			}
			if tt.gone {
				gate.finder.set(route.Unavailable{Reason: route.ReasonNoOwner})
			}
			got := do(t, post(is, entry.callers.URL+"/oddaja/x", "text", tt.headers...))
			is.Equal(got.outcome(), tt.want)
			is.Equal(runs.Load(), tt.runs)
		})
	}
}

// A first sending runs, and its answer is lost with the gate. The instance that forwarded it
// sends it once more, to a new gate that cannot recall what ran. That is no first sending any
// more, whatever the caller stated: the new gate must not run it.
func TestSecondSendingIsNoFirst(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	d := here(testService(), backend(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	broken := &fragile{RoundTripper: &http.Transport{DisableKeepAlives: true}}
	entry := start(t, "two", func(d *Deps) { d.ForwardTransport = broken })
	old := start(t, "one", nil)
	next := start(t, "three", func(d *Deps) { d.Replicator = refuser{recall: errors.New("cut off")} })
	old.finder.set(d)
	next.finder.set(d)
	to := func(i *instance) route.Forward {
		return route.Forward{Service: testService(), Addresses: []string{address(i.forwards)}}
	}
	entry.finder.set(to(old))
	broken.broke = func() { entry.finder.set(to(next)) }
	for range 10 {
		entry.front.service("oddaja").earn()
	}
	broken.after.Store(true)
	got := do(t, post(is, entry.callers.URL+"/oddaja/x", "text", caller.HeaderRequestID, "x", caller.HeaderAttempt, "1"))
	is.Equal(got.outcome(), caller.Unknown)
	is.Equal(runs.Load(), int32(1))
}
