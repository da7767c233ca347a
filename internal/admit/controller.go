package admit

import (
	"math/rand/v2"
	"time"

	"example.org/mustardring/internal/fair"
	"example.org/mustardring/internal/resv"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// Parameters of queueing and rejection.
const (
	// meanWeight is the weight of the newest answer in the moving averages of a route.
	meanWeight = 0.03
	// initialMeanShare is the service time of a route that is assumed before its first answer, as a
	// fraction of the time to the target.
	initialMeanShare = 0.33
	// maxTargetShare is the fraction of the time to the target that the predicted wait and service
	// time of a request may fill. The rest allows for the spread of service times.
	maxTargetShare = 0.8
	// maxDeadlineShare is the same for the deadline. Missing the deadline loses the request.
	maxDeadlineShare = 0.8
	// maxPredictedLateWait is the longest predicted wait for which a late request, one that cannot
	// meet its target, is queued. maxLateWait is the wait after which it is rejected. Both are
	// multiples of its expected service time. Requests that can meet their target go
	// first, so without these bounds a late one would wait for long and then be rejected.
	maxPredictedLateWait = 1
	maxLateWait          = 2
	// crossDomainDelayPerKB is how long a request waits for a server of its own failure domain, per
	// kilobyte of the mean answer of its route. Traffic between domains is expensive, and large
	// answers make up nearly all of it.
	crossDomainDelayPerKB = 2 * time.Millisecond
	// maxCrossDomainDelayShare bounds that wait, as a fraction of the time to the target that the
	// service time leaves.
	maxCrossDomainDelayShare = 0.35
	// minRetryDelay and maxRetryDelayShare bound the delay after which a rejected caller should
	// come back: at least a fraction of a service time, and at most a fraction of the time to its
	// deadline, so that there is time left to serve it.
	minRetryDelay      = 150 * time.Millisecond
	maxRetryDelayShare = 0.3
	// retryJitter is the width of the random factor of the delay. It keeps callers that were
	// rejected together from coming back together.
	retryJitter = 0.4
)

// routeStats holds what is learned about the requests of a route.
type routeStats struct {
	meanTime  time.Duration
	meanBytes float64
	// answers is the number of answers seen.
	answers int
}

// Controller admits requests to the servers of one pool, or of a service that is divided by key.
// The cost of a request, of an answer and of a tick grows with the logarithm of the number of
// servers, and does not depend on the number of waiting requests.
type Controller struct {
	servers map[string]*server
	routes  map[string]*routeStats
	// admitted holds the servers of the current admissions, queued the requests that wait.
	admitted map[ID]*server
	queued   map[ID]*waiter
	// domainQueues holds the requests that wait for a server of their own domain, by domain.
	// anyDomainQueue holds those that any server may run. Requests for one particular server wait
	// in the queue of that server.
	domainQueues   map[string]*queue
	anyDomainQueue queue
	// openByDomain holds the servers that are open to requests, by domain, sorted by the name of
	// the domain. unentered holds the servers that have changed since these lists were updated.
	openByDomain []*openServers
	unentered    []*server
	// recent holds the servers that each instance was sent to recently, the latest one last.
	recent map[string][]recentServer
	// slots and capacity are the sums over all servers; capacity is in slots of a server of mean
	// speed. ejected is the number of ejected servers.
	slots    int
	capacity float64
	ejected  int
	// awaitingRate holds the servers whose next request may not be sent yet because their rate is bounded.
	awaitingRate map[*server]struct{}
	// resting holds the servers that have asked an instance for rest which is not over.
	resting map[*server]struct{}
	// waitingAtServers is the number of admitted requests that wait for a slot at their server.
	waitingAtServers int
	// demands holds the demand by priority.
	demands map[int]*demand
	// timers holds the events that Tick handles. checks holds the admissions by the time at which
	// their holder is asked whether it still has them, expectedReleases by the time at which they
	// are expected to end.
	timers           timers
	checks           timers
	expectedReleases timers
	// undelivered holds decisions on waiting requests that were made while another request was
	// decided on. The next Tick returns them.
	undelivered []Decision
	// answered holds the servers with answers that ReportCapacity has not reported yet.
	answered map[string]*server
	// work counts the answers since the last report by bucket of their service times.
	work    [shard.WorkBuckets]uint16
	options Options
	// shares are those of the callers of a pool, nil until there is one; owners have shares of their own.
	shares *shares
	// book holds the reservations, nil if there are none, and rejections the latest rejections. asked is what new requests
	// ask of the pool, in slots of mean speed.
	book       *resv.Book
	rejections rejections
	asked      demand
	// pushedOut is the number of requests that pushOut has rejected.
	pushedOut int
	// lastSequence is the sequence number of the newest request.
	lastSequence uint64
	random       *rand.Rand
	// expired is the number of admissions that expired since the last call of Expired.
	expired int
	// inspected counts the servers, requests and timers that decisions looked at. Tests use it to
	// bound the cost of a decision.
	inspected int
}

// Options turns features of a controller on.
type Options struct {
	// FairShares shares the time of full servers between callers.
	FairShares bool
	// Floors is the share of a full server's time, by priority, that waiting requests get even if more urgent ones wait.
	Floors fair.Floors
	// KeptReturns reserves capacity for callers that come back.
	KeptReturns bool
	// SpeedRanges learns the speeds of servers from few answers, and measures what plans of owners need besides.
	SpeedRanges bool
}

// New returns a controller without servers.
func New(random *rand.Rand, options Options) *Controller {
	c := &Controller{
		options: options,
		random:  random, servers: map[string]*server{}, routes: map[string]*routeStats{},
		admitted: map[ID]*server{}, queued: map[ID]*waiter{}, domainQueues: map[string]*queue{},
		recent: map[string][]recentServer{}, demands: map[int]*demand{}, answered: map[string]*server{}, awaitingRate: map[*server]struct{}{}, resting: map[*server]struct{}{},
	}
	if options.KeptReturns {
		c.book = resv.NewBook()
	}
	return c
}

// SetServers replaces the set of servers that may be used. The caller leaves out draining servers,
// except those of services that are divided by key. SetServers returns the new decisions on waiting
// requests.
func (c *Controller) SetServers(now time.Time, servers []rules.Server) []Decision {
	var out []Decision
	present := make(map[string]bool, len(servers))
	for _, s := range servers {
		present[s.ID] = true
	}
	for id, s := range c.servers {
		if !present[id] {
			out = append(out, c.removeServer(now, s)...)
		}
	}
	for _, s := range servers {
		c.putServer(now, s)
	}
	out = append(out, c.Tick(now)...)
	for _, s := range servers {
		out = append(out, c.dispatch(now, c.servers[s.ID])...)
	}
	if len(servers) == 0 {
		out = append(out, c.rejectAll()...)
	}
	return out
}

// PutServer adds or updates one server, and returns the decisions that follow.
func (c *Controller) PutServer(now time.Time, s rules.Server) []Decision {
	c.putServer(now, s)
	return append(c.Tick(now), c.dispatch(now, c.servers[s.ID])...)
}

// RemoveServer removes one server, and returns the decisions that follow.
func (c *Controller) RemoveServer(now time.Time, id string) []Decision {
	s := c.servers[id]
	if s == nil {
		return nil
	}
	out := append(c.removeServer(now, s), c.Tick(now)...)
	if len(c.servers) == 0 {
		out = append(out, c.rejectAll()...)
	}
	return out
}

// rejectAll rejects all waiting requests when the last server is gone, so that their senders look
// for a server elsewhere at once.
func (c *Controller) rejectAll() []Decision {
	var out []Decision
	for _, w := range c.queued {
		c.drop(w)
		out = append(out, Rejected{ID: w.ID, Reason: OwnerGone})
	}
	return out
}

// putServer adds a server, or updates one that is known.
func (c *Controller) putServer(now time.Time, s rules.Server) {
	known, previousLimit := c.servers[s.ID], 0.0
	if known == nil {
		known = newServer(s)
		c.servers[s.ID] = known
	} else {
		previousLimit = known.RateLimit
		c.slots -= known.Slots
	}
	known.Server = s
	c.slots += known.Slots
	if s.RateLimit != previousLimit {
		known.limitChanged(previousLimit, now)
	}
	c.refresh(now, known)
	if s.RateLimit != previousLimit {
		c.undelivered = append(c.undelivered, c.rejectUnfit(now, known)...)
	}
}

// removeServer removes a server and rejects the requests that wait for it.
func (c *Controller) removeServer(now time.Time, s *server) []Decision {
	delete(c.servers, s.ID)
	delete(c.answered, s.ID)
	c.slots -= s.Slots
	if s.ejected {
		c.ejected--
	}
	c.refresh(now, s)
	for id := range s.admissions {
		delete(c.admitted, id)
	}
	var out []Decision
	for w := s.queue.head(anyRank); w != nil; w = s.queue.head(anyRank) {
		c.drop(w)
		out = append(out, Rejected{ID: w.ID, Reason: OwnerGone})
	}
	return out
}

// Decide admits, queues or rejects a request. A sender repeats a request when the first decision is
// lost or late; a request that is queued or admitted then gets the same decision again. Decisions on
// other requests that become due meanwhile are returned by the next Tick.
func (c *Controller) Decide(now time.Time, req Request) Decision {
	c.undelivered = append(c.undelivered, c.runTimers(now)...)
	if d := c.currentDecision(req.ID); d != nil {
		return d
	}
	if req.Server != "" && c.servers[req.Server] == nil {
		return Rejected{ID: req.ID, Reason: OwnerGone}
	}
	if rejected, known := c.rejections.get(now, req.ID); known {
		return rejected
	}
	earlier := Earlier{}
	if len(c.servers) == 0 {
		return c.reject(now, req, earlier, NoServer, 0)
	}
	if wait, bounded := c.allBounded(now, req); bounded {
		return c.reject(now, req, earlier, Overload, wait)
	}
	if until, resting := c.restEnd(now, req); resting {
		return c.reject(now, req, earlier, Resting, restDelay(now, until))
	}
	earlier = c.recognize(now, &req)
	w := c.newWaiter(now, req, earlier)
	c.recordAsked(now, w)
	c.arrive(now, w)
	s := c.chooseServer(now, w)
	if s != nil && s.free(now) && c.precedesQueue(now, w, s) {
		c.recordDemand(now, w)
		return c.admit(now, s, w)
	}
	crossDomainIn := w.crossDomainAt.Sub(now)
	wait, fits := c.checkWait(now, w)
	if !fits || req.HasFallback && wait > crossDomainIn {
		w.reject()
		return c.reject(now, req, earlier, Overload, wait)
	}
	c.recordDemand(now, w)
	if s != nil && !req.HasFallback && !now.Before(w.crossDomainAt) && c.precedesQueue(now, w, s) {
		return c.admit(now, s, w)
	}
	c.enqueue(now, w)
	return Queued{ID: req.ID}
}

// precedesQueue reports whether a new request goes before all requests that wait for the server.
func (c *Controller) precedesQueue(now time.Time, w *waiter, s *server) bool {
	next := c.nextWaiter(now, s)
	return next == nil || w.precedes(next)
}

// allBounded reports whether a non-exclusive request finds only servers that bear a bounded rate,
// none of which may get it, and after how long to try again.
func (c *Controller) allBounded(now time.Time, req Request) (wait time.Duration, bounded bool) {
	if !req.NonExclusive {
		return 0, false
	}
	for _, s := range c.servers {
		if req.Server != "" && s.ID != req.Server {
			continue
		}
		until, isBounded := s.boundedUntil(now)
		if !isBounded {
			return 0, false
		}
		if left := until.Sub(now); !bounded || left < wait {
			wait, bounded = left, true
		}
	}
	return wait, bounded
}

// reject returns the rejection of a request with a predicted wait. A request that can ask another
// pool is rejected with PoolBusy, whatever the reason.
func (c *Controller) reject(now time.Time, req Request, earlier Earlier, reason Reason, wait time.Duration) Decision {
	if req.HasFallback {
		return Rejected{ID: req.ID, Reason: PoolBusy, Wait: wait}
	}
	return c.rejection(now, req, earlier, reason, wait)
}

// currentDecision returns the decision in force on a request, nil if it is neither queued nor
// admitted.
func (c *Controller) currentDecision(id ID) Decision {
	if c.queued[id] != nil {
		return Queued{ID: id}
	}
	if s := c.admitted[id]; s != nil {
		return Admitted{ID: id, Server: s.ID, Earlier: s.admissions[id].earlier}
	}
	return nil
}

// admit records the admission of a request to a server and sets its timers.
func (c *Controller) admit(now time.Time, s *server, w *waiter) Decision {
	a := admission{
		admittedAt: now, expectedTime: s.expectedTime(c.route(w.Route, 0), now), coldFactor: s.coldFactor(now), startedAt: now,
		origin: w.Origin, earlier: w.earlier,
	}
	w.serve()
	if len(c.options.Floors) > 0 {
		s.usage.Record(now, w.Priority, a.expectedTime)
	}
	if len(s.admissions) >= s.Slots {
		a.startedAt = time.Time{}
		a.expectedTime += s.timeToFreeSlot(now)
	}
	s.addAdmission(w.ID, a)
	if s.Cold(now) {
		s.recordColdSend(now)
	}
	if s.RateLimit > 0 {
		s.recordLimitedSend(now, w.Standby)
	}
	s.recordProbe(now)
	c.admitted[w.ID] = s
	c.recordUse(w.From, s.ID, now)
	held := &heldAdmission{w.ID, s}
	c.timers.add(w.Deadline.Add(expiryDelay), admissionExpiry{held})
	c.checks.add(now.Add(time.Duration(checkFactor*float64(a.expectedTime))+checkMargin), admissionCheck{held})
	c.nextRelease() // drops the timers of ended admissions
	c.expectedReleases.add(now.Add(a.expectedTime), expectedRelease{held})
	c.refresh(now, s)
	return Admitted{ID: w.ID, Server: s.ID, Earlier: w.earlier}
}

// release ends an admission. It returns false if there is no such admission.
func (c *Controller) release(now time.Time, id ID) (*server, bool) {
	s := c.admitted[id]
	if s == nil {
		return nil, false
	}
	delete(c.admitted, id)
	started := !s.admissions[id].startedAt.IsZero()
	delete(s.admissions, id)
	if started {
		s.startNext(now)
	}
	c.refresh(now, s)
	return s, true
}

// Cancel removes a request from the queue, or ends its admission before there is an answer.
func (c *Controller) Cancel(now time.Time, id ID) []Decision {
	if w := c.queued[id]; w != nil {
		c.drop(w)
	}
	out := c.Tick(now)
	if s, used := c.release(now, id); used {
		out = append(out, c.dispatch(now, s)...)
	}
	return out
}

// Complete ends an admission and learns from its outcome.
func (c *Controller) Complete(now time.Time, done Completion) []Decision {
	s := c.admitted[done.ID]
	// Completions may arrive twice; the second one finds no admission.
	if s == nil || s.ID != done.Server {
		return c.Tick(now)
	}
	a := s.admissions[done.ID]
	c.release(now, done.ID)
	c.recordOutcome(now, a, done)
	r := c.route(done.Route, 0)
	c.countWork(s, done, a, r)
	took := c.countedTime(s, done, a, r.meanTime)
	c.learn(now, s, done, a, took, r.meanTime)
	if done.Outcome == Answered {
		mean := float64(took) / s.timeRatio / a.coldFactor
		r.meanTime += time.Duration((mean - float64(r.meanTime)) * meanWeight)
		r.meanBytes += (float64(done.Bytes) - r.meanBytes) * meanWeight
		r.answers++
	}
	return append(c.Tick(now), c.dispatch(now, s)...)
}

// AdmittedAt returns when a request was admitted, and false if it is not admitted any more.
func (c *Controller) AdmittedAt(id ID) (time.Time, bool) {
	s := c.admitted[id]
	if s == nil {
		return time.Time{}, false
	}
	return s.admissions[id].admittedAt, true
}

// learn updates what is known of a server with the outcome of a request, and ejects the server if
// it fails too often.
func (c *Controller) learn(now time.Time, s *server, done Completion, a admission, took, mean time.Duration) {
	s.learn(done, a, took, mean, c.ratioWeight(s), now)
	c.countLosses(now, s, done)
	if done.Outcome == Answered {
		c.answered[s.ID] = s
	}
	if s.failureRate > maxFailureRate && s.evidence.holds(now) && !s.ejected && c.ejected < c.maxEjected() {
		s.eject(now)
		c.ejected++
	}
	c.refresh(now, s)
}

// maxEjected returns how many servers may be ejected at the same time. More would leave too little
// capacity for the load, and at least one server always stays.
func (c *Controller) maxEjected() int {
	return max(int(maxEjectedShare*float64(len(c.servers))), min(1, len(c.servers)-1))
}
