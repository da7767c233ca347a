package permit

import (
	"time"
)

// ahead returns how many requests of the same or a better rank wait for the same servers, and
// their work.
func (k *Keeper) ahead(w *waiting) (count int, work time.Duration) {
	for _, o := range k.queue {
		if o.Server == w.Server && rank(o, w) <= 0 {
			count++
			work += o.expect
		}
	}
	return count, work
}

// predict returns how long a request would wait behind the given work.
func (k *Keeper) predict(now time.Time, w *waiting, work time.Duration) time.Duration {
	if w.Server != "" {
		s := k.servers[w.Server]
		_, next := s.left(now)
		return time.Duration(float64(next+work/time.Duration(s.Slots)) / k.leftOver(now, w.Priority))
	}
	next, power := time.Duration(-1), 0.0
	for _, s := range k.servers {
		_, n := s.left(now)
		if next < 0 || n < next {
			next = n
		}
		power += float64(s.Slots) / s.speed
	}
	wait := time.Duration((float64(next) + float64(work)/max(power, 0.1)) / k.leftOver(now, w.Priority))
	if cross := w.crossAt.Sub(now); wait < cross {
		return cross
	}
	return wait
}

// room returns how long a request would wait behind the given work, and whether it may.
//
// One that would miss its target by little may wait behind those that are in time, as one that is
// late. Refused, it would come back with less time left: of 916 callers that did on a day, 182 were
// served. It gains 0.003 of the worth of a day (0.8035 to 0.8063, 0.8047 to 0.8067; means of 15 days).
func (k *Keeper) room(now time.Time, w *waiting, work time.Duration) (time.Duration, bool) {
	wait := k.predict(now, w, work)
	fits := k.fits(now, w, wait)
	if fits || w.late {
		return wait, fits
	}
	w.setLate(now)
	_, work = k.ahead(w)
	wait = k.predict(now, w, work)
	return wait, k.fits(now, w, wait)
}

// fits reports whether a request that waits for the given time is served in time: within its
// target, or, where that is out of reach, within its limit and in room that is left over.
func (k *Keeper) fits(now time.Time, w *waiting, wait time.Duration) bool {
	finish := wait + w.expect
	if finish <= time.Duration(targetShare*float64(w.TargetAt.Sub(now))) {
		return true
	}
	return w.late && wait <= lateShare*w.expect && finish <= time.Duration(limitShare*float64(w.LimitAt.Sub(now)))
}

// retryIn returns when a refused caller should come back: when the wait that was predicted is
// over, but early enough to be served.
func (k *Keeper) retryIn(now time.Time, a Ask, wait time.Duration) time.Duration {
	most := time.Duration(retryShare * float64(a.LimitAt.Sub(now)))
	in := max(min(wait, most), retryLeast)
	return time.Duration(float64(in) * (1 + retrySpread*(k.random.Float64()-0.5)))
}
