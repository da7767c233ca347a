package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"example.org/mustardring/internal/duty"

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
	logTick          = 100 * time.Millisecond
	restoreInterval  = 5 * time.Second
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
	written      chan logcl.Written
	fetched      chan logcl.Fetched
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
			PerSecond: appendsPerSecond, Burst: appendBurst, Queue: appendQueue, Calls: maxAppendCalls, Random: random,
		}),
		reader: logcl.NewReader(logcl.ReaderConfig{
			Anchors: e.deps.Settings.Roots, Limit: maxReadEntries, PerSecond: readsPerSecond, Burst: readBurst, Random: random,
		}),
		checkpointer: logcl.NewCheckpointer(logcl.CheckpointerConfig{
			Instance: e.deps.Settings.Name, Incarnation: e.deps.Incarnation,
			Records: checkpointRecords, Interval: checkpointInterval, Grace: checkpointGrace,
		}),
		written: make(chan logcl.Written, maxAppendCalls),
		fetched: make(chan logcl.Fetched, 1),
	}
}

// runLog appends the records that the cores submit and passes the state read from the log to them.
func (e *Entry) runLog(ctx context.Context) error {
	d := newLogWorker(e)
	ticker := time.NewTicker(logTick)
	defer ticker.Stop()
	go d.fetch(ctx, d.reader.Start(e.now()))
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.append(ctx, logcl.Ticked{})
		case a := <-e.appends:
			d.append(ctx, logcl.Submitted{ID: a.ID, Record: a.Record})
		case w := <-d.written:
			d.append(ctx, w)
		case f := <-d.fetched:
			d.handleRead(ctx, f)
		}
	}
}

// append passes an event to the appender and performs its effects.
func (d *logWorker) append(ctx context.Context, ev logcl.AppendEvent) {
	if w, is := ev.(logcl.Written); is && w.Err != nil {
		d.entry.meter.LogAppendsFailed.Add(1)
		d.entry.deps.Logger.Warn("append-failed", "id", w.ID, "error", w.Err)
		d.entry.notifyLeaderCore(ctx, leader.LogFailed{})
	}
	for _, effect := range d.appender.Handle(d.entry.now(), ev) {
		switch f := effect.(type) {
		case logcl.Write:
			go d.write(ctx, f)
		case logcl.Acknowledged:
			d.entry.notifyLeaderCore(ctx, leader.Appended{ID: f.ID, Offset: f.Offset})
		case logcl.Dropped:
			d.entry.deps.Logger.Warn("append-dropped", "id", f.ID, "reason", f.Reason)
		case logcl.WakeAt:
			// The ticker fires more often than appends are retried.
		}
	}
}

// write makes one append call and sends the result to written.
func (d *logWorker) write(ctx context.Context, w logcl.Write) {
	bounded, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	d.entry.meter.LogAppends.Add(1)
	offset, err := d.entry.deps.Log.Append(bounded, w.ID, w.Data)
	select {
	case d.written <- logcl.Written{ID: w.ID, Offset: offset, Err: err}:
	case <-ctx.Done():
	}
}

// fetch waits until a read is due, makes it and sends the result to fetched.
func (d *logWorker) fetch(ctx context.Context, f logcl.Fetch) {
	duty.Pause(ctx, time.Duration(f.At-d.entry.now()))
	result := logcl.Fetched{Fetch: f, AskedAt: d.entry.now()}
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	d.entry.meter.LogReads.Add(1)
	result.Batch, result.Err = d.entry.deps.Log.Read(bounded, f.From, f.Limit)
	select {
	case d.fetched <- result:
	case <-ctx.Done():
	}
}

// handleRead passes the result of a read to the reader, performs its effects and starts the next
// read.
func (d *logWorker) handleRead(ctx context.Context, f logcl.Fetched) {
	d.oldest = f.Batch.Oldest
	d.current = false
	effects, next := d.reader.Handle(d.entry.now(), f)
	for _, effect := range effects {
		d.performReadEffect(ctx, effect)
	}
	d.checkpoint(ctx, logcl.Progressed{
		Next:   d.reader.State().Next,
		Oldest: d.oldest,
		Rank:   d.entry.rank(),
		Able:   d.current && d.reader.State().MayLead(),
	})
	go d.fetch(ctx, next)
}

func (d *logWorker) performReadEffect(ctx context.Context, effect logcl.ReadEffect) {
	logger := d.entry.deps.Logger
	switch f := effect.(type) {
	case logcl.Folded:
		d.handleFolded(ctx, f)
	case logcl.Current:
		d.current = true
		d.publish(ctx, f.AskedAt)
	case logcl.Gapped:
		logger.Warn("log-gap", "wanted", f.Wanted, "oldest", f.Oldest)
	case logcl.Restarted:
		logger.Warn("log-started-anew", "identity", f.Identity)
		d.append(ctx, logcl.LogRestarted{})
	case logcl.Unread:
		d.entry.meter.LogReadsFailed.Add(1)
		logger.Warn("log-unavailable", "error", f.Err)
		d.entry.notifyLeaderCore(ctx, leader.LogFailed{})
	}
}

// handleFolded handles one log entry that the reader has applied to its state or refused.
func (d *logWorker) handleFolded(ctx context.Context, f logcl.Folded) {
	if v, refused := f.Verdict.(fold.Refused); refused {
		d.entry.meter.RecordsRefused.Add(1)
		d.entry.deps.Logger.Warn("record-refused", "offset", v.Offset, "cause", v.Cause, "reason", v.Reason)
	}
	d.append(ctx, logcl.Seen{ID: f.Entry.ID, Offset: f.Entry.Offset})
	if _, accepted := f.Verdict.(fold.Accepted); !accepted {
		return
	}
	r, err := record.Decode(f.Entry.Data)
	if err != nil {
		return
	}
	d.checkpoint(ctx, logcl.Met{ID: f.Entry.ID, Offset: f.Entry.Offset, Record: r})
}

// checkpoint passes an event to the checkpointer and performs its effects.
func (d *logWorker) checkpoint(ctx context.Context, ev logcl.CheckpointEvent) {
	for _, effect := range d.checkpointer.Handle(d.entry.now(), ev) {
		switch f := effect.(type) {
		case logcl.SubmitMark:
			d.submit(ctx, f.ID, func() (record.Record, error) { return d.reader.State().Mark(d.entry.deps.Settings.Name) })
		case logcl.SubmitCheckpoint:
			d.submit(ctx, f.ID, func() (record.Record, error) { return d.reader.State().Checkpoint() })
		}
	}
}

func (d *logWorker) submit(ctx context.Context, id string, make func() (record.Record, error)) {
	r, err := make()
	if err != nil {
		d.entry.deps.Logger.Warn("checkpoint-failed", "id", id, "error", err)
		return
	}
	d.append(ctx, logcl.Submitted{ID: id, Record: r})
}

// publish passes the state read from the log to the other workers. The homes go first: the read
// lets the leader extend leases of services that may move between domains, and it must not extend
// them for ranges that the domain has lost since.
func (d *logWorker) publish(ctx context.Context, askedAt leader.Time) {
	e := d.entry
	view := d.reader.State().Snapshot()
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
		Assigned: view.Assigned[domain],
	})
	d.restoreBundle(ctx, view)
}

// restoreBundle appends the bundle in force to a log that lacks it because the log was reset or
// has lost records. A bundle version in force is never rolled back.
func (d *logWorker) restoreBundle(ctx context.Context, view *fold.State) {
	if d.entry.rank() > 0 || time.Now().Before(d.nextRestoreAt) {
		return
	}
	r, id, missing := d.entry.state.missing(view)
	if !missing {
		return
	}
	d.nextRestoreAt = time.Now().Add(restoreInterval)
	d.append(ctx, logcl.Submitted{ID: id, Record: r})
}
