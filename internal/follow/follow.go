// Package follow delivers the records of a topic of the shared store, from which the receiver keeps a copy of
// the topic, and tracks as of when that copy is known to be complete.
package follow

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/logpos"
)

// The errors of a Store. After any error other than ErrConflict and ErrNotDone the call may have been carried
// out, or may still be carried out later.
var (
	// ErrConflict means that the topic did not end at the expected offset.
	ErrConflict = errors.New("follow: topic does not end at the expected offset")
	// ErrNotDone means that the store refused the call, which has had no effect.
	ErrNotDone = errors.New("follow: call refused by the store")
	// ErrUnknown means that the call may or may not have been carried out.
	ErrUnknown = errors.New("follow: outcome unknown")
	// ErrExpired means that the store no longer keeps the requested records.
	ErrExpired = errors.New("follow: records expired")
	// ErrReturned means that the store has come back from an older copy, so that the stated position names no record of the
	// present topic. The call has had no effect.
	ErrReturned = errors.New("follow: store has returned from a copy")
)

// Record is one record of a topic, with its position. An empty value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset logpos.Pos
}

// Batch holds records of a topic in the order of their positions, all of one era, and the position after the last record of
// the topic when they were read.
type Batch struct {
	Records []Record
	End     logpos.Pos
	// EraFault is why the era that the store stated was not believed; the last known one was used in its place.
	EraFault error `msgpack:"-"`
}

// Store is a client of the shared store, which holds topics of records with keys and offsets.
type Store interface {
	// Append appends records, all or none, if the topic ends at expectedEnd, or in any case if that is negative. It
	// returns the position of the first one.
	Append(ctx context.Context, topic string, records []Record, expectedEnd logpos.Pos) (logpos.Pos, error)
	// Read returns the records from a position on. If there are none it waits for some, at most for wait. With ErrExpired and
	// ErrReturned, the end of the batch is a position of the present era.
	Read(ctx context.Context, topic string, from logpos.Pos, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, topic string) (Batch, error)
}

// Reason says why the store was read. Calls to the store are expensive, so they are counted by reason.
type Reason string

// The reasons of reads.
const (
	// ReasonStarted is for the first read of a process, ReasonExpired for a read after the store has
	// dropped the records that come next.
	ReasonStarted Reason = "started"
	ReasonExpired Reason = "records-gone"
	// ReasonReturned is for a read after the store has come back from an older copy.
	ReasonReturned Reason = "store-returned"
	// ReasonReader is for reads of an instance that reads for the others.
	ReasonReader Reason = "in-charge"
	// ReasonOverdue is for a read because no confirmation came in time that the copy is complete, ReasonBehind
	// because another instance knows more, ReasonGap because an update of another instance left out records.
	ReasonOverdue Reason = "word-overdue"
	ReasonBehind  Reason = "behind-peer"
	ReasonGap     Reason = "news-missing"
)

// AnswerTimeout is how long a Store waits for each part of an answer, after the time for which a read waits
// for records, before it fails the call. When a fault ends while a call is pending, the rest of this timeout
// and the retry delay pass before the next call. Their sum must be well below the time within which
// changes must take effect.
const AnswerTimeout = 700 * time.Millisecond

// Update holds what was learned about a topic by a read or from another instance.
type Update struct {
	Topic string
	Batch
	// Reason is why the topic was read, empty for an update of another instance.
	Reason Reason
	// Snapshot means that Records holds the newest record of every key: other keys are deleted.
	Snapshot bool
	// Returned means that the store has come back from an older copy since the last update. What Snapshot lacks may be lost
	// only there, and what it holds may be outdated.
	Returned bool
	// From is the position from which the topic was read.
	From logpos.Pos
	// StartedAt is when the read started: no record that was acknowledged before is missing. It is zero for
	// an update of another instance.
	StartedAt clock.Instant
	// WaitDeadline is when the store was to answer at the latest, with or without records, and EndedAt when the
	// read ended. Both are zero for an update of another instance.
	WaitDeadline clock.Instant
	EndedAt      clock.Instant
	// WrittenAfter is a time after which the records were written; zero if that is not known.
	WrittenAfter clock.Instant
	// CurrentAsOf is a time up to which the topic had no records from End on, so that none was missing; zero if
	// there is no known one.
	CurrentAsOf clock.Instant
	// Overdue means that this instance read because no confirmation came in time that its copy is complete.
	// The other instances may not have had one either.
	Overdue bool
	// Err is why the read failed, nil if it succeeded.
	Err error
}

// PeerUpdate is a part of a topic that another instance read and passed on. It is encoded by position, so the
// order of its fields must not change.
type PeerUpdate struct {
	// From is the position from which the other instance read.
	From logpos.Pos
	// RecordAge is the maximum age of the oldest record, and Staleness the age of the sender's copy up to End,
	// both when the update was sent and in milliseconds. A negative Staleness means unknown.
	RecordAge int64
	Staleness int64
	Batch
	// Snapshot means that Records holds the newest record of every key before End: other keys are deleted.
	Snapshot bool
	// SentAt is the earliest time at which the update can have been sent, by the receiver's clock; zero if
	// that is not known. It is not transmitted; the receiver sets it.
	SentAt clock.Instant `msgpack:"-"`
}

// In returns an update with the positions that belong to no era in the given one. Releases that do not know eras send such
// updates, about the era of the receiver.
func (p PeerUpdate) In(era logpos.Era) PeerUpdate {
	p.From, p.End = p.From.In(era), p.End.In(era)
	p.Records = slices.Clone(p.Records)
	for i := range p.Records {
		p.Records[i].Offset = p.Records[i].Offset.In(era)
	}
	return p
}

// Watch delivers the records of one topic, by which the receiver of Out keeps its copy up to date. With many
// instances calls to the store are expensive, so most instances do not read: they take the updates that others
// have read, and read only when records are missing or another instance knows more.
type Watch struct {
	Store Store
	Topic string
	Clock clock.Clock
	// ReadsStore reports whether this instance reads the store regularly.
	ReadsStore func() bool
	// PollTimeout returns how long a read waits for records. A lost answer is detected only after that
	// time, because the store keeps the connection open.
	PollTimeout func() time.Duration
	// ReadInterval, if not nil, returns the delay between two reads, which then do not wait for records. That
	// takes fewer calls where updates also come another way.
	ReadInterval func() time.Duration
	// CatchUpFromSnapshot means that the instance reads only the newest records to catch up, and not those in
	// between. Twenty versions of a large configuration take a second on a link of 10 Mbit/s.
	CatchUpFromSnapshot bool
	// BatchDelay returns the delay before the next read after one that returned records. Changes that come
	// shortly after each other then take one call.
	BatchDelay func() time.Duration
	// Out receives the updates.
	Out chan<- Update
	// ReadNow asks for a read at once because another instance knows more.
	ReadNow <-chan struct{}
	// PeerUpdates delivers what other instances have read; it may be nil.
	PeerUpdates <-chan PeerUpdate
	// Peers, if not nil, is asked before the store, unless this instance reads the store regularly. If hundreds of
	// instances that start together all read the store, it does not answer in time, and each of them reads again.
	Peers PeerSource
	// StoreDeadline returns when the store is read at the latest although other instances were asked, given the age of
	// the copy and whether the topic is not known yet. In the latter case it is called repeatedly. It must be set if
	// Peers is.
	StoreDeadline func(age time.Duration, starting bool) time.Time
	// RetryDelay returns the delay after a failed read. Until the topic is known for the first time, startFailures is
	// the number of failed reads, later it is zero: nothing rests on the topic before.
	RetryDelay func(startFailures int) time.Duration
	// MaxStaleness returns the age of the copy from which on this instance reads, whether or not it should
	// read regularly; it may be nil.
	//
	// It covers the loss of all readers at the same time, for example when they are cut off from the store:
	// otherwise the directory would not change, and requests would go to servers that have left.
	MaxStaleness func() time.Duration
	// Staleness, if not nil, returns the age of the copy in place of the age that this Watch knows: the receiver of
	// Out may know better.
	Staleness func() time.Duration

	// readCurrentAsOf is a time up to which the topic had no records from nextOffset on, zero if there is no known
	// one.
	readCurrentAsOf atomic.Int64
	// failures is the number of reads that have failed since the last that did not.
	failures atomic.Int32
	// requiredAsOf is the argument of Require, requiredEnd that of RequireEnd, zero before the first call.
	requiredAsOf atomic.Int64
	requiredEnd  atomic.Int64

	// The fields up to nextAskAt are used by the goroutine of Run only. nextOffset is the position after the last known
	// record, peerEnd the end of the topic known to another instance. Until pauseUntil this instance reads only
	// when asked to.
	nextOffset logpos.Pos
	peerEnd    logpos.Pos
	pauseUntil time.Time
	// expiredEnd is the position that a snapshot must reach: after the last record that the store is known to have dropped,
	// or at the begin of the era in which it has come back.
	expiredEnd logpos.Pos
	// lostAt is when a read last found its records lost.
	lostAt time.Time
	// needsSnapshot means that the next read is of a snapshot, lastReason is the reason of the last read. loaded means
	// that the topic is known, startFailures is the number of reads that failed before.
	needsSnapshot bool
	lastReason    Reason
	loaded        bool
	startFailures int
	// fetch is the request to other instances in progress, nil if there is none. peersFailed means that the last one
	// failed, so that the store is read next. nextAskAt is when the next request may begin while the store is not read.
	fetch       *fetch
	peersFailed bool
	nextAskAt   time.Time

	// mu guards appliedEnd, the end of what the receiver of Out acts on, and appliedAsOf, a time up to which the
	// topic had no records from there on, zero if there is no known one. They are updated together: an end from
	// before an update with a time from after it would state that the records of the update do not exist.
	mu          sync.Mutex
	appliedEnd  logpos.Pos
	appliedAsOf clock.Instant
	// changed is closed when appliedEnd or appliedAsOf changes, nil if nobody waits for that.
	changed chan struct{}
}

// lossInterval is the time between two reads that find their records lost within which the second one is not repeated at
// once.
const lossInterval = 2 * time.Second

// checkInterval is the time between two checks whether a read is due.
const checkInterval = 100 * time.Millisecond

// The response times of the store.
const (
	// maxAnswerDelay is the maximum time for which an answer is in transit while the store is healthy, also to an
	// instance with a small share of a CPU core.
	maxAnswerDelay = 150 * time.Millisecond
	// minHeldTime is the time from which on an answer must have been held by the store to wait for records.
	minHeldTime = 250 * time.Millisecond
)

// Age returns the age of what the receiver of Out acts on, or the maximum duration if it is unknown.
func (w *Watch) Age() time.Duration {
	_, asOf := w.Known()
	return w.staleness(asOf)
}

func (w *Watch) staleness(asOf clock.Instant) time.Duration {
	if asOf == 0 {
		return math.MaxInt64
	}
	return w.Clock.Now().Sub(asOf)
}

// Known returns the end of what the receiver of Out acts on, and a time up to which the topic had no records
// from there on, zero if there is no known one.
func (w *Watch) Known() (end logpos.Pos, asOf clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appliedEnd, w.appliedAsOf
}

// MarkApplied records that the receiver of Out acts on an update.
func (w *Watch) MarkApplied(u Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setApplied(max(w.appliedEnd, u.End), max(w.appliedAsOf, u.CurrentAsOf))
}

// setApplied sets what the receiver of Out acts on, and wakes those that wait for a change. The lock is held.
func (w *Watch) setApplied(end logpos.Pos, asOf clock.Instant) {
	if end == w.appliedEnd && asOf == w.appliedAsOf {
		return
	}
	w.appliedEnd, w.appliedAsOf = end, asOf
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

// Changed returns a channel that is closed at the next change of what Known returns.
func (w *Watch) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return w.changed
}

// ConfirmCurrent takes in the statement of another instance that up to asOf the topic had no records from end
// on. It is ignored unless this instance acts on all records before end, in the same era of the store.
func (w *Watch) ConfirmCurrent(end logpos.Pos, asOf clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if end <= w.appliedEnd && end.Era() == w.appliedEnd.Era() {
		w.setApplied(w.appliedEnd, max(w.appliedAsOf, asOf))
	}
}

// currentAsOf returns a time up to which the topic had no records from nextOffset on: the records that come next
// were written after it.
func (w *Watch) currentAsOf() clock.Instant {
	_, asOf := w.Known()
	return max(asOf, clock.Instant(w.readCurrentAsOf.Load()))
}

// LastReadFailed reports whether the last read failed.
func (w *Watch) LastReadFailed() bool { return w.Failures() > 0 }

// Failures returns the number of reads that have failed since the last that did not.
func (w *Watch) Failures() int { return int(w.failures.Load()) }

// isOverdue reports whether this instance must read because its copy is older than MaxStaleness.
func (w *Watch) isOverdue() bool {
	age := w.currentAge()
	if required := w.requiredAsOf.Load(); required != 0 && age > w.staleness(clock.Instant(required)) {
		return true
	}
	return w.MaxStaleness != nil && age > w.MaxStaleness()
}

// currentAge returns the age of the copy.
func (w *Watch) currentAge() time.Duration {
	if w.Staleness != nil {
		return w.Staleness()
	}
	return w.staleness(w.currentAsOf())
}

// Require makes a read due unless the copy is known to be complete up to an instant: another instance needs it.
func (w *Watch) Require(asOf clock.Instant) {
	w.requiredAsOf.Store(max(w.requiredAsOf.Load(), int64(asOf)))
}

// RequireEnd states that another instance knows the topic up to a position: what other instances are asked for must reach
// it. It makes no read due.
func (w *Watch) RequireEnd(end logpos.Pos) {
	w.requiredEnd.Store(max(w.requiredEnd.Load(), int64(end)))
}

// Run keeps the topic up to date until ctx is done.
func (w *Watch) Run(ctx context.Context) error {
	w.needsSnapshot = true
	defer w.stopFetch()
	for reason := ReasonStarted; ; {
		u, done := Update{}, false
		if !w.askPeers(ctx, reason) {
			u, done = w.readOnce(ctx, reason)
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case !done:
		case errors.Is(u.Err, ErrExpired), errors.Is(u.Err, ErrReturned):
			repeated := time.Since(w.lostAt) < lossInterval
			if reason = w.planSnapshot(u); !repeated {
				continue
			}
			// The snapshot in between did not help.
			w.pauseFor(w.RetryDelay(0))
		default:
			w.finishRead(ctx, u)
		}
		if reason = w.awaitReadDue(ctx); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// planSnapshot makes the next read one of a snapshot because the records of a read are lost, and returns its reason.
func (w *Watch) planSnapshot(u Update) Reason {
	w.needsSnapshot, w.peersFailed = true, false
	w.lostAt = time.Now()
	w.expiredEnd = max(u.From+1, u.End)
	w.lastReason = ReasonExpired
	if errors.Is(u.Err, ErrReturned) {
		w.expiredEnd = u.End
		w.lastReason = ReasonReturned
	}
	return w.lastReason
}

// finishRead passes on the result of a read, and sets the time before which no other read is due.
func (w *Watch) finishRead(ctx context.Context, u Update) {
	w.peersFailed = false
	if u.Err != nil {
		w.failures.Add(1)
		if !w.loaded {
			w.startFailures++
		}
		if w.fetch != nil {
			w.fetch.storeFailed = true
		}
		w.emit(ctx, u)
		w.pauseFor(w.RetryDelay(w.startFailures))
		return
	}
	w.stopFetch()
	w.failures.Store(0)
	u.Returned = u.Snapshot && w.loaded && u.End.Era() > w.nextOffset.Era()
	w.loaded, w.startFailures = true, 0
	u = w.dropKnown(u)
	w.emit(ctx, u)
	w.nextOffset, w.needsSnapshot = u.End, false
	w.pauseFor(w.pauseAfter(u))
}

// pauseAfter returns the delay after a successful read.
func (w *Watch) pauseAfter(u Update) time.Duration {
	pause := time.Duration(0)
	if u.CurrentAsOf == 0 {
		// The answer was cut short, so read on at once.
		return pause
	}
	if len(u.Records) > 0 {
		pause += w.BatchDelay()
	}
	if w.ReadInterval != nil {
		pause += w.ReadInterval()
	}
	return pause
}

func (w *Watch) pauseFor(d time.Duration) { w.pauseUntil = time.Now().Add(d) }

// dropKnown removes from a read what updates of other instances delivered while the read was in progress.
func (w *Watch) dropKnown(u Update) Update {
	if u.Snapshot && u.End >= w.nextOffset {
		return u
	}
	u.Snapshot = false
	u.Records = slices.DeleteFunc(u.Records, func(r Record) bool { return r.Offset < w.nextOffset })
	u.End = max(u.End, w.nextOffset)
	return u
}

func (w *Watch) emit(ctx context.Context, u Update) bool {
	select {
	case w.Out <- u:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitReadDue applies updates of other instances until a read is due, and returns the reason of the read.
func (w *Watch) awaitReadDue(ctx context.Context) Reason {
	for ctx.Err() == nil {
		if reason, due := w.readDue(); due {
			return reason
		}
		w.askDuringPause(ctx)
		timer := time.NewTimer(w.timeToCheck())
		readNow := w.ReadNow
		if w.fetch != nil && !w.fetch.duringPause && !w.storeReadDue() {
			// The request to other instances is answered or the store is read soon.
			readNow = nil
		}
		select {
		case p := <-w.PeerUpdates:
			w.applyPeerUpdate(ctx, p)
			w.stopFetchIfDone()
		case result := <-w.fetchEnded():
			f := w.fetch
			if !w.finishFetch(ctx, result) && !f.storeFailed {
				timer.Stop()
				return f.reason
			}
		case <-readNow:
			timer.Stop()
			if w.fetch != nil && w.fetch.duringPause {
				w.stopFetch()
			}
			return w.requestedRead(ReasonBehind)
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ""
}

// timeToCheck returns the time until the next check whether a read is due.
func (w *Watch) timeToCheck() time.Duration {
	wait := checkInterval
	if left := time.Until(w.pauseUntil); left > 0 {
		wait = min(wait, left)
	}
	if w.fetch != nil {
		if left := time.Until(w.fetch.storeAt); left > 0 {
			wait = min(wait, left)
		}
	}
	return wait
}

// readDue reports whether and why this instance should read although ReadNow does not ask for it.
func (w *Watch) readDue() (Reason, bool) {
	switch {
	case time.Now().Before(w.pauseUntil):
		return "", false
	case w.fetch != nil && !w.ReadsStore():
		return w.fetch.reason, w.storeReadDue()
	case w.needsSnapshot:
		return w.lastReason, true
	case w.ReadsStore():
		return ReasonReader, true
	case w.peerEnd > w.nextOffset:
		return w.requestedRead(ReasonGap), true
	case w.isOverdue():
		return ReasonOverdue, true
	}
	return "", false
}

// requestedRead returns the reason of a read that another instance causes, and decides whether it reads a snapshot.
func (w *Watch) requestedRead(reason Reason) Reason {
	if w.ReadsStore() {
		return ReasonReader
	}
	w.needsSnapshot = w.needsSnapshot || w.CatchUpFromSnapshot
	return reason
}

// applyPeerUpdate passes on what another instance read. If records before it are missing it only makes a read due,
// and ends a pause, since the store has answered the other instance.
//
// The time of receipt proves nothing, because records that were written while the update was in transit are
// not in it. If updates were dated by receipt, instances would confirm each other's copies as complete while
// records were missing, and the entries of leaving servers, read later, would seem newer than they are.
func (w *Watch) applyPeerUpdate(ctx context.Context, p PeerUpdate) {
	if awaited := p.Snapshot && w.needsSnapshot; p.End < w.nextOffset || p.End == w.nextOffset && !awaited {
		return
	}
	if p.From > w.nextOffset && !p.Snapshot {
		w.peerEnd, w.pauseUntil = max(w.peerEnd, p.End), time.Time{}
		return
	}
	u := Update{Topic: w.Topic, Batch: Batch{End: p.End}, WrittenAfter: w.currentAsOf(), Snapshot: p.Snapshot}
	u.Returned = p.Snapshot && w.loaded && p.End.Era() > w.nextOffset.Era()
	if p.SentAt != 0 {
		u.WrittenAfter = max(u.WrittenAfter, p.SentAt.Add(-time.Duration(p.RecordAge)*time.Millisecond))
	}
	if p.SentAt != 0 && p.Staleness >= 0 {
		u.CurrentAsOf = p.SentAt.Add(-time.Duration(p.Staleness) * time.Millisecond)
	}
	for _, r := range p.Records {
		if r.Offset >= w.nextOffset || p.Snapshot {
			u.Records = append(u.Records, r)
		}
	}
	if w.emit(ctx, u) {
		w.nextOffset = p.End
		w.readCurrentAsOf.Store(max(w.readCurrentAsOf.Load(), int64(u.CurrentAsOf)))
	}
}

// readOnce reads once. Meanwhile it applies updates of other instances, which may have what is missing while the
// store does not answer. It returns false if it canceled the read in favor of another one, or if another instance
// has made it needless.
//
// A read that waits for records is canceled when another instance knows more, or when the copy becomes
// older than MaxStaleness: its answer may be lost.
func (w *Watch) readOnce(ctx context.Context, reason Reason) (Update, bool) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.lastReason = reason
	u := Update{Topic: w.Topic, Reason: reason, StartedAt: w.Clock.Now(), From: w.nextOffset, Snapshot: w.needsSnapshot, Overdue: w.isOverdue()}
	pollTimeout, readNow := time.Duration(0), (<-chan struct{})(nil)
	polls := w.ReadInterval == nil && w.ReadsStore() && !u.Snapshot && !u.Overdue
	if polls {
		pollTimeout, readNow = w.PollTimeout(), w.ReadNow
	}
	u.WaitDeadline = u.StartedAt.Add(pollTimeout)
	startNow := w.askNow()
	ended := make(chan Update, 1)
	go func() { ended <- w.read(readCtx, u, pollTimeout) }()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case u := <-ended:
			return u, true
		case p := <-w.PeerUpdates:
			w.applyPeerUpdate(ctx, p)
			continue
		case result := <-w.fetchEnded():
			if !w.finishFetch(ctx, result) {
				continue
			}
		case <-startNow:
			w.peersFailed = false
			w.askPeers(ctx, reason)
			continue
		case <-readNow:
		case <-ticker.C:
			if !polls || !w.isOverdue() {
				continue
			}
		}
		cancel()
		<-ended
		return Update{}, false
	}
}

// askNow returns the channel on which a read of a topic that is not known yet learns that another instance knows it, nil
// if no other instance can be asked. The store may be slow, while that instance answers at once.
func (w *Watch) askNow() <-chan struct{} {
	if w.loaded || w.Peers == nil {
		return nil
	}
	return w.ReadNow
}

// read carries out a read and sets the times of the update.
func (w *Watch) read(ctx context.Context, u Update, pollTimeout time.Duration) Update {
	if u.Snapshot {
		u.Batch, u.Err = w.Store.Newest(ctx, w.Topic)
	} else {
		u.Batch, u.Err = w.Store.Read(ctx, w.Topic, u.From, pollTimeout)
	}
	u.EndedAt = w.Clock.Now()
	if u.Err != nil {
		return u
	}
	reachesEnd := true
	if n := len(u.Records); !u.Snapshot {
		end := max(u.End, u.From)
		u.End = end
		if n > 0 {
			// The answer may be cut short before the end. The next read continues after it.
			u.End = u.Records[n-1].Offset + 1
		}
		reachesEnd = u.End >= end
	}
	w.setTimes(&u, pollTimeout, reachesEnd)
	return u
}

// setTimes sets WrittenAfter and, if the update reaches the end of the topic, CurrentAsOf. pollTimeout is how long
// the store may have waited for records.
//
// An answer reflects the topic at the time when the store made it. That may have been as soon as the read
// started, unless the read took so long that the store must have held it.
func (w *Watch) setTimes(u *Update, pollTimeout time.Duration, reachesEnd bool) {
	now := u.EndedAt
	took := now.Sub(u.StartedAt)
	u.WrittenAfter = w.currentAsOf()
	answeredAt := u.StartedAt
	switch {
	case pollTimeout == 0 || took < minHeldTime:
	case len(u.Records) > 0:
		answeredAt = now.Add(-maxAnswerDelay)
		u.WrittenAfter = max(u.WrittenAfter, answeredAt)
	case took >= pollTimeout:
		answeredAt = u.StartedAt.Add(pollTimeout)
	}
	if reachesEnd {
		u.CurrentAsOf = answeredAt
		w.readCurrentAsOf.Store(max(w.readCurrentAsOf.Load(), int64(answeredAt)))
	}
}
