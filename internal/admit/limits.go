package admit

import (
	"sync"
	"time"
)

// StatedLimit is the limit that a response of a server states: the requests per second that it takes from all instances
// together.
type StatedLimit struct {
	// Known reports whether there was a response with a valid statement, or with none.
	Known bool
	// Rate is in requests per second, zero if the server states no limit.
	Rate float64
}

const (
	// ownStatementTime is how long what this instance has seen in responses goes before what others tell.
	ownStatementTime = 2 * time.Second
	// toldTime is how long a limit counts that another instance has told and not repeated.
	toldTime = 5 * time.Second
	// endedTime is for how long the end of a limit is remembered.
	endedTime = 10 * time.Second
	// maxLimitedServers is the number of servers whose limits are remembered. Beyond it, new ones are ignored.
	maxLimitedServers = 1 << 14
)

// The bounds of a limit in requests per second. A server that takes none still gets a request now and then, since
// only its responses tell when the limit has ended.
const (
	minLimit = 0.25
	maxLimit = 1e6
)

// NewStatedLimit returns the statement of a limit. Rate, which is not negative, is moved into the bounds of a limit.
func NewStatedLimit(rate float64) StatedLimit {
	return StatedLimit{Known: true, Rate: min(max(rate, minLimit), maxLimit)}
}

// valid reports whether the rate is zero or one that NewStatedLimit returns.
func (r StatedLimit) valid() bool { return r.Rate >= 0 && r.Rate <= maxLimit }

// Limits holds the limits that servers state, by the ID of their incarnation. Its methods are safe for concurrent use.
type Limits struct {
	mu      sync.Mutex
	servers map[string]limitEntry
}

// limitEntry is the limit of one server.
type limitEntry struct {
	// rate is zero if the limit has ended, which is kept for endedTime so that others learn of it.
	rate float64
	// seenAt is when a response last stated the limit or ended it, zero if this instance has only been told. In that case
	// the limit counts until toldUntil.
	seenAt    time.Time
	toldUntil time.Time
}

// NewLimits returns an empty set of limits.
func NewLimits() *Limits { return &Limits{servers: map[string]limitEntry{}} }

// Observe takes in the response to a request that was sent to a server at sentAt. It reports whether the limit of the
// server has changed.
//
// Responses arrive in any order. A response without a limit ends one only if its request was sent after the limit had
// been seen, so that the server made the response later.
func (l *Limits) Observe(server string, stated StatedLimit, sentAt, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.servers[server]
	switch {
	case !stated.Known || !stated.valid():
		return false
	case stated.Rate > 0:
		if !found && len(l.servers) >= maxLimitedServers {
			return false
		}
		l.servers[server] = limitEntry{rate: stated.Rate, seenAt: now}
		return known.rate != stated.Rate
	case !found || known.rate == 0 || !sentAt.After(known.seenAt):
		return false
	}
	l.servers[server] = limitEntry{seenAt: now}
	return true
}

// Tell takes in the limit of a server that another instance has seen, zero if it has ended. It reports whether the limit
// has changed.
func (l *Limits) Tell(server string, rate float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.servers[server]
	switch {
	case !(StatedLimit{Rate: rate}).valid(), now.Sub(known.seenAt) < ownStatementTime:
		return false
	case !found && len(l.servers) >= maxLimitedServers:
		return false
	case rate == 0:
		delete(l.servers, server)
		return known.rate != 0
	}
	l.servers[server] = limitEntry{rate: rate, toldUntil: now.Add(toldTime)}
	return known.rate != rate
}

// Rate returns the limit of a server in requests per second, zero if there is none.
func (l *Limits) Rate(server string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers[server].rate
}

// Seen returns the limits that this instance has seen in responses within a time, zero for those that have ended.
func (l *Limits) Seen(within time.Duration, now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]float64{}
	for server, known := range l.servers {
		if now.Sub(known.seenAt) < within {
			out[server] = known.rate
		}
	}
	return out
}

// Expire drops the limits that others have told and not repeated, and those of servers that do not exist any more. It
// returns the servers that have lost their limit.
func (l *Limits) Expire(exists func(server string) bool, now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for server, known := range l.servers {
		forgotten := !known.toldUntil.IsZero() && now.After(known.toldUntil)
		ended := known.rate == 0 && now.Sub(known.seenAt) > endedTime
		if forgotten || ended || !exists(server) {
			delete(l.servers, server)
			if known.rate != 0 {
				out = append(out, server)
			}
		}
	}
	return out
}
