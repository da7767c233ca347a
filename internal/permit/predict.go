package permit

import (
	"time"
)

// ahead returns the work of the requests of the same or a better rank that wait for any server.
func (k *Controller) ahead(r rank) time.Duration {
	work, _ := k.anywhere.ahead(r)
	for _, q := range k.near {
		near, _ := q.ahead(r)
		work += near
	}
	return work
}

// predict returns how long a request would wait behind those that go before it.
func (k *Controller) predict(now time.Time, w *waiting) time.Duration {
	if w.Server != "" {
		s := k.servers[w.Server]
		work, count := s.queue.ahead(w.rank())
		work += time.Duration(s.waitsThere()) * w.expect
		wait := time.Duration(float64(s.next(now)+work/time.Duration(max(s.Slots, 1))) / k.leftOver(now, w.Priority))
		return max(wait, s.coldTurn(now, count).Sub(now))
	}
	work := k.ahead(w.rank()) + time.Duration(k.behind)*w.expect
	wait := time.Duration((float64(k.nextFree(now)) + float64(work)/max(k.power, 0.1)) / k.leftOver(now, w.Priority))
	return max(wait, w.crossAt.Sub(now))
}

// nextFree returns the time until any server has a free slot.
func (k *Controller) nextFree(now time.Time) time.Duration {
	for _, f := range k.free {
		if len(f.places) > 0 && f.places[0].server.free(now) {
			return 0
		}
	}
	if u, found := k.firstBack(); found {
		return u.left(now)
	}
	return 0
}

// firstBack returns the permit that is expected back first.
func (k *Controller) firstBack() (use, bool) {
	for {
		next, found := k.returns.first()
		if !found {
			return use{}, false
		}
		r := next.(permitReturns)
		if k.granted[r.key] == r.server {
			return r.server.uses[r.key], true
		}
		k.returns.drop()
	}
}

// room returns how long a request would wait, and whether it may.
//
// One that would miss its target by little may wait behind those that are in time, as one that is
// late. Refused, it would come back with less time left, and few that do are served.
func (k *Controller) room(now time.Time, w *waiting) (time.Duration, bool) {
	wait := k.predict(now, w)
	fits := k.fits(now, w, wait)
	if fits || w.late {
		return wait, fits
	}
	w.setLate(now)
	wait = k.predict(now, w)
	return wait, k.fits(now, w, wait)
}

// fits reports whether a request that waits for the given time is served in time: within its
// target, or, where that is out of reach, within its limit and in room that is left over.
func (k *Controller) fits(now time.Time, w *waiting, wait time.Duration) bool {
	finish := wait + w.expect
	if finish <= time.Duration(targetShare*float64(w.TargetAt.Sub(now))) {
		return true
	}
	return w.late && wait <= lateShare*w.expect && finish <= time.Duration(limitShare*float64(w.Deadline.Sub(now)))
}

// retryIn returns when a refused caller should come back: when the wait that was predicted is
// over, but early enough to be served.
func (k *Controller) retryIn(now time.Time, a Request, wait time.Duration) time.Duration {
	most := time.Duration(retryShare * float64(a.Deadline.Sub(now)))
	in := max(min(wait, most), retryLeast)
	return time.Duration(float64(in) * (1 + retrySpread*(k.random.Float64()-0.5)))
}
