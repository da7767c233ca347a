package follow

import (
	"context"
	"time"

	"example.org/mustardring/internal/clock"
)

// fetchPause is the minimum time between a topic that was taken from a peer and the next read.
const fetchPause = 50 * time.Millisecond

// maxDatingError is by how much the age of an answer of a peer may be overstated.
const maxDatingError = 30 * time.Millisecond

// fetchFromPeers asks other instances for what this one lacks. It reports whether that made a read of the store
// needless. Meanwhile it applies updates of other instances.
func (w *Watch) fetchFromPeers(ctx context.Context) bool {
	r := PeerRequest{Topic: w.Topic, From: w.nextOffset, MinEnd: max(w.peerEnd, w.requiredEnd.Load(), w.expiredEnd)}
	neededAsOf := clock.Instant(0)
	switch {
	case w.needsSnapshot:
		r.From = -1
	case w.isOverdue():
		now := w.Clock.Now()
		neededAsOf = clock.Instant(w.requiredAsOf.Load())
		if w.MaxStaleness != nil {
			// With a younger answer than necessary, the next request is not due at once.
			neededAsOf = max(neededAsOf, now.Add(-w.MaxStaleness()/2))
		}
		r.MaxStaleness = now.Sub(neededAsOf)
	}
	type result struct {
		update PeerUpdate
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		p, err := w.Peers.Fetch(ctx, r)
		ended <- result{p, err}
	}()
	for {
		select {
		case f := <-ended:
			if f.err != nil || ctx.Err() != nil || !w.applyFetched(ctx, f.update, r.MinEnd, neededAsOf) {
				return false
			}
			w.loaded, w.startFailures = true, 0
			w.pauseFor(fetchPause)
			return true
		case p := <-w.PeerUpdates:
			w.applyPeerUpdate(ctx, p)
		}
	}
}

// applyFetched applies the answer of another instance. It reports whether the copy now reaches an end and is known to be
// complete up to an instant, zero for any.
func (w *Watch) applyFetched(ctx context.Context, p PeerUpdate, minEnd int64, neededAsOf clock.Instant) bool {
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
	return w.nextOffset >= minEnd && asOf >= neededAsOf.Add(-maxDatingError)
}
