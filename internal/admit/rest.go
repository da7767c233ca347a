package admit

import (
	"time"
)

// A server in need rejects a request and asks the instance that sent it for rest. The controller sends that instance
// elsewhere until then. One rest says little about the requests of others: the server may have singled the instance out. Two
// that were asked of different instances, with no answer in between, are taken for a rest of all, or each instance would
// find out by itself. Now and then one that was not asked tries, as only a request shows that the server takes some again.
//
// The rests of all instances end at about the same time. The server then gets one request at a time, and one more for each
// that it answers, until its slots are in use.

const (
	// restProbeInterval is the time between two requests to a server while it rests for all instances, of those that it has
	// not asked for rest.
	restProbeInterval = 500 * time.Millisecond
	// minRestNews is by how much a rest must be longer than what is known of the same instance to count as another one.
	// Messages about a rest are repeated, and each takes another time.
	minRestNews = 300 * time.Millisecond
	// maxRestDelay bounds the delay after which a caller should come back whose request was rejected because of rests. By
	// then another instance may be served, or the key may have moved.
	maxRestDelay = 400 * time.Millisecond
	// maxRampTime is for how long after its last rest the requests at a server may be bounded.
	maxRampTime = 3 * time.Second
)

// rests holds the rests that a server has asked for.
type rests struct {
	// until holds, by instance, until when the server wants no requests of it. The last of these times is endsAt.
	until  map[string]time.Time
	endsAt time.Time
	// lastFrom is the instance whose rest ends last, at lastUntil. Until allUntil, that of another one has not ended either.
	lastFrom  string
	lastUntil time.Time
	allUntil  time.Time
	// askedAt is when the server last asked for rest.
	askedAt time.Time
	// probeAt is when a request may be sent although the server rests for all instances.
	probeAt time.Time
	// allowance is the number of requests that the server may have at a time until rampUntil.
	allowance int
	rampUntil time.Time
}

// Rest takes in that a server wants no requests of an instance until a time, and returns the decisions that follow. An empty
// name stands for the instance of the controller.
func (c *Controller) Rest(now time.Time, from, server string, until time.Time) []Decision {
	s := c.servers[server]
	if s == nil || until.Sub(s.rests.until[from]) < minRestNews {
		return nil
	}
	s.rests.ask(now, from, until)
	c.resting[s] = struct{}{}
	c.refresh(now, s)
	return append(c.rejectResting(now, s), c.Tick(now)...)
}

// ask records a rest.
func (r *rests) ask(now time.Time, from string, until time.Time) {
	if r.until == nil {
		r.until = map[string]time.Time{}
	}
	r.until[from] = until
	r.endsAt = later(r.endsAt, until)
	switch {
	case from == r.lastFrom:
		r.lastUntil = until
	case until.After(r.lastUntil):
		r.allUntil = r.lastUntil
		r.lastFrom, r.lastUntil = from, until
	default:
		r.allUntil = later(r.allUntil, until)
	}
	r.askedAt, r.probeAt = now, now.Add(restProbeInterval)
	r.allowance, r.rampUntil = 1, r.endsAt.Add(maxRampTime)
}

// answered takes in the answer to a request that was admitted at a time. One that came after the last rest was asked for
// shows that the server takes requests again, of instances that it has not asked.
func (r *rests) answered(admittedAt time.Time) {
	if r.allowance == 0 || !admittedAt.After(r.askedAt) {
		return
	}
	r.allowance++
	r.lastFrom, r.lastUntil, r.allUntil = "", time.Time{}, time.Time{}
}

// closedByRests reports whether a server gets no request of any instance now. While it rests for all, it still gets one now
// and then.
func (s *server) closedByRests(now time.Time) bool {
	return s.rests.allUntil.After(now) && (now.Before(s.rests.probeAt) || len(s.admissions) > 0)
}

// recordProbe records that a request is sent to a server that rests.
func (s *server) recordProbe(now time.Time) {
	if s.rests.allUntil.After(now) {
		s.rests.probeAt = now.Add(restProbeInterval)
	}
}

// restsFor reports whether a server wants no requests of an instance now.
func (s *server) restsFor(from string, now time.Time) bool { return s.rests.until[from].After(now) }

// ramped reports whether the number of requests at a server is bounded because it has asked for rest.
func (s *server) ramped(now time.Time) bool { return now.Before(s.rests.rampUntil) }

// room returns the number of requests that may be at a server, to run or to wait for a slot there.
func (s *server) room(now time.Time) int {
	room := s.Slots + maxWaitingAtServer
	if s.ramped(now) {
		return min(room, s.rests.allowance)
	}
	return room
}

// restCapacity returns what a server can run now, given what it could run if it had never asked for rest. Both are in slots.
func (s *server) restCapacity(capacity float64, now time.Time) float64 {
	switch {
	case s.closedByRests(now):
		return 0
	case s.ramped(now):
		return min(capacity, float64(s.rests.allowance))
	default:
		return capacity
	}
}

// refreshRests drops the rests of a server that are over, and the server from those that rest.
func (c *Controller) refreshRests(now time.Time, s *server) {
	if s.rests.endsAt.After(now) {
		return
	}
	s.rests.until = nil
	delete(c.resting, s)
}

// restEnd returns until when no server may get a request because of rests, and false if one may.
func (c *Controller) restEnd(now time.Time, req Request) (end time.Time, resting bool) {
	if req.Server != "" {
		return c.servers[req.Server].restEndFor(req.From, now)
	}
	if len(c.resting) < len(c.servers) {
		return time.Time{}, false
	}
	for s := range c.resting {
		until, rests := s.restEndFor(req.From, now)
		if !rests {
			return time.Time{}, false
		}
		if !resting || until.Before(end) {
			end, resting = until, true
		}
	}
	return end, resting
}

// restDelay returns after which time a caller should come back because of a rest, given its end.
func restDelay(now, until time.Time) time.Duration { return min(until.Sub(now), maxRestDelay) }

// restEndFor returns until when the server may get no request of an instance because of rests, and false if it may.
func (s *server) restEndFor(from string, now time.Time) (time.Time, bool) {
	if s.closedByRests(now) {
		return later(s.rests.allUntil, s.rests.until[from]), true
	}
	return s.rests.until[from], s.restsFor(from, now)
}

// rejectResting rejects the requests that wait for a server which has just asked for rest, and those that wait for any
// server if all rest for all instances.
func (c *Controller) rejectResting(now time.Time, s *server) []Decision {
	waiting := s.queue.inOrder()
	if c.allClosedByRests(now) {
		for _, w := range c.queued {
			if w.Server == "" {
				waiting = append(waiting, w)
			}
		}
	}
	var out []Decision
	for _, w := range waiting {
		if until, resting := c.restEnd(now, w.Request); resting {
			c.drop(w)
			rejected := c.rejection(now, w.Request, w.earlier, Resting, restDelay(now, until))
			rejected.Wait = until.Sub(now)
			out = append(out, rejected)
		}
	}
	return out
}

// allClosedByRests reports whether no server gets a request of any instance now.
func (c *Controller) allClosedByRests(now time.Time) bool {
	if len(c.resting) < len(c.servers) {
		return false
	}
	for s := range c.resting {
		if !s.closedByRests(now) {
			return false
		}
	}
	return true
}

// RestsUntil returns the servers that rest for all instances, as far as is known, and until when. An instance that is the
// only one to use a server stands for all. A controller that admits no requests to a server knows less of it than the one
// in charge.
func (c *Controller) RestsUntil(now time.Time) map[string]time.Time {
	out := map[string]time.Time{}
	for s := range c.resting {
		until := s.rests.allUntil
		if s.evidence.used && s.evidence.soleUser(now) {
			until = later(until, s.rests.lastUntil)
		}
		if until.After(now) {
			out[s.ID] = until
		}
	}
	return out
}

// maxPassedOver is the number of waiting requests that a server looks at for one whose instance it has not asked for rest.
const maxPassedOver = 8

// firstAccepted returns a request near the head of some ranks of a queue whose instance the server has not asked for rest, nil
// if there is none.
func (s *server) firstAccepted(q *queue, counts func(rank) bool, now time.Time) *waiter {
	left := maxPassedOver
	for _, rq := range q.ranks {
		if !counts(rq.rank) {
			continue
		}
		for item := range rq.waiters.All() {
			if left--; left < 0 {
				return nil
			}
			if !s.restsFor(item.Value.From, now) {
				return item.Value
			}
		}
	}
	return nil
}
