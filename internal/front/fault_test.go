package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/caller"
	"example.org/mustardring/pkg/grant"
)

// undivided returns a destination in a service that is not divided, so that any request may be sent
// to any of the servers.
func undivided(addresses ...string) route.Local {
	s := testService()
	s.Divided = false
	d := here(s, addresses...)
	for i := range d.Servers {
		d.Servers[i].Epoch = grant.Epoch{}
	}
	return d
}

// get returns an idempotent request with a key.
func get(is *is.I, url string) *http.Request {
	is.Helper()
	r, err := http.NewRequest(http.MethodGet, url, nil)
	is.NoErr(err)
	r.Header.Set(caller.HeaderKey, "volume-7")
	return r
}

// Twenty callers send requests through two instances to a server with two slots. The server must
// never run three requests at once.
func TestSlotLimitIsNeverExceeded(t *testing.T) {
	is := is.New(t)
	var running, maxRunning atomic.Int32
	s := testService()
	s.Limits.Queue = 50
	i := start(t, "one", nil)
	edge := start(t, "two", nil)
	d := here(s, backend(t, func(http.ResponseWriter, *http.Request) {
		n := running.Add(1)
		for m := maxRunning.Load(); n > m && !maxRunning.CompareAndSwap(m, n); m = maxRunning.Load() {
		}
		time.Sleep(time.Millisecond)
		running.Add(-1)
	}))
	i.finder.set(d)
	edge.finder.set(route.Forward{Service: s, Addresses: []string{address(i.forwards)}})
	var group sync.WaitGroup
	var ran atomic.Int32
	for n := range 20 {
		url := i.callers.URL
		if n%2 == 0 {
			url = edge.callers.URL
		}
		requests := make([]*http.Request, 10)
		for k := range requests {
			requests[k] = post(is, url+"/oddaja/x", "text")
		}
		group.Go(func() {
			for _, r := range requests {
				if do(t, r).outcome() == caller.Ran {
					ran.Add(1)
				}
			}
		})
	}
	group.Wait()
	is.Equal(ran.Load(), int32(200))
	is.Equal(maxRunning.Load(), int32(2))
}

// One of two servers is down. Requests that either server may run go to the other one, and the
// callers notice nothing.
func TestServerDownIsAvoided(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	down := l.Addr().String()
	is.NoErr(l.Close())
	i := start(t, "one", nil)
	i.finder.set(undivided(down, backend(t, echo)))
	up := backend(t, echo)
	i.finder.set(undivided(up))
	for range 30 {
		is.Equal(do(t, post(is, i.callers.URL+"/oddaja/x", "text")).outcome(), caller.Ran)
	}
	i.finder.set(undivided(down, up))
	for range 5 {
		got := do(t, post(is, i.callers.URL+"/oddaja/x", "text"))
		is.Equal(got.outcome(), caller.Ran)
	}
}

// A server sheds load. If it states that it did not run the request, the caller may send it again.
// If it states nothing, the outcome is unknown.
func TestServerShedsLoad(t *testing.T) {
	tests := map[string]struct {
		header string
		want   caller.Outcome
	}{
		"states not run": {header: string(caller.NotRun), want: caller.NotRun},
		"states nothing": {want: caller.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := start(t, "one", nil)
			i.finder.set(here(testService(), backend(t, func(w http.ResponseWriter, _ *http.Request) {
				if tt.header != "" {
					w.Header().Set(caller.HeaderOutcome, tt.header)
				}
				w.Header().Set("Retry-After", "7")
				w.WriteHeader(http.StatusServiceUnavailable)
			})))
			got := do(t, post(is, i.callers.URL+"/oddaja/x", "text"))
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(got.outcome(), tt.want)
			is.Equal(got.header.Get("Retry-After"), "7")
		})
	}
}

// A server freezes. The caller gets a response at the deadline, which says that the request may
// run.
func TestFrozenServer(t *testing.T) {
	is := is.New(t)
	unfreeze := make(chan struct{})
	i := start(t, "one", nil)
	i.finder.set(here(testService(), backend(t, func(http.ResponseWriter, *http.Request) { <-unfreeze })))
	soon := strconv.FormatInt(time.Now().Add(100*time.Millisecond).UnixMilli(), 10)
	got := do(t, post(is, i.callers.URL+"/oddaja/x", "text", caller.HeaderDeadline, soon))
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.Equal(got.outcome(), caller.Unknown)
	is.Equal(got.problem(t).Reason, "timeout")
	close(unfreeze)
}

// A caller cancels a request that was forwarded. The cancellation must reach the server.
func TestCancellationReachesServer(t *testing.T) {
	is := is.New(t)
	begun, canceled := make(chan struct{}), make(chan struct{})
	gate, edge := start(t, "one", nil), start(t, "two", nil)
	gate.finder.set(here(testService(), backend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(begun)
		<-r.Context().Done()
		close(canceled)
	})))
	edge.finder.set(route.Forward{Service: testService(), Addresses: []string{address(gate.forwards)}})
	ctx, cancel := context.WithCancel(context.Background())
	r := post(is, edge.callers.URL+"/oddaja/x", "text").WithContext(ctx)
	go func() {
		<-begun
		cancel()
	}()
	_, err := http.DefaultTransport.RoundTrip(r) //nolint:bodyclose // there is no response
	is.True(errors.Is(err, context.Canceled))
	<-canceled
}

// The deadline that the server gets is that of the caller, less hopAllowance for each hop.
func TestDeadlineIsPassedOn(t *testing.T) {
	is := is.New(t)
	gate, edge := start(t, "one", nil), start(t, "two", nil)
	gate.finder.set(here(testService(), backend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get(caller.HeaderDeadline))
	})))
	edge.finder.set(route.Forward{Service: testService(), Addresses: []string{address(gate.forwards)}})
	stated := time.Now().Add(20 * time.Second).UnixMilli()
	got := do(t, post(is, edge.callers.URL+"/oddaja/x", "text", caller.HeaderDeadline, strconv.FormatInt(stated, 10)))
	seen, err := strconv.ParseInt(string(got.body), 10, 64)
	is.NoErr(err)
	hops := 2 * hopAllowance.Milliseconds()
	is.True(seen <= stated-hops)
	is.True(seen >= stated-hops-4)
}

// The Authorizer refuses a request to a server that does not check grants. No byte of it may be
// written. When the lease is lost while a request runs, its connection is closed.
func TestAuthorizerIsCalledBeforeWrite(t *testing.T) {
	is := is.New(t)
	var seen atomic.Int32
	authorizer := &revocableAuthorizer{}
	i := start(t, "one", func(d *Deps) { d.Authorizer = authorizer })
	begun := make(chan struct{}, 1)
	d := here(testService(), backend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		seen.Add(1)
		begun <- struct{}{}
		<-r.Context().Done()
	}))
	d.Servers[0].Server.ChecksGrants = false
	i.finder.set(d)
	authorizer.revoked.Store(true)
	got := do(t, post(is, i.callers.URL+"/oddaja/x", "text"))
	is.Equal(got.outcome(), caller.NotRun)
	is.Equal(got.problem(t).Reason, "right-lost")
	is.Equal(seen.Load(), int32(0))
	authorizer.revoked.Store(false)
	r := post(is, i.callers.URL+"/oddaja/x", "text")
	go func() {
		<-begun
		i.front.LeaseLost("oddaja", "oddaja-a")
	}()
	is.Equal(do(t, r).outcome(), caller.Unknown)
	is.Equal(seen.Load(), int32(1))
}

// revocableAuthorizer is an Authorizer that a test can make refuse all requests.
type revocableAuthorizer struct{ revoked atomic.Bool }

func (r *revocableAuthorizer) Begin(Attempt) (Work, error) {
	if r.revoked.Load() {
		return nil, errors.New("lease expired")
	}
	return noWork{}, nil
}

// noWork is a Work that does nothing.
type noWork struct{}

func (noWork) End() {}

// An instance is drained while a caller downloads 64 MB. The download must be complete, Drain must
// wait for it, and the instance must no longer be ready.
func TestDrainWaitsForDownloads(t *testing.T) {
	is := is.New(t)
	const size = 64 << 20
	half, resume := make(chan struct{}), make(chan struct{})
	i := start(t, "one", nil)
	i.finder.set(here(testService(), backend(t, func(w http.ResponseWriter, _ *http.Request) {
		part := make([]byte, 1<<20)
		for n := range size / len(part) {
			if n == size/len(part)/2 {
				_ = http.NewResponseController(w).Flush()
				close(half)
				<-resume
			}
			_, _ = w.Write(part)
		}
	})))
	r := get(is, i.callers.URL+"/oddaja/volume")
	result := make(chan answer, 1)
	go func() { result <- do(t, r) }()
	<-half
	drained := make(chan error, 1)
	go func() { drained <- i.front.Drain(context.Background()) }()
	for i.front.Ready() {
		time.Sleep(time.Millisecond)
	}
	select {
	case err := <-drained:
		t.Fatalf("drained with a download in flight: %v", err)
	default:
	}
	close(resume)
	got := <-result
	is.NoErr(got.cut)
	is.Equal(len(got.body), size)
	is.NoErr(<-drained)
}

// A leaving server gets no new requests, and the requests that run there complete.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}, 1), make(chan struct{})
	leaving := backend(t, func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	})
	i := start(t, "one", nil)
	i.finder.set(undivided(leaving))
	r := post(is, i.callers.URL+"/oddaja/x", "text")
	result := make(chan answer, 1)
	go func() { result <- do(t, r) }()
	<-begun
	d := undivided(leaving, backend(t, echo))
	d.Servers[0].Server.Leaving = true
	i.finder.set(d)
	for range 5 {
		is.Equal(do(t, post(is, i.callers.URL+"/oddaja/x", "text")).header.Get(caller.HeaderServer), "oddaja-b")
	}
	close(release)
	is.Equal((<-result).outcome(), caller.Ran)
}

// A caller sends half of a body and the rest later. It must not occupy a slot meanwhile.
func TestSlowCallerOccupiesNoSlot(t *testing.T) {
	is := is.New(t)
	i := start(t, "one", nil)
	d := here(testService(), backend(t, echo))
	d.Servers[0].Server.Slots = 1
	i.finder.set(d)
	from, to := io.Pipe()
	slow := post(is, i.callers.URL+"/oddaja/x", "")
	slow.Body, slow.ContentLength = from, 8
	result := make(chan answer, 1)
	go func() { result <- do(t, slow) }()
	_, err := to.Write([]byte("slow"))
	is.NoErr(err)
	is.Equal(do(t, post(is, i.callers.URL+"/oddaja/x", "quick")).status, http.StatusOK)
	_, err = to.Write([]byte("ness"))
	is.NoErr(err)
	is.Equal(string((<-result).body), "POST /x epoch=3.1.7.9 body=slowness")
}

// A body without a stated length turns out to be too large. If that shows in the buffered part, the
// request is refused before it runs.
func TestBodyWithoutLengthIsLimited(t *testing.T) {
	is := is.New(t)
	s := testService()
	s.Limits = bundle.Limits{BodyBytes: 1000, RequestMillis: 60_000}
	i := start(t, "one", nil)
	i.finder.set(here(s, backend(t, echo)))
	for size, status := range map[int]int{1000: 200, 1001: 413, 50_000: 413} {
		r := post(is, i.callers.URL+"/oddaja/x", "")
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, size))), -1
		got := do(t, r)
		is.Equal(got.status, status)
	}
}

// Guards against a server that sends a refusal once more, late: it would say of the next request that it did not run.
func TestCopyOfARefusalIsNotTheNextAnswer(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	i := start(t, "one", nil)
	i.finder.set(here(testService(), backend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(caller.HeaderRequest) != "first" {
			runs.Add(1)
			return
		}
		c, in, err := http.NewResponseController(w).Hijack()
		is.NoErr(err)
		defer c.Close()
		refusal := "HTTP/1.1 421 X\r\n" + caller.HeaderOutcome + ": not-run\r\nContent-Length: 0\r\n\r\n"
		_, _ = io.WriteString(c, refusal)
		if _, err := http.ReadRequest(in.Reader); err == nil {
			runs.Add(1)
			_, _ = io.WriteString(c, refusal)
		}
	})))
	is.Equal(do(t, post(is, i.callers.URL+"/oddaja/x", "text", caller.HeaderRequestID, "first")).outcome(), caller.NotRun)
	got := do(t, post(is, i.callers.URL+"/oddaja/x", "text", caller.HeaderRequestID, "second"))
	is.Equal(got.outcome() == caller.NotRun, runs.Load() == 0)
	is.Equal(got.outcome(), caller.Ran)
}
