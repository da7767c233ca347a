// Package follow keeps a copy of a topic of the shared store: the newest record of each key,
// and how old the knowledge is that nothing else was written.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
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

// Update is news of a topic.
type Update struct {
	Topic string
	Batch
	// Whole says that the records are all there are: other keys are gone.
	Whole bool
	// From is the offset that was read from.
	From int64
	// BegunAt is when the read began: nothing that was acknowledged before is missing. It is
	// zero for what came from another instance.
	BegunAt clock.Instant
	// Err is why the topic could not be read, nil if it was.
	Err error
}

// The pauses between attempts to read, and between a change and the next read.
const (
	retryLeast = 100 * time.Millisecond
	retryMost  = time.Second
	// pollTimeout bounds a read of a topic that is read at intervals. It is short, so that an
	// instance that has lost the store says so soon and another one decides.
	pollTimeout = 700 * time.Millisecond
)

// News is a part of a topic that another instance read.
type News struct {
	// From is the offset that the other instance read from.
	From int64
	Batch
}

// Topic follows one topic. Calls to the store are dear where there are many instances, so that
// most of them do not read: they take the news that others have read, and read for themselves
// when a part is missing or a peer knows more.
type Topic struct {
	Store Store
	Name  string
	Clock clock.Clock
	// Direct reports whether this instance reads the store by itself.
	Direct func() bool
	// Wait returns how long a read waits for news. A read whose answer is lost shows only when
	// that time is over: the store goes on holding its connection.
	Wait func() time.Duration
	// Every returns, if it is not nil, the pause between two reads; they do not wait for news
	// then. That costs fewer calls where news comes another way.
	Every func() time.Duration
	// Latest says that only the newest records count: to catch up, what lies between is not
	// read. Twenty versions of a large configuration take a second on a link of 10 Mbit/s.
	Latest bool
	// Settle returns the pause after news before the next read. It joins changes that come close
	// together into one call.
	Settle func() time.Duration
	// Out takes the updates.
	Out chan<- Update
	// Again asks for a new read at once: a peer knows more.
	Again <-chan struct{}
	// News takes what other instances read; it may be nil.
	News <-chan News

	// next is the offset to read from, negative if everything is to be read.
	next int64
}

// directEvery is how often an instance that does not read looks whether it should.
const directEvery = 200 * time.Millisecond

// Run follows the topic until the context ends.
func (t *Topic) Run(ctx context.Context) error {
	t.next = -1
	pause := retryLeast
	for ctx.Err() == nil {
		if t.next >= 0 && !t.Direct() {
			if !t.idle(ctx) {
				continue
			}
			if t.Latest {
				t.next = -1
			}
		}
		u := t.read(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(u.Err, ErrExpired):
			t.next = -1
			continue
		case errors.Is(u.Err, context.Canceled):
			continue
		}
		if !t.emit(ctx, u) {
			break
		}
		if u.Err != nil {
			t.sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, retryMost)
			continue
		}
		pause = retryLeast
		t.next = u.End
		if len(u.Records) > 0 {
			t.sleep(ctx, t.Settle())
		}
		if t.Every != nil {
			t.sleep(ctx, t.Every())
		}
	}
	return ctx.Err()
}

func (t *Topic) emit(ctx context.Context, u Update) bool {
	select {
	case t.Out <- u:
		return true
	case <-ctx.Done():
		return false
	}
}

// idle waits without reading. It returns true when a read is needed.
func (t *Topic) idle(ctx context.Context) bool {
	timer := time.NewTimer(directEvery)
	defer timer.Stop()
	select {
	case n := <-t.News:
		return !t.take(ctx, n)
	case <-t.Again:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// take takes in what another instance read. It returns false if a part before it is missing.
func (t *Topic) take(ctx context.Context, n News) bool {
	if n.End <= t.next {
		return true
	}
	if n.From > t.next {
		return false
	}
	u := Update{Topic: t.Name, Batch: Batch{End: n.End}}
	for _, r := range n.Records {
		if r.Offset >= t.next {
			u.Records = append(u.Records, r)
		}
	}
	if t.emit(ctx, u) {
		t.next = n.End
	}
	return true
}

// read reads once: everything if next is negative, else what is new.
func (t *Topic) read(ctx context.Context) Update {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-t.again():
			cancel()
		case <-ended:
		}
	}()
	u := Update{Topic: t.Name, BegunAt: t.Clock.Now(), From: t.next, Whole: t.next < 0}
	if t.Every != nil {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, pollTimeout)
		defer stop()
	}
	if u.Whole {
		u.Batch, u.Err = t.Store.Newest(ctx, t.Name)
		return u
	}
	wait := time.Duration(0)
	if t.waits() {
		wait = t.Wait()
	}
	u.Batch, u.Err = t.Store.Read(ctx, t.Name, t.next, wait)
	if u.Err == nil {
		u.End = max(u.End, t.next)
		if n := len(u.Records); n > 0 {
			// The answer may be cut short of the end: the next read goes on behind it.
			u.End = u.Records[n-1].Offset + 1
		}
	}
	return u
}

// waits reports whether reads wait for news.
func (t *Topic) waits() bool { return t.Every == nil && t.Direct() }

// again returns the channel that ends a read which waits for news. A read that does not wait
// runs to its end.
func (t *Topic) again() <-chan struct{} {
	if !t.waits() {
		return nil
	}
	return t.Again
}

// sleep waits, unless a new read is asked for.
func (t *Topic) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.Again:
	case <-ctx.Done():
	}
}
