package follow

import (
	"context"
	"time"

	"example.org/mustardring/internal/clock"
)

// fetchPause is the minimum time between a topic that was taken from a peer and the next read.
const fetchPause = 50 * time.Millisecond

// fetchFromPeers asks other instances for what this one lacks. It reports whether that made a read of the store
// needless. Meanwhile it applies updates of other instances.
func (w *Watch) fetchFromPeers(ctx context.Context) bool {
	r := PeerRequest{Topic: w.Topic, From: w.nextOffset, MinEnd: w.peerEnd}
	if w.needsSnapshot {
		r.From = -1
	}
	if w.isOverdue() && !w.needsSnapshot {
		r.MaxStaleness = w.MaxStaleness()
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
			if f.err != nil || ctx.Err() != nil || !w.applyFetched(ctx, f.update, r) {
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

// applyFetched applies the answer of another instance. It reports whether that has what was asked for.
func (w *Watch) applyFetched(ctx context.Context, p PeerUpdate, r PeerRequest) bool {
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
	return w.nextOffset >= r.MinEnd && (r.MaxStaleness == 0 || asOf != 0 && w.staleness(asOf) <= r.MaxStaleness)
}
