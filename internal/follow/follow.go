// Package follow keeps a copy of a topic of the shared store: the newest record of each key,
// and how old the knowledge is that nothing else was written.
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
)

// The errors of a Store. What is neither ErrConflict nor ErrNotDone may have been done, or may
// be done later.
var (
	ErrConflict = errors.New("follow: the topic ends elsewhere")
	ErrNotDone  = errors.New("follow: refused by the store")
	ErrUnknown  = errors.New("follow: outcome unknown")
	// ErrExpired says that the records asked for are kept no longer.
	ErrExpired = errors.New("follow: records expired")
)

// Record is one record of a topic. An empty value removes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch is a run of records and the end of the topic when they were read.
type Batch struct {
	Records []Record
	End     int64
}

// Store is the shared store.
type Store interface {
	// Append writes a record if the topic ends at asOf, or in any case if that is negative. It
	// returns the record's offset.
	Append(ctx context.Context, topic, key string, value []byte, asOf int64) (int64, error)
	// Read waits for records from an offset on.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, topic string) (Batch, error)
}

// Reason says why the store was read. Calls are dear, so that each one names its own.
type Reason string

// The reasons.
const (
	// ReasonStarted is the first read of a process, Gone one after the store forgot what comes next.
	ReasonStarted Reason = "started"
	ReasonExpired Reason = "records-gone"
	// ReasonReader is a read of the instance that reads for the others.
	ReasonReader Reason = "in-charge"
	// ReasonOverdue says that no word came that nothing is missing, Asked that a peer knows more, Gap that news
	// of a peer left out a part.
	ReasonOverdue Reason = "word-overdue"
	ReasonBehind  Reason = "behind-peer"
	ReasonGap     Reason = "news-missing"
)

// AnswerTimeout is how long a Store waits for each part of an answer, beyond the time for which a read waits for news,
// before it takes the call for lost. A fault that ends while a call waits costs what is left of it, and the
// pause after it: both together are well below the time in which news must be in force.
const AnswerTimeout = 700 * time.Millisecond

// Update is news of a topic.
type Update struct {
	Topic string
	Batch
	// Reason is why the topic was read, empty for what came from another instance.
	Reason Reason
	// Snapshot says that the records are all there are: other keys are gone.
	Snapshot bool
	// From is the offset that was read from.
	From int64
	// StartedAt is when the read began: nothing that was acknowledged before is missing. It is
	// zero for what came from another instance.
	StartedAt clock.Instant
	// WaitDeadline is when the store was to answer at the latest, with or without news, and EndedAt when the
	// read ended. Both are zero for what came from another instance.
	WaitDeadline clock.Instant
	EndedAt      clock.Instant
	// WrittenAfter is the time after which the records were written; zero if that is not known.
	WrittenAfter clock.Instant
	// CurrentAsOf is a time up to which nothing is missing before End; zero if that is not known.
	CurrentAsOf clock.Instant
	// Overdue says that this instance read because no word came that nothing is missing: the
	// others may not have heard either.
	Overdue bool
	// Err is why the topic could not be read, nil if it was.
	Err error
}

// PeerUpdate is a part of a topic that another instance read.
type PeerUpdate struct {
	// From is the offset that the other instance read from.
	From int64
	// RecordAge is how long ago the oldest of the records can have been written when the news was sent, and
	// Complete how old the knowledge was then that nothing is missing before End, in milliseconds;
	// Complete is negative for none.
	RecordAge int64
	Staleness int64
	Batch
	// Snapshot says that the records are all there are before End: other keys are gone.
	Snapshot bool
	// SentAt is the earliest time at which it can have been sent, by the receiver's clock; zero if that
	// is not known. The receiver sets it.
	SentAt clock.Instant `msgpack:"-"`
}

// Watch follows one topic. Calls to the store are dear where there are many instances, so that
// most of them do not read: they take the news that others have read, and read for themselves
// when a part is missing or a peer knows more.
type Watch struct {
	Store Store
	Topic string
	Clock clock.Clock
	// ReadsStore reports whether this instance reads the store by itself.
	ReadsStore func() bool
	// PollTimeout returns how long a read waits for news. A read whose answer is lost shows only when
	// that time is over: the store goes on holding its connection.
	PollTimeout func() time.Duration
	// ReadInterval returns, if it is not nil, the pause between two reads; they do not wait for news
	// then. That costs fewer calls where news comes another way.
	ReadInterval func() time.Duration
	// CatchUpFromSnapshot says that only the newest records count: to catch up, what lies between is not
	// read. Twenty versions of a large configuration take a second on a link of 10 Mbit/s.
	CatchUpFromSnapshot bool
	// BatchDelay returns the pause after news before the next read. It joins changes that come close
	// together into one call.
	BatchDelay func() time.Duration
	// Out takes the updates.
	Out chan<- Update
	// ReadNow asks for a new read at once: a peer knows more.
	ReadNow <-chan struct{}
	// PeerUpdates takes what other instances read; it may be nil.
	PeerUpdates <-chan PeerUpdate
	// RetryDelay returns the pause after a read that failed.
	RetryDelay func() time.Duration
	// MaxStaleness returns the age of the knowledge that nothing is missing from which on this
	// instance reads, whoever else should; it may be nil.
	//
	// It guards against the loss of all readers at one time, as when they are cut off from the store: the
	// directory would stay as it was, and requests go to servers that have left.
	MaxStaleness func() time.Duration

	// readUntil is the time up to which nothing is missing of what was read, zero if never.
	readUntil atomic.Int64
	// failed says that the last read had no answer.
	failed atomic.Bool

	// The next five belong to the goroutine of Run. Next is the offset behind what is known, missing an end that
	// another instance knows of. Until pauseUntil this instance reads only if it is asked.
	next       int64
	missing    int64
	pauseUntil time.Time
	// whole says that everything is to be read, reason why.
	whole  bool
	reason Reason

	// mu guards what follows: the end of what the owner of Out acts by, and the time up to which
	// nothing is missing before that end, zero if never. They belong together: an end from before an
	// update with a time from after it says of the update's records that they were not written.
	mu       sync.Mutex
	end      int64
	complete clock.Instant
}

// directEvery is how often an instance that does not read looks whether it should.
const directEvery = 100 * time.Millisecond

// The times of answers of the store.
const (
	// answerTime is how long an answer is on its way at most while the store is calm, also to an instance
	// with a small part of a core.
	answerTime = 150 * time.Millisecond
	// heldTime is the time from which on an answer is known to have been waited for at the store.
	heldTime = 250 * time.Millisecond
)

// Age returns how old the knowledge is that nothing is missing of what the owner of Out acts by.
func (t *Watch) Age() time.Duration {
	_, complete := t.Known()
	return t.age(complete)
}

func (t *Watch) age(complete clock.Instant) time.Duration {
	if complete == 0 {
		return math.MaxInt64
	}
	return t.Clock.Now().Sub(complete)
}

// Known returns the end of what the owner of Out acts by, and a time up to which nothing is missing
// before it, zero if there is none.
func (t *Watch) Known() (end int64, complete clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end, t.complete
}

// MarkApplied takes in that the owner of Out acts by an update.
func (t *Watch) MarkApplied(u Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end = max(t.end, u.End)
	t.complete = max(t.complete, u.CurrentAsOf)
}

// ConfirmCurrent takes in the word of another instance that nothing was missing before an end up to a time.
// It says nothing to who acts by less.
func (t *Watch) ConfirmCurrent(end int64, until clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if end <= t.end {
		t.complete = max(t.complete, until)
	}
}

// until returns the time up to which nothing is missing before the next offset to read: the news to
// come was written after it.
func (t *Watch) until() clock.Instant {
	_, complete := t.Known()
	return max(complete, clock.Instant(t.readUntil.Load()))
}

// LastReadFailed reports whether the last read had no answer.
func (t *Watch) LastReadFailed() bool { return t.failed.Load() }

// overdue reports whether this instance should read although others do.
func (t *Watch) overdue() bool { return t.MaxStaleness != nil && t.age(t.until()) > t.MaxStaleness() }

// Run follows the topic until the context ends.
func (t *Watch) Run(ctx context.Context) error {
	t.whole = true
	for reason := ReasonStarted; ; {
		u, done := t.readOnce(ctx, reason)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case !done:
		case errors.Is(u.Err, ErrExpired):
			t.whole, reason = true, ReasonExpired
			continue
		default:
			t.finish(ctx, u)
		}
		if reason = t.await(ctx); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// finish passes on how a read ended, and sets the pause before the next one.
func (t *Watch) finish(ctx context.Context, u Update) {
	t.failed.Store(u.Err != nil)
	if u.Err != nil {
		t.emit(ctx, u)
		t.pause(t.RetryDelay())
		return
	}
	u = t.rebase(u)
	t.emit(ctx, u)
	t.next, t.whole = u.End, false
	t.pause(t.pauseAfter(u))
}

// pauseAfter returns the pause after a read that was answered.
func (t *Watch) pauseAfter(u Update) time.Duration {
	pause := time.Duration(0)
	if u.CurrentAsOf == 0 {
		// The answer was cut short.
		return pause
	}
	if len(u.Records) > 0 {
		pause += t.BatchDelay()
	}
	if t.ReadInterval != nil {
		pause += t.ReadInterval()
	}
	return pause
}

func (t *Watch) pause(d time.Duration) { t.pauseUntil = time.Now().Add(d) }

// rebase leaves out of a read what news brought in while the read was in progress.
func (t *Watch) rebase(u Update) Update {
	if u.Snapshot && u.End >= t.next {
		return u
	}
	u.Snapshot = false
	u.Records = slices.DeleteFunc(u.Records, func(r Record) bool { return r.Offset < t.next })
	u.End = max(u.End, t.next)
	return u
}

func (t *Watch) emit(ctx context.Context, u Update) bool {
	select {
	case t.Out <- u:
		return true
	case <-ctx.Done():
		return false
	}
}

// await takes in news until a read is due, and returns why it is.
func (t *Watch) await(ctx context.Context) Reason {
	for ctx.Err() == nil {
		if reason, due := t.due(); due {
			return reason
		}
		timer := time.NewTimer(t.untilDue())
		select {
		case n := <-t.PeerUpdates:
			t.take(ctx, n)
		case <-t.ReadNow:
			timer.Stop()
			return t.ask(ReasonBehind)
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ""
}

// untilDue returns the time to the next look whether a read is due.
func (t *Watch) untilDue() time.Duration {
	if left := time.Until(t.pauseUntil); left > 0 && left < directEvery {
		return left
	}
	return directEvery
}

// due reports whether and why this instance should read without being asked.
func (t *Watch) due() (Reason, bool) {
	switch {
	case time.Now().Before(t.pauseUntil):
		return "", false
	case t.whole:
		return t.reason, true
	case t.ReadsStore():
		return ReasonReader, true
	case t.missing > t.next:
		return t.ask(ReasonGap), true
	case t.overdue():
		return ReasonOverdue, true
	}
	return "", false
}

// ask returns the reason of a read that another instance gives rise to.
func (t *Watch) ask(reason Reason) Reason {
	if t.ReadsStore() {
		return ReasonReader
	}
	t.whole = t.whole || t.CatchUpFromSnapshot
	return reason
}

// take takes in what another instance read, or notes that a part before it is missing: then a pause is over, since
// the store has answered that one.
//
// Its receipt proves nothing: what was written while it was on its way is not in it. Dated by receipt,
// it would make instances tell one another that nothing is missing while it is, and the words of servers
// that leave, read later, seem younger than they are.
func (t *Watch) take(ctx context.Context, n PeerUpdate) {
	if n.End <= t.next {
		return
	}
	if n.From > t.next {
		t.missing, t.pauseUntil = max(t.missing, n.End), time.Time{}
		return
	}
	u := Update{Topic: t.Topic, Batch: Batch{End: n.End}, WrittenAfter: t.until(), Snapshot: n.Snapshot}
	if n.SentAt != 0 {
		u.WrittenAfter = max(u.WrittenAfter, n.SentAt.Add(-time.Duration(n.RecordAge)*time.Millisecond))
	}
	if n.SentAt != 0 && n.Staleness >= 0 {
		u.CurrentAsOf = n.SentAt.Add(-time.Duration(n.Staleness) * time.Millisecond)
	}
	for _, r := range n.Records {
		if r.Offset >= t.next || n.Snapshot {
			u.Records = append(u.Records, r)
		}
	}
	if t.emit(ctx, u) {
		t.next = n.End
		t.readUntil.Store(max(t.readUntil.Load(), int64(u.CurrentAsOf)))
	}
}

// readOnce reads once, and takes in news meanwhile: while the store does not answer, another instance may have
// what is missing. It returns false if it ended the read, for another one.
//
// A read that waits for news ends when a peer knows more, or when the word that nothing is missing is overdue: its
// answer may be lost.
func (t *Watch) readOnce(ctx context.Context, reason Reason) (Update, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.reason = reason
	u := Update{Topic: t.Topic, Reason: reason, StartedAt: t.Clock.Now(), From: t.next, Snapshot: t.whole, Overdue: t.overdue()}
	wait, again := time.Duration(0), (<-chan struct{})(nil)
	waits := t.ReadInterval == nil && t.ReadsStore() && !u.Snapshot && !u.Overdue
	if waits {
		wait, again = t.PollTimeout(), t.ReadNow
	}
	u.WaitDeadline = u.StartedAt.Add(wait)
	ended := make(chan Update, 1)
	go func() { ended <- t.read(ctx, u, wait) }()
	ticker := time.NewTicker(directEvery)
	defer ticker.Stop()
	for {
		select {
		case u := <-ended:
			return u, true
		case n := <-t.PeerUpdates:
			t.take(ctx, n)
			continue
		case <-again:
		case <-ticker.C:
			if !waits || !t.overdue() {
				continue
			}
		}
		cancel()
		<-ended
		return Update{}, false
	}
}

// read carries out a read, and dates what it brings.
func (t *Watch) read(ctx context.Context, u Update, wait time.Duration) Update {
	if u.Snapshot {
		u.Batch, u.Err = t.Store.Newest(ctx, t.Topic)
	} else {
		u.Batch, u.Err = t.Store.Read(ctx, t.Topic, u.From, wait)
	}
	u.EndedAt = t.Clock.Now()
	if u.Err != nil {
		return u
	}
	reachesEnd := true
	if n := len(u.Records); !u.Snapshot {
		end := max(u.End, u.From)
		u.End = end
		if n > 0 {
			// The answer may be cut short of the end: the next read goes on behind it.
			u.End = u.Records[n-1].Offset + 1
		}
		reachesEnd = u.End >= end
	}
	t.date(&u, wait, reachesEnd)
	return u
}

// date notes since when the records of an update may have been there, and, if the update reaches the
// end of the topic, up to when nothing is missing. Wait is how long the store was to wait for news.
//
// An answer says what was there when it was made. It may have been made as soon as the read began,
// unless it took so long that the store must have held it.
func (t *Watch) date(u *Update, wait time.Duration, reachesEnd bool) {
	now := u.EndedAt
	took := now.Sub(u.StartedAt)
	u.WrittenAfter = t.until()
	madeAt := u.StartedAt
	switch {
	case wait == 0 || took < heldTime:
	case len(u.Records) > 0:
		madeAt = now.Add(-answerTime)
		u.WrittenAfter = max(u.WrittenAfter, madeAt)
	case took >= wait:
		madeAt = u.StartedAt.Add(wait)
	}
	if reachesEnd {
		u.CurrentAsOf = madeAt
		t.readUntil.Store(max(t.readUntil.Load(), int64(madeAt)))
	}
}
