package admit

import (
	"math"
	"time"
)

// workAhead returns the expected service time of the waiting requests that go before another one and
// are not bound to one server.
func (c *Controller) workAhead(w *waiter) time.Duration {
	work, _ := c.anyDomainQueue.ahead(w)
	for _, q := range c.domainQueues {
		domainWork, _ := q.ahead(w)
		work += domainWork
	}
	return work
}

// predictWait returns how long a request would wait behind those that go before it.
func (c *Controller) predictWait(now time.Time, w *waiter) time.Duration {
	if w.Server != "" {
		s := c.servers[w.Server]
		work, count := s.queue.ahead(w)
		work += time.Duration(s.waitingForSlot()) * w.expectedTime
		wait := time.Duration(float64(s.timeToFreeSlot(now)+work/time.Duration(max(s.Slots, 1))) / c.leftoverShare(now, w.Priority))
		wait = min(wait, c.floorWait(now, s, w))
		wait += c.reservedWait(now, s, w, wait)
		return max(wait, s.sendTime(now, count).Sub(now))
	}
	work := c.workAhead(w) + time.Duration(c.waitingAtServers)*w.expectedTime
	wait := time.Duration((float64(c.timeToFreeSlot(now)) + float64(work)/max(c.capacity, 0.1)) / c.leftoverShare(now, w.Priority))
	return max(wait, w.crossDomainAt.Sub(now))
}

// floorWait returns how long a request would wait at its owner if its priority got no more than its floor.
func (c *Controller) floorWait(now time.Time, s *server, w *waiter) time.Duration {
	floor := c.floor(w.Priority)
	if floor == 0 {
		return math.MaxInt64
	}
	slots := float64(max(s.Slots, 1))
	atServer := time.Duration(float64(s.waitingForSlot()) * float64(w.expectedTime) / slots)
	return s.timeToFreeSlot(now) + atServer + time.Duration(float64(s.queue.aheadOfPriority(w))/(floor*slots))
}

// timeToFreeSlot returns the time until any server may get a request.
func (c *Controller) timeToFreeSlot(now time.Time) time.Duration {
	for _, o := range c.openLists() {
		if len(o.listings) > 0 && o.listings[0].server.free(now) {
			return 0
		}
	}
	least, found := time.Duration(0), false
	if a, running := c.nextRelease(); running {
		least, found = a.remaining(now), true
	}
	for s := range c.awaitingRate {
		c.inspected++
		if left := s.nextSendAt.Sub(now); !found || left < least {
			least, found = left, true
		}
	}
	return max(least, 0)
}

// nextRelease returns the admission that is expected to end first. It drops the timers of
// admissions that have ended.
func (c *Controller) nextRelease() (admission, bool) {
	for {
		next, found := c.expectedReleases.first()
		if !found {
			return admission{}, false
		}
		r := next.(expectedRelease)
		if c.admitted[r.id] == r.server {
			return r.server.admissions[r.id], true
		}
		c.expectedReleases.removeFirst()
	}
}

// checkWait returns how long a request would wait, and whether it may be queued.
//
// A request that would miss its target by little may wait as a late one, behind those that can meet
// theirs. If it were rejected, it would come back with less time left, and few requests that come
// back are served.
func (c *Controller) checkWait(now time.Time, w *waiter) (time.Duration, bool) {
	wait := c.predictWait(now, w)
	if w.earlier.Kept {
		return wait, true
	}
	fits := c.fits(now, w, wait)
	if fits || w.late {
		return wait, fits
	}
	w.markLate(now)
	wait = c.predictWait(now, w)
	return wait, c.fits(now, w, wait)
}

// fits reports whether a request that waits for the given time finishes in time: within its target
// or, if it is late, after a short wait and within its deadline.
func (c *Controller) fits(now time.Time, w *waiter, wait time.Duration) bool {
	finish := wait + w.expectedTime
	if finish <= time.Duration(maxTargetShare*float64(w.TargetAt.Sub(now))) {
		return true
	}
	return w.late && wait <= maxPredictedLateWait*w.expectedTime && finish <= time.Duration(maxDeadlineShare*float64(w.Deadline.Sub(now)))
}

// retryDelay returns the delay after which a rejected caller should come back: after the predicted
// wait, but early enough to be served.
func (c *Controller) retryDelay(now time.Time, req Request, wait time.Duration) time.Duration {
	maxDelay := time.Duration(maxRetryDelayShare * float64(req.Deadline.Sub(now)))
	delay := max(min(wait, maxDelay), minRetryDelay)
	if s := c.servers[req.Server]; s != nil && s.RateLimit > 0 {
		return s.spreadReturn(now, delay, max(maxDelay, minRetryDelay))
	}
	return time.Duration(float64(delay) * (1 + retryJitter*(c.random.Float64()-0.5)))
}
