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
	// registerEvery is how often an instance looks whether it still is registered, and the pause after a record that
	// the store refused.
	registerEvery = 400 * time.Millisecond
	// recordTime is how long a record that was sent may take until it is read: the store lets appends wait for one
	// another for two seconds.
	recordTime = 2500 * time.Millisecond
)

// registration decides when this instance writes itself into the register.
//
// The answer to a record may be lost, or may come too late where all instances start while the store is slow. The
// record is there all the same, so the register is read before it is written again: else each attempt makes all
// others wait longer.
type registration struct {
	// again is when the next record may be written.
	again time.Time
	// unknown says that it is not known whether the last one was.
	unknown bool
}

// due reports whether a record is to be written by an instance that knows itself to be registered, or not.
func (r *registration) due(registered bool, now time.Time) bool {
	if registered {
		r.unknown = false
		return false
	}
	return !now.Before(r.again)
}

// sent takes in how an attempt ended. It reports whether the record may be in the register.
func (r *registration) sent(err error, now time.Time) bool {
	if errors.Is(err, follow.ErrNotDone) {
		r.again = now.Add(registerEvery)
		return false
	}
	r.unknown = err != nil
	r.again = now.Add(recordTime)
	return true
}

// register writes this instance into the register, and again should its record be removed. The owners are followed
// from the first record on: they may be acted on only once this record is among them.
func (n *Node) register(ctx context.Context) error {
	var r registration
	following := false
	for ; ctx.Err() == nil; duty.Pause(ctx, registerEvery) {
		switch {
		case following && n.stopped():
		case r.due(n.holder.Registered(), time.Now()):
			err := n.putRecord(ctx, false)
			if err != nil {
				n.events.Note(event.Belief, "not-registered", "error", err)
			}
			if !r.sent(err, time.Now()) {
				continue
			}
			if following {
				n.readAgain(n.around.OwnersTopic)
				continue
			}
			following = true
			close(n.registered)
		case r.unknown && !n.topics[n.around.OwnersTopic].LastReadFailed():
			n.readAgain(n.around.OwnersTopic)
		}
	}
	return ctx.Err()
}
