package follow_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/follow"
)

// store is a topic whose reads may hang, fail or have expired.
type store struct {
	mu      sync.Mutex
	records []follow.Record
	hang    bool
	expired bool
	reads   int
	whole   int
}

func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, follow.Record{Key: key, Value: []byte(value), Offset: int64(len(s.records))})
}

func (s *store) set(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

func (s *store) Append(context.Context, string, string, []byte, int64) (int64, error) { return 0, nil }

func (s *store) Newest(context.Context, string) (follow.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.whole++
	s.expired = false
	return s.newest(), nil
}

func (s *store) newest() follow.Batch {
	last := map[string]int{}
	for i, r := range s.records {
		last[r.Key] = i
	}
	b := follow.Batch{End: int64(len(s.records))}
	for i, r := range s.records {
		if last[r.Key] == i {
			b.Records = append(b.Records, r)
		}
	}
	return b
}

func (s *store) Read(ctx context.Context, _ string, from int64, wait time.Duration) (follow.Batch, error) {
	deadline := time.Now().Add(wait)
	s.set(func() { s.reads++ })
	hung := false
	for {
		s.mu.Lock()
		b := follow.Batch{End: int64(len(s.records)), Records: s.records[min(from, int64(len(s.records))):]}
		// An answer that was lost does not come later.
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

// running is a clock that goes on with the time of the test.
type running struct{}

func (running) Now() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

type still struct{}

func (still) Now() clock.Instant { return 1 }

// watch runs a topic and returns what it says, in order. All of it is acted by at once.
func watch(t *testing.T, topic *follow.Watch) <-chan follow.Update {
	said, out := make(chan follow.Update), make(chan follow.Update, 64)
	topic.Topic, topic.Out = "topic", said
	if topic.Clock == nil {
		topic.Clock = still{}
	}
	if topic.BatchDelay == nil {
		topic.BatchDelay = func() time.Duration { return 0 }
	}
	if topic.RetryDelay == nil {
		topic.RetryDelay = func() time.Duration { return time.Second }
	}
	if topic.PollTimeout == nil {
		topic.PollTimeout = func() time.Duration { return 20 * time.Second }
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{}, 2)
	go func() {
		_ = topic.Run(ctx)
		ended <- struct{}{}
	}()
	go func() {
		for ctx.Err() == nil {
			select {
			case u := <-said:
				topic.MarkApplied(u)
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

// Two of eight instances kept a configuration for eleven seconds that was no longer in force.
// The answer to their read, which waited for news, was lost, and the connection stayed open.
func TestHungRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("config", "1")
		again := make(chan struct{}, 1)
		out := watch(t, &follow.Watch{Store: s, ReadsStore: always, ReadNow: again})
		is.Equal(string((<-out).Records[0].Value), "1")
		s.set(func() { s.hang = true })
		time.Sleep(time.Second)
		s.put("config", "2")
		time.Sleep(time.Second)
		is.Equal(len(out), 0) // the read hangs
		s.set(func() { s.hang = false })
		again <- struct{}{} // a heartbeat told of version 2
		is.Equal(string((<-out).Records[0].Value), "2")
	})
}

func TestExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("a", "1")
		out := watch(t, &follow.Watch{Store: s, ReadsStore: always})
		<-out
		s.set(func() { s.expired = true })
		s.put("b", "2")
		u := <-out
		is.True(u.Snapshot)
		is.Equal(len(u.Records), 2)
	})
}

// Most instances must not read the store: they hear of news, and read only what they miss.
func TestNewsInsteadOfReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("a", "0")
		news := make(chan follow.PeerUpdate, 4)
		out := watch(t, &follow.Watch{Store: s, ReadsStore: never, PeerUpdates: news})
		<-out
		record := func(offset int64) follow.Record { return follow.Record{Key: "a", Value: []byte("x"), Offset: offset} }
		s.put("a", "1")
		news <- follow.PeerUpdate{From: 1, Batch: follow.Batch{Records: []follow.Record{record(1)}, End: 2}}
		is.Equal((<-out).End, int64(2))
		news <- follow.PeerUpdate{From: 0, Batch: follow.Batch{Records: []follow.Record{record(0), record(1)}, End: 2}}
		time.Sleep(time.Minute)
		is.Equal(len(out), 0) // nothing new
		is.Equal(s.reads, 0)
		s.put("a", "2")
		s.put("a", "3")
		news <- follow.PeerUpdate{From: 3, Batch: follow.Batch{Records: []follow.Record{record(3)}, End: 4}}
		u := <-out
		is.Equal(u.From, int64(2)) // the part between was read
		is.Equal(u.End, int64(4))
	})
}

// Guards against news of all there is that leaves out what was known before: it would seem to be gone.
func TestNewsOfAllKeepsWhatIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("a", "0")
		news := make(chan follow.PeerUpdate, 4)
		out := watch(t, &follow.Watch{Store: s, ReadsStore: never, PeerUpdates: news})
		<-out
		all := []follow.Record{{Key: "a", Value: []byte("0"), Offset: 0}, {Key: "b", Value: []byte("1"), Offset: 2}}
		news <- follow.PeerUpdate{From: 0, Snapshot: true, Batch: follow.Batch{Records: all, End: 3}}
		u := <-out
		is.True(u.Snapshot)
		is.Equal(len(u.Records), 2)
		news <- follow.PeerUpdate{From: 0, Snapshot: true, Batch: follow.Batch{Records: all[:1], End: 2}} // older
		time.Sleep(time.Second)
		is.Equal(len(out), 0)
	})
}

// A configuration with 1,400 routes was too large to be passed on in a message. The others learnt
// of it from the second heartbeat that named it, half a second later. Word without the records
// makes them read at once.
func TestNewsWithoutRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("config", "1")
		news := make(chan follow.PeerUpdate, 4)
		out := watch(t, &follow.Watch{Store: s, ReadsStore: never, CatchUpFromSnapshot: true, PeerUpdates: news})
		<-out
		s.put("config", "2")
		began := time.Now()
		news <- follow.PeerUpdate{From: 2, Batch: follow.Batch{End: 2}}
		u := <-out
		is.Equal(string(u.Records[0].Value), "2")
		is.True(time.Since(began) < 50*time.Millisecond)
		news <- follow.PeerUpdate{From: 2, Batch: follow.Batch{End: 2}} // known by now
		time.Sleep(time.Second)
		is.Equal(len(out), 0)
	})
}

// An instance on a thin link read twenty versions of a large configuration to come to the last
// one, ran out of time, and began anew, for five seconds.
func TestLatest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("config", "1")
		again := make(chan struct{}, 1)
		out := watch(t, &follow.Watch{Store: s, ReadsStore: never, CatchUpFromSnapshot: true, ReadNow: again})
		<-out
		for range 20 {
			s.put("config", "n")
		}
		again <- struct{}{}
		is.Equal(len((<-out).Records), 1)
		is.Equal(s.reads, 0)
	})
}

// Four of eleven instances were cut off from the store, the leader and all that read for the
// others among them. The others went on with what they knew for 2.1 seconds: they wait for news,
// and took the silence for calm.
func TestReadsWhenWordIsOverdue(t *testing.T) {
	overdue := func() time.Duration { return 1200 * time.Millisecond }
	tests := map[string]struct {
		direct func() bool
		// refreshed says that heartbeats go on saying that nothing is missing.
		refreshed bool
		within    time.Duration
	}{
		"others read, and fall silent": {never, false, 1400 * time.Millisecond},
		"its own read hangs":           {always, false, 1400 * time.Millisecond},
		"others say that all is well":  {never, true, time.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &store{}
				s.put("a", "1")
				topic := &follow.Watch{Store: s, ReadsStore: test.direct, Clock: running{}, MaxStaleness: overdue}
				out := watch(t, topic)
				<-out
				began := time.Now()
				s.set(func() { s.hang = true })
				time.Sleep(20 * time.Millisecond)
				s.put("a", "2")
				time.AfterFunc(500*time.Millisecond, func() { s.set(func() { s.hang = false }) })
				for len(out) == 0 && time.Since(began) < 10*time.Second {
					if test.refreshed {
						topic.ConfirmCurrent(1, running{}.Now().Add(-100*time.Millisecond))
					}
					time.Sleep(50 * time.Millisecond)
				}
				if test.refreshed {
					is.Equal(s.reads, 0)
					return
				}
				u := <-out
				is.True(u.Overdue)
				is.True(time.Since(began) <= test.within)
				is.True(u.StartedAt.Sub(u.WrittenAfter) >= time.Second) // it may have been written that long ago
			})
		})
	}
}

// The store is down for all. Each instance asks again at intervals, not at once.
func TestOverdueReadsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("a", "1")
		out := watch(t, &follow.Watch{
			Store: &failing{store: s}, ReadsStore: never, Clock: running{},
			MaxStaleness: func() time.Duration { return time.Second },
		})
		<-out
		time.Sleep(11 * time.Second)
		is.True(len(out) >= 7 && len(out) <= 10)
	})
}

// failing is a store that can be read as a whole only.
type failing struct{ *store }

func (*failing) Read(context.Context, string, int64, time.Duration) (follow.Batch, error) {
	return follow.Batch{}, follow.ErrNotDone
}

// A record that a read waited for was written just before its answer; one that was there when
// the read began may be as old as the last read.
func TestSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("a", "1")
		out := watch(t, &follow.Watch{Store: s, ReadsStore: always, Clock: running{}})
		<-out
		time.Sleep(5 * time.Second)
		s.put("a", "2")
		u := <-out
		is.True(running{}.Now().Sub(u.WrittenAfter) <= 150*time.Millisecond)
		is.True(!u.Overdue)
	})
}

// Several servers said within 6 ms that they leave. The leader read the word of the first, and its
// message to another instance took 170 ms over full links. That instance believed from then on, and
// told the others, that nothing written before the message came was missing. So the words of the
// rest, read 0.7 seconds later, seemed 170 ms younger than they were, and requests reached servers
// beyond their time. A log of all instances showed it: 0.785 seconds passed, an age of 0.630 was told.
func TestNewsUnderWayProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("a", "0")
		news := make(chan follow.PeerUpdate, 1)
		again := make(chan struct{}, 1)
		topic := &follow.Watch{Store: s, ReadsStore: never, PeerUpdates: news, ReadNow: again, Clock: running{}}
		out := watch(t, topic)
		<-out
		time.Sleep(time.Second)
		written := running{}.Now()
		s.put("a", "leaves")
		s.put("b", "leaves")
		time.Sleep(170 * time.Millisecond)
		news <- follow.PeerUpdate{From: 1, RecordAge: 5, Batch: follow.Batch{Records: []follow.Record{{Key: "a", Offset: 1}}, End: 2}}
		<-out
		synctest.Wait()
		is.True(topic.Age() >= running{}.Now().Sub(written)) // the word of b is missing since then
		time.Sleep(700 * time.Millisecond)
		again <- struct{}{}
		u := <-out
		is.Equal(len(u.Records), 1)
		is.True(u.WrittenAfter <= written)
	})
}

// The same with an echo that bounds when the message was sent: its words are as old as they are, not older.
func TestNewsIsDatedByItsSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("a", "0")
		news := make(chan follow.PeerUpdate, 1)
		topic := &follow.Watch{Store: s, ReadsStore: never, PeerUpdates: news, Clock: running{}}
		out := watch(t, topic)
		<-out
		time.Sleep(time.Second)
		s.put("a", "leaves")
		sentAt := running{}.Now().Add(20 * time.Millisecond)
		time.Sleep(170 * time.Millisecond)
		news <- follow.PeerUpdate{
			From: 1, RecordAge: 20, Staleness: 5, SentAt: sentAt,
			Batch: follow.Batch{Records: []follow.Record{{Key: "a", Offset: 1}}, End: 2},
		}
		u := <-out
		synctest.Wait()
		is.Equal(running{}.Now().Sub(u.WrittenAfter), 170*time.Millisecond)
		is.Equal(topic.Age(), 155*time.Millisecond)
	})
}

// A busy instance found the answer of the store after 0.2 seconds, and took it for one that had been
// waited for there: the word in it, as old as the pause before the read, seemed to be new.
func TestAnswerThatComesSlowlyIsNoNewWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slow{store: &store{}}
		s.put("a", "0")
		news := make(chan follow.PeerUpdate, 1)
		out := watch(t, &follow.Watch{Store: s, ReadsStore: always, PeerUpdates: news, Clock: running{}})
		<-out
		time.Sleep(time.Second)
		s.put("a", "1")
		<-out
		written := running{}.Now()
		s.put("a", "2") // while the answer is on its way
		u := <-out
		is.True(u.WrittenAfter <= written)
	})
}

// slow is a store whose answers are read 0.2 seconds late.
type slow struct{ *store }

func (s *slow) Read(ctx context.Context, topic string, from int64, wait time.Duration) (follow.Batch, error) {
	b, err := s.store.Read(ctx, topic, from, wait)
	time.Sleep(200 * time.Millisecond)
	return b, err
}

// An instance had read a record and was about to act by it. Its heartbeat said with the time of the new
// read and the end of before that nothing was missing: others believed that the record did not exist.
func TestEndAndTimeBelongTogether(t *testing.T) {
	is := is.New(t)
	topic := &follow.Watch{Clock: still{}}
	topic.MarkApplied(follow.Update{Batch: follow.Batch{End: 5}, CurrentAsOf: 100})
	topic.ConfirmCurrent(5, 150)
	topic.ConfirmCurrent(6, 300) // who knows more says nothing of what is missing here
	end, until := topic.Known()
	is.Equal(end, int64(5))
	is.Equal(until, clock.Instant(150))
	topic.MarkApplied(follow.Update{Batch: follow.Batch{End: 6}, CurrentAsOf: 120})
	end, until = topic.Known()
	is.Equal(end, int64(6))
	is.Equal(until, clock.Instant(150)) // the word of who knew less counts on
}

// Guards against news that waits until a read ends to which the store does not answer.
func TestNewsIsTakenWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("a", "1")
		news := make(chan follow.PeerUpdate, 1)
		topic := &follow.Watch{Store: s, ReadsStore: never, Clock: running{}, PeerUpdates: news, MaxStaleness: func() time.Duration { return time.Second }}
		out := watch(t, topic)
		<-out
		s.set(func() { s.hang = true })
		time.Sleep(2 * time.Second)
		s.set(func() { is.Equal(s.reads, 1) }) // overdue, and without an answer
		news <- follow.PeerUpdate{From: 1, Batch: follow.Batch{Records: []follow.Record{{Key: "a", Value: []byte("2"), Offset: 1}}, End: 2}}
		synctest.Wait()
		is.Equal(len(out), 1)
		is.Equal((<-out).End, int64(2))
	})
}

// Guards against news that waits until the pause after a failed read is over.
func TestNewsIsTakenInThePauseAfterAFailedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("a", "1")
		news := make(chan follow.PeerUpdate, 1)
		topic := &follow.Watch{
			Store: &failing{store: s}, ReadsStore: always, Clock: running{}, PeerUpdates: news,
		}
		out := watch(t, topic)
		<-out
		for range 5 {
			is.True((<-out).Err != nil)
		}
		news <- follow.PeerUpdate{From: 1, Batch: follow.Batch{Records: []follow.Record{{Key: "a", Value: []byte("2"), Offset: 1}}, End: 2}}
		synctest.Wait()
		is.Equal(len(out), 1)
		is.Equal((<-out).End, int64(2))
	})
}

// Guards against an answer of the store that undoes what news told while it was on its way.
func TestReadOvertakenByNews(t *testing.T) {
	removed := follow.Record{Key: "a", Offset: 1}
	again := follow.Record{Key: "a", Value: []byte("2"), Offset: 2}
	tests := map[string]bool{"records": false, "everything": true}
	for name, whole := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &store{}
				s.put("a", "1")
				held := &late{store: s}
				news, asked := make(chan follow.PeerUpdate, 1), make(chan struct{}, 1)
				out := watch(t, &follow.Watch{Store: held, ReadsStore: never, CatchUpFromSnapshot: whole, Clock: running{}, PeerUpdates: news, ReadNow: asked})
				<-out
				s.set(func() {
					s.records = append(s.records, removed)
					held.delay = time.Second
				})
				asked <- struct{}{}
				time.Sleep(500 * time.Millisecond) // the answer is made, and on its way
				news <- follow.PeerUpdate{From: 1, Batch: follow.Batch{Records: []follow.Record{removed, again}, End: 3}}
				is.Equal((<-out).End, int64(3))
				u := <-out
				is.Equal(len(u.Records), 0)
				is.Equal(u.End, int64(3))
				is.True(!u.Snapshot)
			})
		})
	}
}

// late is a store whose answers are on their way for some time.
type late struct {
	*store
	delay time.Duration
}

func (s *late) Read(ctx context.Context, topic string, from int64, wait time.Duration) (follow.Batch, error) {
	batch, err := s.store.Read(ctx, topic, from, wait)
	s.hold()
	return batch, err
}

func (s *late) Newest(ctx context.Context, topic string) (follow.Batch, error) {
	batch, err := s.store.Newest(ctx, topic)
	s.hold()
	return batch, err
}

func (s *late) hold() {
	var delay time.Duration
	s.set(func() { delay = s.delay })
	time.Sleep(delay)
}

// Guards against records that are read an interval late since the answer before was cut short.
func TestAnswerCutShortIsReadOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("a", "1")
		asked := make(chan struct{}, 1)
		out := watch(t, &follow.Watch{
			Store: &brief{store: s}, ReadsStore: always, Clock: running{}, ReadNow: asked, ReadInterval: func() time.Duration { return time.Minute },
		})
		<-out
		s.put("a", "2")
		s.put("a", "3")
		asked <- struct{}{}
		is.Equal((<-out).CurrentAsOf, clock.Instant(0)) // more was there
		began := time.Now()
		is.True((<-out).CurrentAsOf != 0)
		is.True(time.Since(began) < time.Second)
	})
}

// brief is a store that answers with one record at most.
type brief struct{ *store }

func (s *brief) Read(ctx context.Context, topic string, from int64, wait time.Duration) (follow.Batch, error) {
	batch, err := s.store.Read(ctx, topic, from, wait)
	batch.Records = batch.Records[:min(len(batch.Records), 1)]
	return batch, err
}

// Guards against a leader that reads late since it looks only now and then whether its pause is over.
func TestPauseEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const pause = 30 * time.Millisecond
		s := &store{}
		s.put("a", "1")
		out := watch(t, &follow.Watch{Store: s, ReadsStore: always, Clock: running{}, BatchDelay: func() time.Duration { return pause }})
		<-out
		s.put("a", "2")
		began := time.Now()
		is.Equal((<-out).End, int64(2))
		is.True(time.Since(began) <= pause+10*time.Millisecond)
	})
}

// Guards against a large change that waits for the end of a pause although another instance has read it.
func TestNewsWithoutRecordsEndsThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("a", "1")
		down := &failing{store: s}
		news := make(chan follow.PeerUpdate, 1)
		out := watch(t, &follow.Watch{
			Store: down, ReadsStore: never, CatchUpFromSnapshot: true, Clock: running{}, PeerUpdates: news,
			MaxStaleness: func() time.Duration { return time.Second }, RetryDelay: func() time.Duration { return time.Minute },
		})
		<-out
		is.True((<-out).Err != nil)
		s.put("a", "2")
		began := time.Now()
		news <- follow.PeerUpdate{From: 2, Batch: follow.Batch{End: 2}}
		is.Equal((<-out).End, int64(2))
		is.True(time.Since(began) < time.Second)
	})
}
