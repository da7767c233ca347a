package holder

import (
	"context"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/duty"
	"example.org/mustardring/internal/rules"
)

// awaitVerified waits until a grant to a life of a server is known to stand on a connection.
//
// It guards against two things that a server can bring about which crashes and starts again under
// its name, without a memory of before. First: it releases keys that move away, crashes, and an
// instance that has missed the move renews the grant of before at the new life; two servers then
// have the keys. The release came before the crash, the crash before the connection to the new life,
// and the proof is younger than that connection, so the instance knows of the move. On a connection
// to the life before the server itself refuses the grant. Second: it crashes, and the new life gets
// by a renewal, under the old fence, what the life before held. So before a renewal the directory
// must have had the time to tell of a new life.
//
// A life whose server has a name of its own needs no proof: the next one does not answer to it.
func (lm *Manager) awaitVerified(ctx context.Context, server string, openedAt clock.Instant, first bool) error {
	if !lm.guards.verifyConnection || rules.NameOf(server) == server {
		return nil
	}
	askAt := openedAt
	if !first {
		askAt = openedAt.Add(lm.EntryDelay)
	}
	for asked := false; !lm.viewCurrentAt(openedAt) || !first && !lm.directoryCurrentAt(openedAt); {
		if !asked && lm.Clock.Now() >= askAt {
			asked = true
			lm.RereadOwners()
			if !first {
				lm.ReadDirectory()
			}
		}
		if !duty.Pause(ctx, verifyInterval) {
			return ErrUnverified
		}
	}
	if _, there := lm.Servers()[server]; !there {
		return ErrServerGone
	}
	return nil
}

// viewCurrentAt reports whether what is known of the owners is known to have been the newest at an instant:
// from the store, or because all others have said since that they know of nothing newer. Whoever
// decides something is registered, and knows it. The latter bridges outages of the store for all, in
// which nothing is decided, but servers change hands between instances that stop and start.
func (lm *Manager) viewCurrentAt(at clock.Instant) bool {
	return lm.view.currentAt(at) || lm.Roster.Agreed(int64(at), lm.view.get().End, time.Now())
}

// directoryCurrentAt reports whether a server that had started by an instant would be known by now.
func (lm *Manager) directoryCurrentAt(at clock.Instant) bool {
	return lm.Clock.Now().Add(-lm.DirectoryAge()) >= at.Add(lm.EntryDelay)
}

// currentAt reports whether the owners are known to have been the newest at an instant.
func (k *localView) currentAt(at clock.Instant) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loaded && k.currentAsOf >= at
}
