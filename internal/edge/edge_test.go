package edge_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/inlet"
	"example.org/mustardring/internal/permit"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// wire is a simple set of headers.
type wire struct{}

func (wire) Call(h http.Header) edge.RequestInfo {
	millis, err := strconv.Atoi(h.Get("Left"))
	key, failed := strconv.ParseUint(h.Get("Key"), 10, 16)
	return edge.RequestInfo{
		ID: h.Get("Id"), Timeout: time.Duration(millis) * time.Millisecond, HasTimeout: err == nil,
		Key: uint16(key), HasKey: failed == nil,
	}
}

func (wire) Address(h http.Header, server string, left time.Duration) {
	h.Set("Server", server)
	h.Set("Left", strconv.Itoa(int(left.Milliseconds())))
}

func (wire) Answer(r *http.Response) edge.ResponseInfo {
	return edge.ResponseInfo{
		ID: r.Header.Get("Id"), NotRun: r.Header.Get("Not-Run") != "" || r.StatusCode == 421, Misdirected: r.StatusCode == 421,
	}
}

// backend is a server that answers each connection by a script, byte by byte.
type backend struct {
	listener net.Listener
	runs     atomic.Int32
}

func newBackend(t *testing.T, answer func(run int, c net.Conn, r *http.Request)) *backend {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{listener: l}
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
					answer(int(b.runs.Add(1)), c, r)
				}
			}()
		}
	}()
	return b
}

// say writes an answer with the id of its request.
func say(c net.Conn, r *http.Request, status, headers, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nId: "+r.Header.Get("Id")+"\r\n"+headers+
		"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// world knows two servers of one service, and one owner.
type world struct {
	config  *rules.Config
	servers map[string]rules.Server
	owner   shard.Range
	changed chan struct{}
	crashed atomic.Int32
	blocked bool
}

func (w *world) Config() *rules.Config { return w.config }
func (w *world) Server(id string) (rules.Server, bool) {
	s, found := w.servers[id]
	return s, found
}
func (w *world) Owner(string, uint16) (shard.Range, bool, <-chan struct{}) {
	return w.owner, w.owner.Server != "", w.changed
}
func (w *world) Count(string, uint16)         {}
func (w *world) Suspicious(uint64) bool       { return w.blocked }
func (w *world) Crashed(uint64, rules.Server) { w.crashed.Add(1) }
func (w *world) Cleared(uint64)               {}

// permits grants every asking: the servers in turn, or the one that is asked for.
type permits struct {
	ids     []string
	next    int
	refused *permit.Rejected
	done    []permit.Outcome
}

type granted struct {
	permits *permits
	server  string
}

func (g *granted) Server() string           { return g.server }
func (g *granted) Done(d permit.Completion) { g.permits.done = append(g.permits.done, d.Outcome) }

func (p *permits) Acquire(_ context.Context, a permit.Request, _ string) (edge.Admission, *permit.Rejected) {
	if p.refused != nil {
		return nil, p.refused
	}
	if a.Server != "" {
		return &granted{p, a.Server}, nil
	}
	p.next++
	return &granted{p, p.ids[(p.next-1)%len(p.ids)]}, nil
}

type fixture struct {
	edge    *edge.Edge
	world   *world
	permits *permits
}

func newFixture(kind rules.Kind, backends ...*backend) *fixture {
	route := &rules.Route{
		Name: "route", Host: "a.example", Prefix: "/", Kind: kind, TargetLatency: 300 * time.Millisecond, Timeout: 400 * time.Millisecond,
		MaxAttempts: 2, Services: []rules.WeightedService{{Service: "books", Weight: 1}},
	}
	f := &fixture{permits: &permits{}, world: &world{
		config: &rules.Config{
			Version: 7, Services: map[string]rules.Service{"books": {Name: "books"}},
			Hosts: map[string][]*rules.Route{"a.example": {route}},
		},
		servers: map[string]rules.Server{}, changed: make(chan struct{}),
	}}
	for i, b := range backends {
		id := "s" + strconv.Itoa(i)
		f.world.servers[id] = rules.Server{ID: id, Service: "books", Address: b.listener.Addr().String(), Slots: 2}
		f.permits.ids = append(f.permits.ids, id)
	}
	f.edge = edge.New(edge.Deps{
		Codec: wire{}, Cluster: f.world, Admitter: f.permits, ConnPool: edge.NewConnPool(func(string) int { return 10 }),
		RetryBudget: edge.NewRetryBudget(0.2, 10*time.Second, func() float64 { return 100 }, time.Now),
		Events:      event.New(io.Discard, log.ErrorLevel), Meters: edge.NewMeters(),
	})
	return f
}

func (f *fixture) send(ctx context.Context, headers ...string) *inlet.Reply {
	r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
	r.Host = "a.example"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Left", "900")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return f.edge.Handle(ctx, r)
}

func answerOK(_ int, c net.Conn, r *http.Request) { say(c, r, "200 OK", "", "fine") }

// What a server does with its first request, and what the caller must get: "not run" only when
// that is true, one run of what must not be repeated, and nothing that is not the whole answer
// to the caller's own request.
func TestOutcomes(t *testing.T) {
	type script = func(run int, c net.Conn, r *http.Request)
	tests := map[string]struct {
		first script
		// once and again are the statuses for requests that must not, and may, be repeated;
		// runs the number of runs at both servers together.
		once, again         int
		onceRuns, againRuns int
	}{
		"answers":       {answerOK, 200, 200, 1, 1},
		"reports error": {func(_ int, c net.Conn, r *http.Request) { say(c, r, "500 X", "", "no") }, 500, 200, 1, 2},
		"is full":       {func(_ int, c net.Conn, r *http.Request) { say(c, r, "503 X", "Not-Run: 1\r\n", "") }, 200, 200, 2, 2},
		"closes":        {func(_ int, c net.Conn, _ *http.Request) { _ = c.Close() }, 502, 200, 1, 2},
		"cuts the answer": {func(_ int, c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 100\r\n\r\nshort")
			_ = c.Close()
		}, 502, 200, 1, 2},
		"says what is no answer": {func(_ int, c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "garbage garbage garbage\r\n\r\n")
			_ = c.Close()
		}, 502, 200, 1, 2},
		"answers another request": {func(_ int, c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno")
		}, 502, 200, 1, 2},
		"is silent": {func(int, net.Conn, *http.Request) { time.Sleep(600 * time.Millisecond) }, 504, 504, 1, 1},
	}
	for name, test := range tests {
		for kind, want := range map[rules.Kind][2]int{
			rules.NonIdempotent: {test.once, test.onceRuns}, rules.Idempotent: {test.again, test.againRuns},
		} {
			t.Run(name+" "+map[rules.Kind]string{rules.NonIdempotent: "once", rules.Idempotent: "again"}[kind], func(t *testing.T) {
				is := is.New(t)
				first, second := newBackend(t, test.first), newBackend(t, answerOK)
				f := newFixture(kind, first, second)
				reply := f.send(t.Context())
				is.Equal(reply.Status, want[0])
				is.Equal(int(first.runs.Load()+second.runs.Load()), want[1])
				is.Equal(len(f.permits.done), want[1]) // each permit is given back
			})
		}
	}
}

// A server sends a second answer behind the first, on a connection that is kept. It must not
// become the answer to the next request.
func TestAnswerTooMany(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(run int, c net.Conn, r *http.Request) {
		say(c, r, "200 OK", "", "one")
		if run == 1 {
			say(c, r, "200 OK", "", "two")
		}
	})
	f := newFixture(rules.NonIdempotent, b)
	is.Equal(string(f.send(t.Context()).Body), "one")
	time.Sleep(20 * time.Millisecond)
	is.Equal(string(f.send(t.Context(), "Id", "id-2").Body), "one")
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		prepare func(f *fixture)
		host    string
		status  int
	}{
		"no configuration": {func(f *fixture) { f.world.config = nil }, "a.example", 503},
		"no route":         {func(*fixture) {}, "b.example", 404},
		"overload":         {func(f *fixture) { f.permits.refused = &permit.Rejected{Reason: permit.Overload, RetryIn: time.Second} }, "a.example", 503},
		"crashes servers":  {func(f *fixture) { f.world.blocked = true }, "a.example", 502},
		"service is gone":  {func(f *fixture) { f.world.config.Services = nil }, "a.example", 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBackend(t, answerOK)
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

// A key changes hands while a request for it is there: the request waits for the new owner.
func TestKeyChangesHands(t *testing.T) {
	is := is.New(t)
	f := newFixture(rules.NonIdempotent, newBackend(t, answerOK))
	f.world.config.Services["books"] = rules.Service{Name: "books", Divided: true}
	f.world.owner = shard.Range{To: 100, Server: "s0", FormerOwners: []shard.Owner{{Server: "old"}}}
	reply := f.send(t.Context(), "Key", "5")
	is.Equal(reply.Status, 503) // in vain: told to come back
	f.world.owner.FormerOwners = nil
	is.Equal(f.send(t.Context(), "Key", "5").Status, 200)
}

// The caller leaves: the server's work is cancelled by closing the connection.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	ctx, leave := context.WithCancel(t.Context())
	f := newFixture(rules.NonIdempotent, newBackend(t, func(_ int, c net.Conn, _ *http.Request) {
		leave()
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	}))
	is.True(f.send(ctx).Abort)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the server was not told")
	}
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := edge.NewRetryBudget(0.2, 10*time.Second, func() float64 { return 10 }, func() time.Time { return now })
	spent := 0
	for range 100 {
		b.Earn("books")
		if b.Spend("books") {
			spent++
		}
	}
	is.True(spent <= 20+10) // a fifth of the requests and the fixed number
	is.True(spent >= 10)
	now = now.Add(time.Minute)
	is.True(b.Spend("books"))
}

// A request crashes each server that runs it, and comes again at any instance. After two
// servers it is blocked; one that only ran beside it is not.
func TestSuspects(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := edge.NewCrashTracker()
	s.RecordCrash(1, "a", now)
	s.RecordCrash(1, "a", now) // two instances saw the same loss
	s.RecordCrash(2, "a", now)
	is.True(!s.Quarantined(1, now))
	s.Clear(2)
	s.RecordCrash(1, "b", now)
	s.RecordCrash(2, "b", now)
	is.True(s.Quarantined(1, now))
	is.True(!s.Quarantined(2, now))
	is.True(!s.Quarantined(1, now.Add(time.Hour)))
}

// A server was about to leave. A request got its permit while there was time, waited 0.2 seconds for a
// connection on a busy instance, and reached the server beyond its time: whether it still took requests
// had been looked at once, when the permit came. The log showed up to 235 ms from permit to first byte.
func TestServerLeavesBeforeTheFirstByte(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, answerOK)
	f := newFixture(rules.NonIdempotent, b)
	f.world.config.Services["books"] = rules.Service{Name: "books", Divided: true}
	f.world.owner = shard.Range{To: 100, Server: "s0"}
	s := f.world.servers["s0"]
	s.Draining, s.LeaveBy = true, time.Now().Add(200*time.Millisecond)
	f.world.servers["s0"] = s
	f.edge.ConnPool.Connections = func(string) int {
		<-time.After(time.Until(s.LeaveBy) + 10*time.Millisecond)
		return 10
	}
	reply := f.send(t.Context(), "Key", "5")
	is.Equal(b.runs.Load(), int32(0))
	is.Equal(reply.Status, http.StatusServiceUnavailable)
	is.True(reply.Header.Get("Retry-After") != "")
}
