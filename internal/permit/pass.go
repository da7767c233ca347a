package permit

import (
	"time"
)

// Tick gives the permits that have become free, and refuses what can no longer be served.
func (k *Controller) Tick(now time.Time) []Decision {
	out := append(k.told, k.pass(now)...)
	k.told = nil
	return out
}

// pass handles the timers whose time has come.
func (k *Controller) pass(now time.Time) []Decision {
	var out []Decision
	for {
		a, due := k.timers.due(now)
		if !due {
			return out
		}
		k.looked++
		out = append(out, k.handle(now, a)...)
	}
}

func (k *Controller) handle(now time.Time, a timer) []Decision {
	switch a := a.(type) {
	case permitEnds:
		if k.granted[a.key] != a.server {
			return nil
		}
		k.takeBack(now, a.key)
		k.expired++
		return k.serve(now, a.server)
	case serverChanges:
		k.arrange(now, a.server)
		return k.serve(now, a.server)
	case requestCrosses:
		return k.cross(now, a.request)
	case requestGivesUp:
		return k.giveUp(now, a.request)
	}
	return nil
}

// cross lets a request that still waits use servers of all domains.
func (k *Controller) cross(now time.Time, w *waiting) []Decision {
	if w.line == nil {
		return nil
	}
	w.remove()
	k.anywhere.push(w)
	s := k.choose(now, w)
	if s == nil {
		return nil
	}
	return k.serve(now, s)
}

// giveUp refuses a request that still waits.
func (k *Controller) giveUp(now time.Time, w *waiting) []Decision {
	if w.line == nil {
		return nil
	}
	k.dequeue(w)
	return []Decision{Rejected{ID: w.ID, Reason: Overload, RetryIn: k.retryIn(now, w.Request, 0)}}
}

// LongRunning returns the holders of permits that take long while others wait for a slot. Whoever
// does not have the permit any more is to give it back with Withdraw.
//
// The messages that give permits back are lost where a thin link is full. Each that is lost would hold
// one of a server's few slots for seconds, where a request takes tenths of one.
func (k *Controller) LongRunning(now time.Time) []ID {
	var out []ID
	for {
		a, due := k.doubts.due(now)
		if !due {
			return out
		}
		d := a.(permitDoubted)
		if k.granted[d.key] != d.server {
			continue
		}
		k.doubts.set(now.Add(doubtEvery), d)
		if d.key.From != "" && len(d.server.uses) >= d.server.Slots {
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
func (k *Controller) Idle() bool { return len(k.queued) == 0 && len(k.told) == 0 }
