package admit

import (
	"slices"
	"time"
)

// A cold server handles only a few requests a second, from all instances together, and crashes well
// above that rate. Its slots do not bound the rate: a fast server runs several times as many
// requests a second. Therefore its controller counts the requests that it admits.
//
// The controller keeps to the rate that is stated for the server. The margin between that rate and
// the one at which the server crashes is for what a controller cannot know: the requests of a
// controller that it has just taken over from, and requests that arrive together although they were
// sent one after the other.

const (
	// minColdWindow is the shortest window in which the requests to a cold server are counted: a
	// second, and the time by which requests may come closer to one another on their way.
	minColdWindow = 1100 * time.Millisecond
	// coldFirstWindowShare is the fraction of the limit that applies in the first window in which a
	// controller sends to the server, as another controller may have sent to it just before. When
	// instances are lost and cut off at the same time, callers turn to several controllers within a
	// second.
	coldFirstWindowShare = 0.3
	// coldSlowdown is the factor by which requests take longer on a cold server.
	coldSlowdown = 2
)

// coldLimit returns how many requests a cold server may get in a window of time.
func (s *server) coldLimit(now time.Time) (limit int, window time.Duration) {
	limit = max(int(s.ColdRate), 1)
	window = max(time.Duration(float64(limit)/s.ColdRate*float64(time.Second)), minColdWindow)
	if now.Sub(s.coldRunStart) < window {
		limit = max(int(coldFirstWindowShare*float64(limit)), 1)
	}
	return limit, window
}

// coldSendTime returns when a request may be sent that has the given number of others ahead of it:
// now, unless the server is cold.
func (s *server) coldSendTime(now time.Time, ahead int) time.Time {
	if !s.Cold(now) {
		return now
	}
	limit, window := s.coldLimit(now)
	sendAt := now
	// At most limit requests are sent in a window: this one is sent a window after the request that
	// is limit places ahead of it.
	switch predecessor := len(s.coldSendTimes) + ahead - limit; {
	case predecessor < 0:
		return now
	case predecessor < len(s.coldSendTimes):
		sendAt = s.coldSendTimes[predecessor].Add(window)
	default:
		sendAt = s.coldSendTime(now, predecessor-len(s.coldSendTimes)).Add(window)
	}
	if sendAt.After(s.WarmAt) {
		return s.WarmAt
	}
	return sendAt
}

// recordColdSend records that a request is sent to a cold server. After a pause of two windows, the
// limit of the first window applies again.
func (s *server) recordColdSend(now time.Time) {
	_, window := s.coldLimit(now)
	if last := len(s.coldSendTimes) - 1; last < 0 || now.Sub(s.coldSendTimes[last]) >= 2*window {
		s.coldRunStart = now
	}
	s.coldSendTimes = slices.DeleteFunc(s.coldSendTimes, func(at time.Time) bool { return now.Sub(at) >= window })
	s.coldSendTimes = append(s.coldSendTimes, now)
}
