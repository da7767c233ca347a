package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/fair"
	"example.org/mustardring/internal/rules"
)

// The servers of restLoad, the time for which some of them reject every request, the rest that they ask for then, and how
// long a request takes.
const (
	restServers  = 10
	restingCount = 3
	rejectTime   = 9 * time.Second
	askedRest    = 3 * time.Second
	workTime     = 100 * time.Millisecond
)

// restLoad plays requests of many instances to one controller while some servers reject all of them.
type restLoad struct {
	controller *admit.Controller
	instances  int
	random     *rand.Rand
	// running holds the requests in progress by their end.
	running []restRequest
	// rejected and served count, by server, the requests that it has rejected and those that it has answered since it takes
	// requests again; unserved counts those without an admission.
	rejected map[string]int
	served   map[string]int
	asked    map[string]map[string]time.Time
	sent     int
	unserved int
	// broken counts the requests to a server in a rest that it has asked their instance for.
	broken int
}

type restRequest struct {
	done admit.Completion
	at   time.Time
	rest bool
}

func restServer(i int) string { return fmt.Sprintf("s%d", i) }

// rejects reports whether a server rejects requests at a time.
func rejects(server string, at time.Time) bool {
	return server < restServer(restingCount) && at.Before(start.Add(rejectTime))
}

// send handles an admission.
func (l *restLoad) send(now time.Time, g admit.Admitted) {
	if until, asked := l.asked[g.Server][g.From]; asked && now.Before(until) {
		l.broken++
	}
	done := admit.Completion{ID: g.ID, Server: g.Server, Route: "read", Took: workTime}
	end := restRequest{done: done, at: now.Add(workTime)}
	if rejects(g.Server, now) {
		end.done.Outcome, end.done.Took = admit.Full, time.Millisecond
		end.at, end.rest = now.Add(time.Millisecond), true
	}
	l.running = append(l.running, end)
}

// decide handles decisions.
func (l *restLoad) decide(now time.Time, decisions ...admit.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case admit.Admitted:
			l.send(now, d)
		case admit.Rejected:
			l.unserved++
		case admit.Queued:
		}
	}
}

// end completes the requests that have ended.
func (l *restLoad) end(now time.Time) {
	running := l.running
	l.running = nil
	for _, r := range running {
		if now.Before(r.at) {
			l.running = append(l.running, r)
			continue
		}
		if r.rest {
			l.rejected[r.done.Server]++
			until := now.Add(askedRest)
			if l.asked[r.done.Server] == nil {
				l.asked[r.done.Server] = map[string]time.Time{}
			}
			l.asked[r.done.Server][r.done.From] = until
			l.decide(now, l.controller.Rest(now, r.done.From, r.done.Server, until)...)
		} else if now.After(start.Add(rejectTime)) {
			l.served[r.done.Server]++
		}
		l.decide(now, l.controller.Complete(now, r.done)...)
	}
}

// run plays a load, in requests per second, from one time to another. Keyed requests may only run at the first server.
func (l *restLoad) run(perSecond int, keyed bool, from, to time.Duration) {
	for i := int(from / time.Millisecond); i < int(to/time.Millisecond); i++ {
		now := start.Add(time.Duration(i) * time.Millisecond)
		l.end(now)
		l.decide(now, l.controller.Tick(now)...)
		for n := i * perSecond / 1000; n < (i+1)*perSecond/1000; n++ {
			req := newRequest(uint64(l.sent), now)
			req.From = fmt.Sprintf("i%d", l.random.IntN(l.instances))
			if keyed {
				req.Server = restServer(0)
			}
			l.sent++
			l.decide(now, l.controller.Decide(now, req))
		}
	}
}

func newRestLoad(instances int) *restLoad {
	var servers []rules.Server
	for i := range restServers {
		servers = append(servers, server(restServer(i), "north", 2))
	}
	return &restLoad{
		controller: newController(servers...), instances: instances, random: rand.New(rand.NewPCG(1, 2)),
		rejected: map[string]int{}, served: map[string]int{}, asked: map[string]map[string]time.Time{},
	}
}

// maxRejected is the number of requests that a server may have to reject while it rests: two for each of its rests and one
// for each probe.
const maxRejected = 2*int(rejectTime/askedRest) + int(rejectTime/(500*time.Millisecond)) + 2

// Guards against each of many instances finding out by itself that a server wants no requests, and against callers that are
// not served by the other servers meanwhile.
func TestServersThatRest(t *testing.T) {
	for _, instances := range []int{8, 100, 900} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			l := newRestLoad(instances)
			l.run(100, false, 0, rejectTime) // of 140 that the other servers run
			l.run(170, false, rejectTime, rejectTime+4*time.Second)
			t.Logf("rejected %v, served again %v, without admission %d of %d", l.rejected, l.served, l.unserved, l.sent)
			is.Equal(l.broken, 0)
			for i := range restingCount {
				is.True(l.rejected[restServer(i)] <= maxRejected)
				is.True(l.served[restServer(i)] >= 17) // its share of one second, of four
			}
			is.True(l.unserved <= l.sent/100)
		})
	}
}

// Guards against requests for keys of a server that rests which wait, or are all sent there.
func TestOwnerThatRests(t *testing.T) {
	is := is.New(t)
	l := newRestLoad(100)
	l.run(15, true, 0, rejectTime+4*time.Second)
	t.Logf("rejected %v, served again %v, without admission %d of %d", l.rejected, l.served, l.unserved, l.sent)
	is.Equal(l.broken, 0)
	is.True(l.rejected[restServer(0)] <= maxRejected)
	is.True(l.served[restServer(0)] >= 30)
	req := newRequest(1e6, start)
	l = newRestLoad(2)
	for _, from := range []string{"i0", "i1"} {
		l.controller.Rest(start, from, restServer(0), start.Add(askedRest))
	}
	req.Server, req.From = restServer(0), "i2"
	d, rejected := l.controller.Decide(start, req).(admit.Rejected)
	is.True(rejected) // at once
	is.Equal(d.Reason, admit.Resting)
	is.True(d.RetryIn > 0)
}

// Guards against taking the rest of one instance for that of others.
func TestRestOfOneInstance(t *testing.T) {
	is := is.New(t)
	c := newController(server("s0", "north", 2))
	c.Rest(start, "i0", "s0", start.Add(time.Minute))
	decide := func(serial uint64, from string) admit.Decision {
		req := newRequest(serial, start)
		req.From = from
		return c.Decide(start, req)
	}
	_, rejected := decide(1, "i0").(admit.Rejected)
	is.True(rejected)
	g, admitted := decide(2, "i1").(admit.Admitted)
	is.True(admitted)
	_, queued := decide(3, "i2").(admit.Queued) // one at a time at first
	is.True(queued)
	now := start.Add(workTime)
	admissions := 0
	for _, d := range c.Complete(now, admit.Completion{ID: g.ID, Server: "s0", Route: "read", Took: workTime}) {
		if _, ok := d.(admit.Admitted); ok {
			admissions++
		}
	}
	is.Equal(admissions, 1)
}

// Guards against a request that is not served because the one before it in the queue is of an instance that the only free
// server has asked for rest.
func TestRestDoesNotBlockTheQueue(t *testing.T) {
	is := is.New(t)
	c := newController(server("s0", "north", 1), server("s1", "north", 1))
	var running []admit.Admitted
	serial := uint64(0)
	for _, from := range []string{"i0", "i0", "i1"} {
		for queued := false; !queued && serial < 20; serial++ {
			req := newRequest(serial, start)
			req.From, req.Deadline = from, start.Add(2*time.Hour)
			if serial > 0 { // the target of the first request sets the expected service time
				req.TargetAt = start.Add(time.Hour)
			}
			d := c.Decide(start, req)
			if g, ok := d.(admit.Admitted); ok {
				running = append(running, g)
			}
			_, queued = d.(admit.Queued)
		}
	}
	c.Rest(start, "i0", "s0", start.Add(time.Minute))
	admitted := map[string]int{}
	for _, g := range running {
		if g.Server != "s0" {
			continue
		}
		for _, d := range c.Complete(start.Add(workTime), admit.Completion{ID: g.ID, Server: "s0", Route: "read", Took: workTime}) {
			if g, ok := d.(admit.Admitted); ok {
				is.Equal(g.Server, "s0")
				admitted[g.From]++
			}
		}
	}
	is.Equal(admitted, map[string]int{"i1": 1})
}

// Guards against a request of a priority that is owed its floor and waits behind more urgent ones, because the one before it is
// of an instance that the only free server has asked for rest. If only such ones wait, the others go on.
func TestRestDoesNotTakeTheFloor(t *testing.T) {
	type waiting struct {
		from     string
		priority int
	}
	tests := map[string]struct {
		waiting []waiting
		want    waiting
	}{
		"owed behind one that rests": {[]waiting{{"i1", 0}, {"i0", 1}, {"i2", 1}, {"i1", 0}}, waiting{"i2", 1}},
		"owed behind many that rest": {[]waiting{{"i1", 0}, {"i0", 1}, {"i0", 1}, {"i0", 1}, {"i0", 1}, {"i0", 1}, {"i2", 1}}, waiting{"i2", 1}},
		"all that are owed rest":     {[]waiting{{"i0", 0}, {"i0", 1}, {"i0", 1}, {"i1", 0}}, waiting{"i1", 0}},
		"nothing rests":              {[]waiting{{"i1", 0}, {"i2", 1}, {"i1", 0}}, waiting{"i2", 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := admit.New(rand.New(rand.NewPCG(1, 2)), admit.Options{Floors: fair.Floors{0, 0.2}})
			c.SetServers(start, []rules.Server{server("s0", "north", 1), server("s1", "north", 1)})
			serial := uint64(0)
			decide := func(w waiting) admit.Decision {
				req := newRequest(serial, start)
				req.From, req.Priority, req.Deadline = w.from, w.priority, start.Add(2*time.Hour)
				if serial > 0 { // the target of the first request sets the expected service time
					req.TargetAt = start.Add(time.Hour)
				}
				serial++
				return c.Decide(start, req)
			}
			var running []admit.Admitted
			for g, admitted := decide(waiting{"i1", 0}).(admit.Admitted); admitted; g, admitted = decide(waiting{"i1", 0}).(admit.Admitted) {
				running = append(running, g)
			}
			c.Cancel(start, admit.ID{From: "i1", Serial: serial - 1}) // the first one that waits
			byID := map[admit.ID]waiting{}
			for _, w := range test.waiting {
				q, queued := decide(w).(admit.Queued)
				is.True(queued)
				byID[q.ID] = w
			}
			c.Rest(start, "i0", "s0", start.Add(time.Minute))
			var first []waiting
			for _, g := range running {
				if g.Server != "s0" {
					continue
				}
				for _, d := range c.Complete(start.Add(workTime), admit.Completion{ID: g.ID, Server: "s0", Route: "read", Took: workTime}) {
					first = append(first, byID[d.(admit.Admitted).ID])
				}
			}
			is.True(len(first) > 0)
			is.Equal(first[0], test.want)
		})
	}
}

// Guards against a limit, a cold start or a rest that is forgotten beside the others.
func TestRestBesideOtherBounds(t *testing.T) {
	servers := map[string]rules.Server{
		"limit": limitedServer("s0", 2),
		"cold":  {ID: "s0", Service: "books", Domain: "north", Slots: 2, ColdRate: 2, WarmAt: start.Add(time.Minute)},
	}
	for name, s := range servers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newController(s)
			c.Rest(start, "a", "s0", start.Add(3*time.Second)) // flood sends as instance a
			times := flood(12*time.Second, true, func(time.Time) *admit.Controller { return c })["s0"]
			is.True(len(times) > 0)
			is.True(times[0].Sub(start) >= 3*time.Second)
			is.True(float64(maxInSpan(times, limitWindow)) <= maxLimited(2))
		})
	}
}

// Guards against messages about rests that come again after the server has answered, and are taken for new ones.
func TestRestIsToldAgain(t *testing.T) {
	is := is.New(t)
	c := newController(server("s0", "north", 2))
	ask := func(at time.Time) {
		for _, from := range []string{"i0", "i1"} {
			c.Rest(at, from, "s0", start.Add(3*time.Second+at.Sub(start)/4)) // messages are delayed
		}
	}
	ask(start)
	now := start.Add(600 * time.Millisecond)
	req := newRequest(1, now)
	req.From = "i2"
	g, admitted := c.Decide(now, req).(admit.Admitted)
	is.True(admitted) // a probe
	c.Complete(now.Add(workTime), admit.Completion{ID: g.ID, Server: "s0", Route: "read", Took: workTime})
	is.Equal(len(c.RestsUntil(now.Add(workTime))), 0)
	ask(now.Add(2 * workTime))
	is.Equal(len(c.RestsUntil(now.Add(2*workTime))), 0)
}

// Guards against a controller that is not in charge of a server and takes one rest for that of all.
func TestRestAtAnotherController(t *testing.T) {
	is := is.New(t)
	c := newController(server("s0", "north", 2))
	c.Rest(start, "i0", "s0", start.Add(time.Minute))
	is.Equal(len(c.RestsUntil(start)), 0)
}

// Guards against callers that are told to come back only long after another instance could have served them.
func TestRetryAfterARestIsShort(t *testing.T) {
	is := is.New(t)
	c := newController(server("s0", "north", 2))
	for _, from := range []string{"i0", "i1"} {
		c.Rest(start, from, "s0", start.Add(time.Hour))
	}
	for i, from := range []string{"i0", "i2"} {
		for _, owner := range []string{"", "s0"} {
			req := newRequest(uint64(i), start)
			req.From, req.Server, req.Deadline = from, owner, start.Add(time.Minute)
			d, rejected := c.Decide(start, req).(admit.Rejected)
			is.True(rejected)
			is.True(d.RetryIn <= time.Second/2)
		}
	}
}
