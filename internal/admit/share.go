package admit

import (
	"time"

	"example.org/mustardring/internal/fair"
)

// The load that this file answers: callers that ask for more of a full server than their part. Requests of one rank that wait
// for the same servers go in the order of start tags, so that each caller gets an equal share of the servers' time and what
// the others leave over. A caller that comes new to a full server goes before those that have had their share. Those that
// would miss their target behind it are rejected at once.
//
// Tags count the mean work of a route, whatever the speed of the server is at the moment: of requests that wait while a server
// becomes slower, the first ones would otherwise count a fraction of those that come later.

const (
	// callerEntitlement is how much of a slot a caller can have however much it has had before, or entitledPart of an equal share
	// of the slots if that is less. Without it a caller that comes again would wait behind all that come for the first time for
	// as long as the server is full. If it were more than an equal share, requests would go in the order of arrival, which is
	// that of who asks most.
	callerEntitlement = 0.25
	entitledPart      = 1. / 3
	// keptTag is the start tag of requests for which capacity is reserved. They go before all others of their rank.
	keptTag = -1
)

// shares are the shares of the callers of a server, or of the servers of a pool.
type shares struct {
	fair.Shares
	advancedAt time.Time
	// waiting holds how many requests of a caller wait, by caller.
	waiting map[uint32]int
}

// advance raises the virtual time by what every caller is entitled to in the time that has passed, given the capacity in slots
// of mean speed and how much of it a slot has.
func (s *shares) advance(now time.Time, capacity, speed float64) {
	if !s.advancedAt.IsZero() && now.After(s.advancedAt) {
		share := min(callerEntitlement*speed, entitledPart*capacity/float64(max(len(s.waiting), 1)))
		s.Advance(time.Duration(share * float64(now.Sub(s.advancedAt))))
	}
	s.advancedAt = now
}

// leave counts a request of a caller that no longer waits.
func (s *shares) leave(caller uint32) {
	if s.waiting[caller]--; s.waiting[caller] <= 0 {
		delete(s.waiting, caller)
	}
}

// sharesOf returns the shares of the servers that a request may use, nil if they are not shared between callers.
func (c *Controller) sharesOf(w *waiter) *shares {
	if !c.options.FairShares {
		return nil
	}
	if s := c.servers[w.Server]; s != nil {
		if s.shares == nil {
			s.shares = newShares()
		}
		return s.shares
	}
	if c.shares == nil {
		c.shares = newShares()
	}
	return c.shares
}

func newShares() *shares {
	return &shares{Shares: *fair.NewShares(), waiting: map[uint32]int{}}
}

// arrive gives a new request its start tag. Serve or reject has to follow.
func (c *Controller) arrive(now time.Time, w *waiter) {
	if s := c.sharesOf(w); s != nil {
		capacity, speed := c.capacity, 1.
		if owner := c.servers[w.Server]; owner != nil {
			capacity, speed = owner.slotCapacity(), 1/owner.timeRatio
		}
		s.advance(now, capacity, speed)
		w.item.Tag, w.shares = s.Arrive(w.Caller, w.meanTime), s
		s.waiting[w.Caller]++
	}
	if w.earlier.Kept {
		w.item.Tag = keptTag
	}
}

// serve counts a request that is admitted as a part of its caller's share.
func (w *waiter) serve() {
	if w.shares != nil {
		w.shares.leave(w.Caller)
		w.shares.Serve(w.item.Tag)
	}
}

// reject charges the caller of a request that is not admitted a part of its work.
func (w *waiter) reject() {
	if w.shares != nil {
		w.shares.leave(w.Caller)
		w.shares.Reject(w.Caller, w.meanTime)
	}
}

// pushOut rejects the last requests of a rank that would miss their target behind those that go before them. Only a request
// with an early start tag makes them wait longer than predicted.
func (c *Controller) pushOut(now time.Time, rq *rankQueue) {
	if !c.options.FairShares || rq.rank.late {
		return
	}
	for last := rq.waiters.Last(); last != nil && last != rq.waiters.First(); last = rq.waiters.Last() {
		w := last.Value
		if w.earlier.Kept || !now.Add(c.predictWait(now, w)+w.expectedTime).After(w.TargetAt) {
			return
		}
		c.drop(w)
		c.pushedOut++
		c.undelivered = append(c.undelivered, c.reject(now, w.Request, w.earlier, PushedOut, 0))
	}
}

// owedPriority returns the priority of the waiting requests that is furthest below its floor at a server, and false if none is.
func (c *Controller) owedPriority(now time.Time, s *server, queues []*queue) (int, bool) {
	if len(c.options.Floors) == 0 {
		return 0, false
	}
	waiting := make([]int, 0, 8)
	for _, q := range queues {
		for _, rq := range q.ranks {
			if rq.waiters.Len() > 0 {
				waiting = append(waiting, rq.rank.priority)
			}
		}
	}
	return s.usage.Owed(now, c.options.Floors, waiting)
}

// floor returns the share of a full server's time that waiting requests of a priority get.
func (c *Controller) floor(priority int) float64 {
	if priority < 0 || priority >= len(c.options.Floors) {
		return 0
	}
	return c.options.Floors[priority]
}
