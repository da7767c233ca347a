package cmds

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// Limits of a command's calls to the log.
const (
	maxReadRecords    = 1000
	readTimeout       = 500 * time.Millisecond
	initialRetryDelay = 100 * time.Millisecond
)

// bundleLog reads the log for one command and folds it into a state.
type bundleLog struct {
	log     logcl.Log
	anchors []bundle.Signer
	state   *fold.State
	// from is the offset of the next read. It is above state.Next while records after a gap are
	// skipped in search of a checkpoint.
	from    uint64
	records []foldedRecord
}

// foldedRecord is a log entry with the result of folding it.
type foldedRecord struct {
	entry  record.Entry
	result fold.Result
}

// newBundleLog returns a bundleLog at the start of the log. The anchors are the signers whose first
// bundle is trusted.
func newBundleLog(log logcl.Log, anchors []bundle.Signer) *bundleLog {
	return &bundleLog{log: log, anchors: anchors, state: fold.New(anchors)}
}

// errNoAnswer is returned if the log does not answer in time.
var errNoAnswer = errors.New("cmds: the log does not answer; repeat the same command")

// retry calls f, with backoff, until it succeeds, returns an error that isn't transient, or the
// context ends. The returned error has the code ExitUncertain if the last error was transient or the
// context ended, and ExitFailed otherwise.
func retry[T any](ctx context.Context, f func() (T, error)) (T, error) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRetryDelay
	var last error
	value, err := backoff.Retry(ctx, func() (T, error) {
		v, err := f()
		last = err
		if err != nil && !isTransient(err) {
			return v, backoff.Permanent(err)
		}
		return v, err
	}, backoff.WithBackOff(b), backoff.WithMaxElapsedTime(0))
	switch {
	case err == nil:
		return value, nil
	case isTransient(last) || ctx.Err() != nil:
		return value, &CommandError{Code: ExitUncertain, Err: fmt.Errorf("%w: %w", errNoAnswer, cmp.Or(last, err))}
	default:
		return value, &CommandError{Code: ExitFailed, Err: err}
	}
}

// isTransient reports whether a call to the log that failed with this error may succeed later.
func isTransient(err error) bool {
	return errors.Is(err, logcl.ErrUnavailable) || errors.Is(err, logcl.ErrRateLimited) || errors.Is(err, logcl.ErrUncertain)
}

// catchUp reads and folds the log up to its end, and at least up to the offset upTo.
func (l *bundleLog) catchUp(ctx context.Context, upTo uint64) error {
	for {
		batch, err := retry(ctx, func() (logcl.Batch, error) { return l.read(ctx) })
		if err != nil {
			return err
		}
		l.apply(batch)
		if l.from >= batch.Next && l.from >= upTo {
			return nil
		}
	}
}

// read returns the batch at l.from. If the log no longer holds that record, it continues at the
// oldest one.
func (l *bundleLog) read(ctx context.Context) (logcl.Batch, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := l.log.Read(bounded, l.from, maxReadRecords)
	if errors.Is(err, logcl.ErrGap) {
		l.from = batch.Oldest
		return l.log.Read(bounded, l.from, maxReadRecords)
	}
	return batch, err
}

// apply folds a batch. After a gap it skips records up to a checkpoint. If the log ends without one,
// it starts over at the oldest record with an empty state.
func (l *bundleLog) apply(batch logcl.Batch) {
	for i := range batch.Entries {
		e := batch.Entries[i]
		v := l.state.Apply(e)
		if _, gap := v.(fold.Gap); gap {
			l.from = e.Offset + 1
			continue
		}
		l.records = append(l.records, foldedRecord{entry: e, result: v})
		l.from = l.state.Next
		if l.state.Next <= e.Offset {
			return // the state of a checkpoint was adopted: read on from its offset
		}
	}
	if l.state.Next < l.from && l.from >= batch.Next {
		l.state = fold.NewAt(l.anchors, batch.Oldest)
		l.from = batch.Oldest
	}
}

// outcome returns the result of folding a statement, and the offset of its record: the first result
// that is not a rejection, or else the last rejection. It is nil if no record with the statement was
// read. Records are compared by their statement and not by their bytes, as the same bundle may be
// recorded whole or as a delta.
func (l *bundleLog) outcome(st bundle.Statement) (fold.Result, uint64) {
	id := st.ID()
	var last fold.Result
	var offset uint64
	for _, r := range l.records {
		if r.entry.ID != id {
			continue
		}
		if found, _, ok := statementIn(r.entry.Data); !ok || !bytes.Equal(found.Signature, st.Signature) {
			continue
		}
		last, offset = r.result, r.entry.Offset
		if _, rejected := r.result.(fold.Rejected); !rejected {
			return last, offset
		}
	}
	return last, offset
}

// submit appends a record unless its statement has already taken effect, reads the log up to the
// record, and returns the result of folding it and its offset.
//
// After a lost response of the log, submit retries or the operator repeats the command, so that the
// record may be appended twice. The ID of the statement is the same each time, and the fold lets the
// record take effect once.
func (l *bundleLog) submit(ctx context.Context, st bundle.Statement, r record.Record) (fold.Result, uint64, error) {
	data, err := record.Encode(r)
	if err != nil {
		return nil, 0, failed("%w", err)
	}
	if v, offset := l.outcome(st); v != nil {
		if _, rejected := v.(fold.Rejected); !rejected {
			return fold.Duplicate{}, offset, nil
		}
	}
	offset, err := retry(ctx, func() (uint64, error) { return l.log.Append(ctx, st.ID(), data) })
	if err != nil {
		return nil, 0, err
	}
	if err := l.catchUp(ctx, offset+1); err != nil {
		return nil, 0, err
	}
	v, at := l.outcome(st)
	if v == nil {
		return nil, 0, &CommandError{Code: ExitUncertain, Err: errNotReadBack}
	}
	return v, at, nil
}

// errNotReadBack is returned if the log acknowledged a record but does not return it: the log was
// replaced in between, or a checkpoint covers the record.
var errNotReadBack = errors.New("cmds: the log acknowledged the record but does not return it; check the status and repeat the command")
