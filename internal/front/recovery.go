package front

import (
	"context"
	"fmt"
	"time"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// shardBits is the number of leading bits of a hash that select a shard of the hash space.
//
// A new gate of a range does not know which requests the previous gate sent. Before it sends a
// deduplicated request, it recovers the idempotency records that the other instances of its domain
// hold. It recovers one shard at a time, when the first request needs it, so that the cost of a
// move of ownership is spread.
const shardBits = 8

// The time limit of the recovery of a shard, and the delay between its attempts.
const (
	recoveryTimeout    = 500 * time.Millisecond
	recoveryRetryDelay = 25 * time.Millisecond
)

// shard is a part of the hash space of a service at one server. The server is "" in a service that
// is not divided.
type shard struct {
	number uint8
	server string
}

// recoveryState is the epoch for which a shard was recovered.
type recoveryState struct {
	epoch grant.Epoch
}

func shardOf(hash uint64, server string) shard {
	return shard{number: uint8(hash >> (64 - shardBits)), server: server}
}

// hashes returns the range of the hashes in the shard.
func (s shard) hashes() keys.Range {
	first := uint64(s.number) << (64 - shardBits)
	return keys.Range{First: first, Last: first | (1<<(64-shardBits) - 1)}
}

// ensureRecovered recovers the shard of a hash, unless that was already done for this epoch. The
// epoch changes whenever the server gains or loses a range. Requests that need the same shard share
// one recovery, which therefore does not end when the context of one of them does.
func (s *service) ensureRecovered(ctx context.Context, hash uint64, server string, epoch grant.Epoch) error {
	replicator := s.front.deps.Replicator
	if replicator == nil {
		return nil
	}
	sh := shardOf(hash, server)
	if s.isRecovered(sh, epoch) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recoveryTimeout)
	defer cancel()
	_, err, _ := s.recoveries.Do(fmt.Sprint(sh, epoch), func() (any, error) {
		return nil, s.recoverShard(ctx, replicator, sh, epoch)
	})
	return err
}

// recoverShard retries the recovery until it succeeds or the context ends. In a planned move the
// former gate can answer after a few round trips.
func (s *service) recoverShard(ctx context.Context, replicator Replicator, sh shard, epoch grant.Epoch) error {
	for {
		records, err := replicator.Recover(ctx, s.name, sh.hashes())
		if err == nil {
			return s.addRecovered(sh, epoch, records)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(recoveryRetryDelay):
		}
	}
}

func (s *service) isRecovered(sh shard, epoch grant.Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, found := s.recovered[sh]
	return found && state.epoch == epoch
}

// addRecovered adds the recovered records and marks the shard as recovered.
func (s *service) addRecovered(sh shard, epoch grant.Epoch, records []policy.IdempotencyRecord) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range records {
		if !s.core.AddRecord(s.front.now(), rec) {
			return fmt.Errorf("front: idempotency table of service %s is full", s.name)
		}
	}
	s.recovered[sh] = recoveryState{epoch: epoch}
	return nil
}
