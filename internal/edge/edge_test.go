package edge_test

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/retry"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
	"example.org/mustardring/internal/stated"
)

// headerCodec implements edge.HeaderCodec with a simple set of headers.
type headerCodec struct{}

func (headerCodec) DecodeRequest(h http.Header) edge.RequestInfo {
	millis, err := strconv.Atoi(h.Get("Left"))
	key, keyErr := strconv.ParseUint(h.Get("Key"), 10, 16)
	return edge.RequestInfo{
		ID: h.Get("Id"), Timeout: time.Duration(millis) * time.Millisecond, HasTimeout: err == nil,
		Key: uint16(key), HasKey: keyErr == nil,
	}
}

func (headerCodec) EncodeTarget(h http.Header, server string, left time.Duration) {
	h.Set("Server", server)
	h.Set("Left", strconv.Itoa(int(left.Milliseconds())))
}

func (headerCodec) DecodeResponse(r *http.Response, receivedAt time.Time) edge.ResponseInfo {
	info := edge.ResponseInfo{
		ID: r.Header.Get("Id"), Signed: r.Header.Get("Unsigned") == "", NotRun: r.Header.Get("Not-Run") != "" || r.StatusCode == 421, Misdirected: r.StatusCode == 421,
	}
	if running, err := strconv.Atoi(r.Header.Get("Running")); err == nil {
		info.Load = admit.Load{Running: running, Known: true}
	}
	if millis, err := strconv.Atoi(r.Header.Get("Rest")); err == nil {
		info.Statement.RestUntil = receivedAt.Add(time.Duration(millis) * time.Millisecond)
	}
	return info
}

// fakeServer is a backend server that handles each request with a function of the test, which
// writes to the connection directly.
type fakeServer struct {
	listener net.Listener
	runs     atomic.Int32
}

// newFakeServer starts a fakeServer. Handle gets the number of the request, counted from 1.
func newFakeServer(t *testing.T, handle func(run int, c net.Conn, r *http.Request)) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeServer{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					handle(int(b.runs.Add(1)), c, r)
				}
			}()
		}
	}()
	return b
}

// respond writes a response with the ID of its request.
func respond(c net.Conn, r *http.Request, status, headers, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nId: "+r.Header.Get("Id")+"\r\n"+headers+
		"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// fakeCluster implements edge.Cluster with a fixed configuration, the servers of one service and
// one owner for all keys.
type fakeCluster struct {
	config      *rules.Config
	servers     map[string]rules.Server
	owner       shard.Range
	changed     chan struct{}
	crashed     atomic.Int32
	cleared     atomic.Int32
	written     atomic.Int32
	quarantined bool
	settleAt    time.Time
	statements  *stated.Table
	// configOutdated is the result of ConfigOutdated, directoryOutdated that of DirectoryOutdated.
	configOutdated    bool
	directoryOutdated func() bool
}

func (c *fakeCluster) Config() *rules.Config { return c.config }
func (c *fakeCluster) Server(id string) (rules.Server, bool) {
	s, found := c.servers[id]
	return s, found
}
func (c *fakeCluster) Owner(string, uint16) (shard.Range, bool, <-chan struct{}) {
	return c.owner, c.owner.Server != "", c.changed
}
func (c *fakeCluster) ConfigOutdated() bool { return c.configOutdated }
func (c *fakeCluster) DirectoryOutdated() bool {
	return c.directoryOutdated != nil && c.directoryOutdated()
}
func (c *fakeCluster) ObserveSendDelay(time.Duration, time.Time) {
	c.written.Add(1)
}
func (c *fakeCluster) OwnersSettleAt() time.Time        { return c.settleAt }
func (c *fakeCluster) CountRequest(string, uint16)      {}
func (c *fakeCluster) Quarantined(uint64) bool          { return c.quarantined }
func (c *fakeCluster) ReportCrash(uint64, rules.Server) { c.crashed.Add(1) }
func (c *fakeCluster) ObserveStatement(server string, s stated.Statement, _ stated.Source) {
	c.statements.ObserveRest(server, s.RestUntil)
}
func (c *fakeCluster) RestUntil(server string) time.Time { return c.statements.RestUntil(server) }
func (c *fakeCluster) ClearSuspicion(uint64)             { c.cleared.Add(1) }

// fakeAdmitter implements edge.Admitter. It admits each request to the server that it names, or to
// the servers in turn, unless rejection is set.
type fakeAdmitter struct {
	ids       []string
	rejection *admit.Rejected
	earlier   admit.Earlier
	// mu guards next and outcomes.
	mu       sync.Mutex
	next     int
	outcomes []admit.Outcome
}

// fakeAdmission implements edge.Admission and records the outcome of its request.
type fakeAdmission struct {
	admitter *fakeAdmitter
	server   string
}

func (a *fakeAdmission) Server() string         { return a.server }
func (a *fakeAdmission) Earlier() admit.Earlier { return a.admitter.earlier }
func (a *fakeAdmission) Complete(d admit.Completion) {
	a.admitter.mu.Lock()
	defer a.admitter.mu.Unlock()
	a.admitter.outcomes = append(a.admitter.outcomes, d.Outcome)
}

func (f *fakeAdmitter) Acquire(_ context.Context, r admit.Request, _ string) (edge.Admission, *admit.Rejected) {
	if f.rejection != nil {
		return nil, f.rejection
	}
	if r.Server != "" {
		return &fakeAdmission{f, r.Server}, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	return &fakeAdmission{f, f.ids[(f.next-1)%len(f.ids)]}, nil
}

// fixture is an Edge with fakes around it, and one route for host a.example.
type fixture struct {
	edge     *edge.Edge
	cluster  *fakeCluster
	admitter *fakeAdmitter
	// host is the host of requests, a.example if empty.
	host string
}

// newBudget returns the budget of an instance that has run for a window, which is when it has its whole part of the fixed number.
func newBudget(ratio, slack float64) *retry.Budget {
	const window = 10 * time.Second
	age := time.Duration(0)
	b := retry.NewBudget(ratio, window, func() (float64, bool) { return slack, true }, func() time.Time { return time.Now().Add(age) })
	age = window
	return b
}

func newFixture(kind rules.Kind, backends ...*fakeServer) *fixture {
	route := &rules.Route{
		Name: "route", Host: "a.example", Prefix: "/", Kind: kind, TargetLatency: 300 * time.Millisecond, Timeout: 400 * time.Millisecond,
		MaxAttempts: 2, Services: []rules.WeightedService{{Service: "books", Weight: 1}},
	}
	f := &fixture{admitter: &fakeAdmitter{}, cluster: &fakeCluster{
		config: &rules.Config{
			Version: 7, Services: map[string]rules.Service{"books": {Name: "books"}},
			Hosts: map[string][]*rules.Route{"a.example": {route}},
		},
		servers: map[string]rules.Server{}, changed: make(chan struct{}), statements: stated.NewTable(),
	}}
	for i, b := range backends {
		id := "s" + strconv.Itoa(i)
		f.cluster.servers[id] = rules.Server{ID: id, Service: "books", Address: b.listener.Addr().String(), Slots: 2}
		f.admitter.ids = append(f.admitter.ids, id)
	}
	f.edge = edge.New(edge.Deps{
		Codec: headerCodec{}, Cluster: f.cluster, Admitter: f.admitter, ConnPool: edge.NewConnPool(func(string) int { return 10 }, nil),
		ReplyMemory: edge.NewReplyMemory(4 << 20),
		RetryBudget: newBudget(0.2, 100),
		Events:      event.New(io.Discard, log.ErrorLevel), Meters: edge.NewMeters(),
	})
	return f
}

// send handles a request for the route. Headers are pairs of names and values.
func (f *fixture) send(ctx context.Context, headers ...string) *inlet.Reply {
	r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
	r.Host = cmp.Or(f.host, "a.example")
	r.Header.Set("Id", "id-1")
	r.Header.Set("Left", "900")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return f.edge.Handle(ctx, r)
}

func respondOK(_ int, c net.Conn, r *http.Request) { respond(c, r, "200 OK", "", "fine") }

// For each way in which a server can handle its first request, the caller must be told "not run"
// only if that is true, a non-idempotent request must run at most once, and the caller must get
// nothing but the complete response to its own request.
func TestOutcomes(t *testing.T) {
	type script = func(run int, c net.Conn, r *http.Request)
	tests := map[string]struct {
		first script
		// once and repeatable are the expected statuses of non-idempotent and idempotent requests;
		// onceRuns and repeatableRuns are how often both servers together run them.
		once, repeatable         int
		onceRuns, repeatableRuns int
	}{
		"responds":      {respondOK, 200, 200, 1, 1},
		"reports error": {func(_ int, c net.Conn, r *http.Request) { respond(c, r, "500 X", "", "no") }, 500, 200, 1, 2},
		"is full":       {func(_ int, c net.Conn, r *http.Request) { respond(c, r, "503 X", "Not-Run: 1\r\n", "") }, 200, 200, 2, 2},
		"closes":        {func(_ int, c net.Conn, _ *http.Request) { _ = c.Close() }, 502, 200, 1, 2},
		"cuts the response short": {func(_ int, c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 100\r\n\r\nshort")
			_ = c.Close()
		}, 502, 200, 1, 2},
		"sends no HTTP": {func(_ int, c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "garbage garbage garbage\r\n\r\n")
			_ = c.Close()
		}, 502, 200, 1, 2},
		"responds to another request": {func(_ int, c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno")
		}, 502, 200, 1, 2},
		"is silent": {func(int, net.Conn, *http.Request) { time.Sleep(600 * time.Millisecond) }, 504, 504, 1, 1},
	}
	for name, test := range tests {
		for kind, want := range map[rules.Kind][2]int{
			rules.NonIdempotent: {test.once, test.onceRuns}, rules.Idempotent: {test.repeatable, test.repeatableRuns},
		} {
			t.Run(name+" "+map[rules.Kind]string{rules.NonIdempotent: "once", rules.Idempotent: "repeatable"}[kind], func(t *testing.T) {
				is := is.New(t)
				first, second := newFakeServer(t, test.first), newFakeServer(t, respondOK)
				f := newFixture(kind, first, second)
				reply := f.send(t.Context())
				is.Equal(reply.Status, want[0])
				is.Equal(int(first.runs.Load()+second.runs.Load()), want[1])
				is.Equal(len(f.admitter.outcomes), want[1]) // each admission is completed
			})
		}
	}
}

// A server sends two responses to one request on a kept-alive connection. The second must not
// become the response to the next request.
func TestSurplusResponse(t *testing.T) {
	is := is.New(t)
	b := newFakeServer(t, func(run int, c net.Conn, r *http.Request) {
		respond(c, r, "200 OK", "", "one")
		if run == 1 {
			respond(c, r, "200 OK", "", "two")
		}
	})
	f := newFixture(rules.NonIdempotent, b)
	is.Equal(string(f.send(t.Context()).Body), "one")
	time.Sleep(20 * time.Millisecond)
	is.Equal(string(f.send(t.Context(), "Id", "id-2").Body), "one")
}

// Requests that are rejected before their first attempt do not reach a server.
func TestRejections(t *testing.T) {
	tests := map[string]struct {
		prepare func(f *fixture)
		host    string
		status  int
	}{
		"no configuration": {func(f *fixture) { f.cluster.config = nil }, "a.example", 503},
		"no route":         {func(*fixture) {}, "b.example", 404},
		"overload": {func(f *fixture) {
			f.admitter.rejection = &admit.Rejected{Reason: admit.Overload, RetryIn: time.Second}
		}, "a.example", 503},
		"crashes servers": {func(f *fixture) { f.cluster.quarantined = true }, "a.example", 502},
		"service is gone": {func(f *fixture) { f.cluster.config.Services = nil }, "a.example", 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newFakeServer(t, respondOK)
			f := newFixture(rules.NonIdempotent, b)
			test.prepare(f)
			r := httptest.NewRequest(http.MethodGet, "/x", nil)
			r.Host = test.host
			reply := f.edge.Handle(t.Context(), r)
			is.Equal(reply.Status, test.status)
			is.Equal(b.runs.Load(), int32(0))
			is.Equal(test.status == 503, reply.Header.Get("Retry-After") != "")
		})
	}
}

// While a key moves to another owner, a request for it waits, and is rejected if the move takes too
// long. After the move it is sent to the new owner.
func TestOwnerChanges(t *testing.T) {
	is := is.New(t)
	f := newFixture(rules.NonIdempotent, newFakeServer(t, respondOK))
	f.cluster.config.Services["books"] = rules.Service{Name: "books", Divided: true}
	f.cluster.owner = shard.Range{To: 100, Server: "s0", FormerOwners: []shard.Owner{{Server: "old"}}}
	reply := f.send(t.Context(), "Key", "5")
	is.Equal(reply.Status, 503) // the move did not end in time
	f.cluster.owner.FormerOwners = nil
	is.Equal(f.send(t.Context(), "Key", "5").Status, 200)
}

// Guards against callers that use up their returns before the owners are settled after a start of all instances.
func TestReturnsAfterOwnersAreSettled(t *testing.T) {
	tests := map[string]struct{ settleIn, min, max time.Duration }{
		"just started": {time.Minute, 59 * time.Second, 61 * time.Second},
		"long running": {-time.Minute, 400 * time.Millisecond, 400 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(rules.Idempotent, newFakeServer(t, respondOK))
			f.cluster.config.Services["books"] = rules.Service{Name: "books", Divided: true}
			f.cluster.settleAt = time.Now().Add(test.settleIn)
			reply := f.send(t.Context(), "Key", "5")
			seconds, err := strconv.ParseFloat(reply.Header.Get("Retry-After"), 64)
			is.NoErr(err)
			after := time.Duration(seconds * float64(time.Second))
			is.True(after >= test.min && after <= test.max)
		})
	}
}

// If the caller leaves, closing the connection to the server cancels the request there.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	ctx, leave := context.WithCancel(t.Context())
	f := newFixture(rules.NonIdempotent, newFakeServer(t, func(_ int, c net.Conn, _ *http.Request) {
		leave()
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	}))
	is.True(f.send(ctx).Abort)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the server was not closed")
	}
}

// Guards against connection limits that stay as they were when the instance did not know how many others there are.
func TestConnectionLimitFollowsTheSize(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	b := newFakeServer(t, func(_ int, c net.Conn, r *http.Request) {
		begun <- struct{}{}
		<-release
		respondOK(0, c, r)
	})
	f := newFixture(rules.NonIdempotent, b)
	replies := make(chan *inlet.Reply, 4)
	var limit atomic.Int32
	f.edge.ConnPool.Connections = func(string) int { return int(limit.Load()) }
	// accepted reports whether one more request reaches the server under a limit, of which one instance may use a third.
	accepted := func(newLimit int32) bool {
		limit.Store(newLimit)
		go func() { replies <- f.send(t.Context()) }()
		select {
		case <-begun:
			return true
		case r := <-replies:
			is.Equal(r.Status, http.StatusServiceUnavailable)
			return false
		}
	}
	for range 3 {
		is.True(accepted(9))
	}
	is.True(!accepted(9))
	is.True(accepted(12))
	is.True(!accepted(9))
	close(release)
	for range 4 {
		is.Equal((<-replies).Status, http.StatusOK)
	}
}

// A request that crashes each server that runs it is quarantined after two servers. Another request
// that ran on the same servers, but got a response in between, is not.
func TestCrashTracker(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := edge.NewCrashTracker()
	s.RecordCrash(1, "a", now)
	s.RecordCrash(1, "a", now) // two instances report the same crash
	s.RecordCrash(2, "a", now)
	is.True(!s.Quarantined(1, now))
	s.Clear(2, now)
	s.RecordCrash(1, "b", now)
	s.RecordCrash(2, "b", now)
	is.True(s.Quarantined(1, now))
	is.True(!s.Quarantined(2, now))
	is.True(!s.Quarantined(1, now.Add(time.Hour)))
	for i := range 100 {
		s.RecordCrash(3, strconv.Itoa(i), now)
	}
	is.Equal(len(s.Recent(now)), 2+1+16) // crashes of 1, the response of 2, and what is kept of 3
}

// Checks what a tracker takes from another one: crashes with their age, but none from before a response.
func TestCrashesOfAnotherTracker(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	told := func(d time.Duration) []edge.Crash {
		return []edge.Crash{{Fingerprint: 1, Server: "a", At: at(d)}, {Fingerprint: 1, Server: "b", At: at(d)}}
	}
	for name, test := range map[string]struct {
		record      func(s *edge.CrashTracker)
		quarantined bool
	}{
		"crashes":                       {func(s *edge.CrashTracker) { s.Merge(told(0), at(time.Minute)) }, true},
		"crashes that have expired":     {func(s *edge.CrashTracker) { s.Merge(told(-time.Hour), at(0)) }, false},
		"crashes that expire meanwhile": {func(s *edge.CrashTracker) { s.Merge(told(-time.Minute), at(0)) }, false},
		"crashes before a response, told late": {func(s *edge.CrashTracker) {
			s.Merge(told(0), at(0))
			s.Clear(1, at(100*time.Millisecond))
			s.Merge(told(200*time.Millisecond), at(200*time.Millisecond))
		}, false},
		"crashes after a response": {func(s *edge.CrashTracker) {
			s.Merge(told(0), at(0))
			s.Clear(1, at(100*time.Millisecond))
			s.Merge(told(5*time.Second), at(5*time.Second))
		}, true},
		"crashes that come back again and again": {func(s *edge.CrashTracker) {
			s.Merge(told(0), at(0))
			for d := time.Duration(0); d < 2*time.Minute; d += time.Second {
				s.Merge(told(500*time.Millisecond), at(d))
			}
		}, true},
		"more requests than are told, of one crash each": {func(s *edge.CrashTracker) {
			other := edge.NewCrashTracker()
			other.Merge(told(time.Second), at(time.Second))
			for print := range uint64(900) {
				other.RecordCrash(print+2, "a", at(2*time.Second))
			}
			s.Merge(other.Recent(at(3*time.Second)), at(3*time.Second))
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := edge.NewCrashTracker()
			test.record(s)
			is.Equal(s.Quarantined(1, at(90*time.Second)), test.quarantined)
			is.True(!s.Quarantined(1, at(4*time.Minute)))
		})
	}
}

// Guards against a request that crashes servers and is sent on, because a busy server has rejected it in between.
func TestRejectionClearsNoSuspicion(t *testing.T) {
	for name, test := range map[string]struct {
		status, headers string
		clears          int32
	}{
		"success": {"200 OK", "", 1}, "error": {"500 X", "", 1}, "not found": {"404 X", "", 1},
		"not run": {"503 X", "Not-Run: 1\r\n", 0}, "busy": {"429 X", "Not-Run: 1\r\n", 0}, "misdirected": {"421 X", "", 0},
		"busy without proof": {"503 X", "", 0}, "malformed and not run": {"400 X", "Not-Run: 1\r\n", 0}, "malformed": {"400 X", "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(rules.NonIdempotent, newFakeServer(t, func(_ int, c net.Conn, r *http.Request) { respond(c, r, test.status, test.headers, "") }))
			f.cluster.config.Hosts["a.example"][0].MaxAttempts = 1
			f.send(t.Context())
			is.New(t).Equal(f.cluster.cleared.Load(), test.clears)
		})
	}
}

// A request was admitted to a server that was about to leave, waited 0.2 seconds for a connection on a
// busy instance and reached the server after it had left, because the server was checked only at the
// admission. The first byte can follow the admission by up to 235 ms. The server must be checked again
// immediately before the first byte.
func TestServerLeavesBeforeTheFirstByte(t *testing.T) {
	is := is.New(t)
	b := newFakeServer(t, respondOK)
	f := newFixture(rules.NonIdempotent, b)
	f.cluster.config.Services["books"] = rules.Service{Name: "books", Divided: true}
	f.cluster.owner = shard.Range{To: 100, Server: "s0"}
	s := f.cluster.servers["s0"]
	s.Draining, s.LeaveBy = true, time.Now().Add(200*time.Millisecond)
	f.cluster.servers["s0"] = s
	f.edge.ConnPool.Connections = func(string) int {
		<-time.After(time.Until(s.LeaveBy) + 10*time.Millisecond)
		return 10
	}
	reply := f.send(t.Context(), "Key", "5")
	is.Equal(b.runs.Load(), int32(0))
	is.Equal(reply.Status, http.StatusServiceUnavailable)
	is.True(reply.Header.Get("Retry-After") != "")
}

// Guards against a time between the last check of a server and the end of the write that nobody measures.
func TestTimeToWriteIsObserved(t *testing.T) {
	is := is.New(t)
	f := newFixture(rules.NonIdempotent, newFakeServer(t, respondOK))
	is.Equal(f.send(t.Context()).Status, http.StatusOK)
	is.Equal(f.cluster.written.Load(), int32(1))
}

// Guards against lines from which the address of a caller can be found by trying all addresses: their names of callers have a
// key that only the process knows. Within its life the name of a caller stays the same.
func TestLinesNameCallersUnderAKey(t *testing.T) {
	is := is.New(t)
	name := func(names *edge.CallerNames) string {
		var lines strings.Builder
		events := event.New(&lines, log.InfoLevel)
		f := newFixture(rules.Idempotent, newFakeServer(t, respondOK))
		f.edge.Events, f.edge.Identity, f.edge.CallerNames = events, edge.CallerAddress{}, names
		is.Equal(f.send(t.Context()).Status, 200) // from 192.0.2.1
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_ = events.Run(ended)
		fields := map[string]string{}
		for line, err := range event.Lines(strings.NewReader(lines.String())) {
			is.NoErr(err)
			event.ParseFields(line, fields)
		}
		is.Equal(fields["msg"], "request")
		return fields["caller"]
	}
	const digest = "0a221c61" // the one by which controllers know the caller, which is the same everywhere
	first, second := edge.NewCallerNames(), edge.NewCallerNames()
	is.Equal(name(first), name(first))
	key, caller, _ := strings.Cut(name(first), "-")
	otherKey, otherCaller, _ := strings.Cut(name(second), "-")
	is.True(key != otherKey)
	is.True(caller != otherCaller)
	is.True(caller != "" && !strings.Contains(caller+otherCaller, digest))
	is.Equal(name(nil), "")
}
