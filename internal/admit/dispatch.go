package admit

import (
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/fair"
)

// newWaiter returns the state of a new request.
func (c *Controller) newWaiter(now time.Time, req Request, earlier Earlier) *waiter {
	r := c.route(req.Route, req.TargetAt.Sub(now))
	c.lastSequence++
	w := &waiter{Request: req, expectedTime: r.meanTime, meanTime: r.meanTime, earlier: earlier}
	if s := c.servers[req.Server]; s != nil {
		w.expectedTime = s.expectedTime(r, now)
	}
	w.item = fair.Item[*waiter]{Value: w, Sequence: c.lastSequence, Work: w.expectedTime}
	w.queueDeadline = req.Deadline.Add(-w.expectedTime / 2)
	if req.TargetAt.Sub(now) < w.expectedTime && !earlier.Kept {
		w.markLate(now)
	}
	if req.Server != "" {
		w.crossDomainAt = now
		return w
	}
	delay := time.Duration(r.meanBytes / 1024 * float64(crossDomainDelayPerKB))
	maxDelay := time.Duration(maxCrossDomainDelayShare * float64(req.TargetAt.Sub(now)-w.expectedTime))
	w.crossDomainAt = now.Add(max(min(delay, maxDelay), 0))
	return w
}

// markLate marks a request that cannot meet its target, and bounds its time in the queue.
func (w *waiter) markLate(now time.Time) {
	w.late = true
	w.queueDeadline = clock.Earlier(w.queueDeadline, now.Add(maxLateWait*w.expectedTime))
}

// route returns the statistics of a route. For a new route, the mean service time is derived from
// the time to the target of its first request.
func (c *Controller) route(name string, target time.Duration) *routeStats {
	r := c.routes[name]
	if r == nil {
		r = &routeStats{meanTime: max(time.Duration(initialMeanShare*float64(target)), time.Millisecond)}
		c.routes[name] = r
	}
	return r
}

// expectedTime returns how long the server is expected to take for a request of a route.
func (s *server) expectedTime(r *routeStats, now time.Time) time.Duration {
	return time.Duration(float64(r.meanTime) * s.timeRatio * s.coldFactor(now))
}

// queueOf returns the queue of a request: that of its owner, or that of its own domain until it may
// use others.
func (c *Controller) queueOf(now time.Time, w *waiter) *queue {
	switch {
	case w.Server != "":
		return &c.servers[w.Server].queue
	case !now.Before(w.crossDomainAt):
		return &c.anyDomainQueue
	}
	q := c.domainQueues[w.Domain]
	if q == nil {
		q = &queue{}
		c.domainQueues[w.Domain] = q
	}
	return q
}

// enqueue adds a request to its queue and sets its timers.
func (c *Controller) enqueue(now time.Time, w *waiter) {
	c.queued[w.ID] = w
	c.queueOf(now, w).push(w)
	c.timers.add(w.queueDeadline, queueTimeout{w})
	if w.Server == "" && now.Before(w.crossDomainAt) {
		c.timers.add(w.crossDomainAt, crossDomainAllowed{w})
	}
	c.pushOut(now, w.rankQueue)
}

// drop removes a request that is not admitted from its queue.
func (c *Controller) drop(w *waiter) {
	c.dequeue(w)
	w.reject()
}

func (c *Controller) dequeue(w *waiter) {
	delete(c.queued, w.ID)
	w.remove()
}

// nextWaiter returns the waiting request that is next for a server, nil if there is none. A server
// that is not listed as open, as when it is ejected, gets only the requests that no other server
// can serve.
func (c *Controller) nextWaiter(now time.Time, s *server) *waiter {
	c.inspected++
	sources := [...]*queue{&s.queue, &c.anyDomainQueue, c.domainQueues[s.Domain]}
	queues := sources[:]
	switch {
	case !s.listed:
		queues = sources[:1]
	case sources[2] == nil:
		queues = sources[:2]
	}
	if owed, isOwed := c.owedPriority(now, s, queues); isOwed {
		if w := s.firstOf(now, queues, func(r rank) bool { return r.priority == owed }); w != nil {
			return w
		}
	}
	return s.firstOf(now, queues, anyRank)
}

// firstOf returns the request that goes first to a server among those of some ranks, nil if there is none.
func (s *server) firstOf(now time.Time, queues []*queue, counts func(rank) bool) *waiter {
	var best *waiter
	for _, q := range queues {
		w := q.head(counts)
		if w != nil && q != &s.queue && s.restsFor(w.From, now) {
			w = s.firstAccepted(q, counts, now)
		}
		if w != nil && (best == nil || w.precedes(best)) {
			best = w
		}
	}
	return best
}

// dispatch admits waiting requests to a server while it is open to them.
func (c *Controller) dispatch(now time.Time, s *server) []Decision {
	var out []Decision
	for c.servers[s.ID] == s && s.open(now) {
		w := c.nextWaiter(now, s)
		if w == nil || !s.accepts(now, w) || !s.free(now) && now.Before(w.crossDomainAt) {
			break
		}
		c.dequeue(w)
		out = append(out, c.admit(now, s, w))
	}
	return out
}
