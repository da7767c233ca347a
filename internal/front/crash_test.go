package front

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/pkg/caller"
)

// crashingServer is a backend server that emulates a crash with an immediate restart by closing all
// its connections.
type crashingServer struct {
	*httptest.Server
	crashes atomic.Int32
}

// startCrashingServer starts a server that crashes on requests whose body or path contains a word.
func startCrashingServer(t *testing.T, word string) *crashingServer {
	m := &crashingServer{}
	m.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if bytes.Contains(body, []byte(word)) || bytes.Contains([]byte(r.URL.Path), []byte(word)) {
			m.crashes.Add(1)
			m.CloseClientConnections()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "ok")
	}))
	t.Cleanup(m.Close)
	return m
}

// awaitIdle waits until no request is in flight and all checks of lost servers are done.
func (i *instance) awaitIdle() {
	for i.front.inFlight.count.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A request crashes each server that runs it, and its caller keeps sending it, each time with a new
// id. It may crash two servers. Then it is refused until operators lift the block, also by other
// instances that got the crash records. Other requests are served all the time.
func TestRequestThatCrashesServers(t *testing.T) {
	is := is.New(t)
	a, b, c := startCrashingServer(t, "poison"), startCrashingServer(t, "poison"), startCrashingServer(t, "poison")
	d := undivided(address(a.Server), address(b.Server), address(c.Server))
	one, two := start(t, "one", nil), start(t, "two", nil)
	one.finder.set(d)
	two.finder.set(d)
	for i := range 12 {
		is.Equal(do(t, get(is, one.callers.URL+"/oddaja/well")).outcome(), caller.Ran)
		do(t, post(is, one.callers.URL+"/oddaja/x", "poison", caller.HeaderRequestID, fmt.Sprint("id-", i)))
		one.awaitIdle()
	}
	totalCrashes := func() int32 { return a.crashes.Load() + b.crashes.Load() + c.crashes.Load() }
	is.Equal(totalCrashes(), int32(2))
	blocked := do(t, post(is, one.callers.URL+"/oddaja/x", "poison"))
	is.Equal(blocked.outcome(), caller.NotRun)
	is.Equal(blocked.problem(t).Reason, "blocked")
	is.True(blocked.header.Get("Retry-After") != "")

	two.front.MergeCrashRecords(one.front.CrashRecords())
	is.Equal(do(t, post(is, two.callers.URL+"/oddaja/x", "poison")).problem(t).Reason, "blocked")
	is.Equal(do(t, post(is, two.callers.URL+"/oddaja/x", "bread")).outcome(), caller.Ran)
	is.Equal(totalCrashes(), int32(2))

	is.NoErr(two.front.SetLiftedBlocks([]string{two.front.CrashRecords()[0].Fingerprint.String()}))
	do(t, post(is, two.callers.URL+"/oddaja/x", "poison"))
	is.Equal(totalCrashes(), int32(3))
	is.True(two.front.SetLiftedBlocks([]string{"no print"}) != nil)
}

// An idempotent request crashes each server that runs it. The gate retries it by itself. It must
// stop after the second server and respond with the reason "blocked".
func TestIdempotentRequestThatCrashesServers(t *testing.T) {
	is := is.New(t)
	servers := []*crashingServer{startCrashingServer(t, "poison"), startCrashingServer(t, "poison"), startCrashingServer(t, "poison")}
	i := start(t, "one", nil)
	i.finder.set(undivided(address(servers[0].Server), address(servers[1].Server), address(servers[2].Server)))
	for range 40 {
		is.Equal(do(t, get(is, i.callers.URL+"/oddaja/well")).status, http.StatusOK)
	}
	for _, want := range []caller.Outcome{caller.Unknown, caller.NotRun, caller.NotRun} {
		got := do(t, get(is, i.callers.URL+"/oddaja/poison"))
		is.Equal(got.outcome(), want)
		is.Equal(got.problem(t).Reason, "blocked")
	}
	totalCrashes := int32(0)
	for _, s := range servers {
		totalCrashes += s.crashes.Load()
	}
	is.Equal(totalCrashes, int32(2))
}

// A server closes the connection of each request without responding, but does not crash. The
// request must not be suspected of crashing servers.
func TestClosedConnectionIsNoLostServer(t *testing.T) {
	is := is.New(t)
	i := start(t, "one", nil)
	i.finder.set(here(testService(), backend(t, func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	})))
	for range 4 {
		got := do(t, post(is, i.callers.URL+"/oddaja/x", "text"))
		is.Equal(got.outcome(), caller.Unknown)
		is.Equal(got.problem(t).Reason, "server-lost")
		i.awaitIdle()
	}
	is.Equal(len(i.front.CrashRecords()), 0)
}

// A server closes two connections on an idempotent request without crashing. The gate retries the
// request, and the third attempt succeeds.
func TestClosedConnectionIsRetried(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int32
	i := start(t, "one", nil)
	i.finder.set(here(testService(), backend(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/odd" && asked.Add(1) <= 2 {
			panic(http.ErrAbortHandler)
		}
	})))
	for range 40 {
		is.Equal(do(t, get(is, i.callers.URL+"/oddaja/even")).outcome(), caller.Ran)
	}
	is.Equal(do(t, get(is, i.callers.URL+"/oddaja/odd")).outcome(), caller.Ran)
	is.Equal(asked.Load(), int32(3))
}
