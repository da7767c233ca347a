package follow_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
)

// fakeStore is a store with one topic, whose reads can hang or find their records expired.
type fakeStore struct {
	mu        sync.Mutex
	records   []follow.Record
	hang      bool
	expired   bool
	reads     int
	snapshots int
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, follow.Record{Key: key, Value: []byte(value), Offset: logpos.Pos(len(s.records))})
}

func (s *fakeStore) set(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

// readCount returns the number of reads so far.
func (s *fakeStore) readCount() (n int) {
	s.set(func() { n = s.reads })
	return n
}

func (s *fakeStore) Append(context.Context, string, []follow.Record, logpos.Pos) (logpos.Pos, error) {
	return 0, nil
}

func (s *fakeStore) Newest(context.Context, string) (follow.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots++
	s.expired = false
	return s.newest(), nil
}

func (s *fakeStore) newest() follow.Batch {
	last := map[string]int{}
	for i, r := range s.records {
		last[r.Key] = i
	}
	b := follow.Batch{End: logpos.Pos(len(s.records))}
	for i, r := range s.records {
		if last[r.Key] == i {
			b.Records = append(b.Records, r)
		}
	}
	return b
}

func (s *fakeStore) Read(ctx context.Context, _ string, from logpos.Pos, wait time.Duration) (follow.Batch, error) {
	deadline := time.Now().Add(wait)
	s.set(func() { s.reads++ })
	hung := false
	for {
		s.mu.Lock()
		b := follow.Batch{End: logpos.Pos(len(s.records)), Records: s.records[min(from, logpos.Pos(len(s.records))):]}
		// A lost answer does not arrive later either.
		hung = hung || s.hang
		expired := s.expired
		s.mu.Unlock()
		if expired {
			return follow.Batch{}, follow.ErrExpired
		}
		if !hung && (len(b.Records) > 0 || !time.Now().Before(deadline)) {
			return b, nil
		}
		select {
		case <-ctx.Done():
			return follow.Batch{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// testClock follows the time of the test, which synctest fakes.
type testClock struct{}

func (testClock) Now() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

type fixedClock struct{}

func (fixedClock) Now() clock.Instant { return 1 }

// testPeerTime is how long other instances are asked before the store.
const testPeerTime = 600 * time.Millisecond

// runWatch runs a watch and returns its updates in order, each of which is marked as applied at once.
func runWatch(t *testing.T, watch *follow.Watch) <-chan follow.Update {
	emitted, out := make(chan follow.Update), make(chan follow.Update, 64)
	watch.Topic, watch.Out = "topic", emitted
	if watch.Clock == nil {
		watch.Clock = fixedClock{}
	}
	if watch.BatchDelay == nil {
		watch.BatchDelay = func() time.Duration { return 0 }
	}
	if watch.RetryDelay == nil {
		watch.RetryDelay = func(int) time.Duration { return time.Second }
	}
	if watch.StoreDeadline == nil {
		watch.StoreDeadline = func(time.Duration, bool) time.Time { return time.Now().Add(testPeerTime) }
	}
	if watch.PollTimeout == nil {
		watch.PollTimeout = func() time.Duration { return 20 * time.Second }
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{}, 2)
	go func() {
		_ = watch.Run(ctx)
		ended <- struct{}{}
	}()
	go func() {
		for ctx.Err() == nil {
			select {
			case u := <-emitted:
				watch.MarkApplied(u)
				out <- u
			case <-ctx.Done():
			}
		}
		ended <- struct{}{}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
	return out
}

func always() bool { return true }

func never() bool { return false }

// The answer to a read that waits for records is lost while its connection stays open. The watch must read again when
// asked to: two of eight instances kept an outdated configuration for eleven seconds.
func TestHungRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("config", "1")
		readNow := make(chan struct{}, 1)
		out := runWatch(t, &follow.Watch{Store: s, ReadsStore: always, ReadNow: readNow})
		is.Equal(string((<-out).Records[0].Value), "1")
		s.set(func() { s.hang = true })
		time.Sleep(time.Second)
		s.put("config", "2")
		time.Sleep(time.Second)
		is.Equal(len(out), 0) // the read hangs
		s.set(func() { s.hang = false })
		readNow <- struct{}{} // a heartbeat named version 2
		is.Equal(string((<-out).Records[0].Value), "2")
	})
}

func TestExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "1")
		out := runWatch(t, &follow.Watch{Store: s, ReadsStore: always})
		<-out
		s.set(func() { s.expired = true })
		s.put("b", "2")
		u := <-out
		is.True(u.Snapshot)
		is.Equal(len(u.Records), 2)
	})
}

// Most instances must not read the store: they apply the updates of others, and read only what is missing.
func TestPeerUpdatesReplaceReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "0")
		updates := make(chan follow.PeerUpdate, 4)
		out := runWatch(t, &follow.Watch{Store: s, ReadsStore: never, PeerUpdates: updates})
		<-out
		record := func(offset logpos.Pos) follow.Record {
			return follow.Record{Key: "a", Value: []byte("x"), Offset: offset}
		}
		s.put("a", "1")
		updates <- follow.PeerUpdate{From: 1, Batch: follow.Batch{Records: []follow.Record{record(1)}, End: 2}}
		is.Equal((<-out).End, logpos.Pos(2))
		updates <- follow.PeerUpdate{From: 0, Batch: follow.Batch{Records: []follow.Record{record(0), record(1)}, End: 2}}
		time.Sleep(time.Minute)
		is.Equal(len(out), 0) // nothing new
		is.Equal(s.reads, 0)
		s.put("a", "2")
		s.put("a", "3")
		updates <- follow.PeerUpdate{From: 3, Batch: follow.Batch{Records: []follow.Record{record(3)}, End: 4}}
		u := <-out
		is.Equal(u.From, logpos.Pos(2)) // the records in between were read
		is.Equal(u.End, logpos.Pos(4))
	})
}

// Guards against a snapshot of another instance that leaves out records known before: they would seem deleted.
func TestPeerSnapshotKeepsKnownRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "0")
		updates := make(chan follow.PeerUpdate, 4)
		out := runWatch(t, &follow.Watch{Store: s, ReadsStore: never, PeerUpdates: updates})
		<-out
		all := []follow.Record{{Key: "a", Value: []byte("0"), Offset: 0}, {Key: "b", Value: []byte("1"), Offset: 2}}
		updates <- follow.PeerUpdate{From: 0, Snapshot: true, Batch: follow.Batch{Records: all, End: 3}}
		u := <-out
		is.True(u.Snapshot)
		is.Equal(len(u.Records), 2)
		updates <- follow.PeerUpdate{From: 0, Snapshot: true, Batch: follow.Batch{Records: all[:1], End: 2}} // older
		time.Sleep(time.Second)
		is.Equal(len(out), 0)
	})
}

// A configuration with 1,400 routes was too large for a message, and the other instances learned of it only from
// the second heartbeat that named its offset, half a second later. An update without records must make
// them read at once.
func TestPeerUpdateWithoutRecordsCausesRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("config", "1")
		updates := make(chan follow.PeerUpdate, 4)
		out := runWatch(t, &follow.Watch{Store: s, ReadsStore: never, CatchUpFromSnapshot: true, PeerUpdates: updates})
		<-out
		s.put("config", "2")
		startedAt := time.Now()
		updates <- follow.PeerUpdate{From: 2, Batch: follow.Batch{End: 2}}
		u := <-out
		is.Equal(string(u.Records[0].Value), "2")
		is.True(time.Since(startedAt) < 50*time.Millisecond)
		updates <- follow.PeerUpdate{From: 2, Batch: follow.Batch{End: 2}} // already known
		time.Sleep(time.Second)
		is.Equal(len(out), 0)
	})
}

// An instance on a slow link must not read all versions to catch up. One that read twenty versions of a large
// configuration ran out of time and started again, for five seconds.
func TestCatchUpFromSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("config", "1")
		readNow := make(chan struct{}, 1)
		out := runWatch(t, &follow.Watch{Store: s, ReadsStore: never, CatchUpFromSnapshot: true, ReadNow: readNow})
		<-out
		for range 20 {
			s.put("config", "n")
		}
		readNow <- struct{}{}
		is.Equal(len((<-out).Records), 1)
		is.Equal(s.reads, 0)
	})
}

// All instances that read for others can be cut off from the store at once. When this happened to four of eleven,
// the leader among them, the others went on with outdated copies for 2.1 seconds: they waited for updates, and
// took the lack of updates for a lack of changes.
func TestReadsWhenOverdue(t *testing.T) {
	overdue := func() time.Duration { return 1200 * time.Millisecond }
	tests := map[string]struct {
		readsStore func() bool
		// confirmed means that heartbeats continue to confirm the copy.
		confirmed bool
		within    time.Duration
	}{
		"others read, and stop":   {never, false, 1400 * time.Millisecond},
		"its own read hangs":      {always, false, 1400 * time.Millisecond},
		"others confirm the copy": {never, true, time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &fakeStore{}
				s.put("a", "1")
				watch := &follow.Watch{Store: s, ReadsStore: test.readsStore, Clock: testClock{}, MaxStaleness: overdue}
				out := runWatch(t, watch)
				<-out
				startedAt := time.Now()
				s.set(func() { s.hang = true })
				time.Sleep(20 * time.Millisecond)
				s.put("a", "2")
				time.AfterFunc(500*time.Millisecond, func() { s.set(func() { s.hang = false }) })
				for len(out) == 0 && time.Since(startedAt) < 10*time.Second {
					if test.confirmed {
						watch.ConfirmCurrent(1, testClock{}.Now().Add(-100*time.Millisecond))
					}
					time.Sleep(50 * time.Millisecond)
				}
				if test.confirmed {
					is.Equal(s.reads, 0)
					return
				}
				u := <-out
				is.True(u.Overdue)
				is.True(time.Since(startedAt) <= test.within)
				is.True(u.StartedAt.Sub(u.WrittenAfter) >= time.Second) // it may have been written that long ago
			})
		})
	}
}

// While the store is down for all, each instance must retry at intervals, not at once.
func TestOverdueReadsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "1")
		out := runWatch(t, &follow.Watch{
			Store: &failingStore{fakeStore: s}, ReadsStore: never, Clock: testClock{},
			MaxStaleness: func() time.Duration { return time.Second },
		})
		<-out
		time.Sleep(11 * time.Second)
		is.True(len(out) >= 7 && len(out) <= 10)
	})
}

// failingStore is a store of which only snapshots can be read.
type failingStore struct{ *fakeStore }

func (*failingStore) Read(context.Context, string, logpos.Pos, time.Duration) (follow.Batch, error) {
	return follow.Batch{}, follow.ErrNotDone
}

// A record that a read waited for was written shortly before the answer. One that was there when the
// read started may be as old as the previous read.
func TestWrittenAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "1")
		out := runWatch(t, &follow.Watch{Store: s, ReadsStore: always, Clock: testClock{}})
		<-out
		time.Sleep(5 * time.Second)
		s.put("a", "2")
		u := <-out
		is.True(testClock{}.Now().Sub(u.WrittenAfter) <= 150*time.Millisecond)
		is.True(!u.Overdue)
	})
}

// An update of another instance must not be dated by its receipt. Several servers reported within 6 ms that they
// were leaving. The leader read the entry of the first, and its message to another instance took 170 ms over busy
// links. If that instance takes its copy for complete as of the receipt, and tells others so, the entries of the
// other servers, read 0.7 seconds later, seem 170 ms newer than they are, and requests reach the servers after
// their deadline: the entries were 0.785 seconds old and were taken for 0.630 seconds old.
func TestPeerUpdateIsNotDatedByReceipt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "0")
		updates := make(chan follow.PeerUpdate, 1)
		readNow := make(chan struct{}, 1)
		watch := &follow.Watch{Store: s, ReadsStore: never, PeerUpdates: updates, ReadNow: readNow, Clock: testClock{}}
		out := runWatch(t, watch)
		<-out
		time.Sleep(time.Second)
		written := testClock{}.Now()
		s.put("a", "leaves")
		s.put("b", "leaves")
		time.Sleep(170 * time.Millisecond)
		updates <- follow.PeerUpdate{From: 1, RecordAge: 5, Batch: follow.Batch{Records: []follow.Record{{Key: "a", Offset: 1}}, End: 2}}
		<-out
		synctest.Wait()
		is.True(watch.Age() >= testClock{}.Now().Sub(written)) // record b has been missing since then
		time.Sleep(700 * time.Millisecond)
		readNow <- struct{}{}
		u := <-out
		is.Equal(len(u.Records), 1)
		is.True(u.WrittenAfter <= written)
	})
}

// The same with an echo that bounds the send time: the records are taken for as old as they are, and no older.
func TestPeerUpdateIsDatedBySendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "0")
		updates := make(chan follow.PeerUpdate, 1)
		watch := &follow.Watch{Store: s, ReadsStore: never, PeerUpdates: updates, Clock: testClock{}}
		out := runWatch(t, watch)
		<-out
		time.Sleep(time.Second)
		s.put("a", "leaves")
		sentAt := testClock{}.Now().Add(20 * time.Millisecond)
		time.Sleep(170 * time.Millisecond)
		updates <- follow.PeerUpdate{
			From: 1, RecordAge: 20, Staleness: 5, SentAt: sentAt,
			Batch: follow.Batch{Records: []follow.Record{{Key: "a", Offset: 1}}, End: 2},
		}
		u := <-out
		synctest.Wait()
		is.Equal(testClock{}.Now().Sub(u.WrittenAfter), 170*time.Millisecond)
		is.Equal(watch.Age(), 155*time.Millisecond)
	})
}

// An answer that arrives slowly must not be taken for one that the store held. A busy instance got an answer after
// 0.2 seconds, and took a record that was as old as the delay before the read for a new one.
func TestSlowAnswerIsNotDatedAsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slowStore{fakeStore: &fakeStore{}}
		s.put("a", "0")
		updates := make(chan follow.PeerUpdate, 1)
		out := runWatch(t, &follow.Watch{Store: s, ReadsStore: always, PeerUpdates: updates, Clock: testClock{}})
		<-out
		time.Sleep(time.Second)
		s.put("a", "1")
		<-out
		written := testClock{}.Now()
		s.put("a", "2") // while the answer is in transit
		u := <-out
		is.True(u.WrittenAfter <= written)
	})
}

// slowStore is a store whose answers arrive 0.2 seconds late.
type slowStore struct{ *fakeStore }

func (s *slowStore) Read(ctx context.Context, topic string, from logpos.Pos, wait time.Duration) (follow.Batch, error) {
	b, err := s.fakeStore.Read(ctx, topic, from, wait)
	time.Sleep(200 * time.Millisecond)
	return b, err
}

// The end and the time that a watch reports must belong together. A heartbeat that combines the time of a new
// read with the end before it, while the instance is about to apply the record that it read, makes others
// believe that the record does not exist.
func TestAppliedEndAndTimeStayConsistent(t *testing.T) {
	is := is.New(t)
	watch := &follow.Watch{Clock: fixedClock{}}
	watch.MarkApplied(follow.Update{Batch: follow.Batch{End: 5}, CurrentAsOf: 100})
	watch.ConfirmCurrent(5, 150)
	watch.ConfirmCurrent(6, 300) // an instance that knows more cannot confirm this copy
	end, until := watch.Known()
	is.Equal(end, logpos.Pos(5))
	is.Equal(until, clock.Instant(150))
	watch.MarkApplied(follow.Update{Batch: follow.Batch{End: 6}, CurrentAsOf: 120})
	end, until = watch.Known()
	is.Equal(end, logpos.Pos(6))
	is.Equal(until, clock.Instant(150)) // the earlier confirmation still holds
}

// Guards against updates of other instances that are delayed until a read ends that the store does not answer.
func TestPeerUpdateDuringUnansweredRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "1")
		updates := make(chan follow.PeerUpdate, 1)
		watch := &follow.Watch{Store: s, ReadsStore: never, Clock: testClock{}, PeerUpdates: updates, MaxStaleness: func() time.Duration { return time.Second }}
		out := runWatch(t, watch)
		<-out
		s.set(func() { s.hang = true })
		time.Sleep(2 * time.Second)
		s.set(func() { is.Equal(s.reads, 1) }) // MaxStaleness is exceeded, and the read has no answer
		updates <- follow.PeerUpdate{From: 1, Batch: follow.Batch{Records: []follow.Record{{Key: "a", Value: []byte("2"), Offset: 1}}, End: 2}}
		synctest.Wait()
		is.Equal(len(out), 1)
		is.Equal((<-out).End, logpos.Pos(2))
	})
}

// Guards against updates of other instances that are delayed until the retry delay after a failed read is over.
func TestPeerUpdateDuringRetryDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "1")
		updates := make(chan follow.PeerUpdate, 1)
		watch := &follow.Watch{
			Store: &failingStore{fakeStore: s}, ReadsStore: always, Clock: testClock{}, PeerUpdates: updates,
		}
		out := runWatch(t, watch)
		<-out
		for range 5 {
			is.True((<-out).Err != nil)
		}
		updates <- follow.PeerUpdate{From: 1, Batch: follow.Batch{Records: []follow.Record{{Key: "a", Value: []byte("2"), Offset: 1}}, End: 2}}
		synctest.Wait()
		is.Equal(len(out), 1)
		is.Equal((<-out).End, logpos.Pos(2))
	})
}

// Guards against an answer of the store that reverts an update of another instance that arrived before it.
func TestReadOvertakenByPeerUpdate(t *testing.T) {
	removed := follow.Record{Key: "a", Offset: 1}
	again := follow.Record{Key: "a", Value: []byte("2"), Offset: 2}
	tests := map[string]bool{"records": false, "snapshot": true}
	for name, whole := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &fakeStore{}
				s.put("a", "1")
				held := &delayedStore{fakeStore: s}
				updates, readNow := make(chan follow.PeerUpdate, 1), make(chan struct{}, 1)
				out := runWatch(t, &follow.Watch{Store: held, ReadsStore: never, CatchUpFromSnapshot: whole, Clock: testClock{}, PeerUpdates: updates, ReadNow: readNow})
				<-out
				s.set(func() {
					s.records = append(s.records, removed)
					held.delay = time.Second
				})
				readNow <- struct{}{}
				time.Sleep(500 * time.Millisecond) // the answer has been made and is in transit
				updates <- follow.PeerUpdate{From: 1, Batch: follow.Batch{Records: []follow.Record{removed, again}, End: 3}}
				is.Equal((<-out).End, logpos.Pos(3))
				u := <-out
				is.Equal(len(u.Records), 0)
				is.Equal(u.End, logpos.Pos(3))
				is.True(!u.Snapshot)
			})
		})
	}
}

// delayedStore is a store whose answers are in transit for some time.
type delayedStore struct {
	*fakeStore
	delay time.Duration
}

func (s *delayedStore) Read(ctx context.Context, topic string, from logpos.Pos, wait time.Duration) (follow.Batch, error) {
	batch, err := s.fakeStore.Read(ctx, topic, from, wait)
	s.hold()
	return batch, err
}

func (s *delayedStore) Newest(ctx context.Context, topic string) (follow.Batch, error) {
	batch, err := s.fakeStore.Newest(ctx, topic)
	s.hold()
	return batch, err
}

func (s *delayedStore) hold() {
	var delay time.Duration
	s.set(func() { delay = s.delay })
	time.Sleep(delay)
}

// Guards against records that are read a ReadInterval late because the previous answer was cut short.
func TestTruncatedReadContinuesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "1")
		readNow := make(chan struct{}, 1)
		out := runWatch(t, &follow.Watch{
			Store: &truncatingStore{fakeStore: s}, ReadsStore: always, Clock: testClock{}, ReadNow: readNow, ReadInterval: func() time.Duration { return time.Minute },
		})
		<-out
		s.put("a", "2")
		s.put("a", "3")
		readNow <- struct{}{}
		is.Equal((<-out).CurrentAsOf, clock.Instant(0)) // the answer was cut short
		startedAt := time.Now()
		is.True((<-out).CurrentAsOf != 0)
		is.True(time.Since(startedAt) < time.Second)
	})
}

// truncatingStore is a store that answers with at most one record.
type truncatingStore struct{ *fakeStore }

func (s *truncatingStore) Read(ctx context.Context, topic string, from logpos.Pos, wait time.Duration) (follow.Batch, error) {
	batch, err := s.fakeStore.Read(ctx, topic, from, wait)
	batch.Records = batch.Records[:min(len(batch.Records), 1)]
	return batch, err
}

// Guards against a leader that reads late because it checks only at intervals whether its pause is over.
func TestPauseEndsOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const pause = 30 * time.Millisecond
		s := &fakeStore{}
		s.put("a", "1")
		out := runWatch(t, &follow.Watch{Store: s, ReadsStore: always, Clock: testClock{}, BatchDelay: func() time.Duration { return pause }})
		<-out
		s.put("a", "2")
		startedAt := time.Now()
		is.Equal((<-out).End, logpos.Pos(2))
		is.True(time.Since(startedAt) <= pause+10*time.Millisecond)
	})
}

// Guards against a large change that waits for the end of a retry delay although another instance has read it.
func TestPeerUpdateWithoutRecordsEndsRetryDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "1")
		down := &failingStore{fakeStore: s}
		updates := make(chan follow.PeerUpdate, 1)
		out := runWatch(t, &follow.Watch{
			Store: down, ReadsStore: never, CatchUpFromSnapshot: true, Clock: testClock{}, PeerUpdates: updates,
			MaxStaleness: func() time.Duration { return time.Second }, RetryDelay: func(int) time.Duration { return time.Minute },
		})
		<-out
		is.True((<-out).Err != nil)
		s.put("a", "2")
		startedAt := time.Now()
		updates <- follow.PeerUpdate{From: 2, Batch: follow.Batch{End: 2}}
		is.Equal((<-out).End, logpos.Pos(2))
		is.True(time.Since(startedAt) < time.Second)
	})
}

// fixedPeer is an instance that answers each request with the same snapshot, which it has read at readAt.
type fixedPeer struct {
	update follow.PeerUpdate
	readAt clock.Instant
}

func (p *fixedPeer) Fetch(_ context.Context, r follow.PeerRequest) (follow.PeerUpdate, error) {
	update, now := p.update, testClock{}.Now()
	age := now.Sub(p.readAt)
	if r.MinEnd > update.End || r.MaxStaleness > 0 && age > r.MaxStaleness {
		return follow.PeerUpdate{}, errNotKnown
	}
	update.SentAt, update.Staleness = now, age.Milliseconds()
	return update, nil
}

var errNotKnown = errors.New("not known")

// Guards against a snapshot of an instance that lacks the records that the store has dropped.
func TestExpiredRecordsAreNotTakenFromAnInstanceBehind(t *testing.T) {
	tests := map[string]func() bool{"reads the store regularly": always, "reads when overdue": never}
	for name, readsStore := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &fakeStore{}
				s.put("config", "1")
				peer := &fixedPeer{update: follow.PeerUpdate{Snapshot: true, Batch: s.newest()}, readAt: testClock{}.Now()}
				watch := &follow.Watch{Store: s, ReadsStore: readsStore, Clock: testClock{}, Peers: peer, MaxStaleness: func() time.Duration { return time.Second }}
				out := runWatch(t, watch)
				<-out
				s.put("config", "2")
				s.set(func() { s.expired = true })
				time.Sleep(1500 * time.Millisecond)
				is.True(len(out) > 0)
				is.Equal((<-out).End, logpos.Pos(2))
				is.True(s.readCount() <= 5) // the first, the one that expires, and the poll and the overdue read after it
			})
		})
	}
}

// silentPeer is an instance that never answers.
type silentPeer struct{}

func (silentPeer) Fetch(ctx context.Context, _ follow.PeerRequest) (follow.PeerUpdate, error) {
	<-ctx.Done()
	return follow.PeerUpdate{}, ctx.Err()
}

// Guards against a copy that stays behind for as long as other instances do not answer.
func TestStoreIsReadBesideSilentPeers(t *testing.T) {
	const storeTime = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "1")
		updates := make(chan follow.PeerUpdate, 4)
		startedAt := time.Now()
		out := runWatch(t, &follow.Watch{
			Store: s, ReadsStore: never, Clock: testClock{}, Peers: silentPeer{}, PeerUpdates: updates,
			StoreDeadline: func(time.Duration, bool) time.Time { return time.Now().Add(storeTime) },
		})
		<-out
		is.Equal(time.Since(startedAt), storeTime)
		s.put("a", "2")
		s.put("a", "3")
		startedAt = time.Now()
		updates <- follow.PeerUpdate{From: 3, Batch: follow.Batch{End: 3}} // announces both records without them
		updates <- follow.PeerUpdate{From: 1, Batch: follow.Batch{Records: []follow.Record{{Key: "a", Value: []byte("2"), Offset: 1}}, End: 2}}
		is.Equal((<-out).End, logpos.Pos(2)) // messages are applied while other instances are asked
		is.Equal(time.Since(startedAt), time.Duration(0))
		is.Equal((<-out).End, logpos.Pos(3))
		is.Equal(time.Since(startedAt), storeTime)
	})
}

// Guards against a request to other instances that goes on although a message has brought what it asks for.
func TestMessageEndsRequestToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "1")
		updates := make(chan follow.PeerUpdate, 4)
		out := runWatch(t, &follow.Watch{Store: s, ReadsStore: never, Clock: testClock{}, Peers: silentPeer{}, PeerUpdates: updates})
		<-out
		s.put("a", "2")
		reads := s.readCount()
		updates <- follow.PeerUpdate{From: 2, Batch: follow.Batch{End: 2}}
		updates <- follow.PeerUpdate{From: 1, Batch: follow.Batch{Records: []follow.Record{{Key: "a", Value: []byte("2"), Offset: 1}}, End: 2}}
		is.Equal((<-out).End, logpos.Pos(2))
		time.Sleep(10 * time.Second)
		is.Equal(s.readCount(), reads)
	})
}

// Guards against a store that is called again before the delay after a failed read because other instances fail as well.
func TestFailureOfPeersKeepsRetryDelay(t *testing.T) {
	const storeTime, peerTime, delay = 100 * time.Millisecond, 300 * time.Millisecond, time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		out := runWatch(t, &follow.Watch{
			Store: &deadStore{fakeStore: s}, ReadsStore: never, Clock: testClock{}, Peers: lateFailure(peerTime),
			StoreDeadline: func(time.Duration, bool) time.Time { return time.Now().Add(storeTime) },
			RetryDelay:    func(int) time.Duration { return delay },
		})
		time.Sleep(10 * delay)
		is.True(len(out) >= 8 && len(out) <= 10) // one read each time
	})
}

// lateFailure is an instance that fails after a time.
type lateFailure time.Duration

func (f lateFailure) Fetch(ctx context.Context, _ follow.PeerRequest) (follow.PeerUpdate, error) {
	select {
	case <-time.After(time.Duration(f)):
	case <-ctx.Done():
	}
	return follow.PeerUpdate{}, errNotKnown
}

// deadStore is a store that refuses all reads.
type deadStore struct{ *fakeStore }

func (*deadStore) Read(context.Context, string, logpos.Pos, time.Duration) (follow.Batch, error) {
	return follow.Batch{}, follow.ErrNotDone
}

func (*deadStore) Newest(context.Context, string) (follow.Batch, error) {
	return follow.Batch{}, follow.ErrNotDone
}

// Guards against a read that was asked for and waits for the delay after a failed one.
func TestRequestedReadDoesNotWaitForRetryDelay(t *testing.T) {
	const storeTime, delay = 150 * time.Millisecond, 10 * time.Second
	for name, peers := range map[string]follow.PeerSource{"peers fail": lateFailure(0), "peers fail later": lateFailure(100 * time.Millisecond), "peers are silent": silentPeer{}} {
		t.Run(name, func(t *testing.T) {
			for wait := time.Duration(0); wait < 3*time.Second; wait += 100 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := &fakeStore{}
					s.put("a", "1")
					readNow := make(chan struct{}, 1)
					outage := &outageStore{fakeStore: s}
					outage.down.Store(true)
					out := runWatch(t, &follow.Watch{
						Store: outage, ReadsStore: never, Clock: testClock{}, Peers: peers, ReadNow: readNow,
						StoreDeadline: func(time.Duration, bool) time.Time { return time.Now().Add(storeTime) },
						RetryDelay:    func(int) time.Duration { return delay },
					})
					is.True((<-out).Err != nil)
					time.Sleep(wait)
					outage.down.Store(false)
					readNow <- struct{}{}
					begun := time.Now()
					is.NoErr((<-out).Err)
					is.True(time.Since(begun) <= storeTime)
				})
			}
		})
	}
}

// Guards against an instance that learns of a change only at the end of the delay after a failed read, although others that
// it may ask have read it.
func TestPeersAreAskedDuringRetryDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const delay = 10 * time.Second
		s := &fakeStore{}
		s.put("a", "1")
		outage := &outageStore{fakeStore: s}
		outage.down.Store(true)
		peer := &knowingPeer{}
		out := runWatch(t, &follow.Watch{
			Store: outage, ReadsStore: never, Clock: testClock{}, Peers: peer,
			StoreDeadline: func(time.Duration, bool) time.Time { return time.Now().Add(150 * time.Millisecond) },
			RetryDelay:    func(int) time.Duration { return delay },
		})
		is.True((<-out).Err != nil)
		time.Sleep(time.Second)
		peer.knows.Store(true)
		begun := time.Now()
		is.NoErr((<-out).Err)
		is.True(time.Since(begun) <= time.Second)
	})
}

// knowingPeer is an instance that fails until it knows the topic.
type knowingPeer struct{ knows atomic.Bool }

func (p *knowingPeer) Fetch(context.Context, follow.PeerRequest) (follow.PeerUpdate, error) {
	if !p.knows.Load() {
		return follow.PeerUpdate{}, errNotKnown
	}
	records := []follow.Record{{Key: "a", Value: []byte("1")}}
	return follow.PeerUpdate{Snapshot: true, SentAt: testClock{}.Now(), Batch: follow.Batch{Records: records, End: 1}}, nil
}

// outageStore is a store that refuses all reads while it is down.
type outageStore struct {
	*fakeStore
	down atomic.Bool
}

func (s *outageStore) Newest(ctx context.Context, topic string) (follow.Batch, error) {
	if s.down.Load() {
		return follow.Batch{}, follow.ErrNotDone
	}
	return s.fakeStore.Newest(ctx, topic)
}
