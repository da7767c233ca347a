package admit_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/rules"
)

// These tests simulate load on a virtual clock: callers arrive at random, servers run a few
// requests at a time, and rejected callers come back once, when they were told to. The tests check
// how callers are served.

// event is a function to run at a given time.
type event struct {
	at time.Time
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// workload describes requests of one kind; rate is their number per second.
type workload struct {
	name     string
	rate     float64
	priority int
	target   time.Duration
	limit    time.Duration
	// caller is the one from which all requests come, zero if each comes from a caller that is not known.
	caller uint32
	// known reports whether each request comes from a caller of its own that is known.
	known bool
	// route is the name of the route, that of the workload if it is empty.
	route string
}

func (w *workload) routeName() string { return cmp.Or(w.route, w.name) }

// tally counts how the callers of one workload were served.
type tally struct {
	requested, inTarget, late, rejected, rejectedTwice int
	// told counts the callers for which capacity was reserved, toldTwice those of them that were rejected again.
	told, toldTwice int
	// maxWait is the longest time after which a caller was rejected.
	maxWait time.Duration
}

// simulator runs workloads against a controller, or one controller per pool.
type simulator struct {
	controller   *admit.Controller
	random       *rand.Rand
	queue        events
	serviceTimes map[string]time.Duration // by server
	// slots is how many requests a server runs at a time.
	slots   int
	servers map[string]*simServer
	// delay is how long a message or a request takes to arrive.
	delay   time.Duration
	tallies map[string]*tally
	pending map[admit.ID]*simRequest
	serial  uint64
	domain  func() string
	// byKey reports whether each request is for one particular server.
	byKey bool
	// sendTimes holds when requests were sent to each server; nil if they are not recorded.
	sendTimes map[string][]time.Time
	// pools holds the controllers by pool, and pickers those of the instances of each domain, if
	// there are several pools.
	pools   map[string]*admit.Controller
	pickers map[string]*admit.Picker
}

// simServer is what a server runs, and what waits there in order of arrival.
type simServer struct {
	running int
	waiting []func(now time.Time)
}

// simRequest is a request of a caller. retry reports whether the caller has come back after a
// rejection.
type simRequest struct {
	workload    workload
	firstAt     time.Time
	requestedAt time.Time
	retry       bool
	reserved    bool
	caller      uint32
	origin      uint64
	request     admit.Request
	controller  *admit.Controller
}

func newSimulator(seed uint64, serviceTimes map[string]time.Duration, slots int) *simulator {
	s := &simulator{
		random: rand.New(rand.NewPCG(seed, 2)), serviceTimes: serviceTimes, slots: slots, servers: map[string]*simServer{}, tallies: map[string]*tally{}, pending: map[admit.ID]*simRequest{},
		domain: func() string { return "north" },
	}
	s.controller = admit.New(rand.New(rand.NewPCG(seed, 3)), admit.Options{})
	var servers []rules.Server
	for id := range serviceTimes {
		servers = append(servers, server(id, "north", slots))
	}
	s.controller.SetServers(start, servers)
	return s
}

func (s *simulator) schedule(t time.Time, do func(now time.Time)) { heap.Push(&s.queue, event{t, do}) }

// addArrivals schedules random arrivals of callers for a span of time.
func (s *simulator) addArrivals(w workload, from, to time.Duration) {
	s.tallies[w.name] = &tally{}
	for t := from; ; {
		t += time.Duration(-math.Log(1-s.random.Float64()) / w.rate * float64(time.Second))
		if t >= to {
			return
		}
		at := start.Add(t)
		s.schedule(at, func(now time.Time) { s.request(now, &simRequest{workload: w, firstAt: at}) })
	}
}

func (s *simulator) request(now time.Time, req *simRequest) {
	s.serial++
	if !req.retry {
		s.tallies[req.workload.name].requested++
		s.identify(req)
	}
	req.requestedAt = now
	req.request = admit.Request{
		ID: admit.ID{Serial: s.serial}, Service: "books", Domain: s.domain(), Route: req.workload.routeName(), Priority: req.workload.priority,
		Caller: req.caller, Origin: req.origin,
		Returning: req.retry, TargetAt: req.firstAt.Add(req.workload.target), Deadline: req.firstAt.Add(req.workload.limit),
	}
	s.pending[req.request.ID] = req
	if s.pools != nil {
		s.requestFromPools(now, req)
		return
	}
	req.controller = s.controller
	if s.byKey {
		req.request.Server = fmt.Sprintf("s%d", s.random.IntN(len(s.serviceTimes)))
	}
	s.handle(now, []admit.Decision{s.controller.Decide(now, req.request)})
}

// identify gives a request its caller and its origin.
func (s *simulator) identify(req *simRequest) {
	req.caller = req.workload.caller
	if req.workload.known {
		req.caller = uint32(s.serial)
	}
	if req.caller != 0 {
		req.origin = s.serial
	}
}

// requestFromPools asks the pools that an instance of the request's domain would ask.
func (s *simulator) requestFromPools(now time.Time, req *simRequest) {
	picker := s.pickers[req.request.Domain]
	candidates := picker.Candidates(now)
	for i, pool := range candidates {
		req.controller, req.request.Domain, req.request.HasFallback = s.pools[pool.Name], pool.Domain, i < len(candidates)-1
		d := req.controller.Decide(now, req.request)
		if r, rejected := d.(admit.Rejected); rejected && r.Reason == admit.PoolBusy {
			picker.MarkBusy(pool.Name, r.Wait, now)
			continue
		}
		s.handle(now, []admit.Decision{d})
		return
	}
}

func (s *simulator) handle(now time.Time, decisions []admit.Decision) {
	for _, d := range decisions {
		req := s.pending[admit.IDOf(d)]
		switch d := d.(type) {
		case admit.Admitted:
			s.send(now, req, d.Server)
		case admit.Rejected:
			s.reject(now, req, d)
		case admit.Queued:
		}
	}
}

// send sends a request to a server, where it waits for a slot.
func (s *simulator) send(now time.Time, req *simRequest, server string) {
	if s.sendTimes != nil {
		s.sendTimes[server] = append(s.sendTimes[server], now)
	}
	sentAt := now.Add(s.delay)
	s.after(now, 2*s.delay, func(now time.Time) {
		srv := s.servers[server]
		if srv == nil {
			srv = &simServer{}
			s.servers[server] = srv
		}
		start := func(now time.Time) { s.serve(now, req, server, sentAt) }
		if srv.running >= s.slots {
			srv.waiting = append(srv.waiting, start)
			return
		}
		srv.running++
		start(now)
	})
}

// serve runs a request at a server, and then the next one that waits there.
func (s *simulator) serve(now time.Time, req *simRequest, server string, sentAt time.Time) {
	took := time.Duration(float64(s.serviceTimes[server]) * math.Exp(0.3*s.random.NormFloat64()))
	s.schedule(now.Add(took), func(now time.Time) {
		if srv := s.servers[server]; len(srv.waiting) > 0 {
			next := srv.waiting[0]
			srv.waiting = srv.waiting[1:]
			next(now)
		} else {
			srv.running--
		}
		s.after(now, s.delay, func(now time.Time) { s.answer(now, req, server, sentAt) })
	})
}

// answer counts an answer and reports the completion.
func (s *simulator) answer(now time.Time, req *simRequest, server string, sentAt time.Time) {
	t := s.tallies[req.workload.name]
	if now.Sub(req.firstAt) <= req.workload.target {
		t.inTarget++
	} else {
		t.late++
	}
	done := admit.Completion{ID: req.request.ID, Server: server, Route: req.workload.routeName(), Took: now.Sub(sentAt)}
	s.after(now, s.delay, func(now time.Time) { s.handle(now, req.controller.Complete(now, done)) })
}

// after calls do after a delay, at once if the delay is zero.
func (s *simulator) after(now time.Time, d time.Duration, do func(now time.Time)) {
	if d == 0 {
		do(now)
		return
	}
	s.schedule(now.Add(d), do)
}

func (s *simulator) reject(now time.Time, req *simRequest, rejected admit.Rejected) {
	t := s.tallies[req.workload.name]
	t.maxWait = max(t.maxWait, now.Sub(req.requestedAt))
	if req.retry {
		t.rejectedTwice++
		if req.reserved {
			t.toldTwice++
		}
		return
	}
	t.rejected++
	if rejected.Reserved {
		t.told++
	}
	left := req.firstAt.Add(req.workload.limit).Sub(now)
	s.schedule(now.Add(min(rejected.RetryIn, left/3)), func(now time.Time) {
		s.request(now, &simRequest{
			workload: req.workload, firstAt: req.firstAt, retry: true, reserved: rejected.Reserved, caller: req.caller, origin: req.origin,
		})
	})
}

func (s *simulator) runFor(d time.Duration) {
	for t := time.Duration(0); t < d; t += 10 * time.Millisecond {
		s.schedule(start.Add(t), func(now time.Time) {
			s.handle(now, s.controller.Tick(now))
			for _, c := range s.pools {
				s.handle(now, c.Tick(now))
			}
		})
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		e.do(e.at)
	}
}

func uniformServers(n int, work time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for i := range n {
		out[fmt.Sprintf("s%d", i)] = work
	}
	return out
}

// Eight servers with two slots and 200 ms a request can run 80 requests a second.
func TestOverload(t *testing.T) {
	read := workload{name: "read", rate: 0, priority: 1, target: 800 * time.Millisecond, limit: 3 * time.Second}
	tests := map[string]struct {
		rate float64
		// minInTarget is the smallest number of requests a second that must meet their target,
		// maxRejectedTwice the largest share of requests whose callers come back and are rejected
		// again.
		minInTarget, maxRejectedTwice float64
	}{
		"half of the capacity":     {40, 39, 0.001},
		"nine tenths":              {72, 66, 0.05},
		"one and a half times":     {120, 70, 0.35},
		"twice":                    {160, 70, 0.55},
		"four times, as in a rush": {320, 70, 0.80},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulator(1, uniformServers(8, 200*time.Millisecond), 2)
			w := read
			w.rate = test.rate
			s.addArrivals(w, 0, 20*time.Second)
			s.runFor(25 * time.Second)
			got := s.tallies["read"]
			t.Logf("%+v", *got)
			is.True(float64(got.inTarget)/20 >= test.minInTarget)
			is.True(float64(got.rejectedTwice) <= test.maxRejectedTwice*float64(got.requested))
			// Whatever the load, the servers run at nine tenths of their capacity.
			is.True(float64(got.inTarget+got.late)/20 >= 0.9*min(test.rate, 80)-2)
			// Requests are rejected at once, or early enough for the caller to do something else.
			is.True(got.maxWait <= 500*time.Millisecond)
		})
	}
}

// Two workloads share a service at one and a half times its capacity. The urgent requests must not
// be rejected more often than the others.
func TestUrgentGoesFirst(t *testing.T) {
	is := is.New(t)
	s := newSimulator(2, uniformServers(8, 200*time.Millisecond), 2)
	s.addArrivals(workload{name: "submit", rate: 40, priority: 1, target: 800 * time.Millisecond, limit: 3 * time.Second}, 0, 20*time.Second)
	s.addArrivals(workload{name: "browse", rate: 80, priority: 2, target: 800 * time.Millisecond, limit: 3 * time.Second}, 0, 20*time.Second)
	s.runFor(25 * time.Second)
	submit, browse := s.tallies["submit"], s.tallies["browse"]
	t.Logf("submit %+v browse %+v", *submit, *browse)
	is.True(float64(submit.inTarget) >= 0.95*float64(submit.requested))
	is.True(browse.inTarget+browse.late > 600) // the others get what is left
}

// One server of eight becomes five times slower. It must get fewer requests, so that those of its
// former share still meet their target.
func TestSlowServer(t *testing.T) {
	is := is.New(t)
	work := uniformServers(8, 200*time.Millisecond)
	work["s3"] = time.Second
	s := newSimulator(3, work, 2)
	s.addArrivals(workload{name: "read", rate: 50, priority: 1, target: 800 * time.Millisecond, limit: 3 * time.Second}, 0, 20*time.Second)
	s.runFor(25 * time.Second)
	got := s.tallies["read"]
	t.Logf("%+v", *got)
	is.True(float64(got.inTarget) >= 0.94*float64(got.requested))
}

// Guards against a server that fails each request at once while its health check succeeds. As it is
// always free, it would attract every request.
func TestFailingServerIsEjected(t *testing.T) {
	is := is.New(t)
	c := newController(server("good", "north", 2), server("bad", "north", 2))
	now := start
	bad := 0
	for i := range uint64(400) {
		now = now.Add(20 * time.Millisecond)
		g, admitted := c.Decide(now, newRequest(i, now)).(admit.Admitted)
		if !admitted {
			continue
		}
		d := admit.Completion{ID: g.ID, Server: g.Server, Route: "read", Took: 5 * time.Millisecond}
		if g.Server == "bad" {
			bad++
			d.Outcome = admit.Failed
		}
		c.Complete(now, d)
	}
	t.Logf("%d of 400 went to the failing server", bad)
	is.True(bad > 0 && bad < 60)
}

// All servers of a service fail for a while. If all were ejected, requests that might succeed would
// be rejected.
func TestNeverEjectsAllServers(t *testing.T) {
	is := is.New(t)
	c := newController(server("a", "north", 1), server("b", "north", 1), server("c", "north", 1))
	now := start
	for i := range uint64(200) {
		now = now.Add(20 * time.Millisecond)
		g, admitted := c.Decide(now, newRequest(i, now)).(admit.Admitted)
		is.True(admitted)
		c.Complete(now, admit.Completion{ID: g.ID, Server: g.Server, Route: "read", Outcome: admit.Failed})
	}
}

// Guards against large answers that cross failure domains although a server of the caller's own
// domain is about to be free.
func TestLargeAnswersStayInTheirDomain(t *testing.T) {
	is := is.New(t)
	c := newController(server("near", "north", 1), server("far", "south", 1))
	now := start
	for i := range uint64(300) {
		now = now.Add(300 * time.Millisecond)
		g := c.Decide(now, newRequest(i, now)).(admit.Admitted)
		is.Equal(g.Server, "near") // a free server of its own domain is preferred
		c.Complete(now, admit.Completion{ID: g.ID, Server: g.Server, Route: "read", Took: 100 * time.Millisecond, Bytes: 90 << 10})
	}
	first, second, third := newRequest(1001, now), newRequest(1002, now), newRequest(1003, now)
	is.Equal(c.Decide(now, first), admit.Admitted{ID: first.ID, Server: "near"})
	is.Equal(c.Decide(now, second), admit.Queued{ID: second.ID})
	is.Equal(c.Tick(now.Add(50*time.Millisecond)), nil)
	is.Equal(c.Tick(now.Add(190*time.Millisecond)), []admit.Decision{admit.Admitted{ID: second.ID, Server: "far"}})
	third.Server = "near"
	is.Equal(c.Decide(now, third), admit.Admitted{ID: third.ID, Server: "near"}) // a request with an owner goes nowhere else
}

// An instance is killed while it holds an admission. The slot must become free again.
func TestAdmissionOfKilledInstanceExpires(t *testing.T) {
	is := is.New(t)
	c := newController(server("s", "north", 1))
	is.Equal(c.Decide(start, newRequest(1, start)), admit.Admitted{ID: newRequest(1, start).ID, Server: "s"})
	later := start.Add(2 * time.Second)
	c.Tick(later)
	is.Equal(c.Expired(), 1)
	is.Equal(c.Decide(later, newRequest(2, later)), admit.Admitted{ID: newRequest(2, later).ID, Server: "s"})
}

func TestOwnerGone(t *testing.T) {
	is := is.New(t)
	c := newController(server("s", "north", 1))
	req := newRequest(1, start)
	req.Server = "other"
	is.Equal(c.Decide(start, req), admit.Rejected{ID: req.ID, Reason: admit.OwnerGone})
	is.Equal(c.Decide(start, newRequest(2, start)), admit.Admitted{ID: newRequest(2, start).ID, Server: "s"})
	fill(is, c, "s")
	queued := requestWithLongTarget(3, start)
	queued.Server = "s"
	is.Equal(c.Decide(start, queued), admit.Queued{ID: queued.ID})
	is.Equal(c.SetServers(start, nil), []admit.Decision{admit.Rejected{ID: queued.ID, Reason: admit.OwnerGone}})
}

// Guards against new connections for most requests. Forty instances send seven requests a second
// each to sixty servers, any of which will do. Each instance used each server rarely, and servers
// close idle connections after ten seconds. Of 8,400 requests, 3,848 needed a new connection when
// the choice of a server ignored connections, and 142 when it considered them.
func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	var servers []rules.Server
	for i := range 60 {
		servers = append(servers, server(fmt.Sprintf("s%02d", i), "north", 4))
	}
	c := newController(servers...)
	now := start
	random := rand.New(rand.NewPCG(1, 2))
	type pair struct{ from, server string }
	usedAt := map[pair]time.Time{}
	opened, sent := 0, 0
	type running struct {
		id     admit.ID
		server string
		until  time.Time
	}
	var all []running
	for i := range uint64(8400) {
		now = now.Add(time.Second / 280)
		for len(all) > 0 && now.After(all[0].until) {
			c.Complete(now, admit.Completion{ID: all[0].id, Server: all[0].server, Route: "read", Took: 500 * time.Millisecond})
			all = all[1:]
		}
		req := newRequest(i, now)
		req.From = fmt.Sprintf("i%d", random.IntN(40))
		req.TargetAt, req.Deadline = now.Add(1500*time.Millisecond), now.Add(3*time.Second)
		g, admitted := c.Decide(now, req).(admit.Admitted)
		if !admitted {
			continue
		}
		sent++
		p := pair{req.From, g.Server}
		if at, known := usedAt[p]; !known || now.Sub(at) > 8*time.Second {
			opened++
		}
		usedAt[p] = now
		all = append(all, running{req.ID, g.Server, now.Add(500 * time.Millisecond)})
	}
	t.Logf("%d new connections for %d requests", opened, sent)
	is.True(sent > 8000)
	is.True(opened < sent/4)
}

// Guards against a backoff for servers that are not full. All servers of a service turn away half
// of the requests while they report free slots. Each rejection kept requests from its server for 60
// milliseconds, so that servers stood idle while requests waited and were rejected.
func TestRejectingServersAreNotFull(t *testing.T) {
	is := is.New(t)
	c := newController(server("s", "north", 2))
	now := start
	for i := range uint64(20) {
		req := newRequest(i, now)
		g, admitted := c.Decide(now, req).(admit.Admitted)
		is.True(admitted) // at once, however many requests the server has turned away
		c.Complete(now, admit.Completion{
			ID: g.ID, Server: g.Server, Route: "read", Outcome: admit.Full, Load: admit.Load{Running: 1, Known: true},
		})
		now = now.Add(2 * time.Millisecond)
	}
	req := newRequest(100, now)
	g := c.Decide(now, req).(admit.Admitted)
	c.Complete(now, admit.Completion{ID: g.ID, Server: g.Server, Route: "read", Outcome: admit.Full, Load: admit.Load{Running: 2, Waiting: 3, Known: true}})
	is.Equal(c.Decide(now, newRequest(101, now)), admit.Queued{ID: admit.ID{From: "a", Serial: 101}}) // the server is full
}

// Guards against servers that stand idle while requests wait for them, until the controller learns
// that a slot is free and admits a request, and the request arrives. Messages of 6 ms add up to a
// fifth of the time between two requests of 100 ms.
func TestServersDoNotStandIdle(t *testing.T) {
	for name, keyed := range map[string]bool{"any server": false, "the owners of keys": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulator(5, uniformServers(8, 100*time.Millisecond), 2)
			s.delay = 6 * time.Millisecond
			s.byKey = keyed
			s.addArrivals(workload{name: "read", rate: 220, priority: 1, target: 600 * time.Millisecond, limit: 2500 * time.Millisecond}, 0, 20*time.Second)
			s.runFor(24 * time.Second)
			got := s.tallies["read"]
			t.Logf("%+v", *got)
			// Eight servers of two slots can run 153 requests a second, with times that spread by
			// 0.3.
			is.True(float64(got.inTarget+got.late)/20 >= 0.93*153)
			is.True(float64(got.inTarget)/20 >= 0.85*153)
		})
	}
}
