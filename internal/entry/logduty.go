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

// Bounds of the traffic with the log. The rates are those of one instance.
const (
	readLimit       = 1000
	readWait        = 1500 * time.Millisecond
	readsPerSecond  = 100
	readBurst       = 20
	appendLimit     = 2 * time.Second
	appendPerSecond = 30
	appendBurst     = 20
	appendCalls     = 4
	appendQueue     = 4096
	logTick         = 100 * time.Millisecond
	provenAgain     = 5 * time.Second
)

// Bounds of checkpoints.
const (
	checkpointRecords  = 5000
	checkpointInterval = 30 * time.Minute
	checkpointGrace    = 5 * time.Second
)

// logDuty is all that this instance does with the log. Only the log duty touches it.
type logDuty struct {
	entry        *Entry
	appender     *logcl.Appender
	reader       *logcl.Reader
	checkpointer *logcl.Checkpointer
	written      chan logcl.WriteResult
	fetched      chan logcl.FetchResult
	oldest       uint64
	current      bool
	// provenAt is when the bundle in force may be appended next, should the log lack it.
	provenAt time.Time
}

func newLogDuty(e *Entry) *logDuty {
	random := rand.New(rand.NewPCG(e.deps.Incarnation, 0))
	return &logDuty{
		entry: e,
		appender: logcl.NewAppender(logcl.AppenderConfig{
			PerSecond: appendPerSecond, Burst: appendBurst, MaxQueued: appendQueue, MaxCalls: appendCalls, Random: random,
		}),
		reader: logcl.NewReader(logcl.ReaderConfig{
			Anchors: e.deps.Settings.Roots, MaxEntries: readLimit, PerSecond: readsPerSecond, Burst: readBurst, Random: random,
		}),
		checkpointer: logcl.NewCheckpointer(logcl.CheckpointerConfig{
			Instance: e.deps.Settings.Name, Incarnation: e.deps.Incarnation,
			MaxRecords: checkpointRecords, Interval: checkpointInterval, RankDelay: checkpointGrace,
		}),
		written: make(chan logcl.WriteResult, appendCalls),
		fetched: make(chan logcl.FetchResult, 1),
	}
}

// runLog appends what the cores ask for and tells them what the log says.
func (e *Entry) runLog(ctx context.Context) error {
	d := newLogDuty(e)
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
			d.read(ctx, f)
		}
	}
}

// append hands an event to the appender and carries out what it decides.
func (d *logDuty) append(ctx context.Context, ev logcl.AppendEvent) {
	if w, is := ev.(logcl.WriteResult); is && w.Err != nil {
		d.entry.meter.LogAppendsFailed.Add(1)
		d.entry.deps.Logger.Warn("append-failed", "id", w.ID, "error", w.Err)
		d.entry.tell(ctx, leader.LogFailed{})
	}
	for _, effect := range d.appender.Handle(d.entry.now(), ev) {
		switch f := effect.(type) {
		case logcl.Write:
			go d.write(ctx, f)
		case logcl.Acknowledged:
			d.entry.tell(ctx, leader.Appended{ID: f.ID, Offset: f.Offset})
		case logcl.Dropped:
			d.entry.deps.Logger.Warn("append-dropped", "id", f.ID, "reason", f.Reason)
		case logcl.WakeAt:
			// The ticker is finer than the pace of retries.
		}
	}
}

func (d *logDuty) write(ctx context.Context, w logcl.Write) {
	bounded, cancel := context.WithTimeout(ctx, appendLimit)
	defer cancel()
	d.entry.meter.LogAppends.Add(1)
	offset, err := d.entry.deps.Log.Append(bounded, w.ID, w.Data)
	select {
	case d.written <- logcl.WriteResult{ID: w.ID, Offset: offset, Err: err}:
	case <-ctx.Done():
	}
}

func (d *logDuty) fetch(ctx context.Context, f logcl.Fetch) {
	duty.Pause(ctx, time.Duration(f.At-d.entry.now()))
	result := logcl.FetchResult{Fetch: f, AskedAt: d.entry.now()}
	bounded, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	d.entry.meter.LogReads.Add(1)
	result.Batch, result.Err = d.entry.deps.Log.Read(bounded, f.From, f.Limit)
	select {
	case d.fetched <- result:
	case <-ctx.Done():
	}
}

// read hands the answer of a read to the reader, carries out what it decides and reads on.
func (d *logDuty) read(ctx context.Context, f logcl.FetchResult) {
	d.oldest = f.Batch.Oldest
	d.current = false
	effects, next := d.reader.Handle(d.entry.now(), f)
	for _, effect := range effects {
		d.perform(ctx, effect)
	}
	d.checkpoint(ctx, logcl.ReadProgress{
		Next:     d.reader.State().Next,
		Oldest:   d.oldest,
		Rank:     d.entry.rank(),
		CanWrite: d.current && d.reader.State().MayLead(),
	})
	go d.fetch(ctx, next)
}

func (d *logDuty) perform(ctx context.Context, effect logcl.ReadEffect) {
	logger := d.entry.deps.Logger
	switch f := effect.(type) {
	case logcl.EntryApplied:
		d.folded(ctx, f)
	case logcl.CaughtUp:
		d.current = true
		d.publish(ctx, f.AskedAt)
	case logcl.GapFound:
		logger.Warn("log-gap", "wanted", f.Wanted, "oldest", f.Oldest)
	case logcl.StateReset:
		logger.Warn("log-started-anew", "identity", f.Identity)
		d.append(ctx, logcl.LogReplaced{})
	case logcl.ReadFailed:
		d.entry.meter.LogReadsFailed.Add(1)
		logger.Warn("log-unavailable", "error", f.Err)
		d.entry.tell(ctx, leader.LogFailed{})
	}
}

func (d *logDuty) folded(ctx context.Context, f logcl.EntryApplied) {
	if v, refused := f.Result.(fold.Rejected); refused {
		d.entry.meter.RecordsRefused.Add(1)
		d.entry.deps.Logger.Warn("record-refused", "offset", v.Offset, "cause", v.Cause, "reason", v.Reason)
	}
	d.append(ctx, logcl.EntryRead{ID: f.Entry.ID, Offset: f.Entry.Offset})
	if _, accepted := f.Result.(fold.Accepted); !accepted {
		return
	}
	r, err := record.Decode(f.Entry.Data)
	if err != nil {
		return
	}
	d.checkpoint(ctx, logcl.RecordAccepted{ID: f.Entry.ID, Offset: f.Entry.Offset, Record: r})
}

func (d *logDuty) checkpoint(ctx context.Context, ev logcl.CheckpointEvent) {
	for _, effect := range d.checkpointer.Handle(d.entry.now(), ev) {
		switch f := effect.(type) {
		case logcl.SubmitMark:
			d.submit(ctx, f.ID, func() (record.Record, error) { return d.reader.State().NewMark(d.entry.deps.Settings.Name) })
		case logcl.SubmitCheckpoint:
			d.submit(ctx, f.ID, func() (record.Record, error) { return d.reader.State().NewCheckpoint() })
		}
	}
}

func (d *logDuty) submit(ctx context.Context, id string, make func() (record.Record, error)) {
	r, err := make()
	if err != nil {
		d.entry.deps.Logger.Warn("checkpoint-failed", "id", id, "error", err)
		return
	}
	d.append(ctx, logcl.Submitted{ID: id, Record: r})
}

// publish hands the folded state to the other duties. What it says of homes goes first: the
// read extends leases of services that may move, which must not reach ranges that the domain
// has lost meanwhile.
func (d *logDuty) publish(ctx context.Context, askedAt leader.Time) {
	e := d.entry
	view := d.reader.State().Snapshot()
	e.folded.Store(view)
	if e.state.follow(view) {
		e.enforced(ctx)
	}
	e.state.takeHomes(view.Homes)
	domain := e.deps.Settings.Domain
	e.tellHomes(ctx, homes.LogRead{State: view})
	e.tell(ctx, leader.LogRead{
		ReadAt:   askedAt,
		Term:     view.Terms[domain],
		Assigned: view.Assignments[domain],
	})
	d.restore(ctx, view)
}

// restore appends the bundle in force to a log that lacks it, because it started anew or
// lost records. A version in force never reverts.
func (d *logDuty) restore(ctx context.Context, view *fold.State) {
	if d.entry.rank() > 0 || time.Now().Before(d.provenAt) {
		return
	}
	r, id, missing := d.entry.state.missing(view)
	if !missing {
		return
	}
	d.provenAt = time.Now().Add(provenAgain)
	d.append(ctx, logcl.Submitted{ID: id, Record: r})
}
