package logcl

import (
	"context"
	"time"

	"example.org/mustardring/internal/fold"
)

// The time that one call may take, after which its answer counts as lost.
const (
	appendLimit = 5 * time.Second
	readLimit   = 5 * time.Second
)

// Clock returns the present time of a monotonic clock.
type Clock func() Time

// Reading is what came of one read.
type Reading struct {
	Effects []ReadEffect
	// State is a snapshot that nobody changes, set when Effects end with Current.
	State *fold.State
}

// Follow reads the log with a Reader until ctx ends, and hands each reading that says
// something to out. Nobody else may use the reader meanwhile.
func Follow(ctx context.Context, log Log, r *Reader, clock Clock, out chan<- Reading) error {
	fetch := r.Start(clock())
	for {
		if !waitFor(ctx, fetch.At-clock()) {
			return ctx.Err()
		}
		asked := clock()
		batch, err := readOnce(ctx, log, fetch)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		var reading Reading
		reading.Effects, fetch = r.Handle(clock(), Fetched{Fetch: fetch, AskedAt: asked, Batch: batch, Err: err})
		if len(reading.Effects) == 0 {
			continue
		}
		if _, current := reading.Effects[len(reading.Effects)-1].(Current); current {
			reading.State = r.State().Snapshot()
		}
		select {
		case out <- reading:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func readOnce(ctx context.Context, log Log, fetch Fetch) (Batch, error) {
	bounded, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	return log.Read(bounded, fetch.From, fetch.Limit)
}

func waitFor(ctx context.Context, d Time) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(time.Duration(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Keep runs an Appender until ctx ends. It takes events from in, which besides Submitted are
// Seen and LogRestarted from the reader, and hands Acknowledged and Dropped to out. The owner
// must go on reading out, or the appender stands still.
func Keep(ctx context.Context, log Log, a *Appender, clock Clock, in <-chan AppendEvent, out chan<- AppendEffect) error {
	written := make(chan Written, a.config.Calls)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		var event AppendEvent
		select {
		case event = <-in:
		case event = <-written:
		case <-wake.C:
			event = Ticked{}
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, effect := range a.Handle(clock(), event) {
			switch e := effect.(type) {
			case Write:
				go func() { written <- writeOnce(ctx, log, e) }()
			case WakeAt:
				wake.Reset(time.Duration(e.At - clock()))
			default:
				select {
				case out <- e:
				case <-ctx.Done():
					return ctx.Err()
				}
			}
		}
	}
}

func writeOnce(ctx context.Context, log Log, w Write) Written {
	bounded, cancel := context.WithTimeout(ctx, appendLimit)
	defer cancel()
	offset, err := log.Append(bounded, w.ID, w.Data)
	return Written{ID: w.ID, Offset: offset, Err: err}
}
