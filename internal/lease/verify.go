package lease

import (
	"context"
	"errors"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/worker"
)

// awaitVerified blocks until a grant is known to be current on a connection to an incarnation of a server that
// was opened at openedAt. It returns ErrUnverified if ctx is done first.
//
// It prevents two faults when a server crashes and restarts under the same name without its state.
//
// First, the server releases keys that move away and crashes, and an instance that has missed the move renews
// the old lease at the new incarnation, so that two servers hold the keys. But the release came before the
// crash, and the crash before the connection to the new incarnation. If the view was current after
// that connection was opened, the instance knows of the move. On a connection to the old incarnation
// the server itself refuses the grant.
//
// Second, the server crashes, and by a renewal with the old fence the new incarnation gets the keys of the old
// one. So a renewal also waits until the directory would list a new incarnation.
//
// While the store is down, neither can be known of a new connection. Then it counts that the incarnation still ran after
// the connection was opened, as its answer on a connection shows that was verified earlier, of this instance or of another
// one: the new connection reaches the same incarnation, or an earlier one that has ended.
//
// If each incarnation has a name of its own there is nothing to verify: it rejects requests to another one.
func (r *renewer) awaitVerified(ctx context.Context, openedAt clock.Instant, firstGrant bool) error {
	lm := r.manager
	rereadAt := openedAt
	if !firstGrant {
		rereadAt = openedAt.Add(lm.EntryDelay)
	}
	err := r.verify(openedAt, firstGrant)
	for reread := false; errors.Is(err, ErrUnverified); err = r.verify(openedAt, firstGrant) {
		if !reread && lm.Clock.Now() >= rereadAt {
			reread = true
			lm.RereadOwners()
			if !firstGrant {
				lm.ReadDirectory(openedAt.Add(lm.EntryDelay))
			}
		}
		if lm.storeSeemsDown(openedAt) {
			r.queryIncarnation(time.Now())
		}
		if !worker.Sleep(ctx, verifyInterval) {
			return ErrUnverified
		}
	}
	return err
}

// verify returns nil if a grant is known to be current on a connection to the server that was opened at openedAt,
// ErrServerGone if the directory lists another incarnation, and ErrUnverified if neither is known.
func (r *renewer) verify(openedAt clock.Instant, firstGrant bool) error {
	lm := r.manager
	switch {
	case !lm.guards.verifyConnection || rules.NameOf(r.server.ID) == r.server.ID:
		return nil
	case !r.runsSince(openedAt) && (!lm.viewCurrentAt(openedAt) || !firstGrant && !lm.directoryCurrentAt(openedAt)):
		return ErrUnverified
	case !lm.Servers().Has(r.server.ID):
		return ErrServerGone
	default:
		return nil
	}
}

// queryAfter is the time after which other instances are asked about an incarnation although the copy of the directory is
// recent, in addition to the delay of directory entries. A read of the store takes a fraction of it.
const queryAfter = 100 * time.Millisecond

// storeSeemsDown reports whether a connection that was opened at openedAt is not going to be verified by the store soon.
func (lm *Manager) storeSeemsDown(openedAt clock.Instant) bool {
	return lm.DirectoryAge() > lm.EntryDelay || lm.Clock.Now() >= openedAt.Add(lm.EntryDelay+queryAfter)
}

// viewCurrentAt reports whether the view is known to have been the newest at an instant: from the store, or
// because all other instances have since reported that they know of nothing newer. That suffices because an
// instance that decides about owners is registered and knows its own decisions. It bridges outages of the
// store for all instances, in which nothing is decided but the responsibility for servers still passes between
// instances that stop and start.
func (lm *Manager) viewCurrentAt(at clock.Instant) bool {
	return lm.view.currentAt(at) || lm.Roster.AllAgree(int64(at), lm.view.get().End, time.Now())
}

// directoryCurrentAt reports whether the directory would by now list a server that had started by an instant.
func (lm *Manager) directoryCurrentAt(at clock.Instant) bool {
	return lm.Clock.Now().Add(-lm.DirectoryAge()) >= at.Add(lm.EntryDelay)
}

// currentAt reports whether the view is known to have been the newest at an instant.
func (v *localView) currentAt(at clock.Instant) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.loaded && v.currentAsOf >= at
}
