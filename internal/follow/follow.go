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
	// BegunAt is when the read began. Nothing that was acknowledged before is missing.
	BegunAt clock.Instant
	// Err is why the topic could not be read, nil if it was.
	Err error
}

// The pauses between attempts to read, and between a change and the next read.
const (
	retryLeast = 100 * time.Millisecond
	retryMost  = time.Second
)

// Topic follows one topic.
type Topic struct {
	Store Store
	Name  string
	Clock clock.Clock
	// Wait returns how long a read waits for news. A read whose answer is lost shows only when
	// that time is over: the store goes on holding its connection.
	Wait func() time.Duration
	// Every returns, if it is not nil, the pause between two reads; they do not wait for news
	// then. That costs fewer calls where news comes another way.
	Every func() time.Duration
	// Settle returns the pause after news before the next read. It joins changes that come close
	// together into one call.
	Settle func() time.Duration
	// Out takes the updates.
	Out chan<- Update
	// Again asks for a new read at once: a peer knows more.
	Again <-chan struct{}
}

// Run follows the topic until the context ends.
func (t *Topic) Run(ctx context.Context) error {
	next := int64(-1)
	pause := retryLeast
	for ctx.Err() == nil {
		u := t.read(ctx, next)
		if ctx.Err() != nil {
			break
		}
		if errors.Is(u.Err, ErrExpired) || errors.Is(u.Err, context.Canceled) {
			if errors.Is(u.Err, ErrExpired) {
				next = -1
			}
			continue
		}
		select {
		case t.Out <- u:
		case <-ctx.Done():
			return ctx.Err()
		}
		if u.Err != nil {
			t.sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, retryMost)
			continue
		}
		pause = retryLeast
		next = u.End
		if len(u.Records) > 0 {
			t.sleep(ctx, t.Settle())
		}
		if t.Every != nil {
			t.sleep(ctx, t.Every())
		}
	}
	return ctx.Err()
}

// read reads once: everything if next is negative, else what is new.
func (t *Topic) read(ctx context.Context, next int64) Update {
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
	u := Update{Topic: t.Name, BegunAt: t.Clock.Now(), Whole: next < 0}
	if u.Whole {
		u.Batch, u.Err = t.Store.Newest(ctx, t.Name)
		return u
	}
	wait := time.Duration(0)
	if t.Every == nil {
		wait = t.Wait()
	}
	u.Batch, u.Err = t.Store.Read(ctx, t.Name, next, wait)
	if u.Err == nil {
		u.End = max(u.End, next)
		if n := len(u.Records); n > 0 {
			// The answer may be cut short of the end: the next read goes on behind it.
			u.End = u.Records[n-1].Offset + 1
		}
	}
	return u
}

// again returns the channel that ends a read which waits for news. A read that does not wait
// runs to its end.
func (t *Topic) again() <-chan struct{} {
	if t.Every != nil {
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
