package front

import (
	"context"
	"sync/atomic"
)

// inFlight counts the requests in progress.
type inFlight struct {
	count atomic.Int64
	// waited says that somebody waits for the count to fall to zero.
	waited atomic.Bool
	// empty has room for one token, which says that the count was zero.
	empty chan struct{}
}

func newInFlight() *inFlight {
	return &inFlight{empty: make(chan struct{}, 1)}
}

func (i *inFlight) begin() {
	i.count.Add(1)
}

func (i *inFlight) end() {
	if i.count.Add(-1) > 0 || !i.waited.Load() {
		return
	}
	select {
	case i.empty <- struct{}{}:
	default:
	}
}

// wait returns when nothing is in progress, or with the context's error.
func (i *inFlight) wait(ctx context.Context) error {
	i.waited.Store(true)
	for i.count.Load() > 0 {
		select {
		case <-i.empty:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
