package follow

import (
	"context"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/logpos"
)

// PeerRequest asks another instance for what it knows of a topic.
type PeerRequest struct {
	Topic string
	// From is the offset after the last record that the sender knows. It is negative if the sender knows nothing, or
	// needs a snapshot.
	From logpos.Pos
	// MinEnd is the end of the topic that the answer must reach, if it is greater than From.
	MinEnd logpos.Pos
	// MaxStaleness is the maximum age of the answer; zero means any.
	MaxStaleness time.Duration
	// InForce asks for what the receiver acts on, which may be of an earlier era of the store than what it has read.
	InForce bool
	// Starting means that the sender has never known the topic. It is not transmitted.
	Starting bool
}

// PeerSource gets topics from other instances. Asking them costs the store nothing.
type PeerSource interface {
	// Fetch returns the records of a topic from PeerRequest.From on, or a snapshot. It fails if no instance is known
	// that may have what is asked for, or if none has it in time.
	Fetch(ctx context.Context, r PeerRequest) (PeerUpdate, error)
}

const (
	// fetchPause is the minimum time between a topic that was taken from a peer and the next read.
	fetchPause = 50 * time.Millisecond
	// maxDatingError is by how much the age of an answer of a peer may be overstated.
	maxDatingError = 30 * time.Millisecond
	// minAskInterval is the minimum time between two requests to other instances while the store is not read.
	minAskInterval = 200 * time.Millisecond
	// maxTransferTime is how long an answer may go on arriving beside a read of the store.
	maxTransferTime = 2 * time.Second
)

// fetch is a request to other instances in progress.
type fetch struct {
	request PeerRequest
	// reason is why the topic is to be read, neededAsOf the time up to which the answer must be complete, zero for any.
	reason     Reason
	neededAsOf clock.Instant
	// storeAt is when the store is read as well. Until the topic is known for the first time it may be
	// brought forward.
	storeAt time.Time
	// storeFailed means that the store was read meanwhile, in vain: the end of the request makes no read of it due.
	storeFailed bool
	// duringPause means that the request began during the delay after a failed read.
	duringPause bool
	cancel      context.CancelFunc
	ended       chan fetchResult
}

type fetchResult struct {
	update PeerUpdate
	err    error
}

// askPeers asks other instances for what this one lacks, unless they are being asked. It reports whether the store need
// not be read yet.
//
// The instances that are asked may stand still, or wait for others that do. So the watch goes on meanwhile, and reads the
// store beside them while what is left of the promise suffices for that.
func (w *Watch) askPeers(ctx context.Context, reason Reason) bool {
	switch {
	case w.Peers == nil || w.ReadsStore() || w.peersFailed:
		return false
	case w.fetch != nil:
		return !w.storeReadDue()
	}
	w.lastReason = reason
	w.startFetch(ctx, &fetch{reason: reason, storeAt: w.StoreDeadline(w.currentAge(), !w.loaded)})
	return true
}

// startFetch begins a request to other instances.
func (w *Watch) startFetch(ctx context.Context, f *fetch) {
	f.request, f.ended = w.peerRequest(), make(chan fetchResult, 1)
	if f.request.MaxStaleness > 0 {
		f.neededAsOf = w.Clock.Now().Add(-f.request.MaxStaleness)
	}
	if f.request.Starting {
		ctx, f.cancel = context.WithCancel(ctx)
	} else {
		ctx, f.cancel = context.WithDeadline(ctx, f.storeAt.Add(maxTransferTime))
	}
	go func() {
		p, err := w.Peers.Fetch(ctx, f.request)
		f.ended <- fetchResult{p, err}
	}()
	w.fetch = f
}

// askDuringPause asks other instances for what this one lacks during the delay after a failed read, at the end of which the
// store is read beside them: they may have read it meanwhile.
func (w *Watch) askDuringPause(ctx context.Context) {
	now := time.Now()
	pausing := w.Failures() > 0 && now.Before(w.pauseUntil)
	canAsk := w.Peers != nil && !w.ReadsStore() && w.fetch == nil && !now.Before(w.nextAskAt)
	if !pausing || !canAsk || !w.needsSnapshot && !w.isOverdue() {
		return
	}
	w.nextAskAt = now.Add(minAskInterval)
	w.startFetch(ctx, &fetch{reason: ReasonOverdue, storeAt: w.pauseUntil, storeFailed: true, duringPause: true})
}

// storeReadDue reports whether the store is to be read beside the request to other instances.
func (w *Watch) storeReadDue() bool {
	f := w.fetch
	if f.request.Starting && !f.duringPause {
		// What the instance learns meanwhile, such as how many others start as well, may bring the time forward.
		f.storeAt = clock.Earlier(f.storeAt, w.StoreDeadline(w.currentAge(), true))
	}
	return !time.Now().Before(f.storeAt)
}

// peerRequest returns a request for what this instance lacks.
func (w *Watch) peerRequest() PeerRequest {
	r := PeerRequest{Topic: w.Topic, From: w.nextOffset, MinEnd: max(w.peerEnd, logpos.Pos(w.requiredEnd.Load()), w.expiredEnd), Starting: !w.loaded}
	switch {
	case w.needsSnapshot:
		r.From = -1
	case w.isOverdue():
		now := w.Clock.Now()
		asOf := clock.Instant(w.requiredAsOf.Load())
		if w.MaxStaleness != nil {
			// With a younger answer than necessary, the next request is not due at once.
			asOf = max(asOf, now.Add(-w.MaxStaleness()/2))
		}
		r.MaxStaleness = now.Sub(asOf)
	}
	return r
}

// fetchEnded returns the channel on which the request to other instances reports its end, nil if there is none.
func (w *Watch) fetchEnded() <-chan fetchResult {
	if w.fetch == nil {
		return nil
	}
	return w.fetch.ended
}

// finishFetch applies the result of the request to other instances. It reports whether the store need not be read.
func (w *Watch) finishFetch(ctx context.Context, result fetchResult) bool {
	f := w.fetch
	f.cancel()
	w.fetch = nil
	if result.err != nil || ctx.Err() != nil || !w.applyFetched(ctx, f, result.update) {
		// If the store was read meanwhile, in vain, the others are asked first again.
		w.peersFailed = !f.storeFailed
		return false
	}
	w.loaded, w.startFailures, w.peersFailed = true, 0, false
	w.pauseFor(fetchPause)
	return true
}

// stopFetch ends the request to other instances, if there is one.
func (w *Watch) stopFetch() {
	if w.fetch != nil {
		w.fetch.cancel()
		<-w.fetch.ended
		w.fetch = nil
	}
}

// stopFetchIfDone ends the request to other instances if what it asked for has arrived another way.
func (w *Watch) stopFetchIfDone() {
	if f := w.fetch; f != nil && !w.needsSnapshot && w.nextOffset >= f.request.MinEnd && w.currentAsOf() >= f.neededAsOf && w.nextOffset > f.request.From {
		w.stopFetch()
	}
}

// applyFetched applies the answer of another instance. It reports whether the copy now reaches the end and the age that
// were asked for.
func (w *Watch) applyFetched(ctx context.Context, f *fetch, p PeerUpdate) bool {
	asOf := clock.Instant(0)
	if p.SentAt != 0 && p.Staleness >= 0 {
		asOf = p.SentAt.Add(-time.Duration(p.Staleness) * time.Millisecond)
	}
	w.applyPeerUpdate(ctx, p)
	if p.End >= w.nextOffset && asOf != 0 {
		w.readCurrentAsOf.Store(max(w.readCurrentAsOf.Load(), int64(asOf)))
	}
	w.ConfirmCurrent(p.End, asOf)
	if w.needsSnapshot {
		if !p.Snapshot || asOf == 0 {
			return false
		}
		w.needsSnapshot = false
	}
	return w.nextOffset >= f.request.MinEnd && asOf >= f.neededAsOf.Add(-maxDatingError)
}
