package node

import (
	"context"
	"errors"
	"expvar"
	"strings"
	"sync/atomic"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
)

// instrumentedStore counts the appends to a store by topic and kind of record, logs them, and records the latency of
// calls. It leaves out reads that wait for records.
type instrumentedStore struct {
	follow.Store
	calls  *expvar.Map
	times  *edge.LatencyHistograms
	events *event.Log
	// era is the era of the last answer.
	era atomic.Uint32
	// eraFault is set once an era was not believed, which is logged once.
	eraFault atomic.Bool
}

// Read implements follow.Store.
func (s *instrumentedStore) Read(ctx context.Context, topic string, from logpos.Pos, wait time.Duration) (follow.Batch, error) {
	begun := clock.Boot{}.Now()
	batch, err := s.Store.Read(ctx, topic, from, wait)
	if wait == 0 {
		s.times.Record("read "+topic, clock.Boot{}.Now().Sub(begun))
	}
	if errors.Is(err, follow.ErrExpired) {
		s.calls.Add("read-expired "+topic, 1)
		s.events.Record(event.StateChange, "store-records-expired", "topic", topic, "from", from, "era", batch.End.Era())
	}
	s.observeEra(topic, from, batch)
	return batch, err
}

// Newest implements follow.Store.
func (s *instrumentedStore) Newest(ctx context.Context, topic string) (follow.Batch, error) {
	begun := clock.Boot{}.Now()
	batch, err := s.Store.Newest(ctx, topic)
	s.times.Record("newest "+topic, clock.Boot{}.Now().Sub(begun))
	s.observeEra(topic, 0, batch)
	return batch, err
}

// observeEra logs and counts that the store has come back from an older copy of its data, as an answer to a read shows.
func (s *instrumentedStore) observeEra(topic string, from logpos.Pos, batch follow.Batch) {
	if batch.EraFault != nil && s.eraFault.CompareAndSwap(false, true) {
		s.events.Record(event.StateChange, "store-era-malformed", "topic", topic, "error", batch.EraFault)
	}
	era := batch.End.Era()
	known := logpos.Era(s.era.Load())
	if era <= known || !s.era.CompareAndSwap(uint32(known), uint32(era)) {
		return
	}
	s.calls.Add("store-returns", 1)
	s.events.Record(event.StateChange, "store-era", "era", era, "known", known, "topic", topic, "from", from)
}

// Append implements follow.Store. The kind of an append is the part of its first key before the first slash.
func (s *instrumentedStore) Append(ctx context.Context, topic string, records []follow.Record, expectedEnd logpos.Pos) (logpos.Pos, error) {
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
