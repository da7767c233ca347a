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

// mortal is a backend server that dies and is back at once: all its connections end.
type mortal struct {
	*httptest.Server
	deaths atomic.Int32
}

// startMortal starts a server that dies of requests whose body or path holds a word.
func startMortal(t *testing.T, word string) *mortal {
	m := &mortal{}
	m.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if bytes.Contains(body, []byte(word)) || bytes.Contains([]byte(r.URL.Path), []byte(word)) {
			m.deaths.Add(1)
			m.CloseClientConnections()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "ok")
	}))
	t.Cleanup(m.Close)
	return m
}

// settled waits until the front is done with finding out about lost servers.
func (i *instance) settled() {
	for i.front.inFlight.count.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// One request crashes each server that runs it, and its caller sends it again and again, each
// time with a new id. It may take two servers; then it is refused, also by instances that
// never saw it, until operators lift the block. Other requests are served all the while.
func TestRequestThatCrashesServers(t *testing.T) {
	is := is.New(t)
	a, b, c := startMortal(t, "poison"), startMortal(t, "poison"), startMortal(t, "poison")
	d := undivided(address(a.Server), address(b.Server), address(c.Server))
	one, two := start(t, "one", nil), start(t, "two", nil)
	one.finder.set(d)
	two.finder.set(d)
	for i := range 12 {
		is.Equal(do(t, get(is, one.callers.URL+"/oddaja/well")).outcome(), caller.Ran)
		do(t, post(is, one.callers.URL+"/oddaja/x", "poison", caller.HeaderRequestID, fmt.Sprint("id-", i)))
		one.settled()
	}
	deaths := func() int32 { return a.deaths.Load() + b.deaths.Load() + c.deaths.Load() }
	is.Equal(deaths(), int32(2))
	blocked := do(t, post(is, one.callers.URL+"/oddaja/x", "poison"))
	is.Equal(blocked.outcome(), caller.NotRun)
	is.Equal(blocked.problem(t).Reason, "blocked")
	is.True(blocked.header.Get("Retry-After") != "")

	two.front.MergeCrashRecords(one.front.CrashRecords())
	is.Equal(do(t, post(is, two.callers.URL+"/oddaja/x", "poison")).problem(t).Reason, "blocked")
	is.Equal(do(t, post(is, two.callers.URL+"/oddaja/x", "bread")).outcome(), caller.Ran)
	is.Equal(deaths(), int32(2))

	is.NoErr(two.front.SetLiftedBlocks([]string{two.front.CrashRecords()[0].Fingerprint.String()}))
	do(t, post(is, two.callers.URL+"/oddaja/x", "poison"))
	is.Equal(deaths(), int32(3))
	is.True(two.front.SetLiftedBlocks([]string{"no print"}) != nil)
}

// The same with an idempotent request, which the gate itself would try again: it stops
// after the second server, and tells the caller at once.
func TestIdempotentRequestThatCrashesServers(t *testing.T) {
	is := is.New(t)
	servers := []*mortal{startMortal(t, "poison"), startMortal(t, "poison"), startMortal(t, "poison")}
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
	deaths := int32(0)
	for _, s := range servers {
		deaths += s.deaths.Load()
	}
	is.Equal(deaths, int32(2))
}

// A server closes the connection of one request each time, and lives. That request is not
// blamed for a lost server.
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
		i.settled()
	}
	is.Equal(len(i.front.CrashRecords()), 0)
}

// The same with an idempotent request, which the gate tries again: the server closed two
// connections and lives, and the third try is answered.
func TestClosedConnectionIsTriedAgain(t *testing.T) {
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
