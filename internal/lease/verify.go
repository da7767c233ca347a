package lease

import (
	"context"
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
// If each incarnation has a name of its own there is nothing to verify: it rejects requests to another one.
func (lm *Manager) awaitVerified(ctx context.Context, server string, openedAt clock.Instant, firstGrant bool) error {
	if !lm.guards.verifyConnection || rules.NameOf(server) == server {
		return nil
	}
	rereadAt := openedAt
	if !firstGrant {
		rereadAt = openedAt.Add(lm.EntryDelay)
	}
	for reread := false; !lm.viewCurrentAt(openedAt) || !firstGrant && !lm.directoryCurrentAt(openedAt); {
		if !reread && lm.Clock.Now() >= rereadAt {
			reread = true
			lm.RereadOwners()
			if !firstGrant {
				lm.ReadDirectory(openedAt.Add(lm.EntryDelay))
			}
		}
		if !worker.Sleep(ctx, verifyInterval) {
			return ErrUnverified
		}
	}
	if !lm.Servers().Has(server) {
		return ErrServerGone
	}
	return nil
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
