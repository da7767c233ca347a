package grant

import (
	"errors"

	"example.org/mustardring/pkg/keys"
)

// Errors returned for work under a grant.
var (
	// ErrNotOwner is returned by Begin for a hash outside the granted ranges.
	ErrNotOwner = errors.New("grant: not the owner of the key")
	// ErrLapsed is returned by Begin and Check when the deadline of the grant has passed, and
	// by Check also when it passed since Begin and a newer grant was accepted afterwards.
	ErrLapsed = errors.New("grant: lease has expired")
	// ErrEnded is returned by Check after End.
	ErrEnded = errors.New("grant: work has ended")
)

// Work is a request that runs under a grant.
type Work struct {
	holder *Holder
	hash   uint64
	// generation is that of the holder when the work began.
	generation uint64
}

// Begin starts work on a hash. It returns ErrNotOwner or ErrLapsed if the server must not run
// the request; the server then answers that the request did not run. Otherwise the caller
// must call End when the request is done.
func (h *Holder) Begin(hash uint64) (*Work, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if keys.Find(h.ranges, hash) < 0 {
		return nil, ErrNotOwner
	}
	if h.config.Clock() >= h.deadline {
		return nil, ErrLapsed
	}
	w := &Work{holder: h, hash: hash, generation: h.generation}
	h.running[w] = struct{}{}
	return w, nil
}

// Check returns nil if the work may still have side effects, and otherwise ErrLapsed or
// ErrEnded. Call it right before each side effect: while the process was paused after Begin,
// another server may have become the owner of the key.
//
// If the grant expired after Begin, Check fails even if the server owns the range again:
// another server may have owned it in between. If a newer grant dropped the range before the
// old one expired, Check passes, because the leader does not grant the range elsewhere until
// the work is no longer reported in Answer.Draining.
func (w *Work) Check() error {
	h := w.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, running := h.running[w]; !running {
		return ErrEnded
	}
	if w.generation != h.generation || h.config.Clock() >= h.deadline {
		return ErrLapsed
	}
	return nil
}

// End marks the work as done, so that it no longer keeps its key from being granted to another
// server. Further calls have no effect.
func (w *Work) End() {
	w.holder.mu.Lock()
	defer w.holder.mu.Unlock()
	delete(w.holder.running, w)
}
