package permit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/permit"
	"example.org/mustardring/internal/rules"
)

// The loads of these tests are played on a virtual clock: callers that come at random, servers
// that run a few requests at a time, callers that were refused come back once when they were
// told to. What is checked is what callers get.

// event is something that happens at a time.
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

// kind is a kind of request.
type kind struct {
	name     string
	rate     float64
	priority int
	target   time.Duration
	limit    time.Duration
}

// tally is what callers of one kind got.
type tally struct {
	asked, inTarget, late, refused, refusedTwice int
	// waited is the longest time after which a caller was refused.
	waited time.Duration
}

type player struct {
	keeper *permit.Controller
	random *rand.Rand
	queue  events
	work   map[string]time.Duration // of each server
	// slots is how many requests a server runs at a time, places what is at the servers.
	slots  int
	places map[string]*place
	// way is how long a message or a request is on its way.
	way     time.Duration
	tallies map[string]*tally
	open    map[permit.ID]*attempt
	serial  uint64
	domain  func() string
	// keyed says that each request is for one server.
	keyed bool
	// sent holds when each server was sent to, nil if that is not asked for.
	sent map[string][]time.Time
	// pools holds the keepers by pool, and pickers those of instances by domain, if there are several.
	pools   map[string]*permit.Controller
	pickers map[string]*permit.Picker
}

// place is what a server runs, and what waits there in order of arrival.
type place struct {
	running int
	waiting []func(now time.Time)
}

type attempt struct {
	kind    kind
	firstAt time.Time
	askedAt time.Time
	again   bool
	ask     permit.Request
	keeper  *permit.Controller
}

func newPlayer(seed uint64, work map[string]time.Duration, slots int) *player {
	p := &player{
		random: rand.New(rand.NewPCG(seed, 2)), work: work, slots: slots, places: map[string]*place{}, tallies: map[string]*tally{}, open: map[permit.ID]*attempt{},
		domain: func() string { return "north" },
	}
	p.keeper = permit.New(rand.New(rand.NewPCG(seed, 3)))
	var servers []rules.Server
	for id := range work {
		servers = append(servers, server(id, "north", slots))
	}
	p.keeper.SetServers(start, servers)
	return p
}

func (p *player) at(t time.Time, do func(now time.Time)) { heap.Push(&p.queue, event{t, do}) }

// arrive lets callers of a kind come for a time.
func (p *player) arrive(k kind, from, to time.Duration) {
	p.tallies[k.name] = &tally{}
	for t := from; ; {
		t += time.Duration(-math.Log(1-p.random.Float64()) / k.rate * float64(time.Second))
		if t >= to {
			return
		}
		at := start.Add(t)
		p.at(at, func(now time.Time) { p.ask(now, &attempt{kind: k, firstAt: at}) })
	}
}

func (p *player) ask(now time.Time, a *attempt) {
	if !a.again {
		p.tallies[a.kind.name].asked++
	}
	p.serial++
	a.askedAt = now
	a.ask = permit.Request{
		ID: permit.ID{Serial: p.serial}, Service: "books", Domain: p.domain(), Route: a.kind.name, Priority: a.kind.priority,
		Returning: a.again, TargetAt: a.firstAt.Add(a.kind.target), Deadline: a.firstAt.Add(a.kind.limit),
	}
	p.open[a.ask.ID] = a
	if p.pools != nil {
		p.askPools(now, a)
		return
	}
	a.keeper = p.keeper
	if p.keyed {
		a.ask.Server = fmt.Sprintf("s%d", p.random.IntN(len(p.work)))
	}
	p.hear(now, []permit.Decision{p.keeper.Decide(now, a.ask)})
}

// askPools asks the pools that an instance of the request's domain would ask.
func (p *player) askPools(now time.Time, a *attempt) {
	picker := p.pickers[a.ask.Domain]
	tries := picker.Candidates(now)
	for i, pool := range tries {
		a.keeper, a.ask.Domain, a.ask.HasFallback = p.pools[pool.Name], pool.Domain, i < len(tries)-1
		v := a.keeper.Decide(now, a.ask)
		if r, refused := v.(permit.Rejected); refused && r.Reason == permit.PoolBusy {
			picker.MarkBusy(pool.Name, r.Wait, now)
			continue
		}
		p.hear(now, []permit.Decision{v})
		return
	}
}

func (p *player) hear(now time.Time, verdicts []permit.Decision) {
	for _, v := range verdicts {
		a := p.open[permit.IDOf(v)]
		switch v := v.(type) {
		case permit.Admitted:
			p.run(now, a, v.Server)
		case permit.Rejected:
			p.refuse(now, a, v)
		case permit.Queued:
		}
	}
}

// run sends a request to a server, where it waits for a slot, and gives the permit back when its answer is there.
func (p *player) run(now time.Time, a *attempt, server string) {
	if p.sent != nil {
		p.sent[server] = append(p.sent[server], now)
	}
	sentAt := now.Add(p.way)
	p.after(now, 2*p.way, func(now time.Time) {
		at := p.places[server]
		if at == nil {
			at = &place{}
			p.places[server] = at
		}
		start := func(now time.Time) { p.serve(now, a, server, sentAt) }
		if at.running >= p.slots {
			at.waiting = append(at.waiting, start)
			return
		}
		at.running++
		start(now)
	})
}

// serve lets a server work on a request, and begin with the next one that waits there.
func (p *player) serve(now time.Time, a *attempt, server string, sentAt time.Time) {
	took := time.Duration(float64(p.work[server]) * math.Exp(0.3*p.random.NormFloat64()))
	p.at(now.Add(took), func(now time.Time) {
		if at := p.places[server]; len(at.waiting) > 0 {
			next := at.waiting[0]
			at.waiting = at.waiting[1:]
			next(now)
		} else {
			at.running--
		}
		p.after(now, p.way, func(now time.Time) { p.answer(now, a, server, sentAt) })
	})
}

// answer counts an answer and gives its permit back.
func (p *player) answer(now time.Time, a *attempt, server string, sentAt time.Time) {
	t := p.tallies[a.kind.name]
	if now.Sub(a.firstAt) <= a.kind.target {
		t.inTarget++
	} else {
		t.late++
	}
	done := permit.Completion{ID: a.ask.ID, Server: server, Route: a.kind.name, Took: now.Sub(sentAt)}
	p.after(now, p.way, func(now time.Time) { p.hear(now, a.keeper.Complete(now, done)) })
}

// after does something after a time, at once if that is zero.
func (p *player) after(now time.Time, d time.Duration, do func(now time.Time)) {
	if d == 0 {
		do(now)
		return
	}
	p.at(now.Add(d), do)
}

func (p *player) refuse(now time.Time, a *attempt, v permit.Rejected) {
	t := p.tallies[a.kind.name]
	t.waited = max(t.waited, now.Sub(a.askedAt))
	if a.again {
		t.refusedTwice++
		return
	}
	t.refused++
	left := a.firstAt.Add(a.kind.limit).Sub(now)
	p.at(now.Add(min(v.RetryIn, left/3)), func(now time.Time) {
		p.ask(now, &attempt{kind: a.kind, firstAt: a.firstAt, again: true})
	})
}

func (p *player) play(d time.Duration) {
	for t := time.Duration(0); t < d; t += 10 * time.Millisecond {
		p.at(start.Add(t), func(now time.Time) {
			p.hear(now, p.keeper.Tick(now))
			for _, k := range p.pools {
				p.hear(now, k.Tick(now))
			}
		})
	}
	for len(p.queue) > 0 {
		e := heap.Pop(&p.queue).(event)
		e.do(e.at)
	}
}

func even(n int, work time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for i := range n {
		out[fmt.Sprintf("s%d", i)] = work
	}
	return out
}

// Eight servers with two slots and 200 ms a request can do 80 a second.
func TestOverload(t *testing.T) {
	read := kind{"read", 0, 1, 800 * time.Millisecond, 3 * time.Second}
	tests := map[string]struct {
		rate float64
		// least is the least number of requests a second that must be answered in their target,
		// refused the largest share of those that come back in vain.
		least, refusedTwice float64
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
			p := newPlayer(1, even(8, 200*time.Millisecond), 2)
			k := read
			k.rate = test.rate
			p.arrive(k, 0, 20*time.Second)
			p.play(25 * time.Second)
			got := p.tallies["read"]
			t.Logf("%+v", *got)
			is.True(float64(got.inTarget)/20 >= test.least)
			is.True(float64(got.refusedTwice) <= test.refusedTwice*float64(got.asked))
			// Whatever the load, the servers are kept at work: nine tenths of what they can do.
			is.True(float64(got.inTarget+got.late)/20 >= 0.9*min(test.rate, 80)-2)
			// Refusals are given at once, or early enough to be of use.
			is.True(got.waited <= 500*time.Millisecond)
		})
	}
}

// Two kinds of request share a service at one and a half times its capacity. The urgent one
// must not be refused more often than the other.
func TestUrgentGoesFirst(t *testing.T) {
	is := is.New(t)
	p := newPlayer(2, even(8, 200*time.Millisecond), 2)
	p.arrive(kind{"submit", 40, 1, 800 * time.Millisecond, 3 * time.Second}, 0, 20*time.Second)
	p.arrive(kind{"browse", 80, 2, 800 * time.Millisecond, 3 * time.Second}, 0, 20*time.Second)
	p.play(25 * time.Second)
	submit, browse := p.tallies["submit"], p.tallies["browse"]
	t.Logf("submit %+v browse %+v", *submit, *browse)
	is.True(float64(submit.inTarget) >= 0.95*float64(submit.asked))
	is.True(browse.inTarget+browse.late > 600) // what is left goes to the others
}

// One server of eight turns five times slower. It must get less, not lose its share.
func TestSlowServer(t *testing.T) {
	is := is.New(t)
	work := even(8, 200*time.Millisecond)
	work["s3"] = time.Second
	p := newPlayer(3, work, 2)
	p.arrive(kind{"read", 50, 1, 800 * time.Millisecond, 3 * time.Second}, 0, 20*time.Second)
	p.play(25 * time.Second)
	got := p.tallies["read"]
	t.Logf("%+v", *got)
	is.True(float64(got.inTarget) >= 0.94*float64(got.asked))
}

// A server fails each request at once while its health is good. Being free all the time it
// would draw every request.
func TestFailingServerIsSetAside(t *testing.T) {
	is := is.New(t)
	k := newKeeper(server("good", "north", 2), server("bad", "north", 2))
	now := start
	bad := 0
	for i := range uint64(400) {
		now = now.Add(20 * time.Millisecond)
		g, granted := k.Decide(now, ask(i, now)).(permit.Admitted)
		if !granted {
			continue
		}
		d := permit.Completion{ID: g.ID, Server: g.Server, Route: "read", Took: 5 * time.Millisecond}
		if g.Server == "bad" {
			bad++
			d.Outcome = permit.Failed
		}
		k.Complete(now, d)
	}
	t.Logf("%d of 400 went to the failing server", bad)
	is.True(bad > 0 && bad < 60)
}

// All servers of a service fail for a while. Setting all aside would refuse what might be
// served.
func TestNeverAllAside(t *testing.T) {
	is := is.New(t)
	k := newKeeper(server("a", "north", 1), server("b", "north", 1), server("c", "north", 1))
	now := start
	for i := range uint64(200) {
		now = now.Add(20 * time.Millisecond)
		g, granted := k.Decide(now, ask(i, now)).(permit.Admitted)
		is.True(granted)
		k.Complete(now, permit.Completion{ID: g.ID, Server: g.Server, Route: "read", Outcome: permit.Failed})
	}
}

// Large answers cross between failure domains although a server of the caller's own is about to
// be free.
func TestLargeAnswersStayInTheirDomain(t *testing.T) {
	is := is.New(t)
	k := newKeeper(server("near", "north", 1), server("far", "south", 1))
	now := start
	for i := range uint64(300) {
		now = now.Add(300 * time.Millisecond)
		g := k.Decide(now, ask(i, now)).(permit.Admitted)
		is.Equal(g.Server, "near") // a free server of the own domain goes first
		k.Complete(now, permit.Completion{ID: g.ID, Server: g.Server, Route: "read", Took: 100 * time.Millisecond, Bytes: 90 << 10})
	}
	first, second, third := ask(1001, now), ask(1002, now), ask(1003, now)
	is.Equal(k.Decide(now, first), permit.Admitted{ID: first.ID, Server: "near"})
	is.Equal(k.Decide(now, second), permit.Queued{ID: second.ID})
	is.Equal(k.Tick(now.Add(50*time.Millisecond)), nil)
	is.Equal(k.Tick(now.Add(190*time.Millisecond)), []permit.Decision{permit.Admitted{ID: second.ID, Server: "far"}})
	third.Server = "near"
	is.Equal(k.Decide(now, third), permit.Admitted{ID: third.ID, Server: "near"}) // an owner is never left
}

// An instance with a permit is killed. Its slot must come back.
func TestPermitOfKilledInstance(t *testing.T) {
	is := is.New(t)
	k := newKeeper(server("s", "north", 1))
	is.Equal(k.Decide(start, ask(1, start)), permit.Admitted{ID: ask(1, start).ID, Server: "s"})
	later := start.Add(2 * time.Second)
	k.Tick(later)
	is.Equal(k.Expired(), 1)
	is.Equal(k.Decide(later, ask(2, later)), permit.Admitted{ID: ask(2, later).ID, Server: "s"})
}

func TestOwnerGone(t *testing.T) {
	is := is.New(t)
	k := newKeeper(server("s", "north", 1))
	a := ask(1, start)
	a.Server = "other"
	is.Equal(k.Decide(start, a), permit.Rejected{ID: a.ID, Reason: permit.OwnerGone})
	is.Equal(k.Decide(start, ask(2, start)), permit.Admitted{ID: ask(2, start).ID, Server: "s"})
	fill(is, k, "s")
	w := patient(3, start)
	w.Server = "s"
	is.Equal(k.Decide(start, w), permit.Queued{ID: w.ID})
	is.Equal(k.SetServers(start, nil), []permit.Decision{permit.Rejected{ID: w.ID, Reason: permit.OwnerGone}})
}

// Forty instances send requests to sixty servers that will all do, each seven in a second. Nearly
// each request went over a new connection, as each server was asked by an instance only every now and
// then and closes idle connections after ten seconds. Of 8,400 requests 3,848 needed a new one when
// servers were chosen without regard to it, 142 with it.
func TestConnectionsAreUsedAgain(t *testing.T) {
	is := is.New(t)
	var servers []rules.Server
	for i := range 60 {
		servers = append(servers, server(fmt.Sprintf("s%02d", i), "north", 4))
	}
	k := newKeeper(servers...)
	now := start
	random := rand.New(rand.NewPCG(1, 2))
	type pair struct{ from, server string }
	usedAt := map[pair]time.Time{}
	opened, sent := 0, 0
	type running struct {
		key    permit.ID
		server string
		until  time.Time
	}
	var all []running
	for i := range uint64(8400) {
		now = now.Add(time.Second / 280)
		for len(all) > 0 && now.After(all[0].until) {
			k.Complete(now, permit.Completion{ID: all[0].key, Server: all[0].server, Route: "read", Took: 500 * time.Millisecond})
			all = all[1:]
		}
		a := ask(i, now)
		a.From = fmt.Sprintf("i%d", random.IntN(40))
		a.TargetAt, a.Deadline = now.Add(1500*time.Millisecond), now.Add(3*time.Second)
		g, granted := k.Decide(now, a).(permit.Admitted)
		if !granted {
			continue
		}
		sent++
		p := pair{a.From, g.Server}
		if at, known := usedAt[p]; !known || now.Sub(at) > 8*time.Second {
			opened++
		}
		usedAt[p] = now
		all = append(all, running{a.ID, g.Server, now.Add(500 * time.Millisecond)})
	}
	t.Logf("%d new connections for %d requests", opened, sent)
	is.True(sent > 8000)
	is.True(opened < sent/4)
}

// All servers of a service turn away half of the requests while they report free slots. Each
// rejection kept requests from its server for 60 milliseconds, so that the servers stood idle while
// requests waited and were refused.
func TestRejectingServersAreNotFull(t *testing.T) {
	is := is.New(t)
	k := newKeeper(server("s", "north", 2))
	now := start
	for i := range uint64(20) {
		a := ask(i, now)
		g, granted := k.Decide(now, a).(permit.Admitted)
		is.True(granted) // at once, however many were rejected
		k.Complete(now, permit.Completion{
			ID: g.ID, Server: g.Server, Route: "read", Outcome: permit.Full, Load: permit.Load{Running: 1, Known: true},
		})
		now = now.Add(2 * time.Millisecond)
	}
	a := ask(100, now)
	g := k.Decide(now, a).(permit.Admitted)
	k.Complete(now, permit.Completion{ID: g.ID, Server: g.Server, Route: "read", Outcome: permit.Full, Load: permit.Load{Running: 2, Waiting: 3, Known: true}})
	is.Equal(k.Decide(now, ask(101, now)), permit.Queued{ID: permit.ID{From: "a", Serial: 101}}) // it is full
}

// Guards against servers that stand idle while requests wait for them, for as long as it takes to hear that a slot is free,
// to give a permit, and to send the request: messages of 6 ms are a fifth of the time between two requests of 100.
func TestServersDoNotStandIdle(t *testing.T) {
	for name, keyed := range map[string]bool{"any server": false, "the owners of keys": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPlayer(5, even(8, 100*time.Millisecond), 2)
			p.way = 6 * time.Millisecond
			p.keyed = keyed
			p.arrive(kind{"read", 220, 1, 600 * time.Millisecond, 2500 * time.Millisecond}, 0, 20*time.Second)
			p.play(24 * time.Second)
			got := p.tallies["read"]
			t.Logf("%+v", *got)
			// Eight servers of two slots can do 153 a second, with times that spread by 0.3.
			is.True(float64(got.inTarget+got.late)/20 >= 0.93*153)
			is.True(float64(got.inTarget)/20 >= 0.85*153)
		})
	}
}
