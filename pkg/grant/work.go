package grant

import (
	"errors"

	"example.org/mustardring/pkg/keys"
)

// Errors of work under a grant.
var (
	// ErrNotOwner is returned for a hash that the held set does not cover.
	ErrNotOwner = errors.New("grant: not the owner of the key")
	// ErrLapsed is returned when the deadline of the grant has passed.
	ErrLapsed = errors.New("grant: lapsed")
	// ErrEnded is returned by Check for work that has ended.
	ErrEnded = errors.New("grant: work has ended")
)

// Work is a request that runs under a grant.
type Work struct {
	holder *Holder
	hash   uint64
	tenure uint64
}

// Begin starts work on a hash, or returns ErrNotOwner or ErrLapsed: the request must then be
// refused as not run. The caller calls End when the request has run.
func (h *Holder) Begin(hash uint64) (*Work, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if keys.Find(h.ranges, hash) < 0 {
		return nil, ErrNotOwner
	}
	if h.config.Clock() >= h.deadline {
		return nil, ErrLapsed
	}
	w := &Work{holder: h, hash: hash, tenure: h.tenure}
	h.running[w] = struct{}{}
	return w, nil
}

// Check reports whether the work may still take effect. Call it right before each effect: a
// process that was paused since Begin may find that another server owns the key by now.
//
// A grant that lapsed in between, even if the ranges came back since, ends the right of work
// that began before: another server may have owned them meanwhile. Work in a range that a
// newer grant gave up keeps its right, since the leader waits until it is reported ended.
func (w *Work) Check() error {
	h := w.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, running := h.running[w]; !running {
		return ErrEnded
	}
	if w.tenure != h.tenure || h.config.Clock() >= h.deadline {
		return ErrLapsed
	}
	return nil
}

// End says that the request runs no more. Repeated calls do nothing.
func (w *Work) End() {
	w.holder.mu.Lock()
	defer w.holder.mu.Unlock()
	delete(w.holder.running, w)
}
