package permit

import (
	"time"

	"example.org/mustardring/internal/clock"
)

func (k *Controller) newWaiter(now time.Time, a Request) *waiter {
	r := k.route(a.Route, a.TargetAt.Sub(now))
	k.lastSequence++
	w := &waiter{Request: a, sequence: k.lastSequence, expectedTime: r.meanTime}
	if s := k.servers[a.Server]; s != nil {
		w.expectedTime = s.expectedTime(r, now)
	}
	w.queueDeadline = a.Deadline.Add(-w.expectedTime / 2)
	if a.TargetAt.Sub(now) < w.expectedTime {
		w.markLate(now)
	}
	if a.Server != "" {
		w.crossDomainAt = now
		return w
	}
	patience := time.Duration(r.meanBytes / 1024 * float64(crossDomainDelayPerKB))
	most := time.Duration(maxCrossDomainDelayShare * float64(a.TargetAt.Sub(now)-w.expectedTime))
	w.crossDomainAt = now.Add(max(min(patience, most), 0))
	return w
}

// markLate takes in that the target is out of reach.
func (w *waiter) markLate(now time.Time) {
	w.late = true
	w.queueDeadline = clock.Earlier(w.queueDeadline, now.Add(maxLateWait*w.expectedTime))
}

func (k *Controller) route(name string, target time.Duration) *routeStats {
	r := k.routes[name]
	if r == nil {
		r = &routeStats{meanTime: max(time.Duration(initialMeanShare*float64(target)), time.Millisecond)}
		k.routes[name] = r
	}
	return r
}

func (s *server) expectedTime(r *routeStats, now time.Time) time.Duration {
	return time.Duration(float64(r.meanTime) * s.timeRatio * s.coldFactor(now))
}

// queueOf returns where a request waits.
func (k *Controller) queueOf(now time.Time, w *waiter) *queue {
	switch {
	case w.Server != "":
		return &k.servers[w.Server].queue
	case !now.Before(w.crossDomainAt):
		return &k.anyDomainQueue
	}
	q := k.domainQueues[w.Domain]
	if q == nil {
		q = &queue{}
		k.domainQueues[w.Domain] = q
	}
	return q
}

// enqueue lets a request wait.
func (k *Controller) enqueue(now time.Time, w *waiter) {
	k.queued[w.ID] = w
	k.queueOf(now, w).push(w)
	k.timers.add(w.queueDeadline, queueTimeout{w})
	if w.Server == "" && now.Before(w.crossDomainAt) {
		k.timers.add(w.crossDomainAt, crossDomainAllowed{w})
	}
}

func (k *Controller) dequeue(w *waiter) {
	delete(k.queued, w.ID)
	w.remove()
}

// nextWaiter returns the request that a server with a free slot should get, nil if none waits for it. One that is
// set aside gets only those that no other server can serve.
func (k *Controller) nextWaiter(s *server) *waiter {
	k.inspected++
	best := s.queue.head()
	if !s.listed {
		return best
	}
	for _, q := range []*queue{k.domainQueues[s.Domain], &k.anyDomainQueue} {
		if q == nil {
			continue
		}
		if w := q.head(); w != nil && (best == nil || w.precedes(best)) {
			best = w
		}
	}
	return best
}

// dispatch gives the free slots of a server to requests that wait.
func (k *Controller) dispatch(now time.Time, s *server) []Decision {
	var out []Decision
	for k.servers[s.ID] == s && s.open(now) {
		w := k.nextWaiter(s)
		if w == nil || !s.accepts(now, w) || !s.free(now) && now.Before(w.crossDomainAt) {
			break
		}
		k.dequeue(w)
		out = append(out, k.admit(now, s, w))
	}
	return out
}
