package follow_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
)

// returningStore is a store that states its era and comes back from copies.
type returningStore struct {
	mu    sync.Mutex
	era   logpos.Era
	keys  []string
	calls int
}

func (s *returningStore) set(era logpos.Era, keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.keys = era, keys
}

func (s *returningStore) from(offset int64) follow.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	b := follow.Batch{End: logpos.At(s.era, int64(len(s.keys)))}
	for i := offset; i < int64(len(s.keys)); i++ {
		b.Records = append(b.Records, follow.Record{Key: s.keys[i], Value: []byte("x"), Offset: logpos.At(s.era, i)})
	}
	return b
}

// Append implements follow.Store.
func (s *returningStore) Append(context.Context, string, []follow.Record, logpos.Pos) (logpos.Pos, error) {
	return 0, follow.ErrNotDone
}

// Newest implements follow.Store.
func (s *returningStore) Newest(context.Context, string) (follow.Batch, error) { return s.from(0), nil }

// Read implements follow.Store.
func (s *returningStore) Read(ctx context.Context, _ string, from logpos.Pos, wait time.Duration) (follow.Batch, error) {
	deadline := time.Now().Add(wait)
	for {
		b := s.from(from.Offset())
		if b.End.Era() != from.Era() {
			return follow.Batch{End: logpos.At(b.End.Era(), 0)}, follow.ErrReturned
		}
		if len(b.Records) > 0 || time.Now().After(deadline) {
			return b, ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a watch that goes on from an offset of before the return of the store, whatever the new end is.
func TestWatchFollowsAReturnedStore(t *testing.T) {
	for name, copied := range map[string][]string{"lower end": {"a"}, "equal end": {"a", "b", "d"}, "higher end": {"a", "b", "d", "e"}, "empty": {}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &returningStore{}
				s.set(1, "a", "b", "c")
				updates := make(chan follow.PeerUpdate, 4)
				out := runWatch(t, &follow.Watch{Store: s, ReadsStore: always, PeerUpdates: updates})
				is.Equal((<-out).End, logpos.At(1, 3))
				time.Sleep(time.Second)
				calls := s.calls
				s.set(2, copied...)
				u := <-out
				for ; u.Err != nil || !u.Snapshot; u = <-out {
				}
				is.True(u.Returned)
				is.Equal(u.End, logpos.At(2, int64(len(copied))))
				is.Equal(len(u.Records), len(copied))
				is.True(s.calls-calls < 200) // one wait is polled here a hundred times a second
				// What another instance still knows of the era before is ignored.
				updates <- follow.PeerUpdate{From: logpos.At(1, 3), Batch: follow.Batch{End: logpos.At(1, 4), Records: []follow.Record{{Key: "late", Offset: logpos.At(1, 3)}}}}
				s.set(2, append(copied, "next")...)
				for u = <-out; len(u.Records) == 0; u = <-out {
				}
				is.Equal(u.Records[0].Key, "next")
				is.True(!u.Returned)
			})
		})
	}
}

// Guards against a copy that counts as current by what another instance states about an earlier era of the store.
func TestConfirmationsOfAnEarlierEraDoNotCount(t *testing.T) {
	is := is.New(t)
	w := &follow.Watch{}
	w.MarkApplied(follow.Update{Batch: follow.Batch{End: logpos.At(2, 3)}, CurrentAsOf: 5})
	for _, end := range []logpos.Pos{logpos.At(1, 2), logpos.At(1, 9), logpos.At(3, 1), logpos.At(2, 4)} {
		w.ConfirmCurrent(end, 9)
	}
	_, asOf := w.Known()
	is.Equal(int64(asOf), int64(5))
	w.ConfirmCurrent(logpos.At(2, 3), 9)
	_, asOf = w.Known()
	is.Equal(int64(asOf), int64(9))
}

// Guards against an instance that waits after each return because one before it was followed by a snapshot from another instance.
func TestEachReturnIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &returningStore{}
		s.set(1, "a")
		out := runWatch(t, &follow.Watch{Store: s, ReadsStore: always, PollTimeout: func() time.Duration { return 500 * time.Millisecond }})
		<-out
		for era := logpos.Era(2); era < 6; era++ {
			time.Sleep(10 * time.Second)
			for len(out) > 0 {
				<-out
			}
			s.set(era, "a")
			returnedAt := time.Now()
			u := <-out
			for ; u.End.Era() < era; u = <-out {
			}
			is.True(time.Since(returnedAt) < time.Second)
		}
	})
}

// Guards against calls without a pause to a store that loses each record before it can be read.
func TestWatchPausesWhenSnapshotsDoNotHelp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &losingStore{}
		runWatch(t, &follow.Watch{Store: s, ReadsStore: always})
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		is.True(s.calls > 0 && s.calls < 200)
	})
}

// losingStore is a store in a new era at each call.
type losingStore struct{ returningStore }

// Newest implements follow.Store.
func (s *losingStore) Newest(context.Context, string) (follow.Batch, error) {
	s.set(s.era + 1)
	return s.from(0), nil
}

// Read implements follow.Store.
func (s *losingStore) Read(context.Context, string, logpos.Pos, time.Duration) (follow.Batch, error) {
	s.set(s.era + 1)
	return follow.Batch{End: s.from(0).End}, follow.ErrReturned
}
