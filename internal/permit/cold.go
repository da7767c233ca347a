package permit

import (
	"slices"
	"time"
)

// A server that is cold takes few requests in a second, whoever sends them, and crashes well above that. Its slots do
// not bound that: a fast one runs several times as many. So its keeper counts them.
//
// The keeper stays at the rate that the server states. What is allowed above it is for what a keeper cannot know: one
// that has just taken over from another, requests that arrive together although they were sent one after the other.

const (
	// coldWindow is the least span over which the requests to a cold server are counted: a second, and what
	// they may come closer to one another on their way.
	coldWindow = 1100 * time.Millisecond
	// coldFirstShare is the part of that for a keeper that has not sent the server anything of late: another one may have.
	// Where instances are lost and cut off together, callers turn to several keepers within a second.
	coldFirstShare = 0.3
	// coldSlowdown is the factor by which work takes longer on a cold server.
	coldSlowdown = 2
)

// coldLimit returns how many requests a cold server may get in a span.
func (s *server) coldLimit(now time.Time) (most int, window time.Duration) {
	most = max(int(s.ColdRate), 1)
	window = max(time.Duration(float64(most)/s.ColdRate*float64(time.Second)), coldWindow)
	if now.Sub(s.coldFrom) < window {
		most = max(int(coldFirstShare*float64(most)), 1)
	}
	return most, window
}

// coldTurn returns when a request may be sent that has a number of others ahead of it: now, unless the server is cold.
func (s *server) coldTurn(now time.Time, ahead int) time.Time {
	if !s.Cold(now) {
		return now
	}
	most, window := s.coldLimit(now)
	turn := now
	switch before := len(s.coldSent) + ahead - most; {
	case before < 0:
		return now
	case before < len(s.coldSent):
		turn = s.coldSent[before].Add(window)
	default:
		turn = s.coldTurn(now, before-len(s.coldSent)).Add(window)
	}
	if turn.After(s.WarmAt) {
		return s.WarmAt
	}
	return turn
}

// noteCold takes in that a request is sent to a cold server.
func (s *server) noteCold(now time.Time) {
	_, window := s.coldLimit(now)
	if last := len(s.coldSent) - 1; last < 0 || now.Sub(s.coldSent[last]) >= 2*window {
		s.coldFrom = now
	}
	s.coldSent = slices.DeleteFunc(s.coldSent, func(at time.Time) bool { return now.Sub(at) >= window })
	s.coldSent = append(s.coldSent, now)
}
