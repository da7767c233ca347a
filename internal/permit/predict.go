package permit

import (
	"time"
)

// workAhead returns the work of the requests of the same or a better rank that wait for any server.
func (k *Controller) workAhead(r rank) time.Duration {
	work, _ := k.anyDomainQueue.ahead(r)
	for _, q := range k.domainQueues {
		near, _ := q.ahead(r)
		work += near
	}
	return work
}

// predictWait returns how long a request would wait behind those that go before it.
func (k *Controller) predictWait(now time.Time, w *waiter) time.Duration {
	if w.Server != "" {
		s := k.servers[w.Server]
		work, count := s.queue.ahead(w.rank())
		work += time.Duration(s.waitingForSlot()) * w.expectedTime
		wait := time.Duration(float64(s.timeToFreeSlot(now)+work/time.Duration(max(s.Slots, 1))) / k.leftoverShare(now, w.Priority))
		return max(wait, s.coldSendTime(now, count).Sub(now))
	}
	work := k.workAhead(w.rank()) + time.Duration(k.waitingAtServers)*w.expectedTime
	wait := time.Duration((float64(k.timeToFreeSlot(now)) + float64(work)/max(k.capacity, 0.1)) / k.leftoverShare(now, w.Priority))
	return max(wait, w.crossDomainAt.Sub(now))
}

// timeToFreeSlot returns the time until any server has a free slot.
func (k *Controller) timeToFreeSlot(now time.Time) time.Duration {
	for _, f := range k.openByDomain {
		if len(f.listings) > 0 && f.listings[0].server.free(now) {
			return 0
		}
	}
	if u, found := k.nextRelease(); found {
		return u.remaining(now)
	}
	return 0
}

// nextRelease returns the permit that is expected back first.
func (k *Controller) nextRelease() (admission, bool) {
	for {
		next, found := k.expectedReleases.first()
		if !found {
			return admission{}, false
		}
		r := next.(expectedRelease)
		if k.admitted[r.key] == r.server {
			return r.server.admissions[r.key], true
		}
		k.expectedReleases.removeFirst()
	}
}

// checkWait returns how long a request would wait, and whether it may.
//
// One that would miss its target by little may wait behind those that are in time, as one that is
// late. Refused, it would come back with less time left, and few that do are served.
func (k *Controller) checkWait(now time.Time, w *waiter) (time.Duration, bool) {
	wait := k.predictWait(now, w)
	fits := k.fits(now, w, wait)
	if fits || w.late {
		return wait, fits
	}
	w.markLate(now)
	wait = k.predictWait(now, w)
	return wait, k.fits(now, w, wait)
}

// fits reports whether a request that waits for the given time is served in time: within its
// target, or, where that is out of reach, within its limit and in room that is left over.
func (k *Controller) fits(now time.Time, w *waiter, wait time.Duration) bool {
	finish := wait + w.expectedTime
	if finish <= time.Duration(maxTargetShare*float64(w.TargetAt.Sub(now))) {
		return true
	}
	return w.late && wait <= maxPredictedLateWait*w.expectedTime && finish <= time.Duration(maxDeadlineShare*float64(w.Deadline.Sub(now)))
}

// retryDelay returns when a refused caller should come back: when the wait that was predicted is
// over, but early enough to be served.
func (k *Controller) retryDelay(now time.Time, a Request, wait time.Duration) time.Duration {
	most := time.Duration(maxRetryDelayShare * float64(a.Deadline.Sub(now)))
	in := max(min(wait, most), minRetryDelay)
	return time.Duration(float64(in) * (1 + retryJitter*(k.random.Float64()-0.5)))
}
