package permit

import (
	"time"
)

// Tick gives the permits that have become free, and refuses what can no longer be served.
func (k *Controller) Tick(now time.Time) []Decision {
	out := append(k.undelivered, k.runTimers(now)...)
	k.undelivered = nil
	return out
}

// runTimers handles the timers whose time has come.
func (k *Controller) runTimers(now time.Time) []Decision {
	var out []Decision
	for {
		a, due := k.timers.popDue(now)
		if !due {
			return out
		}
		k.inspected++
		out = append(out, k.handleTimer(now, a)...)
	}
}

func (k *Controller) handleTimer(now time.Time, a timer) []Decision {
	switch a := a.(type) {
	case admissionExpiry:
		if k.admitted[a.key] != a.server {
			return nil
		}
		k.release(now, a.key)
		k.expired++
		return k.dispatch(now, a.server)
	case serverChange:
		k.refresh(now, a.server)
		return k.dispatch(now, a.server)
	case crossDomainAllowed:
		return k.allowCrossDomain(now, a.request)
	case queueTimeout:
		return k.rejectTimedOut(now, a.request)
	}
	return nil
}

// allowCrossDomain lets a request that still waits use servers of all domains.
func (k *Controller) allowCrossDomain(now time.Time, w *waiter) []Decision {
	if w.rankQueue == nil {
		return nil
	}
	w.remove()
	k.anyDomainQueue.push(w)
	s := k.chooseServer(now, w)
	if s == nil {
		return nil
	}
	return k.dispatch(now, s)
}

// rejectTimedOut refuses a request that still waits.
func (k *Controller) rejectTimedOut(now time.Time, w *waiter) []Decision {
	if w.rankQueue == nil {
		return nil
	}
	k.dequeue(w)
	return []Decision{Rejected{ID: w.ID, Reason: Overload, RetryIn: k.retryDelay(now, w.Request, 0)}}
}

// LongRunning returns the holders of permits that take long while others wait for a slot. Whoever
// does not have the permit any more is to give it back with Withdraw.
//
// The messages that give permits back are lost where a thin link is full. Each that is lost would hold
// one of a server's few slots for seconds, where a request takes tenths of one.
func (k *Controller) LongRunning(now time.Time) []ID {
	var out []ID
	for {
		a, due := k.checks.popDue(now)
		if !due {
			return out
		}
		d := a.(admissionCheck)
		if k.admitted[d.key] != d.server {
			continue
		}
		k.checks.add(now.Add(checkInterval), d)
		if d.key.From != "" && len(d.server.admissions) >= d.server.Slots {
			out = append(out, d.key)
		}
	}
}

// Expired returns how many permits were taken back since the last call because nobody gave them
// back.
func (k *Controller) Expired() int {
	n := k.expired
	k.expired = 0
	return n
}

// Idle reports whether nothing waits, so that no tick is needed.
func (k *Controller) Idle() bool { return len(k.queued) == 0 && len(k.undelivered) == 0 }
