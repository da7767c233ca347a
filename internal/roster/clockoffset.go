package roster

import (
	"time"

	"example.org/mustardring/internal/clock"
)

// offsetWindow is the period over which the best bound of a clock offset is determined. A bound is used for
// at most two to three such periods. Clocks of sound machines drift by some 50 microseconds per second, a
// millisecond in that time.
const offsetWindow = 6 * time.Second

// clockOffset holds a lower bound of the offset between this instance's lease clock and a peer's, local time
// minus peer time. It converts the time at which the peer sent a message to local time, however long the
// message was in transit.
//
// Suppose this instance sends a heartbeat at local time e, and the peer, having received it, sends one at
// peer time s. At that moment the local time is e or later, so the offset is at least e - s. The greatest
// recent bound is the closest. It is too low by the time between the two heartbeats, which is short if the
// peer replies at once.
//
// Dating messages by their time of receipt instead would be wrong: on a congested link they are in transit
// for long, and their content would seem younger than it is by that time.
type clockOffset struct {
	// current and previous are the best bounds of the current and of the previous period.
	current  lowerBound
	previous lowerBound
	// rotateAt is the local time at which current becomes previous.
	rotateAt clock.Instant
}

// lowerBound is a lower bound of a clock offset. It is not known unless set is true.
type lowerBound struct {
	offset clock.Instant
	set    bool
}

// raise replaces the bound by an offset that is greater.
func (b *lowerBound) raise(offset clock.Instant) {
	if !b.set || offset > b.offset {
		*b = lowerBound{offset, true}
	}
}

// record adds a heartbeat that the peer sent at the peer time sentAt, after it received one that this
// instance sent at the local time echoAt.
func (o *clockOffset) record(sentAt, echoAt, now clock.Instant) {
	if now >= o.rotateAt {
		o.previous, o.current = o.current, lowerBound{}
		o.rotateAt = now.Add(offsetWindow)
	}
	o.current.raise(echoAt - sentAt)
}

// earliestSendTime returns the earliest local time at which the peer can have sent a message whose peer
// time of sending is sentAt. It returns false if no recent bound is known.
func (o *clockOffset) earliestSendTime(sentAt, now clock.Instant) (clock.Instant, bool) {
	if now.Sub(o.rotateAt) > offsetWindow {
		return 0, false
	}
	best := o.previous
	if o.current.set {
		best.raise(o.current.offset)
	}
	return min(sentAt+best.offset, now), best.set
}

// RecordEcho updates the clock offset of the sender of a heartbeat that was received at the given time of
// this instance's lease clock.
func (r *Roster) RecordEcho(h Heartbeat, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[h.Name]
	if p != nil && p.Incarnation == h.Incarnation && h.EchoAt > 0 {
		p.clockOffset.record(clock.Instant(h.SentAt), clock.Instant(h.EchoAt), now)
	}
}

// EarliestSendTime returns the earliest time of this instance's lease clock at which another instance can
// have sent a message that it sent at sentAt by its own lease clock. It returns false if no recent bound
// of the offset between the two clocks is known.
func (r *Roster) EarliestSendTime(name string, sentAt int64, now clock.Instant) (clock.Instant, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[name]
	if p == nil {
		return 0, false
	}
	return p.clockOffset.earliestSendTime(clock.Instant(sentAt), now)
}
