package front

import (
	"context"
	"fmt"
	"time"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// A gate that is new to a range does not know what the last one ran there. Before it takes
// named, non-idempotent requests it recalls the marks that the domain's other instances hold.
// It does so by shards of the hash space, with the first request that needs one, so that a
// move of ownership costs little at a time.
const shardBits = 8

// The bounds of a recall: how long it may take, and the pause before it is asked again.
const (
	recallTime  = 500 * time.Millisecond
	recallPause = 25 * time.Millisecond
)

// shard is a part of the hash space of a service at one server.
type shard struct {
	number uint8
	server string
}

// recallState says for which grant a shard was recalled.
type recallState struct {
	epoch grant.Epoch
}

func shardOf(hash uint64, server string) shard {
	return shard{number: uint8(hash >> (64 - shardBits)), server: server}
}

// hashes returns the hashes of the shard.
func (s shard) hashes() keys.Range {
	first := uint64(s.number) << (64 - shardBits)
	return keys.Range{First: first, Last: first | (1<<(64-shardBits) - 1)}
}

// recall makes sure that the memory holds what other instances know of a hash. The epoch
// changes whenever the server gets or loses a range.
func (s *service) recall(ctx context.Context, hash uint64, server string, epoch grant.Epoch) error {
	witness := s.front.deps.Replicator
	if witness == nil {
		return nil
	}
	k := shardOf(hash, server)
	if s.isRecalled(k, epoch) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recallTime)
	defer cancel()
	_, err, _ := s.recalls.Do(fmt.Sprint(k, epoch), func() (any, error) {
		return nil, s.recallShard(ctx, witness, k, epoch)
	})
	return err
}

// recallShard asks until all that is needed answered, or the context ends. In a planned move
// the former gate answers within a few round trips.
func (s *service) recallShard(ctx context.Context, witness Replicator, k shard, epoch grant.Epoch) error {
	for {
		marks, err := witness.Recover(ctx, s.name, k.hashes())
		if err == nil {
			return s.remember(k, epoch, marks)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(recallPause):
		}
	}
}

func (s *service) isRecalled(k shard, epoch grant.Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, found := s.recalled[k]
	return found && state.epoch == epoch
}

// remember takes in recalled marks.
func (s *service) remember(k shard, epoch grant.Epoch, marks []policy.IdempotencyRecord) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range marks {
		if !s.core.AddRecord(s.front.now(), m) {
			return fmt.Errorf("front: no room for the marks of %s", s.name)
		}
	}
	s.recalled[k] = recallState{epoch: epoch}
	return nil
}
