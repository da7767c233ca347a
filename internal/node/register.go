package node

import (
	"context"
	"errors"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/worker"
)

const (
	// registerInterval is the time between two checks whether this instance is still registered, and the delay after
	// a record that the store refused.
	registerInterval = 400 * time.Millisecond
	// maxAppendTime is how long it may take until a record that was sent can be read: appends wait up to two seconds
	// for one another in the store.
	maxAppendTime = 2500 * time.Millisecond
)

// registration decides when this instance writes its record to the register.
//
// The answer to a write may be lost, or arrive too late when all instances start while the store is slow, although
// the record was written. So the register is read before the record is written again: otherwise each attempt would
// delay the records of all others.
type registration struct {
	// nextAt is when the next record may be written.
	nextAt time.Time
	// outcomeUnknown says that the last record may or may not have been written.
	outcomeUnknown bool
}

// due reports whether a record is to be written, given whether this instance finds itself in the register.
func (r *registration) due(registered bool, now time.Time) bool {
	if registered {
		r.outcomeUnknown = false
		return false
	}
	return !now.Before(r.nextAt)
}

// attempted records the result of a write. It reports whether the record may be in the register.
func (r *registration) attempted(err error, now time.Time) bool {
	if errors.Is(err, follow.ErrNotDone) {
		r.nextAt = now.Add(registerInterval)
		return false
	}
	r.outcomeUnknown = err != nil
	r.nextAt = now.Add(maxAppendTime)
	return true
}

// registerLoop registers this instance, and again if its record is removed. The owners are watched from the first
// record on: this instance may act on them only once its own record is among what it has read.
func (n *Node) registerLoop(ctx context.Context) error {
	var r registration
	following := false
	for ; ctx.Err() == nil; worker.Sleep(ctx, registerInterval) {
		switch {
		case following && n.isStopping():
		case r.due(n.leases.Registered(), time.Now()):
			err := n.appendEntry(ctx, false)
			if err != nil {
				n.events.Record(event.StateChange, "not-registered", "error", err)
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
		case r.outcomeUnknown && !n.watches[n.platform.OwnersTopic].LastReadFailed():
			n.requestRead(n.platform.OwnersTopic)
		}
	}
	return ctx.Err()
}
