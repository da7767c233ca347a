package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/join"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/worker"
)

const (
	// registerInterval is the time between two checks whether this instance is registered, and the delay after a record
	// that the store refused. After each further refusal the delay doubles, up to maxRegisterDelay.
	registerInterval = 400 * time.Millisecond
	maxRegisterDelay = 8 * time.Second
	// maxAppendTime is how long it may take until a record that was sent can be read: appends wait up to two seconds
	// for one another in the store.
	maxAppendTime = 2500 * time.Millisecond
	// seedRegisterTime is how long it may take until a record can be read that a seed was asked to write.
	seedRegisterTime = join.WriteTime + maxAppendTime
	// seedRenewInterval is the time between two requests to a seed, within which it does not give up.
	seedRenewInterval = join.WriteTime * 4 / 5
	// seedPatience is how long after its start an instance asks seeds, which may be starting as well, before it writes its
	// record to a slow store by itself.
	seedPatience = time.Second
	// lookupInterval is the time between two reads of the owners while the record of this instance is missing there.
	lookupInterval = 1500 * time.Millisecond
	// maxLookupAge is the maximum age of the owners that such a read returns.
	maxLookupAge = 500 * time.Millisecond
)

// registration decides when this instance writes its record to the register.
//
// The answer to a write may be lost, or arrive too late when all instances start while the store is slow, although
// the record was written. So a record is written again only if the owners, as they were known after the first one must
// have been written, do not contain it: otherwise each attempt would delay the records of all others.
type registration struct {
	// nextAt is when the next record may be written.
	nextAt time.Time
	// writtenBy is when the last record has been written if it ever is, zero if none was sent.
	writtenBy time.Time
	// end is the offset after the last record, zero if that is not known.
	end logpos.Pos
	// refusals is the number of records in a row that the store refused.
	refusals int
	// shared says that a seed is asked to write the record together with those of others. Each append takes the store as
	// long whatever its size, so it refuses most of those of hundreds of instances.
	shared bool
	// renewAt is when a seed is asked again to write the record, zero if none was asked.
	renewAt time.Time
}

// ownersKnowledge is what an instance knows of the topic that contains the register.
type ownersKnowledge struct {
	// Registered says that the instance finds itself in the register, as everyone does who reads it now.
	Registered bool
	// End is the offset after the last known record, AsOf a time at which no later one had been written.
	End  logpos.Pos
	AsOf time.Time
}

// due reports whether a record is to be written.
func (r *registration) due(known ownersKnowledge, now time.Time) bool {
	switch {
	case known.Registered || now.Before(r.nextAt):
		return false
	case r.writtenBy.IsZero():
		return true
	case r.end > 0:
		// The record was written, and is missing because another instance has removed it.
		return known.End >= r.end
	default:
		return known.AsOf.After(r.writtenBy)
	}
}

// attempted records the result of a write: the offset of the record, or an error.
func (r *registration) attempted(offset logpos.Pos, err error, now time.Time) {
	if errors.Is(err, follow.ErrNotDone) {
		mean := min(registerInterval<<min(r.refusals, 8), maxRegisterDelay)
		r.refusals++
		r.shared = true
		r.nextAt = now.Add(mean/2 + rand.N(mean))
		return
	}
	r.refusals, r.end, r.renewAt, r.writtenBy = 0, 0, time.Time{}, now.Add(maxAppendTime)
	if err == nil {
		r.end = offset + 1
	}
	r.nextAt = now.Add(registerInterval)
}

// delegated records that a seed writes the record.
func (r *registration) delegated(now time.Time) {
	r.refusals, r.end, r.shared, r.writtenBy = 0, 0, true, now.Add(seedRegisterTime)
	r.renewAt = now.Add(seedRenewInterval)
}

// renewalDue reports whether a seed is to be asked again, which has not written the record as far as is known.
func (r *registration) renewalDue(known ownersKnowledge, now time.Time) bool {
	return !known.Registered && !r.renewAt.IsZero() && !now.Before(r.renewAt)
}

// register has the record of this instance written, by a seed if the store has more to do than it can.
func (n *Node) register(ctx context.Context, r *registration) {
	if r.shared && n.registerThroughSeed(ctx) {
		r.delegated(time.Now())
		return
	}
	if n.start.storeSlow && time.Since(n.start.begunAt) < seedPatience {
		return
	}
	offset, err := n.appendEntry(ctx, false, -1)
	if err != nil {
		n.events.Record(event.StateChange, "not-registered", "error", err)
	}
	r.attempted(offset, err, time.Now())
}

// registerThroughSeed asks a seed, which may be this instance, to write the record, and reports whether it will.
func (n *Node) registerThroughSeed(ctx context.Context) bool {
	if slices.Contains(n.settings.Seeds, n.settings.ControlAddress) {
		n.joinMu.Lock()
		defer n.joinMu.Unlock()
		return n.joinBook.Register(n.joinRequest(true), time.Now())
	}
	reply, err := n.askSeeds(ctx, n.settings.Seeds)
	return err == nil && reply.Registers
}

// registerLoop registers this instance, and again if its record is removed.
func (n *Node) registerLoop(ctx context.Context) error {
	n.joinSources(ctx)
	r := registration{shared: n.start.storeSlow}
	if n.start.Registers {
		r.delegated(time.Now())
	}
	lookupAt, wasSuperseded := time.Now().Add(lookupInterval), false
	for ; ctx.Err() == nil; worker.Sleep(ctx, registerInterval) {
		now := time.Now()
		superseded := n.leases.Superseded()
		if superseded && !wasSuperseded {
			n.events.Record(event.StateChange, "registration-superseded", "instance", n.settings.Name, "incarnation", n.incarnation, "end", n.leases.Read().End)
		}
		wasSuperseded = superseded
		known := ownersKnowledge{Registered: n.leases.Registered(), End: n.leases.Read().End, AsOf: now.Add(-n.leases.ReadAge())}
		switch {
		case n.isStopping():
		case r.due(known, now):
			n.register(ctx, &r)
			lookupAt = now
		case r.renewalDue(known, now):
			r.renewAt = time.Time{}
			if n.registerThroughSeed(ctx) {
				r.delegated(time.Now())
			}
		case !known.Registered && !now.Before(lookupAt):
			lookupAt = now.Add(lookupInterval)
			n.watches[n.platform.OwnersTopic].Require(n.leases.Clock.Now().Add(-maxLookupAge))
			n.requestRead(n.platform.OwnersTopic)
		}
	}
	return ctx.Err()
}
