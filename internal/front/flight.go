package front

import (
	"context"
	"sync"
)

// inFlight counts the requests in progress.
type inFlight struct {
	mu    sync.Mutex
	count int
	// empty is closed when count falls to zero; nil while nobody waits.
	empty chan struct{}
}

func (i *inFlight) begin() {
	i.mu.Lock()
	i.count++
	i.mu.Unlock()
}

func (i *inFlight) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count--
	if i.count == 0 && i.empty != nil {
		close(i.empty)
		i.empty = nil
	}
}

func (i *inFlight) wait(ctx context.Context) error {
	i.mu.Lock()
	if i.count == 0 {
		i.mu.Unlock()
		return nil
	}
	if i.empty == nil {
		i.empty = make(chan struct{})
	}
	empty := i.empty
	i.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
