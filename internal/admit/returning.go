package admit

import (
	"time"

	"example.org/mustardring/internal/resv"
)

// The load that this file answers: callers that come back after a rejection, while the servers are still full. The controller
// recognizes them by the origin of their requests, whatever instance they reach. A caller that is rejected gets a time for
// which capacity is reserved, if the demand of new requests leaves any over before the caller gives up.

// maxRememberedRejections is the number of rejections that are repeated when their request is: the sender repeats a request
// when the answer is late, which is no return of the caller.
const maxRememberedRejections = 256

// rejections holds the latest rejections, the oldest of which has the index next in order.
type rejections struct {
	byID  map[ID]pastRejection
	order []ID
	next  int
}

// pastRejection is a rejection and when it was made.
type pastRejection struct {
	Rejected
	at time.Time
}

// get returns the rejection of a request, as it is to be told now, and false if there is none.
func (r *rejections) get(now time.Time, id ID) (Rejected, bool) {
	past, known := r.byID[id]
	past.RetryIn = max(past.RetryIn-now.Sub(past.at), 0)
	return past.Rejected, known
}

func (r *rejections) add(now time.Time, rejected Rejected) {
	if r.byID == nil {
		r.byID = map[ID]pastRejection{}
	}
	if len(r.order) < maxRememberedRejections {
		r.order = append(r.order, rejected.ID)
	} else {
		delete(r.byID, r.order[r.next])
		r.order[r.next] = rejected.ID
		r.next = (r.next + 1) % maxRememberedRejections
	}
	r.byID[rejected.ID] = pastRejection{rejected, now}
}

// recognize returns what is known of earlier tries of a request, and dates its target from the first one. A request that can
// ask another pool is recognized by the last one.
func (c *Controller) recognize(now time.Time, req *Request) Earlier {
	switch {
	case c.book == nil || req.Origin == 0 || req.HasFallback:
		return Earlier{}
	case req.Retry:
		c.book.Retried(req.Origin)
		return Earlier{}
	}
	known := c.book.Arrive(now, req.Origin)
	if known.Returns > 0 && !req.Returning {
		req.Returning = true
		req.TargetAt = req.TargetAt.Add(-now.Sub(known.FirstAt))
	}
	return Earlier{Returns: known.Returns, LastTry: c.book.LastTry(req.Route, known.Returns), Kept: known.Kept}
}

// recordAsked adds the work of a request to what new requests ask of its server, or of the pool.
func (c *Controller) recordAsked(now time.Time, w *waiter) {
	if c.book == nil || w.earlier.Returns > 0 || w.Retry {
		return
	}
	c.askedOf(w.Server).add(now, c.route(w.Route, 0).meanTime, askedWindow)
}

// askedOf returns what new requests ask of a server, or of the pool if the name is empty.
func (c *Controller) askedOf(server string) *demand {
	if s := c.servers[server]; s != nil {
		return &s.asked
	}
	return &c.asked
}

// rejection returns the rejection of a request with a predicted wait, and when its caller should come back.
func (c *Controller) rejection(now time.Time, req Request, earlier Earlier, reason Reason, wait time.Duration) Rejected {
	r := Rejected{ID: req.ID, Reason: reason, Wait: wait, RetryIn: c.retryDelay(now, req, wait), Earlier: earlier}
	if c.book != nil && req.Origin != 0 && !req.HasFallback {
		c.book.Rejected(now, req.Origin, req.Route)
		if reason == Overload || reason == PushedOut {
			if at, kept := c.reserve(now, req, wait); kept {
				r.RetryIn, r.Reserved = at.Sub(now), true
			}
		}
	}
	if c.book != nil || c.options.FairShares {
		c.rejections.add(now, r)
	}
	return r
}

// reserve sets aside capacity for the return of a rejected request. It returns when the caller should come back, and false if
// there will be none in time.
func (c *Controller) reserve(now time.Time, req Request, wait time.Duration) (time.Time, bool) {
	s, capacity := c.servers[req.Server], c.capacity
	if s != nil {
		if s.RateLimit > 0 || s.Cold(now) {
			// Those that bear a bounded rate spread returns by themselves.
			return time.Time{}, false
		}
		capacity = c.capacityOf(now, s)
	}
	asked := c.askedOf(req.Server)
	asked.decay(now, askedWindow)
	return c.book.Reserve(now, resv.Reservation{
		Origin: req.Origin, Server: req.Server, Work: c.route(req.Route, 0).meanTime, Slots: capacity, Demand: asked.rate, Wait: wait,
		Earliest: now.Add(max(wait, minRetryDelay)),
		Latest:   now.Add(time.Duration(maxRetryDelayShare * float64(req.Deadline.Sub(now)))),
	})
}

// reservedWait returns how long requests with a reservation keep a server from one that would wait for some time.
func (c *Controller) reservedWait(now time.Time, s *server, w *waiter, wait time.Duration) time.Duration {
	if c.book == nil || w.earlier.Kept {
		return 0
	}
	work := c.book.Pending(now, s.ID, now.Add(wait))
	return time.Duration(float64(work) / max(s.slotCapacity(), 0.1))
}

// recordOutcome tells the book how a try ended.
func (c *Controller) recordOutcome(now time.Time, a admission, done Completion) {
	if c.book == nil || a.origin == 0 {
		return
	}
	switch done.Outcome {
	case Answered:
		c.book.Served(a.origin)
	case Full:
		c.book.Rejected(now, a.origin, done.Route)
	case Failed, Lost, NotOwner, Unsent, Cancelled:
	}
}

// LoadCounts counts what a controller did under load since the start.
type LoadCounts struct {
	resv.Counts
	// PushedOut counts the requests that were rejected after they had waited, for callers that had had less.
	PushedOut int
}

// LoadCounts returns the counts since the start.
func (c *Controller) LoadCounts() LoadCounts {
	out := LoadCounts{PushedOut: c.pushedOut}
	if c.book != nil {
		out.Counts = c.book.Counts()
	}
	return out
}
