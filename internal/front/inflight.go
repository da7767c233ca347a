package front

import (
	"context"
	"sync/atomic"
)

// inFlight counts the requests in progress and lets one goroutine wait until there is none. Unlike
// with a sync.WaitGroup, requests may begin while it waits.
type inFlight struct {
	count atomic.Int64
	// hasWaiter says that wait was called.
	hasWaiter atomic.Bool
	// idle receives a value when the count falls to zero. Its buffer holds one value.
	idle chan struct{}
}

func newInFlight() *inFlight {
	return &inFlight{idle: make(chan struct{}, 1)}
}

func (i *inFlight) begin() {
	i.count.Add(1)
}

func (i *inFlight) end() {
	if i.count.Add(-1) > 0 || !i.hasWaiter.Load() {
		return
	}
	select {
	case i.idle <- struct{}{}:
	default:
	}
}

// wait returns when no request is in progress, or with the context's error.
func (i *inFlight) wait(ctx context.Context) error {
	i.hasWaiter.Store(true)
	for i.count.Load() > 0 {
		select {
		case <-i.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
