package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/caller"
)

// echo responds with the parts of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s epoch=%s body=%s", r.Method, r.URL.RequestURI(), r.Header.Get(caller.HeaderEpoch), body)
}

func TestRequestReachesServer(t *testing.T) {
	tests := map[string]struct {
		forwarded bool
	}{
		"at the gate":                   {},
		"forwarded by another instance": {forwarded: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate := start(t, "one", nil)
			gate.finder.set(here(testService(), backend(t, echo)))
			edge := gate
			if tt.forwarded {
				edge = start(t, "two", nil)
				edge.finder.set(route.Forward{Service: testService(), Domain: "klet", Addresses: []string{address(gate.forwards)}})
			}
			response := do(t, post(is, edge.callers.URL+"/oddaja/a%2Fb/c?d=e", "text", caller.HeaderRequestID, "id-1"))
			is.NoErr(response.cut)
			is.Equal(response.status, http.StatusOK)
			is.Equal(string(response.body), "POST /a%2Fb/c?d=e epoch=3.1.7.9 body=text")
			is.Equal(response.outcome(), caller.Ran)
			is.Equal(response.header.Get(caller.HeaderServer), "oddaja-a")
			is.Equal(response.header.Get(caller.HeaderRequest), "id-1")
		})
	}
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		dest   route.Destination
		change func(*http.Request)
		status int
		reason string
		retry  bool
	}{
		"no key": {
			dest: here(testService(), "127.0.0.1:1"), status: 400, reason: "no-key",
			change: func(r *http.Request) { r.Header.Del(caller.HeaderKey) },
		},
		"key too long": {
			dest: here(testService(), "127.0.0.1:1"), status: 400, reason: "bad-header",
			change: func(r *http.Request) { r.Header.Set(caller.HeaderKey, strings.Repeat("k", maxKeyBytes+1)) },
		},
		"bad deadline": {
			dest: here(testService(), "127.0.0.1:1"), status: 400, reason: "bad-header",
			change: func(r *http.Request) { r.Header.Set(caller.HeaderDeadline, "soon") },
		},
		"past deadline": {
			dest: here(testService(), "127.0.0.1:1"), status: 503, reason: "deadline-passed", retry: true,
			change: func(r *http.Request) { r.Header.Set(caller.HeaderDeadline, "1000") },
		},
		"body too large": {
			dest: here(testService(), "127.0.0.1:1"), status: 413, reason: "body-too-large",
			change: func(r *http.Request) {
				r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("b", 2<<20))), 2<<20
			},
		},
		"unknown service": {dest: route.Unavailable{Reason: route.ReasonUnknownService}, status: 404, reason: "unknown-service"},
		"no owner":        {dest: route.Unavailable{Reason: route.ReasonNoOwner}, status: 503, reason: "no-owner", retry: true},
		"unreachable":     {dest: here(testService(), "127.0.0.1:1"), status: 503, reason: "unreachable", retry: true},
		"no server":       {dest: here(testService()), status: 503, reason: "no-server", retry: true},
		"unreachable instance": {
			dest:   route.Forward{Service: testService(), Domain: "klet", Addresses: []string{"127.0.0.1:1", "127.0.0.1:2"}},
			status: 503, reason: "unreachable", retry: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := start(t, "one", nil)
			i.finder.set(tt.dest)
			r := post(is, i.callers.URL+"/oddaja/x", "text")
			if tt.change != nil {
				tt.change(r)
			}
			response := do(t, r)
			problem := response.problem(t)
			is.Equal(response.status, tt.status)
			is.Equal(problem.Status, tt.status)
			is.Equal(problem.Reason, tt.reason)
			is.Equal(problem.Type, caller.ProblemPrefix+tt.reason)
			is.Equal(problem.Outcome, caller.NotRun)
			is.Equal(response.outcome(), caller.NotRun)
			is.Equal(response.header.Get("Content-Type"), caller.ContentTypeProblem)
			is.True(problem.Request != "")
			is.Equal(response.header.Get("Retry-After") != "", tt.retry)
		})
	}
}

// Two instances each believe that the other is the gate, as may happen while a gate moves. Without
// a limit of hops they would forward the request to each other until its deadline.
func TestForwardingLoopEnds(t *testing.T) {
	is := is.New(t)
	one, two := start(t, "one", nil), start(t, "two", nil)
	to := func(i *instance) route.Forward {
		return route.Forward{Service: testService(), Domain: "klet", Addresses: []string{address(i.forwards)}}
	}
	one.finder.set(to(two))
	two.finder.set(to(one))
	response := do(t, post(is, one.callers.URL+"/oddaja/x", "text"))
	is.Equal(response.status, http.StatusServiceUnavailable)
	is.Equal(response.outcome(), caller.NotRun)
}

// A server closes the connection in the middle of a response. The caller must see an error, not a
// short response that looks complete.
func TestCutResponseIsAborted(t *testing.T) {
	tests := map[string]http.HandlerFunc{
		"content length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100000")
			_, _ = w.Write(make([]byte, 50_000))
			panic(http.ErrAbortHandler)
		},
		"chunked": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 50_000))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	}
	for name, handle := range tests {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s forwarded %t", name, forwarded), func(t *testing.T) {
				is := is.New(t)
				gate := start(t, "one", nil)
				gate.finder.set(here(testService(), backend(t, handle)))
				edge := gate
				if forwarded {
					edge = start(t, "two", nil)
					edge.finder.set(route.Forward{Service: testService(), Domain: "klet", Addresses: []string{address(gate.forwards)}})
				}
				response := do(t, post(is, edge.callers.URL+"/oddaja/x", "text"))
				is.True(response.cut != nil)
			})
		}
	}
}

// A server that checks grants refuses a request for a key that it no longer owns. The caller learns
// that the request did not run and may be sent again.
func TestServerRefusesBeforeRunningRequest(t *testing.T) {
	is := is.New(t)
	i := start(t, "one", nil)
	i.finder.set(here(testService(), backend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(caller.HeaderOutcome, string(caller.NotRun))
		w.WriteHeader(http.StatusMisdirectedRequest)
	})))
	response := do(t, post(is, i.callers.URL+"/oddaja/x", "text"))
	is.Equal(response.status, http.StatusServiceUnavailable)
	is.Equal(response.outcome(), caller.NotRun)
}

func TestNewWithoutDeps(t *testing.T) {
	is := is.New(t)
	_, err := New(Deps{})
	is.True(err != nil)
}
