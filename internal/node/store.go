package node

import (
	"context"
	"errors"
	"expvar"
	"strings"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
)

// instrumentedStore counts the appends to a store by topic and kind of record, logs them, and records the latency of
// calls. It leaves out reads that wait for records.
type instrumentedStore struct {
	follow.Store
	calls  *expvar.Map
	times  *edge.LatencyHistograms
	events *event.Log
}

// Read implements follow.Store.
func (s *instrumentedStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (follow.Batch, error) {
	begun := clock.Boot{}.Now()
	batch, err := s.Store.Read(ctx, topic, from, wait)
	if wait == 0 {
		s.times.Record("read "+topic, clock.Boot{}.Now().Sub(begun))
	}
	if errors.Is(err, follow.ErrExpired) {
		s.calls.Add("read-expired "+topic, 1)
		s.events.Record(event.StateChange, "store-records-expired", "topic", topic, "from", from)
	}
	return batch, err
}

// Newest implements follow.Store.
func (s *instrumentedStore) Newest(ctx context.Context, topic string) (follow.Batch, error) {
	begun := clock.Boot{}.Now()
	batch, err := s.Store.Newest(ctx, topic)
	s.times.Record("newest "+topic, clock.Boot{}.Now().Sub(begun))
	return batch, err
}

// Append implements follow.Store. The kind of an append is the part of its first key before the first slash.
func (s *instrumentedStore) Append(ctx context.Context, topic string, records []follow.Record, expectedEnd int64) (int64, error) {
	key, size := records[0].Key, 0
	for _, r := range records {
		size += len(r.Value)
	}
	kind, _, _ := strings.Cut(key, "/")
	s.calls.Add("append "+topic+" "+kind, 1)
	begun := clock.Boot{}.Now()
	offset, err := s.Store.Append(ctx, topic, records, expectedEnd)
	took := clock.Boot{}.Now().Sub(begun)
	s.times.Record("append "+topic, took)
	s.events.Record(event.StateChange, "store-append", "topic", topic, "key", key, "records", len(records), "bytes", size, "as-of", expectedEnd,
		"offset", offset, "took", took, "error", err)
	return offset, err
}
