package worker

import (
	"context"
	"time"
)

// Sleep sleeps for d and returns true, or returns false as soon as the context ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
