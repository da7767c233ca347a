package entry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/record"
)

// appendLimit bounds one try of an append.
const appendLimit = 2 * time.Second

// runAppender appends the records of the core in their order, each again and again until the
// log acknowledges it. Repeats are harmless: the fold knows a record by its ID.
func (e *Entry) runAppender(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-e.appends:
			if err := e.append(ctx, a); err != nil {
				return err
			}
		}
	}
}

func (e *Entry) append(ctx context.Context, a leader.Append) error {
	data, err := record.Encode(a.Record)
	if err != nil {
		return err
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = 50 * time.Millisecond
	retry.MaxInterval = 2 * time.Second
	for {
		offset, err := e.appendOnce(ctx, a.ID, data)
		if err == nil {
			e.tell(ctx, leader.Appended{ID: a.ID, Offset: offset})
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		e.deps.Logger.Warn("append-failed", "id", a.ID, "error", err)
		e.tell(ctx, leader.LogFailed{})
		pause(ctx, retry.NextBackOff())
	}
}

func (e *Entry) appendOnce(ctx context.Context, id string, data []byte) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, appendLimit)
	defer cancel()
	return e.deps.Log.Append(bounded, id, data)
}
