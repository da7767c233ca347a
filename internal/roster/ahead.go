package roster

import (
	"time"

	"example.org/mustardring/internal/clock"
)

// aheadSpan is how long a bound of the difference of two clocks is used: two to three of these. Clocks
// of sound machines drift by some 50 microseconds a second, a millisecond in that time.
const aheadSpan = 6 * time.Second

// ahead bounds from below how far this instance's lease clock is ahead of a peer's, so that what the peer
// sent can be dated by this instance's own clock, whatever time it was on its way.
//
// A heartbeat that the peer sent at s by its clock, after it had one that this instance sent at e by its
// own, was sent at e here or later: the difference is e - s or more. The greatest of late is the closest.
// What it lacks is the time from e to s: short when the peer answers at once.
//
// It guards against dating by receipt: messages are long on their way where a link is full, and what they tell
// would seem that much younger.
type ahead struct {
	current bound
	before  bound
	// turnAt is when current becomes before.
	turnAt clock.Instant
}

// bound is a lower bound of a difference of clocks, if it is set.
type bound struct {
	least clock.Instant
	set   bool
}

func (b *bound) raise(least clock.Instant) {
	if !b.set || least > b.least {
		*b = bound{least, true}
	}
}

// hear takes in when a heartbeat was sent by the peer's clock, and when the one was that it answers by
// this instance's.
func (a *ahead) hear(sentAt, echoAt, now clock.Instant) {
	if now >= a.turnAt {
		a.before, a.current = a.current, bound{}
		a.turnAt = now.Add(aheadSpan)
	}
	a.current.raise(echoAt - sentAt)
}

// date returns the earliest time here at which the peer can have sent something, false if there is no
// bound.
func (a *ahead) date(sentAt, now clock.Instant) (clock.Instant, bool) {
	if now.Sub(a.turnAt) > aheadSpan {
		return 0, false
	}
	best := a.before
	if a.current.set {
		best.raise(a.current.least)
	}
	return min(sentAt+best.least, now), best.set
}

// RecordEcho takes in what a heartbeat tells of its sender's clock, at a time of this instance's lease clock.
func (r *Roster) RecordEcho(b Heartbeat, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[b.Name]
	if p != nil && p.Incarnation == b.Incarnation && b.EchoAt > 0 {
		p.ahead.hear(clock.Instant(b.SentAt), clock.Instant(b.EchoAt), now)
	}
}

// EarliestSendTime returns the earliest time by this instance's lease clock at which another can have sent something,
// given when it did by its own. It returns false if that has no bound yet.
func (r *Roster) EarliestSendTime(name string, sentAt int64, now clock.Instant) (clock.Instant, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[name]
	if p == nil {
		return 0, false
	}
	return p.ahead.date(clock.Instant(sentAt), now)
}
