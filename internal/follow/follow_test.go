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
	for {
		s.mu.Lock()
		b := follow.Batch{End: int64(len(s.records)), Records: s.records[min(from, int64(len(s.records))):]}
		hang, expired := s.hang, s.expired
		s.mu.Unlock()
		if expired {
			return follow.Batch{}, follow.ErrExpired
		}
		if !hang && (len(b.Records) > 0 || !time.Now().Before(deadline)) {
			return b, nil
		}
		select {
		case <-ctx.Done():
			return follow.Batch{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

type still struct{}

func (still) Now() clock.Instant { return 1 }

// watch runs a topic and returns what it says, in order.
func watch(t *testing.T, topic *follow.Topic) <-chan follow.Update {
	out := make(chan follow.Update, 64)
	topic.Name, topic.Clock, topic.Out = "topic", still{}, out
	topic.Settle = func() time.Duration { return 0 }
	if topic.Wait == nil {
		topic.Wait = func() time.Duration { return 20 * time.Second }
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = topic.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
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
		out := watch(t, &follow.Topic{Store: s, Direct: always, Again: again})
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
		out := watch(t, &follow.Topic{Store: s, Direct: always})
		<-out
		s.set(func() { s.expired = true })
		s.put("b", "2")
		u := <-out
		is.True(u.Whole)
		is.Equal(len(u.Records), 2)
	})
}

// Most instances must not read the store: they hear of news, and read only what they miss.
func TestNewsInsteadOfReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("a", "0")
		news := make(chan follow.News, 4)
		out := watch(t, &follow.Topic{Store: s, Direct: never, News: news})
		<-out
		record := func(offset int64) follow.Record { return follow.Record{Key: "a", Value: []byte("x"), Offset: offset} }
		s.put("a", "1")
		news <- follow.News{From: 1, Batch: follow.Batch{Records: []follow.Record{record(1)}, End: 2}}
		is.Equal((<-out).End, int64(2))
		news <- follow.News{From: 0, Batch: follow.Batch{Records: []follow.Record{record(0), record(1)}, End: 2}}
		time.Sleep(time.Minute)
		is.Equal(len(out), 0) // nothing new
		is.Equal(s.reads, 0)
		s.put("a", "2")
		s.put("a", "3")
		news <- follow.News{From: 3, Batch: follow.Batch{Records: []follow.Record{record(3)}, End: 4}}
		u := <-out
		is.Equal(u.From, int64(2)) // the part between was read
		is.Equal(u.End, int64(4))
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
		out := watch(t, &follow.Topic{Store: s, Direct: never, Latest: true, Again: again})
		<-out
		for range 20 {
			s.put("config", "n")
		}
		again <- struct{}{}
		is.Equal(len((<-out).Records), 1)
		is.Equal(s.reads, 0)
	})
}
