package admit

import (
	"time"

	"example.org/mustardring/internal/clock"
)

// A server in need states how many requests a second it takes from all instances together. Its controller admits them
// one by one, an interval apart, and counts each attempt that it admits: the next one may be sent at a time that is
// stored. Time that is not used adds up to a small burst only, so that a controller that takes over from another, or one
// that was suspended, does not send a second allowance.

const (
	// maxLimitBurst is how much of the limit may be sent at once, in time, and at least one request.
	maxLimitBurst = 250 * time.Millisecond
	// standbyShare is the part of the limit that a controller uses while another one is in charge of the server: some
	// instances reach that one and some do not.
	standbyShare = 0.4
)

// limitInterval returns the time between two requests to a server at its limit.
func (s *server) limitInterval() time.Duration {
	return time.Duration(float64(time.Second) / s.RateLimit)
}

// limitBurst returns for how long the server may have been unused so that the next requests follow one another at once.
func (s *server) limitBurst() time.Duration { return max(maxLimitBurst, s.limitInterval()) }

// limitSendTime returns when a request may be sent that has the given number of others ahead of it: now, unless the server
// has stated a limit.
func (s *server) limitSendTime(now time.Time, ahead int) time.Time {
	if s.RateLimit <= 0 {
		return now
	}
	interval := s.limitInterval()
	at := s.limitNextAt.Add(interval - s.limitBurst() + time.Duration(ahead)*interval)
	return later(now, at)
}

// recordLimitedSend records that a request is sent to a server that has stated a limit.
func (s *server) recordLimitedSend(now time.Time, standby bool) {
	interval := s.limitInterval()
	if standby {
		interval = time.Duration(float64(interval) / standbyShare)
	}
	s.limitNextAt = later(s.limitNextAt, now).Add(interval)
}

// limitChanged takes in that the server has stated a limit, another one or none any more. Previous is the limit before,
// zero for none. With the first limit nothing may be sent for an interval.
func (s *server) limitChanged(previous float64, now time.Time) {
	switch {
	case s.RateLimit <= 0:
		s.limitNextAt = time.Time{}
	case previous <= 0:
		s.limitNextAt = now.Add(s.limitBurst())
	default:
		s.limitNextAt = clock.Earlier(s.limitNextAt, now.Add(s.limitBurst()))
	}
}

// sendTime returns when a request may be sent that has the given number of others ahead of it, as far as the rate of
// requests to the server is bounded.
func (s *server) sendTime(now time.Time, ahead int) time.Time {
	return later(s.coldSendTime(now, ahead), s.limitSendTime(now, ahead))
}

// boundedUntil returns until when the requests to the server have to be counted in one place, and false if they need not.
func (s *server) boundedUntil(now time.Time) (time.Time, bool) {
	switch {
	case s.RateLimit > 0:
		return now.Add(s.limitInterval()), true
	case s.Cold(now):
		return s.WarmAt, true
	}
	return time.Time{}, false
}

// bounded reports whether the requests to the server have to be counted in one place.
func (s *server) bounded(now time.Time) bool {
	_, bounded := s.boundedUntil(now)
	return bounded
}

// rejectUnfit rejects the requests that wait for one server and cannot be served in time under its limit.
func (c *Controller) rejectUnfit(now time.Time, s *server) []Decision {
	if s.RateLimit <= 0 {
		return nil
	}
	var out []Decision
	ahead := 0
	for _, w := range s.queue.inOrder() {
		wait := s.sendTime(now, ahead).Sub(now)
		if c.fits(now, w, wait) {
			ahead++
			continue
		}
		c.drop(w)
		out = append(out, c.rejection(now, w.Request, w.earlier, Overload, wait))
	}
	return out
}

// spreadReturn returns the delay after which a caller should come back that was rejected because of a limit, given the
// delay until there is room and the longest one that leaves time to serve it. The callers of one server get different
// times between the two, in turn.
func (s *server) spreadReturn(now time.Time, untilRoom, longest time.Duration) time.Duration {
	shortest := max(min(untilRoom, longest/2), minRetryDelay)
	s.nextReturnAt = later(s.nextReturnAt, now.Add(shortest))
	if s.nextReturnAt.Sub(now) > longest {
		s.nextReturnAt = now.Add(shortest)
	}
	delay := s.nextReturnAt.Sub(now)
	s.nextReturnAt = s.nextReturnAt.Add(max(min(s.limitInterval(), (longest-shortest)/minReturnSteps), time.Millisecond))
	return delay
}

// minReturnSteps is the minimum number of different times at which the callers of one server come back.
const minReturnSteps = 5

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
