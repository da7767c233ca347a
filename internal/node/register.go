package node

import (
	"context"
	"errors"
	"time"

	"example.org/mustardring/internal/duty"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
)

// The pace of registration.
const (
	// registerInterval is how often an instance looks whether it still is registered, and the pause after a record that
	// the store refused.
	registerInterval = 400 * time.Millisecond
	// maxAppendTime is how long a record that was sent may take until it is read: the store lets appends wait for one
	// another for two seconds.
	maxAppendTime = 2500 * time.Millisecond
)

// registration decides when this instance writes itself into the register.
//
// The answer to a record may be lost, or may come too late where all instances start while the store is slow. The
// record is there all the same, so the register is read before it is written again: else each attempt makes all
// others wait longer.
type registration struct {
	// nextAt is when the next record may be written.
	nextAt time.Time
	// outcomeUnknown says that it is not known whether the last one was.
	outcomeUnknown bool
}

// due reports whether a record is to be written by an instance that knows itself to be registered, or not.
func (r *registration) due(registered bool, now time.Time) bool {
	if registered {
		r.outcomeUnknown = false
		return false
	}
	return !now.Before(r.nextAt)
}

// attempted takes in how an attempt ended. It reports whether the record may be in the register.
func (r *registration) attempted(err error, now time.Time) bool {
	if errors.Is(err, follow.ErrNotDone) {
		r.nextAt = now.Add(registerInterval)
		return false
	}
	r.outcomeUnknown = err != nil
	r.nextAt = now.Add(maxAppendTime)
	return true
}

// registerLoop writes this instance into the register, and again should its record be removed. The owners are followed
// from the first record on: they may be acted on only once this record is among them.
func (n *Node) registerLoop(ctx context.Context) error {
	var r registration
	following := false
	for ; ctx.Err() == nil; duty.Pause(ctx, registerInterval) {
		switch {
		case following && n.isStopping():
		case r.due(n.leases.Registered(), time.Now()):
			err := n.appendEntry(ctx, false)
			if err != nil {
				n.events.Note(event.Belief, "not-registered", "error", err)
			}
			if !r.attempted(err, time.Now()) {
				continue
			}
			if following {
				n.requestRead(n.platform.OwnersTopic)
				continue
			}
			following = true
			close(n.registered)
		case r.outcomeUnknown && !n.watches[n.platform.OwnersTopic].Unanswered():
			n.requestRead(n.platform.OwnersTopic)
		}
	}
	return ctx.Err()
}
