package node

import (
	"context"
	"expvar"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
)

// countedStore counts what is written to the store by what it is about, and logs it.
type countedStore struct {
	follow.Store
	calls  *expvar.Map
	times  *storeTimes
	events *event.Log
}

// Read implements follow.Store.
func (s *countedStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (follow.Batch, error) {
	begun := clock.Boot{}.Now()
	batch, err := s.Store.Read(ctx, topic, from, wait)
	if wait == 0 {
		s.times.record("read "+topic, clock.Boot{}.Now().Sub(begun))
	}
	return batch, err
}

// Newest implements follow.Store.
func (s *countedStore) Newest(ctx context.Context, topic string) (follow.Batch, error) {
	begun := clock.Boot{}.Now()
	batch, err := s.Store.Newest(ctx, topic)
	s.times.record("newest "+topic, clock.Boot{}.Now().Sub(begun))
	return batch, err
}

// Append implements follow.Store.
func (s *countedStore) Append(ctx context.Context, topic, key string, value []byte, asOf int64) (int64, error) {
	about, _, _ := strings.Cut(key, "/")
	s.calls.Add("append "+topic+" "+about, 1)
	begun := clock.Boot{}.Now()
	offset, err := s.Store.Append(ctx, topic, key, value, asOf)
	took := clock.Boot{}.Now().Sub(begun)
	s.times.record("append "+topic, took)
	s.events.Note(event.Belief, "store-append", "topic", topic, "key", key, "bytes", len(value), "as-of", asOf,
		"offset", offset, "took", took, "error", err)
	return offset, err
}

// The range of times that are told apart, in microseconds, and their significant figures.
const (
	storeTimeLeast   = 100
	storeTimeMost    = 60_000_000
	storeTimeFigures = 2
)

// storeTimes holds the times of calls to the store, answered or not, by what was called.
type storeTimes struct {
	mu sync.Mutex
	by map[string]*hdrhistogram.Histogram
}

func newStoreTimes() *storeTimes { return &storeTimes{by: map[string]*hdrhistogram.Histogram{}} }

func (t *storeTimes) record(call string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.by[call]
	if h == nil {
		h = hdrhistogram.New(storeTimeLeast, storeTimeMost, storeTimeFigures)
		t.by[call] = h
	}
	_ = h.RecordValue(min(max(took.Microseconds(), storeTimeLeast), storeTimeMost))
}

// lines returns the quantiles as lines of the metrics address.
func (t *storeTimes) lines() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for call, h := range t.by {
		out = append(out, fmt.Sprintf("store_time_us{call=%q,quantile=\"0.5\"} %d\n", call, h.ValueAtQuantile(50)),
			fmt.Sprintf("store_time_us{call=%q,quantile=\"0.99\"} %d\n", call, h.ValueAtQuantile(99)),
			fmt.Sprintf("store_time_us{call=%q,quantile=\"1\"} %d\n", call, h.Max()))
	}
	return out
}
