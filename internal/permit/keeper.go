package permit

import (
	"math/rand/v2"
	"time"

	"example.org/mustardring/internal/rules"
)

// The constants of queueing and refusing.
const (
	// meanWeight is the weight of the newest answer in the mean time of a route.
	meanWeight = 0.03
	// initialMeanShare is the part of the target that the work of a route is taken for before any was
	// seen.
	initialMeanShare = 0.33
	// maxTargetShare is the part of the time to the target that a predicted finish may fill. The
	// rest is for the spread of service times.
	maxTargetShare = 0.8
	// maxDeadlineShare is the same for the limit, where missing it loses the request.
	maxDeadlineShare = 0.8
	// maxPredictedLateWait is the longest wait, in multiples of a request's own time, for which a late
	// request is let wait, lateWait that after which it is refused: those that can make their
	// target go before it, and it would be held for long and then be refused.
	maxPredictedLateWait = 1
	maxLateWait          = 2
	// crossDomainDelayPerKB is for how long a request waits for a server of its own failure domain, for
	// each kilobyte of the answer: bytes between domains are dear, and large answers make up
	// nearly all of them.
	crossDomainDelayPerKB = 2 * time.Millisecond
	// maxCrossDomainDelayShare bounds that wait as a part of the time to the target.
	maxCrossDomainDelayShare = 0.35
	// minRetryDelay and retryShare bound the time after which a refused caller should return: no
	// sooner than a fraction of a service time, no later than leaves it the time to be served.
	minRetryDelay      = 150 * time.Millisecond
	maxRetryDelayShare = 0.3
	// retryJitter keeps callers that were refused together from returning together.
	retryJitter = 0.4
)

// routeStats is what is learnt of a kind of work.
type routeStats struct {
	meanTime  time.Duration
	meanBytes float64
	// answers is the number of answers.
	answers int
}

// Controller gives the permits of one pool of servers, or of the servers of a service that is divided by key. What
// a request, an answer or the passing of time costs it does not grow with the number of servers, but for a
// logarithm, nor with that of requests that wait.
type Controller struct {
	servers map[string]*server
	routes  map[string]*routeStats
	// admitted holds the servers of the permits in use, queued the requests that wait.
	admitted map[ID]*server
	queued   map[ID]*waiter
	// domainQueues holds the requests that wait for a server of their own domain, by domain, anywhere those that
	// any server will do for. Those for one server wait with that one.
	domainQueues   map[string]*queue
	anyDomainQueue queue
	// openByDomain holds the free servers by domain, in order of their names.
	openByDomain []*openServers
	// recent holds the servers that each asker was sent to of late.
	recent map[string][]recentServer
	// slots and power are the sums over all servers, aside is the number of those that are set aside.
	slots    int
	capacity float64
	ejected  int
	// waitingAtServers is the number of requests that wait at servers.
	waitingAtServers int
	// demands holds the demand by priority.
	demands map[int]*demand
	// timers holds what is to be looked at, doubts the permits in use by when they are doubted, returns by
	// when they are expected back.
	timers           timers
	checks           timers
	expectedReleases timers
	// undelivered holds the verdicts that fell due while a request was decided about.
	undelivered []Decision
	// answered holds the servers that answered since Report was last asked.
	answered map[string]*server
	// lastSequence counts the requests, in order of arrival.
	lastSequence uint64
	random       *rand.Rand
	// expired is the number of permits that were taken back since Expired was last asked.
	expired int
	// inspected counts the servers, requests and timers that decisions looked at.
	inspected int
}

// New returns a keeper without servers.
func New(random *rand.Rand) *Controller {
	return &Controller{
		random: random, servers: map[string]*server{}, routes: map[string]*routeStats{},
		admitted: map[ID]*server{}, queued: map[ID]*waiter{}, domainQueues: map[string]*queue{},
		recent: map[string][]recentServer{}, demands: map[int]*demand{}, answered: map[string]*server{},
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
			out = append(out, k.removeServer(now, s)...)
		}
	}
	for _, s := range servers {
		k.putServer(now, s)
	}
	out = append(out, k.Tick(now)...)
	for _, s := range servers {
		out = append(out, k.dispatch(now, k.servers[s.ID])...)
	}
	if len(servers) == 0 {
		out = append(out, k.rejectAll()...)
	}
	return out
}

// rejectAll refuses all that wait, as the last server is gone: they are to look for one elsewhere at once.
func (k *Controller) rejectAll() []Decision {
	var out []Decision
	for _, w := range k.queued {
		k.dequeue(w)
		out = append(out, Rejected{ID: w.ID, Reason: OwnerGone})
	}
	return out
}

// putServer takes in a server, or what has changed of it.
func (k *Controller) putServer(now time.Time, s rules.Server) {
	known := k.servers[s.ID]
	if known == nil {
		known = newServer(s)
		k.servers[s.ID] = known
	} else {
		k.slots -= known.Slots
	}
	known.Server = s
	k.slots += known.Slots
	k.refresh(now, known)
}

// removeServer forgets a server. Who waits for it is refused.
func (k *Controller) removeServer(now time.Time, s *server) []Decision {
	delete(k.servers, s.ID)
	delete(k.answered, s.ID)
	k.slots -= s.Slots
	if s.ejected {
		k.ejected--
	}
	k.refresh(now, s)
	for key := range s.admissions {
		delete(k.admitted, key)
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
	k.undelivered = append(k.undelivered, k.runTimers(now)...)
	if v := k.currentDecision(a.ID); v != nil {
		return v
	}
	if a.Server != "" && k.servers[a.Server] == nil {
		return Rejected{ID: a.ID, Reason: OwnerGone}
	}
	w := k.newWaiter(now, a)
	if len(k.servers) == 0 {
		return k.reject(now, a, NoServer, 0)
	}
	if warmIn, barred := k.allCold(now, a); barred {
		return k.reject(now, a, Overload, warmIn)
	}
	s := k.chooseServer(now, w)
	if s != nil && s.free(now) && k.precedesQueue(w, s) {
		k.recordDemand(now, w)
		return k.admit(now, s, w)
	}
	soon := w.crossDomainAt.Sub(now)
	wait, fits := k.checkWait(now, w)
	if !fits || a.HasFallback && wait > soon {
		return k.reject(now, a, Overload, wait)
	}
	k.recordDemand(now, w)
	if s != nil && !a.HasFallback && !now.Before(w.crossDomainAt) && k.precedesQueue(w, s) {
		return k.admit(now, s, w)
	}
	k.enqueue(now, w)
	return Queued{ID: a.ID}
}

// precedesQueue reports whether a request that has just come goes before all that wait for a server.
func (k *Controller) precedesQueue(w *waiter, s *server) bool {
	next := k.nextWaiter(s)
	return next == nil || w.precedes(next)
}

// allCold reports whether a request can be sent to none of the servers that there are for it since all are cold, and how
// long that lasts.
func (k *Controller) allCold(now time.Time, a Request) (warmIn time.Duration, barred bool) {
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

// reject returns the refusal of a request that would wait for a time. One that can ask another pool is sent
// there, whatever the reason.
func (k *Controller) reject(now time.Time, a Request, reason Reason, wait time.Duration) Decision {
	if a.HasFallback {
		return Rejected{ID: a.ID, Reason: PoolBusy, Wait: wait}
	}
	return Rejected{ID: a.ID, Reason: reason, RetryIn: k.retryDelay(now, a, wait), Wait: wait}
}

// currentDecision returns the verdict that was given before, nil if there is none.
func (k *Controller) currentDecision(key ID) Decision {
	if k.queued[key] != nil {
		return Queued{ID: key}
	}
	if s := k.admitted[key]; s != nil {
		return Admitted{ID: key, Server: s.ID}
	}
	return nil
}

func (k *Controller) admit(now time.Time, s *server, w *waiter) Decision {
	u := admission{admittedAt: now, expectedTime: s.expectedTime(k.route(w.Route, 0), now), coldFactor: s.coldFactor(now), startedAt: now}
	if len(s.admissions) >= s.Slots {
		u.startedAt = time.Time{}
		u.expectedTime += s.timeToFreeSlot(now)
	}
	s.addAdmission(w.ID, u)
	if s.Cold(now) {
		s.recordColdSend(now)
	}
	k.admitted[w.ID] = s
	k.recordUse(w.From, s.ID, now)
	held := admissionExpiry{w.ID, s}
	k.timers.add(w.Deadline.Add(expiryDelay), held)
	k.checks.add(now.Add(time.Duration(checkFactor*float64(u.expectedTime))+checkMargin), admissionCheck(held))
	k.nextRelease() // forgets those that are back
	k.expectedReleases.add(now.Add(u.expectedTime), expectedRelease(held))
	k.refresh(now, s)
	return Admitted{ID: w.ID, Server: s.ID}
}

// release ends the use of a permit. It returns false if it was not in use.
func (k *Controller) release(now time.Time, key ID) (*server, bool) {
	s := k.admitted[key]
	if s == nil {
		return nil, false
	}
	delete(k.admitted, key)
	started := !s.admissions[key].startedAt.IsZero()
	delete(s.admissions, key)
	if started {
		s.startNext(now)
	}
	k.refresh(now, s)
	return s, true
}

// Cancel removes a request that no longer waits, or gives its permit back.
func (k *Controller) Cancel(now time.Time, key ID) []Decision {
	if w := k.queued[key]; w != nil {
		k.dequeue(w)
	}
	out := k.Tick(now)
	if s, used := k.release(now, key); used {
		out = append(out, k.dispatch(now, s)...)
	}
	return out
}

// Complete takes a permit back and learns from how the sending ended.
func (k *Controller) Complete(now time.Time, d Completion) []Decision {
	s := k.admitted[d.ID]
	// A permit that is given back twice counts once.
	if s == nil || s.ID != d.Server {
		return k.Tick(now)
	}
	u := s.admissions[d.ID]
	k.release(now, d.ID)
	r := k.route(d.Route, 0)
	k.learn(now, s, d, u, r.meanTime)
	if d.Outcome == Answered {
		mean := float64(u.serviceTime(d)) / s.timeRatio / u.coldFactor
		r.meanTime += time.Duration((mean - float64(r.meanTime)) * meanWeight)
		r.meanBytes += (float64(d.Bytes) - r.meanBytes) * meanWeight
		r.answers++
	}
	return append(k.Tick(now), k.dispatch(now, s)...)
}

// learn takes in what an ended sending says of a server.
func (k *Controller) learn(now time.Time, s *server, d Completion, u admission, mean time.Duration) {
	s.learn(d, u, mean, now)
	if d.Outcome == Answered {
		k.answered[s.ID] = s
	}
	if s.failureRate > maxFailureRate && !s.ejected && k.ejected < k.maxEjected() {
		s.eject(now)
		k.ejected++
	}
	k.refresh(now, s)
}

// maxEjected returns how many servers may be set aside at one time: more would leave too little room for the
// load, and one always stays.
func (k *Controller) maxEjected() int {
	return max(int(maxEjectedShare*float64(len(k.servers))), min(1, len(k.servers)-1))
}
