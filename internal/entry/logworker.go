package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"example.org/mustardring/internal/worker"

	"example.org/mustardring/internal/fold"
	"example.org/mustardring/internal/homes"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/logcl"
	"example.org/mustardring/internal/record"
)

// Bounds of the calls to the log service. The rates are per instance.
const (
	maxReadEntries   = 1000
	readTimeout      = 1500 * time.Millisecond
	readsPerSecond   = 100
	readBurst        = 20
	appendTimeout    = 2 * time.Second
	appendsPerSecond = 30
	appendBurst      = 20
	maxAppendCalls   = 4
	appendQueue      = 4096
	// logTick is how often the appender checks for retries that are due.
	logTick = 100 * time.Millisecond
	// restoreInterval is the minimum time between two attempts to restore the bundle.
	restoreInterval = 5 * time.Second
)

// When a checkpoint is due; see logcl.CheckpointerConfig.
const (
	checkpointRecords  = 5000
	checkpointInterval = 30 * time.Minute
	checkpointGrace    = 5 * time.Second
)

// logWorker reads the log and appends to it. Its fields belong to the goroutine of runLog; calls
// to the log service run in goroutines of their own and return their results by the channels.
type logWorker struct {
	entry        *Entry
	appender     *logcl.Appender
	reader       *logcl.Reader
	checkpointer *logcl.Checkpointer
	written      chan logcl.WriteResult
	fetched      chan logcl.FetchResult
	// oldest is the offset of the oldest entry that the log retains, as of the last read.
	oldest uint64
	// current says that the last read reached the end of the log.
	current bool
	// nextRestoreAt is when the bundle in force may be appended again if the log lacks it.
	nextRestoreAt time.Time
}

func newLogWorker(e *Entry) *logWorker {
	random := rand.New(rand.NewPCG(e.deps.Incarnation, 0))
	return &logWorker{
		entry: e,
		appender: logcl.NewAppender(logcl.AppenderConfig{
			PerSecond: appendsPerSecond, Burst: appendBurst, MaxQueued: appendQueue, MaxCalls: maxAppendCalls, Random: random,
		}),
		reader: logcl.NewReader(logcl.ReaderConfig{
			Anchors: e.deps.Settings.Roots, MaxEntries: maxReadEntries, PerSecond: readsPerSecond, Burst: readBurst, Random: random,
		}),
		checkpointer: logcl.NewCheckpointer(logcl.CheckpointerConfig{
			Instance: e.deps.Settings.Name, Incarnation: e.deps.Incarnation,
			MaxRecords: checkpointRecords, Interval: checkpointInterval, RankDelay: checkpointGrace,
		}),
		written: make(chan logcl.WriteResult, maxAppendCalls),
		fetched: make(chan logcl.FetchResult, 1),
	}
}

// runLog appends the records that the cores submit and passes the state read from the log to them.
func (e *Entry) runLog(ctx context.Context) error {
	w := newLogWorker(e)
	ticker := time.NewTicker(logTick)
	defer ticker.Stop()
	go w.fetch(ctx, w.reader.Start(e.now()))
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			w.append(ctx, logcl.Ticked{})
		case a := <-e.appends:
			w.append(ctx, logcl.Submitted{ID: a.ID, Record: a.Record})
		case wr := <-w.written:
			w.append(ctx, wr)
		case f := <-w.fetched:
			w.handleRead(ctx, f)
		}
	}
}

// append passes an event to the appender and performs its effects.
func (w *logWorker) append(ctx context.Context, ev logcl.AppendEvent) {
	if wr, is := ev.(logcl.WriteResult); is && wr.Err != nil {
		w.entry.meter.LogAppendsFailed.Add(1)
		w.entry.deps.Logger.Warn("append-failed", "id", wr.ID, "error", wr.Err)
		w.entry.notifyLeaderCore(ctx, leader.LogFailed{})
	}
	for _, effect := range w.appender.Handle(w.entry.now(), ev) {
		switch f := effect.(type) {
		case logcl.Write:
			go w.write(ctx, f)
		case logcl.Acknowledged:
			w.entry.notifyLeaderCore(ctx, leader.Appended{ID: f.ID, Offset: f.Offset})
		case logcl.Dropped:
			w.entry.deps.Logger.Warn("append-dropped", "id", f.ID, "reason", f.Reason)
		case logcl.WakeAt:
			// The ticker fires more often than appends are retried.
		}
	}
}

// write makes one append call and sends the result to written.
func (w *logWorker) write(ctx context.Context, wr logcl.Write) {
	bounded, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	w.entry.meter.LogAppends.Add(1)
	offset, err := w.entry.deps.Log.Append(bounded, wr.ID, wr.Data)
	select {
	case w.written <- logcl.WriteResult{ID: wr.ID, Offset: offset, Err: err}:
	case <-ctx.Done():
	}
}

// fetch waits until a read is due, makes it and sends the result to fetched.
func (w *logWorker) fetch(ctx context.Context, f logcl.Fetch) {
	worker.Sleep(ctx, time.Duration(f.At-w.entry.now()))
	result := logcl.FetchResult{Fetch: f, AskedAt: w.entry.now()}
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	w.entry.meter.LogReads.Add(1)
	result.Batch, result.Err = w.entry.deps.Log.Read(bounded, f.From, f.Limit)
	select {
	case w.fetched <- result:
	case <-ctx.Done():
	}
}

// handleRead passes the result of a read to the reader, performs its effects and starts the next
// read.
func (w *logWorker) handleRead(ctx context.Context, f logcl.FetchResult) {
	w.oldest = f.Batch.Oldest
	w.current = false
	effects, next := w.reader.Handle(w.entry.now(), f)
	for _, effect := range effects {
		w.performReadEffect(ctx, effect)
	}
	w.checkpoint(ctx, logcl.ReadProgress{
		Next:     w.reader.State().Next,
		Oldest:   w.oldest,
		Rank:     w.entry.rank(),
		CanWrite: w.current && w.reader.State().MayLead(),
	})
	go w.fetch(ctx, next)
}

func (w *logWorker) performReadEffect(ctx context.Context, effect logcl.ReadEffect) {
	logger := w.entry.deps.Logger
	switch f := effect.(type) {
	case logcl.EntryApplied:
		w.handleFolded(ctx, f)
	case logcl.CaughtUp:
		w.current = true
		w.publish(ctx, f.AskedAt)
	case logcl.GapFound:
		logger.Warn("log-gap", "wanted", f.Wanted, "oldest", f.Oldest)
	case logcl.StateReset:
		logger.Warn("log-started-anew", "identity", f.Identity)
		w.append(ctx, logcl.LogReplaced{})
	case logcl.ReadFailed:
		w.entry.meter.LogReadsFailed.Add(1)
		logger.Warn("log-unavailable", "error", f.Err)
		w.entry.notifyLeaderCore(ctx, leader.LogFailed{})
	}
}

// handleFolded handles one log entry that the reader has applied to its state or rejected.
func (w *logWorker) handleFolded(ctx context.Context, f logcl.EntryApplied) {
	if v, rejected := f.Result.(fold.Rejected); rejected {
		w.entry.meter.RecordsRefused.Add(1)
		w.entry.deps.Logger.Warn("record-refused", "offset", v.Offset, "cause", v.Cause, "reason", v.Reason)
	}
	w.append(ctx, logcl.EntryRead{ID: f.Entry.ID, Offset: f.Entry.Offset})
	if _, accepted := f.Result.(fold.Accepted); !accepted {
		return
	}
	r, err := record.Decode(f.Entry.Data)
	if err != nil {
		return
	}
	w.checkpoint(ctx, logcl.RecordAccepted{ID: f.Entry.ID, Offset: f.Entry.Offset, Record: r})
}

// checkpoint passes an event to the checkpointer and performs its effects.
func (w *logWorker) checkpoint(ctx context.Context, ev logcl.CheckpointEvent) {
	for _, effect := range w.checkpointer.Handle(w.entry.now(), ev) {
		switch f := effect.(type) {
		case logcl.SubmitMark:
			w.submit(ctx, f.ID, func() (record.Record, error) { return w.reader.State().NewMark(w.entry.deps.Settings.Name) })
		case logcl.SubmitCheckpoint:
			w.submit(ctx, f.ID, func() (record.Record, error) { return w.reader.State().NewCheckpoint() })
		}
	}
}

// submit appends the record that make returns, under the given ID.
func (w *logWorker) submit(ctx context.Context, id string, make func() (record.Record, error)) {
	r, err := make()
	if err != nil {
		w.entry.deps.Logger.Warn("checkpoint-failed", "id", id, "error", err)
		return
	}
	w.append(ctx, logcl.Submitted{ID: id, Record: r})
}

// publish passes the state read from the log to the other workers. The homes go first: the read
// lets the leader extend leases of services that may move between domains, and it must not extend
// them for ranges that the domain has lost since.
func (w *logWorker) publish(ctx context.Context, askedAt leader.Time) {
	e := w.entry
	view := w.reader.State().Snapshot()
	e.logState.Store(view)
	if e.state.followLog(view) {
		e.applyBundle(ctx)
	}
	e.state.setHomes(view.Homes)
	domain := e.deps.Settings.Domain
	e.notifyHomesCore(ctx, homes.LogRead{State: view})
	e.notifyLeaderCore(ctx, leader.LogRead{
		ReadAt:   askedAt,
		Term:     view.Terms[domain],
		Assigned: view.Assignments[domain],
	})
	w.restoreBundle(ctx, view)
}

// restoreBundle appends the bundle in force to a log that lacks it because the log was reset or
// has lost records. A bundle version in force is never rolled back.
func (w *logWorker) restoreBundle(ctx context.Context, view *fold.State) {
	if w.entry.rank() > 0 || time.Now().Before(w.nextRestoreAt) {
		return
	}
	r, id, missing := w.entry.state.missing(view)
	if !missing {
		return
	}
	w.nextRestoreAt = time.Now().Add(restoreInterval)
	w.append(ctx, logcl.Submitted{ID: id, Record: r})
}
