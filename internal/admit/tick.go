package admit

import (
	"time"
)

// Tick handles the timers that are due. It returns the new decisions on waiting requests: those
// that are admitted to servers that have become free, and those that can no longer be served in
// time and are rejected.
func (c *Controller) Tick(now time.Time) []Decision {
	out := append(c.undelivered, c.runTimers(now)...)
	c.undelivered = nil
	return out
}

// runTimers handles the timers that are due.
func (c *Controller) runTimers(now time.Time) []Decision {
	var out []Decision
	for {
		t, due := c.timers.popDue(now)
		if !due {
			return out
		}
		c.inspected++
		out = append(out, c.handleTimer(now, t)...)
	}
}

func (c *Controller) handleTimer(now time.Time, t timer) []Decision {
	switch t := t.(type) {
	case admissionExpiry:
		if c.admitted[t.id] != t.server {
			return nil
		}
		c.release(now, t.id)
		c.expired++
		return c.dispatch(now, t.server)
	case serverChange:
		c.refresh(now, t.server)
		return c.dispatch(now, t.server)
	case crossDomainAllowed:
		return c.allowCrossDomain(now, t.request)
	case queueTimeout:
		return c.rejectTimedOut(now, t.request)
	}
	return nil
}

// allowCrossDomain lets a request that still waits use servers of all domains.
func (c *Controller) allowCrossDomain(now time.Time, w *waiter) []Decision {
	if w.rankQueue == nil {
		return nil
	}
	w.remove()
	c.anyDomainQueue.push(w)
	s := c.chooseServer(now, w)
	if s == nil {
		return nil
	}
	return c.dispatch(now, s)
}

// rejectTimedOut rejects a request that still waits.
func (c *Controller) rejectTimedOut(now time.Time, w *waiter) []Decision {
	if w.rankQueue == nil {
		return nil
	}
	c.drop(w)
	return []Decision{c.rejection(now, w.Request, w.earlier, Overload, 0)}
}

// LongRunning returns the IDs of admissions that last longer than expected while their server has
// no free slot. The caller asks their holders. A holder that no longer has the admission answers,
// and the caller ends it with Cancel.
//
// Completions are lost where a slow link is full. Each lost one would keep one of a server's few
// slots in use for seconds, while a request takes tenths of a second.
func (c *Controller) LongRunning(now time.Time) []ID {
	var out []ID
	for {
		t, due := c.checks.popDue(now)
		if !due {
			return out
		}
		check := t.(admissionCheck)
		if c.admitted[check.id] != check.server {
			continue
		}
		c.checks.add(now.Add(checkInterval), check)
		if check.id.From != "" && len(check.server.admissions) >= check.server.Slots {
			out = append(out, check.id)
		}
	}
}

// Expired returns how many admissions have expired since the last call because nobody ended them.
func (c *Controller) Expired() int {
	n := c.expired
	c.expired = 0
	return n
}

// Idle reports whether no request waits and all decisions have been returned, so that Tick need not
// be called.
func (c *Controller) Idle() bool { return len(c.queued) == 0 && len(c.undelivered) == 0 }

// Outstanding returns the number of admissions that have not ended, and that of waiting requests.
func (c *Controller) Outstanding() (admitted, waiting int) { return len(c.admitted), len(c.queued) }
