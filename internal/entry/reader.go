package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/bundle"
)

// Limits of reading the log.
const (
	readLimit = 1000
	readWait  = 1500 * time.Millisecond
	readRetry = 250 * time.Millisecond
)

// reader folds the log. Only the reader duty touches it.
type reader struct {
	entry *Entry
	state *fold.State
	// from is the offset of the next read. It is behind state.Next after a gap, while the
	// reader looks for a checkpoint.
	from uint64
}

// runReader reads the log as long as the instance runs, and tells the core what it says.
func (e *Entry) runReader(ctx context.Context) error {
	r := &reader{entry: e, state: fold.New(e.deps.Settings.Roots)}
	for ctx.Err() == nil {
		if err := r.read(ctx); err != nil && ctx.Err() == nil {
			e.tell(ctx, leader.LogFailed{})
			e.deps.Logger.Warn("log-unavailable", "error", err)
			pause(ctx, readRetry)
		}
	}
	return ctx.Err()
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// read takes one batch and publishes the state that results.
func (r *reader) read(ctx context.Context) error {
	began := r.entry.now()
	bounded, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	batch, err := r.entry.deps.Log.Read(bounded, r.from, readLimit)
	if errors.Is(err, logcl.ErrGap) {
		r.seek(batch)
		return nil
	}
	if err != nil {
		return fmt.Errorf("entry: reading the log: %w", err)
	}
	if batch.Next < r.state.Next {
		r.restart(batch)
		return nil
	}
	for _, entry := range batch.Entries {
		if !r.apply(entry) {
			r.restart(batch)
			return nil
		}
	}
	if r.state.Next < r.from && r.from >= batch.Next {
		r.entry.deps.Logger.Warn("log-gap-without-checkpoint", "oldest", batch.Oldest)
		r.state = fold.NewAt(r.entry.deps.Settings.Roots, batch.Oldest)
		r.from = batch.Oldest
		return nil
	}
	if r.from >= batch.Next {
		r.publish(ctx, began)
	}
	return nil
}

// seek goes to the oldest record that the log still has, to look for a checkpoint there.
func (r *reader) seek(batch logcl.Batch) {
	r.entry.deps.Logger.Warn("log-gap", "wanted", r.from, "oldest", batch.Oldest)
	r.from = batch.Oldest
}

// restart reads a log that started anew from its beginning. The bundle in force stays: the
// shared state takes only newer versions.
func (r *reader) restart(batch logcl.Batch) {
	r.entry.deps.Logger.Warn("log-started-anew", "next", batch.Next)
	r.state = fold.New(r.entry.deps.Settings.Roots)
	r.from = batch.Oldest
}

// apply folds one record. It reports false when the log is not the one read so far.
func (r *reader) apply(entry record.Entry) bool {
	switch v := r.state.Apply(entry).(type) {
	case fold.Refused:
		r.entry.deps.Logger.Warn("record-refused", "offset", v.Offset, "cause", v.Cause, "reason", v.Reason)
	case fold.Changed:
		return false
	case fold.Gap:
		r.from = entry.Offset + 1
		return true
	}
	r.from = max(entry.Offset+1, r.state.Next)
	return true
}

// publish hands the folded state to the other duties. What it says of homes goes first: the
// read extends leases of services that may move, which must not reach ranges that the domain
// has lost meanwhile.
func (r *reader) publish(ctx context.Context, began leader.Time) {
	e := r.entry
	view := r.state.Snapshot()
	e.folded.Store(view)
	e.enforce(ctx, view.InForce, view.Proof)
	domain := e.deps.Settings.Domain
	e.tell(ctx, logRead{state: view})
	e.tell(ctx, leader.Folded{
		ReadAt:   began,
		Term:     view.Terms[domain],
		Assigned: view.Assigned[domain],
	})
}

// enforce puts a bundle in force at this instance if it is newer than the one in force.
func (e *Entry) enforce(ctx context.Context, b *bundle.Bundle, proof bundle.Proof) {
	if !e.state.setBundle(b, proof) {
		return
	}
	e.deps.Logger.Info("bundle-in-force", "version", b.Version)
	e.tell(ctx, inForce{bundle: b})
}

// learn takes a bundle that another instance handed over, after checking its signatures and
// that it continues the history of the one in force.
func (e *Entry) learn(ctx context.Context, proof bundle.Proof) error {
	b, err := proof.Verify(e.deps.Settings.Roots)
	if err != nil {
		return err
	}
	_, held, _ := e.state.snapshot()
	if proof.Version() <= held.Version() {
		return nil
	}
	if err := proof.Extends(held, e.deps.Settings.Roots); err != nil {
		return err
	}
	e.enforce(ctx, b, proof)
	return nil
}
