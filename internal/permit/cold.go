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
	// minColdWindow is the least span over which the requests to a cold server are counted: a second, and what
	// they may come closer to one another on their way.
	minColdWindow = 1100 * time.Millisecond
	// coldFirstWindowShare is the part of that for a keeper that has not sent the server anything of late: another one may have.
	// Where instances are lost and cut off together, callers turn to several keepers within a second.
	coldFirstWindowShare = 0.3
	// coldSlowdown is the factor by which work takes longer on a cold server.
	coldSlowdown = 2
)

// coldLimit returns how many requests a cold server may get in a span.
func (s *server) coldLimit(now time.Time) (most int, window time.Duration) {
	most = max(int(s.ColdRate), 1)
	window = max(time.Duration(float64(most)/s.ColdRate*float64(time.Second)), minColdWindow)
	if now.Sub(s.coldRunStart) < window {
		most = max(int(coldFirstWindowShare*float64(most)), 1)
	}
	return most, window
}

// coldSendTime returns when a request may be sent that has a number of others ahead of it: now, unless the server is cold.
func (s *server) coldSendTime(now time.Time, ahead int) time.Time {
	if !s.Cold(now) {
		return now
	}
	most, window := s.coldLimit(now)
	turn := now
	switch before := len(s.coldSendTimes) + ahead - most; {
	case before < 0:
		return now
	case before < len(s.coldSendTimes):
		turn = s.coldSendTimes[before].Add(window)
	default:
		turn = s.coldSendTime(now, before-len(s.coldSendTimes)).Add(window)
	}
	if turn.After(s.WarmAt) {
		return s.WarmAt
	}
	return turn
}

// recordColdSend takes in that a request is sent to a cold server.
func (s *server) recordColdSend(now time.Time) {
	_, window := s.coldLimit(now)
	if last := len(s.coldSendTimes) - 1; last < 0 || now.Sub(s.coldSendTimes[last]) >= 2*window {
		s.coldRunStart = now
	}
	s.coldSendTimes = slices.DeleteFunc(s.coldSendTimes, func(at time.Time) bool { return now.Sub(at) >= window })
	s.coldSendTimes = append(s.coldSendTimes, now)
}
