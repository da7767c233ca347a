package permit

import (
	"math/rand/v2"
	"time"

	"example.org/mustardring/internal/rules"
)

// The constants of queueing and refusing.
const (
	// meanShare is the weight of the newest answer in the mean time of a route.
	meanShare = 0.03
	// firstMean is the part of the target that the work of a route is taken for before any was
	// seen.
	firstMean = 0.33
	// targetShare is the part of the time to the target that a predicted finish may fill. The
	// rest is for the spread of service times.
	targetShare = 0.8
	// limitShare is the same for the limit, where missing it loses the request.
	limitShare = 0.8
	// lateShare is the longest wait, in multiples of a request's own time, for which a late
	// request is let wait, lateWait that after which it is refused: those that can make their
	// target go before it, and it would be held for long and then be refused.
	lateShare = 1
	lateWait  = 2
	// crossPerKB is for how long a request waits for a server of its own failure domain, for
	// each kilobyte of the answer: bytes between domains are dear, and large answers make up
	// nearly all of them.
	crossPerKB = 2 * time.Millisecond
	// crossMost bounds that wait as a part of the time to the target.
	crossMost = 0.35
	// retryLeast and retryShare bound the time after which a refused caller should return: no
	// sooner than a fraction of a service time, no later than leaves it the time to be served.
	retryLeast = 150 * time.Millisecond
	retryShare = 0.3
	// retrySpread keeps callers that were refused together from returning together.
	retrySpread = 0.4
)

// route is what is learnt of a kind of work.
type route struct {
	mean  time.Duration
	bytes float64
	// heard is the number of answers.
	heard int
}

// Controller gives the permits of one pool of servers, or of the servers of a service that is divided by key. What
// a request, an answer or the passing of time costs it does not grow with the number of servers, but for a
// logarithm, nor with that of requests that wait.
type Controller struct {
	servers map[string]*server
	routes  map[string]*route
	// granted holds the servers of the permits in use, queued the requests that wait.
	granted map[ID]*server
	queued  map[ID]*waiting
	// near holds the requests that wait for a server of their own domain, by domain, anywhere those that
	// any server will do for. Those for one server wait with that one.
	near     map[string]*queue
	anywhere queue
	// free holds the free servers by domain, in order of their names.
	free []*freeServers
	// recent holds the servers that each asker was sent to of late.
	recent map[string][]recentUse
	// slots and power are the sums over all servers, aside is the number of those that are set aside.
	slots int
	power float64
	aside int
	// behind is the number of requests that wait at servers.
	behind int
	// demands holds the demand by priority.
	demands map[int]*demand
	// timers holds what is to be looked at, doubts the permits in use by when they are doubted, returns by
	// when they are expected back.
	timers  timers
	doubts  timers
	returns timers
	// told holds the verdicts that fell due while a request was decided about.
	told []Decision
	// heard holds the servers that answered since Report was last asked.
	heard map[string]*server
	// turns counts the requests, in order of arrival.
	turns  uint64
	random *rand.Rand
	// expired is the number of permits that were taken back since Expired was last asked.
	expired int
	// looked counts the servers, requests and timers that decisions looked at.
	looked int
}

// New returns a keeper without servers.
func New(random *rand.Rand) *Controller {
	return &Controller{
		random: random, servers: map[string]*server{}, routes: map[string]*route{},
		granted: map[ID]*server{}, queued: map[ID]*waiting{}, near: map[string]*queue{},
		recent: map[string][]recentUse{}, demands: map[int]*demand{}, heard: map[string]*server{},
	}
}

// SetServers takes the servers that may be used. Draining ones are left out by the caller.
func (k *Controller) SetServers(now time.Time, servers []rules.Server) []Decision {
	var out []Decision
	there := make(map[string]bool, len(servers))
	for _, s := range servers {
		there[s.ID] = true
	}
	for id, s := range k.servers {
		if !there[id] {
			out = append(out, k.drop(now, s)...)
		}
	}
	for _, s := range servers {
		k.put(now, s)
	}
	out = append(out, k.Tick(now)...)
	for _, s := range servers {
		out = append(out, k.serve(now, k.servers[s.ID])...)
	}
	if len(servers) == 0 {
		out = append(out, k.sendAway()...)
	}
	return out
}

// sendAway refuses all that wait, as the last server is gone: they are to look for one elsewhere at once.
func (k *Controller) sendAway() []Decision {
	var out []Decision
	for _, w := range k.queued {
		k.dequeue(w)
		out = append(out, Rejected{ID: w.ID, Reason: OwnerGone})
	}
	return out
}

// put takes in a server, or what has changed of it.
func (k *Controller) put(now time.Time, s rules.Server) {
	known := k.servers[s.ID]
	if known == nil {
		known = newServer(s)
		k.servers[s.ID] = known
	} else {
		k.slots -= known.Slots
	}
	known.Server = s
	k.slots += known.Slots
	k.arrange(now, known)
}

// drop forgets a server. Who waits for it is refused.
func (k *Controller) drop(now time.Time, s *server) []Decision {
	delete(k.servers, s.ID)
	delete(k.heard, s.ID)
	k.slots -= s.Slots
	if s.setAside {
		k.aside--
	}
	k.arrange(now, s)
	for key := range s.uses {
		delete(k.granted, key)
	}
	var out []Decision
	for w := s.queue.head(); w != nil; w = s.queue.head() {
		k.dequeue(w)
		out = append(out, Rejected{ID: w.ID, Reason: OwnerGone})
	}
	return out
}

// Decide decides about a request. One that is asked for again, as when the first verdict was lost
// or took long, gets the verdict that stands. Verdicts about others that have fallen due are
// returned by the next Tick.
func (k *Controller) Decide(now time.Time, a Request) Decision {
	k.told = append(k.told, k.pass(now)...)
	if v := k.standing(a.ID); v != nil {
		return v
	}
	if a.Server != "" && k.servers[a.Server] == nil {
		return Rejected{ID: a.ID, Reason: OwnerGone}
	}
	w := k.enter(now, a)
	if len(k.servers) == 0 {
		return k.refuse(now, a, NoServer, 0)
	}
	if warmIn, barred := k.barred(now, a); barred {
		return k.refuse(now, a, Overload, warmIn)
	}
	s := k.choose(now, w)
	if s != nil && s.free(now) && k.goesFirst(w, s) {
		k.note(now, w)
		return k.grant(now, s, w)
	}
	soon := w.crossAt.Sub(now)
	wait, fits := k.room(now, w)
	if !fits || a.HasFallback && wait > soon {
		return k.refuse(now, a, Overload, wait)
	}
	k.note(now, w)
	if s != nil && !a.HasFallback && !now.Before(w.crossAt) && k.goesFirst(w, s) {
		return k.grant(now, s, w)
	}
	k.enqueue(now, w)
	return Queued{ID: a.ID}
}

// goesFirst reports whether a request that has just come goes before all that wait for a server.
func (k *Controller) goesFirst(w *waiting, s *server) bool {
	next := k.next(s)
	return next == nil || w.before(next)
}

// barred reports whether a request can be sent to none of the servers that there are for it since all are cold, and how
// long that lasts.
func (k *Controller) barred(now time.Time, a Request) (warmIn time.Duration, barred bool) {
	if !a.NonExclusive {
		return 0, false
	}
	for _, s := range k.servers {
		if a.Server != "" && s.ID != a.Server {
			continue
		}
		if !s.Cold(now) {
			return 0, false
		}
		if left := s.WarmAt.Sub(now); !barred || left < warmIn {
			warmIn, barred = left, true
		}
	}
	return warmIn, barred
}

// refuse returns the refusal of a request that would wait for a time. One that can ask another pool is sent
// there, whatever the reason.
func (k *Controller) refuse(now time.Time, a Request, reason Reason, wait time.Duration) Decision {
	if a.HasFallback {
		return Rejected{ID: a.ID, Reason: PoolBusy, Wait: wait}
	}
	return Rejected{ID: a.ID, Reason: reason, RetryIn: k.retryIn(now, a, wait), Wait: wait}
}

// standing returns the verdict that was given before, nil if there is none.
func (k *Controller) standing(key ID) Decision {
	if k.queued[key] != nil {
		return Queued{ID: key}
	}
	if s := k.granted[key]; s != nil {
		return Admitted{ID: key, Server: s.ID}
	}
	return nil
}

func (k *Controller) grant(now time.Time, s *server, w *waiting) Decision {
	u := use{since: now, expect: s.expect(k.route(w.Route, 0), now), factor: s.factor(now), startedAt: now}
	if len(s.uses) >= s.Slots {
		u.startedAt = time.Time{}
		u.expect += s.next(now)
	}
	s.use(w.ID, u)
	if s.Cold(now) {
		s.noteCold(now)
	}
	k.granted[w.ID] = s
	k.noteUse(w.From, s.ID, now)
	held := permitEnds{w.ID, s}
	k.timers.set(w.Deadline.Add(overdue), held)
	k.doubts.set(now.Add(time.Duration(doubtShare*float64(u.expect))+doubtLeast), permitDoubted(held))
	k.firstBack() // forgets those that are back
	k.returns.set(now.Add(u.expect), permitReturns(held))
	k.arrange(now, s)
	return Admitted{ID: w.ID, Server: s.ID}
}

// takeBack ends the use of a permit. It returns false if it was not in use.
func (k *Controller) takeBack(now time.Time, key ID) (*server, bool) {
	s := k.granted[key]
	if s == nil {
		return nil, false
	}
	delete(k.granted, key)
	started := !s.uses[key].startedAt.IsZero()
	delete(s.uses, key)
	if started {
		s.startNext(now)
	}
	k.arrange(now, s)
	return s, true
}

// Cancel removes a request that no longer waits, or gives its permit back.
func (k *Controller) Cancel(now time.Time, key ID) []Decision {
	if w := k.queued[key]; w != nil {
		k.dequeue(w)
	}
	out := k.Tick(now)
	if s, used := k.takeBack(now, key); used {
		out = append(out, k.serve(now, s)...)
	}
	return out
}

// Complete takes a permit back and learns from how the sending ended.
func (k *Controller) Complete(now time.Time, d Completion) []Decision {
	s := k.granted[d.ID]
	// A permit that is given back twice counts once.
	if s == nil || s.ID != d.Server {
		return k.Tick(now)
	}
	u := s.uses[d.ID]
	k.takeBack(now, d.ID)
	r := k.route(d.Route, 0)
	k.learn(now, s, d, u, r.mean)
	if d.Outcome == Answered {
		mean := float64(u.work(d)) / s.speed / u.factor
		r.mean += time.Duration((mean - float64(r.mean)) * meanShare)
		r.bytes += (float64(d.Bytes) - r.bytes) * meanShare
		r.heard++
	}
	return append(k.Tick(now), k.serve(now, s)...)
}

// learn takes in what an ended sending says of a server.
func (k *Controller) learn(now time.Time, s *server, d Completion, u use, mean time.Duration) {
	s.learn(d, u, mean, now)
	if d.Outcome == Answered {
		k.heard[s.ID] = s
	}
	if s.failures > failMost && !s.setAside && k.aside < k.asideMost() {
		s.putAside(now)
		k.aside++
	}
	k.arrange(now, s)
}

// asideMost returns how many servers may be set aside at one time: more would leave too little room for the
// load, and one always stays.
func (k *Controller) asideMost() int {
	return max(int(asideShare*float64(len(k.servers))), min(1, len(k.servers)-1))
}
