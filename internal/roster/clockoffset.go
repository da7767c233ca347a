package roster

import (
	"time"

	"example.org/mustardring/internal/clock"
)

// offsetWindow is how long a bound of the difference of two clocks is used: two to three of these. Clocks
// of sound machines drift by some 50 microseconds a second, a millisecond in that time.
const offsetWindow = 6 * time.Second

// clockOffset bounds from below how far this instance's lease clock is ahead of a peer's, so that what the peer
// sent can be dated by this instance's own clock, whatever time it was on its way.
//
// A heartbeat that the peer sent at s by its clock, after it had one that this instance sent at e by its
// own, was sent at e here or later: the difference is e - s or more. The greatest of late is the closest.
// What it lacks is the time from e to s: short when the peer answers at once.
//
// It guards against dating by receipt: messages are long on their way where a link is full, and what they tell
// would seem that much younger.
type clockOffset struct {
	current  lowerBound
	previous lowerBound
	// rotateAt is when current becomes before.
	rotateAt clock.Instant
}

// lowerBound is a lower bound of a difference of clocks, if it is set.
type lowerBound struct {
	offset clock.Instant
	set    bool
}

func (b *lowerBound) raise(least clock.Instant) {
	if !b.set || least > b.offset {
		*b = lowerBound{least, true}
	}
}

// record takes in when a heartbeat was sent by the peer's clock, and when the one was that it answers by
// this instance's.
func (a *clockOffset) record(sentAt, echoAt, now clock.Instant) {
	if now >= a.rotateAt {
		a.previous, a.current = a.current, lowerBound{}
		a.rotateAt = now.Add(offsetWindow)
	}
	a.current.raise(echoAt - sentAt)
}

// earliestSendTime returns the earliest time here at which the peer can have sent something, false if there is no
// bound.
func (a *clockOffset) earliestSendTime(sentAt, now clock.Instant) (clock.Instant, bool) {
	if now.Sub(a.rotateAt) > offsetWindow {
		return 0, false
	}
	best := a.previous
	if a.current.set {
		best.raise(a.current.offset)
	}
	return min(sentAt+best.offset, now), best.set
}

// RecordEcho takes in what a heartbeat tells of its sender's clock, at a time of this instance's lease clock.
func (r *Roster) RecordEcho(b Heartbeat, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[b.Name]
	if p != nil && p.Incarnation == b.Incarnation && b.EchoAt > 0 {
		p.clockOffset.record(clock.Instant(b.SentAt), clock.Instant(b.EchoAt), now)
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
	return p.clockOffset.earliestSendTime(clock.Instant(sentAt), now)
}
