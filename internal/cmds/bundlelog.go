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

// Bounds of a command's dealings with the log.
const (
	bundleReadLimit   = 1000
	bundleReadWait    = 500 * time.Millisecond
	bundleRetryLowest = 100 * time.Millisecond
)

// bundleLog folds the log for one command.
type bundleLog struct {
	log     logcl.Log
	anchors []bundle.Signer
	state   *fold.State
	// from is the offset of the next read; behind a gap it is above state.Next.
	from   uint64
	judged []judged
}

// judged is a record that was read, with its verdict.
type judged struct {
	entry   record.Entry
	verdict fold.Result
}

func newBundleLog(log logcl.Log, anchors []bundle.Signer) *bundleLog {
	return &bundleLog{log: log, anchors: anchors, state: fold.New(anchors)}
}

// errNoAnswer says that the log did not answer in time.
var errNoAnswer = errors.New("cmds: the log does not answer; give the same command again")

// retry calls f until it succeeds, fails for good, or the context ends.
func retry[T any](ctx context.Context, f func() (T, error)) (T, error) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = bundleRetryLowest
	var last error
	value, err := backoff.Retry(ctx, func() (T, error) {
		v, err := f()
		last = err
		if err != nil && !passing(err) {
			return v, backoff.Permanent(err)
		}
		return v, err
	}, backoff.WithBackOff(b), backoff.WithMaxElapsedTime(0))
	switch {
	case err == nil:
		return value, nil
	case passing(last) || ctx.Err() != nil:
		return value, &CommandError{Code: ExitUncertain, Err: fmt.Errorf("%w: %w", errNoAnswer, cmp.Or(last, err))}
	default:
		return value, &CommandError{Code: ExitFailed, Err: err}
	}
}

// passing reports whether an error of the log may go away.
func passing(err error) bool {
	return errors.Is(err, logcl.ErrUnavailable) || errors.Is(err, logcl.ErrRateLimited) || errors.Is(err, logcl.ErrUncertain)
}

// catchUp reads to the end of the log, and at least up to an offset.
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

// read returns a batch. After a gap it returns the one that begins with the oldest record.
func (l *bundleLog) read(ctx context.Context) (logcl.Batch, error) {
	bounded, cancel := context.WithTimeout(ctx, bundleReadWait)
	defer cancel()
	batch, err := l.log.Read(bounded, l.from, bundleReadLimit)
	if errors.Is(err, logcl.ErrGap) {
		l.from = batch.Oldest
		return l.log.Read(bounded, l.from, bundleReadLimit)
	}
	return batch, err
}

// apply folds a batch. A reader that finds no checkpoint behind a gap starts at the oldest
// record.
func (l *bundleLog) apply(batch logcl.Batch) {
	for i := range batch.Entries {
		e := batch.Entries[i]
		v := l.state.Apply(e)
		if _, gap := v.(fold.Gap); gap {
			l.from = e.Offset + 1
			continue
		}
		l.judged = append(l.judged, judged{entry: e, verdict: v})
		l.from = l.state.Next
		if l.state.Next <= e.Offset {
			return // a checkpoint was taken over: read on from there
		}
	}
	if l.state.Next < l.from && l.from >= batch.Next {
		l.state = fold.NewAt(l.anchors, batch.Oldest)
		l.from = batch.Oldest
	}
}

// outcome returns the verdict on a statement: the first that let it take effect, or else the
// last refusal. It is nil if no record with the statement was read. The statement is what
// counts, not the bytes of the record, which may hold the bundle whole or as a delta.
func (l *bundleLog) outcome(st bundle.Statement) (fold.Result, uint64) {
	id := st.ID()
	var last fold.Result
	var offset uint64
	for _, j := range l.judged {
		if j.entry.ID != id {
			continue
		}
		if found, _, ok := statementIn(j.entry.Data); !ok || !bytes.Equal(found.Signature, st.Signature) {
			continue
		}
		last, offset = j.verdict, j.entry.Offset
		if _, refused := j.verdict.(fold.Rejected); !refused {
			return last, offset
		}
	}
	return last, offset
}

// submit appends a record unless it took effect before, reads the log back, and returns what
// became of the record.
//
// It guards against a lost answer, after which the command is given again or tries again by
// itself: the ID is the same each time, so the fold lets the record take effect once.
func (l *bundleLog) submit(ctx context.Context, st bundle.Statement, r record.Record) (fold.Result, uint64, error) {
	data, err := record.Encode(r)
	if err != nil {
		return nil, 0, failed("%w", err)
	}
	if v, offset := l.outcome(st); v != nil {
		if _, refused := v.(fold.Rejected); !refused {
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

// errNotReadBack says that the log acknowledged a record which it does not return: it started
// anew in between, or a checkpoint stands for the record.
var errNotReadBack = errors.New("cmds: the log does not return the record; look at the status and repeat the command")
