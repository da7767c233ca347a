package stated

import "time"

// Limit is the limit that a response of a server states: the requests per second that it takes from all instances together.
type Limit struct {
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
)

// The bounds of a limit in requests per second. A server that takes none still gets a request now and then, since
// only its responses tell when the limit has ended.
const (
	minLimit = 0.25
	maxLimit = 1e6
)

// NewLimit returns the statement of a limit. Rate, which is not negative, is moved into the bounds of a limit.
func NewLimit(rate float64) Limit {
	return Limit{Known: true, Rate: min(max(rate, minLimit), maxLimit)}
}

// valid reports whether the rate is zero or one that NewLimit returns.
func (l Limit) valid() bool { return l.Rate >= 0 && l.Rate <= maxLimit }

// limitEntry is the limit of one server.
type limitEntry struct {
	// rate is zero if there is no limit, or if it has ended, which is kept for endedTime so that others learn of it.
	rate float64
	// seenAt is when a response last stated the limit or ended it, zero if this instance has only been told. In that case
	// the limit counts until toldUntil.
	seenAt    time.Time
	toldUntil time.Time
}

// ObserveLimit takes in the response to a request that was sent to a server at sentAt. It reports whether the limit of the
// server has changed.
//
// Responses arrive in any order. A response without a limit ends one only if its request was sent after the limit had
// been seen, so that the server made the response later.
func (t *Table) ObserveLimit(server string, stated Limit, sentAt, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.limitOf(server)
	switch {
	case !stated.Known || !stated.valid():
		return false
	case stated.Rate > 0:
		t.entry(server).limit = limitEntry{rate: stated.Rate, seenAt: now}
		return known.rate != stated.Rate
	case known.rate == 0 || !sentAt.After(known.seenAt):
		return false
	}
	t.entry(server).limit = limitEntry{seenAt: now}
	return true
}

// TellLimit takes in the limit of a server that another instance has seen, zero if it has ended. It reports whether the
// limit has changed.
func (t *Table) TellLimit(server string, rate float64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.limitOf(server)
	switch {
	case !(Limit{Rate: rate}).valid(), now.Sub(known.seenAt) < ownStatementTime:
		return false
	case rate == 0 && known == (limitEntry{}):
		return false
	case rate == 0:
		t.entry(server).limit = limitEntry{}
		return known.rate != 0
	}
	t.entry(server).limit = limitEntry{rate: rate, toldUntil: now.Add(toldTime)}
	return known.rate != rate
}

// RateLimit returns the limit of a server in requests per second, zero if there is none.
func (t *Table) RateLimit(server string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limitOf(server).rate
}

// SeenLimits returns the limits that this instance has seen in responses within a time, zero for those that have ended.
func (t *Table) SeenLimits(within time.Duration, now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{}
	for server, e := range t.servers {
		if now.Sub(e.limit.seenAt) < within {
			out[server] = e.limit.rate
		}
	}
	return out
}

// limitOf returns the limit of a server, the zero value if there is none. The lock is held.
func (t *Table) limitOf(server string) limitEntry {
	if e := t.servers[server]; e != nil {
		return e.limit
	}
	return limitEntry{}
}

// expired reports whether the limit does not count any more: it was told and not repeated, or has ended long ago.
func (l limitEntry) expired(now time.Time) bool {
	return !l.toldUntil.IsZero() && now.After(l.toldUntil) || l.rate == 0 && now.Sub(l.seenAt) > endedTime
}
