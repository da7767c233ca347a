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

// domain is a Witness over the instances of one test domain. Lost instances do not answer.
type domain struct {
	mu        sync.Mutex
	instances map[string]*instance
	told      map[policy.ID]*instance
	self      string
}

// join returns the Witness of one instance of the domain.
func (d *domain) join(name string) *domain {
	return &domain{instances: d.instances, told: map[policy.ID]*instance{}, self: name}
}

func (d *domain) Begin(_ context.Context, m policy.IdempotencyRecord) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, i := range d.instances {
		if name != d.self && i.front.AddRecord(m) {
			d.told[m.RequestID] = i
			return nil
		}
	}
	return errors.New("no other instance")
}

func (d *domain) End(m policy.IdempotencyRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := d.told[m.RequestID]; i != nil {
		i.front.AddRecord(m)
		delete(d.told, m.RequestID)
	}
}

func (d *domain) Recall(_ context.Context, service string, r keys.Range) ([]policy.IdempotencyRecord, error) {
	var marks []policy.IdempotencyRecord
	for name, i := range d.instances {
		if name != d.self {
			marks = append(marks, i.front.Records(service, r)...)
		}
	}
	return marks, nil
}

// startDomain returns instances that witness for each other.
func startDomain(t *testing.T, names ...string) map[string]*instance {
	d := &domain{instances: map[string]*instance{}}
	for _, name := range names {
		d.instances[name] = start(t, name, func(deps *Deps) { deps.Replicator = d.join(name) })
	}
	return d.instances
}

// makeGate makes one instance the gate and has the others forward to it.
func makeGate(instances map[string]*instance, gate string, d route.Local) {
	for name, i := range instances {
		if name == gate {
			i.finder.set(d)
			continue
		}
		i.finder.set(route.Forward{Service: d.Service, Domain: "klet", Addresses: []string{address(instances[gate].forwards)}})
	}
}

// A volunteer's submission is answered, and the answer is lost. The program sends it again
// with the same id, through any instance, after the gate was lost too. It must get the first
// answer, or at least learn that it ran.
func TestResendAfterTheAnswer(t *testing.T) {
	tests := map[string]struct {
		first, second string
		gateLost      bool
		status        int
		reason        string
	}{
		"same gate":                          {first: "one", second: "one", status: 201},
		"through another instance":           {first: "two", second: "three", status: 201},
		"gate lost, witness forwarded":       {first: "two", second: "three", gateLost: true, status: 409, reason: "already-ran"},
		"gate lost, witness told":            {first: "one", second: "three", gateLost: true, status: 409, reason: "already-ran"},
		"gate lost, witness is the new gate": {first: "two", second: "two", gateLost: true, status: 409, reason: "already-ran"},
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
			instances := startDomain(t, "one", "two", "three")
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

// A submission runs long. Its program loses patience and sends it again while the first
// still runs; the second must not run, nor wait, and tells when to come back.
func TestResendWhileTheFirstRuns(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	var runs atomic.Int32
	instances := startDomain(t, "one", "two")
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

// A server is lost while a submission runs there. The user must not be told that it did not
// run, and the resend must not run before it is known that the first did not.
func TestLostServerLeavesDoubt(t *testing.T) {
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

// The gate is out of reach. Whether an earlier sending ran is known there only, so a resend
// is told "unknown"; the first sending, and a request without an id, "not run".
func TestUnreachedGate(t *testing.T) {
	tests := map[string]struct {
		headers []string
		want    caller.Outcome
	}{
		"no id":            {want: caller.NotRun},
		"first sending":    {headers: []string{caller.HeaderRequestID, "x", caller.HeaderAttempt, "1"}, want: caller.NotRun},
		"second sending":   {headers: []string{caller.HeaderRequestID, "x", caller.HeaderAttempt, "2"}, want: caller.Unknown},
		"unstated sending": {headers: []string{caller.HeaderRequestID, "x"}, want: caller.Unknown},
		"idempotent":       {headers: []string{caller.HeaderRequestID, "x", caller.HeaderIdempotent, "true"}, want: caller.NotRun},
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

// A request waits at the gate while its key moves to another server with another gate. It
// follows, runs once, and its caller sees one answer.
func TestOwnerMovesWhileRequestWaits(t *testing.T) {
	tests := map[string]struct {
		told bool
	}{
		"found out when a slot is free": {},
		"told at once":                  {told: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { moveOwner(t, tt.told) })
	}
}

func moveOwner(t *testing.T, told bool) {
	is := is.New(t)
	begun, release := make(chan struct{}, 8), make(chan struct{})
	busy := here(testService(), backend(t, func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	}))
	busy.Servers[0].Server.Slots = 1
	instances := startDomain(t, "one", "two")
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
	if told {
		instances["one"].front.GateMoved("oddaja", "oddaja-a")
	} else {
		close(release)
	}
	servers := map[string]int{}
	for n := range 2 {
		got := <-results
		if told && n == 0 {
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

// In a service that is not divided any domain may run a submission. The place of its memory
// depends on the id, so that a resend through another domain is recognised.
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

// refuser is a Witness that knows nobody.
type refuser struct{ begin, recall error }

func (r refuser) Begin(context.Context, policy.IdempotencyRecord) error { return r.begin }
func (r refuser) End(policy.IdempotencyRecord)                          {}
func (r refuser) Recall(context.Context, string, keys.Range) ([]policy.IdempotencyRecord, error) {
	return nil, r.recall
}

// Two instances of a domain are cut off. What must not run twice does not run while nobody
// else would remember it, or while it is not known what ran before.
func TestNoWitness(t *testing.T) {
	fault := errors.New("cut off")
	tests := map[string]struct {
		witness refuser
		want    caller.Outcome
		reason  string
	}{
		"nobody remembers": {witness: refuser{begin: fault}, want: caller.NotRun, reason: "no-witness"},
		"nobody recalls":   {witness: refuser{recall: fault}, want: caller.Unknown, reason: "memory-incomplete"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := start(t, "one", func(d *Deps) { d.Replicator = tt.witness })
			i.finder.set(here(testService(), backend(t, echo)))
			got := do(t, post(is, i.callers.URL+"/oddaja/x", "text", caller.HeaderRequestID, "x"))
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(got.outcome(), tt.want)
			is.Equal(got.problem(t).Reason, tt.reason)
			is.Equal(do(t, post(is, i.callers.URL+"/oddaja/x", "text")).outcome(), caller.Ran)
		})
	}
}

// A submission comes while the gate cannot yet recall what ran before, and is refused with
// "unknown". It did not run itself, so its memory must not keep the resend from running once
// the gate can recall again. Its user would have to wait ten minutes.
func TestRefusedSendingLeavesNoDoubt(t *testing.T) {
	is := is.New(t)
	instances := startDomain(t, "one", "two", "three")
	d := here(testService(), backend(t, echo))
	makeGate(instances, "one", d)
	gate := instances["one"].front
	willing := gate.deps.Replicator
	gate.deps.Replicator = refuser{recall: errors.New("cut off")}
	request := func(name string) *http.Request {
		return post(is, instances[name].callers.URL+"/oddaja/x", "text", caller.HeaderRequestID, "evening")
	}
	for _, name := range []string{"one", "two"} {
		refused := do(t, request(name))
		is.Equal(refused.outcome(), caller.Unknown)
		is.Equal(refused.header.Get(caller.HeaderUnsent), "true")
	}
	gate.deps.Replicator = willing
	is.Equal(do(t, request("three")).outcome(), caller.Ran)
}
