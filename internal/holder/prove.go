package holder

import (
	"context"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/duty"
	"example.org/mustardring/internal/rules"
)

// prove waits until a grant to a life of a server is known to stand on a connection.
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
func (h *Manager) prove(ctx context.Context, server string, openedAt clock.Instant, first bool) error {
	if !h.guards.proving || rules.NameOf(server) == server {
		return nil
	}
	askAt := openedAt
	if !first {
		askAt = openedAt.Add(h.EntryDelay)
	}
	for asked := false; !h.newest(openedAt) || !first && !h.listed(openedAt); {
		if !asked && h.Clock.Now() >= askAt {
			asked = true
			h.RereadOwners()
			if !first {
				h.ReadDirectory()
			}
		}
		if !duty.Pause(ctx, proofPause) {
			return ErrUnverified
		}
	}
	if _, there := h.Servers()[server]; !there {
		return ErrServerGone
	}
	return nil
}

// newest reports whether what is known of the owners is known to have been the newest at an instant:
// from the store, or because all others have said since that they know of nothing newer. Whoever
// decides something is registered, and knows it. The latter bridges outages of the store for all, in
// which nothing is decided, but servers change hands between instances that stop and start.
func (h *Manager) newest(at clock.Instant) bool {
	return h.know.provenSince(at) || h.Roster.AllAgree(int64(at), h.know.get().End, time.Now())
}

// listed reports whether a server that had started by an instant would be known by now.
func (h *Manager) listed(at clock.Instant) bool {
	return h.Clock.Now().Add(-h.DirectoryAge()) >= at.Add(h.EntryDelay)
}

// provenSince reports whether the owners are known to have been the newest at an instant.
func (k *knowledge) provenSince(at clock.Instant) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.read && k.asOf >= at
}
