package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/keys"
)

// testDomain is a Replicator for one of the instances of a test domain. Lost instances are removed
// from the map.
type testDomain struct {
	mu        sync.Mutex
	instances map[string]*instance
	replicas  map[policy.ID]*instance
	self      string
}

// forInstance returns the Replicator of one instance of the domain.
func (d *testDomain) forInstance(name string) *testDomain {
	return &testDomain{instances: d.instances, replicas: map[policy.ID]*instance{}, self: name}
}

func (d *testDomain) Replicate(_ context.Context, rec policy.IdempotencyRecord) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, i := range d.instances {
		if name != d.self && i.front.AddRecord(rec) {
			d.replicas[rec.RequestID] = i
			return nil
		}
	}
	return errors.New("no other instance")
}

func (d *testDomain) ReplicateOutcome(rec policy.IdempotencyRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := d.replicas[rec.RequestID]; i != nil {
		i.front.AddRecord(rec)
		delete(d.replicas, rec.RequestID)
	}
}

func (d *testDomain) Recover(_ context.Context, service string, r keys.Range) ([]policy.IdempotencyRecord, error) {
	var records []policy.IdempotencyRecord
	for name, i := range d.instances {
		if name != d.self {
			records = append(records, i.front.Records(service, r)...)
		}
	}
	return records, nil
}

// startInstances starts instances that replicate their idempotency records to each other.
func startInstances(t *testing.T, names ...string) map[string]*instance {
	d := &testDomain{instances: map[string]*instance{}}
	for _, name := range names {
		d.instances[name] = start(t, name, func(deps *Deps) { deps.Replicator = d.forInstance(name) })
	}
	return d.instances
}

// makeGate makes one instance the gate and lets the others forward to it.
func makeGate(instances map[string]*instance, gate string, d route.Local) {
	for name, i := range instances {
		if name == gate {
			i.finder.set(d)
			continue
		}
		i.finder.set(route.Forward{Service: d.Service, Domain: "klet", Addresses: []string{address(instances[gate].forwards)}})
	}
}

// The response to a request is lost, and the caller sends the request again with the same id,
// through any instance. It must get the first response. If the gate was lost meanwhile, the caller
// must at least learn that the request ran.
func TestResendAfterResponse(t *testing.T) {
	tests := map[string]struct {
		first, second string
		gateLost      bool
		status        int
		reason        string
	}{
		"same gate":                          {first: "one", second: "one", status: 201},
		"through another instance":           {first: "two", second: "three", status: 201},
		"gate lost, replica forwarded":       {first: "two", second: "three", gateLost: true, status: 409, reason: "already-ran"},
		"gate lost, gate made replica":       {first: "one", second: "three", gateLost: true, status: 409, reason: "already-ran"},
		"gate lost, replica is the new gate": {first: "two", second: "two", gateLost: true, status: 409, reason: "already-ran"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			d := here(testService(), backend(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/7")
				w.WriteHeader(http.StatusCreated)
				_, _ = fmt.Fprintf(w, "run %d", runs.Add(1))
			}))
			instances := startInstances(t, "one", "two", "three")
			makeGate(instances, "one", d)
			first := do(t, post(is, instances[tt.first].callers.URL+"/oddaja/x", "text", caller.HeaderRequestID, "evening"))
			is.Equal(first.status, http.StatusCreated)
			if tt.gateLost {
				delete(instances, "one")
				makeGate(instances, "two", d)
			}
			second := do(t, post(is, instances[tt.second].callers.URL+"/oddaja/x", "text", caller.HeaderRequestID, "evening"))
			is.Equal(second.status, tt.status)
			is.Equal(second.outcome(), caller.Ran)
			is.Equal(runs.Load(), int32(1))
			if tt.reason != "" {
				is.Equal(second.problem(t).Reason, tt.reason)
				return
			}
			is.Equal(string(second.body), "run 1")
			is.Equal(second.header.Get("Location"), "/7")
			is.Equal(second.header.Get(caller.HeaderReplayed), "true")
		})
	}
}

// A caller sends a request again while the first submission still runs. The second must neither run
// nor wait, and its response says when to retry.
func TestResendWhileFirstSubmissionRuns(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	var runs atomic.Int32
	instances := startInstances(t, "one", "two")
	makeGate(instances, "one", here(testService(), backend(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		close(begun)
		<-release
		w.WriteHeader(http.StatusCreated)
	})))
	request := func(name, body string) *http.Request {
		return post(is, instances[name].callers.URL+"/oddaja/x", body, caller.HeaderRequestID, "evening")
	}
	first := make(chan answer, 1)
	r := request("one", "text")
	go func() { first <- do(t, r) }()
	<-begun
	second := do(t, request("two", "text"))
	is.Equal(second.status, http.StatusConflict)
	is.Equal(second.outcome(), caller.Unknown)
	is.Equal(second.problem(t).Reason, "in-progress")
	is.True(second.header.Get("Retry-After") != "")
	other := do(t, request("two", "another text"))
	is.Equal(other.status, http.StatusUnprocessableEntity)
	is.Equal(other.outcome(), caller.NotRun)
	close(release)
	is.Equal((<-first).status, http.StatusCreated)
	is.Equal(do(t, request("two", "text")).status, http.StatusCreated)
	is.Equal(runs.Load(), int32(1))
}

// A server is lost while a request runs there. The outcome must not be "not run", and the resend
// must not run either, since it is not known whether the first submission did.
func TestLostServerLeavesOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	i := start(t, "one", nil)
	i.finder.set(here(testService(), backend(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})))
	for range 2 {
		got := do(t, post(is, i.callers.URL+"/oddaja/x", "text", caller.HeaderRequestID, "evening"))
		is.Equal(got.outcome(), caller.Unknown)
	}
	is.Equal(runs.Load(), int32(1))
	got := do(t, post(is, i.callers.URL+"/oddaja/x", "text", caller.HeaderIdempotent, "true"))
	is.Equal(got.outcome(), caller.Unknown)
	is.True(runs.Load() >= 2)
}

// The gate cannot be reached. Only the gate knows whether an earlier submission ran, so the outcome
// of a resend is "unknown". That of a first submission, or of a request without an id, is "not
// run".
func TestOutcomeWhenGateIsUnreachable(t *testing.T) {
	tests := map[string]struct {
		headers []string
		want    caller.Outcome
	}{
		"no id":               {want: caller.NotRun},
		"first submission":    {headers: []string{caller.HeaderRequestID, "x", caller.HeaderAttempt, "1"}, want: caller.NotRun},
		"second submission":   {headers: []string{caller.HeaderRequestID, "x", caller.HeaderAttempt, "2"}, want: caller.Unknown},
		"unstated submission": {headers: []string{caller.HeaderRequestID, "x"}, want: caller.Unknown},
		"idempotent":          {headers: []string{caller.HeaderRequestID, "x", caller.HeaderIdempotent, "true"}, want: caller.NotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := start(t, "one", nil)
			for _, d := range []route.Destination{
				route.Unavailable{Reason: route.ReasonNoGate},
				route.Forward{Service: testService(), Addresses: []string{"127.0.0.1:1"}},
			} {
				i.finder.set(d)
				got := do(t, post(is, i.callers.URL+"/oddaja/x", "text", tt.headers...))
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.Equal(got.outcome(), tt.want)
			}
		})
	}
}

// A request is queued at the gate while its key moves to another server with another gate. It must
// be routed to the new gate and run once.
func TestOwnerMovesWhileRequestIsQueued(t *testing.T) {
	tests := map[string]struct {
		notified bool
	}{
		"noticed when a slot is free": {},
		"GateMoved is called":         {notified: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { testOwnerMove(t, tt.notified) })
	}
}

func testOwnerMove(t *testing.T, notified bool) {
	is := is.New(t)
	begun, release := make(chan struct{}, 8), make(chan struct{})
	busy := here(testService(), backend(t, func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	}))
	busy.Servers[0].Server.Slots = 1
	instances := startInstances(t, "one", "two")
	makeGate(instances, "one", busy)
	results := make(chan answer, 2)
	first := post(is, instances["one"].callers.URL+"/oddaja/x", "first", caller.HeaderRequestID, "first")
	go func() { results <- do(t, first) }()
	<-begun
	waiting := post(is, instances["one"].callers.URL+"/oddaja/x", "waiting", caller.HeaderRequestID, "waiting")
	go func() { results <- do(t, waiting) }()
	instances["one"].awaitWaiting("oddaja", 1)
	moved := here(testService(), backend(t, echo))
	moved.Servers[0].Server.Name = "oddaja-z"
	makeGate(instances, "two", moved)
	if notified {
		instances["one"].front.GateMoved("oddaja", "oddaja-a")
	} else {
		close(release)
	}
	servers := map[string]int{}
	for n := range 2 {
		got := <-results
		if notified && n == 0 {
			is.Equal(got.header.Get(caller.HeaderServer), "oddaja-z")
			close(release)
		}
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.outcome(), caller.Ran)
		servers[got.header.Get(caller.HeaderServer)]++
		if got.header.Get(caller.HeaderServer) == "oddaja-z" {
			is.Equal(string(got.body), "POST /x epoch=3.1.7.9 body=waiting")
		}
	}
	is.Equal(servers, map[string]int{"oddaja-a": 1, "oddaja-z": 1})
}

// In a service that is not divided, any domain may run a request. The id decides which domain keeps
// the idempotency record, so that a resend through another domain is recognized.
func TestResendThroughAnotherDomain(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	service := testService()
	service.Divided = false
	run := func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, runs.Add(1)) }
	a, b := here(service, backend(t, run)), here(service, backend(t, run))
	klet, dvorana := start(t, "one", nil), start(t, "two", nil)
	home := func(self string, other *instance) func(string, uint64) route.Destination {
		return func(_ string, hash uint64) route.Destination {
			if policy.HomeDomain([]string{"klet", "dvorana-a"}, hash) == self {
				return a
			}
			return route.Forward{Service: service, Addresses: []string{address(other.forwards)}}
		}
	}
	klet.finder.set(a)
	dvorana.finder.set(b)
	klet.front.deps.FindHome = home("klet", dvorana)
	dvorana.front.deps.FindHome = home("dvorana-a", klet)
	for n := range 10 {
		id := fmt.Sprint("id-", n)
		for _, i := range []*instance{klet, dvorana} {
			got := do(t, post(is, i.callers.URL+"/oddaja/x", "text", caller.HeaderRequestID, id))
			is.Equal(got.outcome(), caller.Ran)
			is.Equal(string(got.body), fmt.Sprint(n+1))
		}
	}
	is.Equal(runs.Load(), int32(10))
}

// failingReplicator is a Replicator that fails with the given errors.
type failingReplicator struct{ replicateErr, recoverErr error }

func (r failingReplicator) Replicate(context.Context, policy.IdempotencyRecord) error {
	return r.replicateErr
}
func (r failingReplicator) ReplicateOutcome(policy.IdempotencyRecord) {}
func (r failingReplicator) Recover(context.Context, string, keys.Range) ([]policy.IdempotencyRecord, error) {
	return nil, r.recoverErr
}

// An instance cannot reach the others of its domain. A deduplicated request must not run while no
// other instance holds a copy of its record, or while the earlier records cannot be recovered.
func TestReplicatorFailure(t *testing.T) {
	fault := errors.New("cut off")
	tests := map[string]struct {
		replicator failingReplicator
		want       caller.Outcome
		reason     string
	}{
		"replication fails": {replicator: failingReplicator{replicateErr: fault}, want: caller.NotRun, reason: "no-witness"},
		"recovery fails":    {replicator: failingReplicator{recoverErr: fault}, want: caller.Unknown, reason: "memory-incomplete"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := start(t, "one", func(d *Deps) { d.Replicator = tt.replicator })
			i.finder.set(here(testService(), backend(t, echo)))
			got := do(t, post(is, i.callers.URL+"/oddaja/x", "text", caller.HeaderRequestID, "x"))
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(got.outcome(), tt.want)
			is.Equal(got.problem(t).Reason, tt.reason)
			is.Equal(do(t, post(is, i.callers.URL+"/oddaja/x", "text")).outcome(), caller.Ran)
		})
	}
}

// A request arrives while the gate cannot yet recover the idempotency records, and is refused with
// the outcome "unknown". This submission did not run, so no record of it may prevent the resend
// from running once the gate has recovered. Otherwise the caller would have to wait ten minutes.
func TestRefusedSubmissionLeavesNoRecord(t *testing.T) {
	is := is.New(t)
	instances := startInstances(t, "one", "two", "three")
	d := here(testService(), backend(t, echo))
	makeGate(instances, "one", d)
	gate := instances["one"].front
	working := gate.deps.Replicator
	gate.deps.Replicator = failingReplicator{recoverErr: errors.New("cut off")}
	request := func(name string) *http.Request {
		return post(is, instances[name].callers.URL+"/oddaja/x", "text", caller.HeaderRequestID, "evening")
	}
	for _, name := range []string{"one", "two"} {
		refused := do(t, request(name))
		is.Equal(refused.outcome(), caller.Unknown)
		is.Equal(refused.header.Get(caller.HeaderUnsent), "true")
	}
	gate.deps.Replicator = working
	is.Equal(do(t, request("three")).outcome(), caller.Ran)
}
