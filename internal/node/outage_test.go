package node

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/lease"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/worker"
)

// hangingStore is a store that, during an outage, accepts calls and never answers them.
type hangingStore struct {
	mu      sync.Mutex
	hanging bool
	records []follow.Record
	calls   int
}

func (s *hangingStore) setHanging(hanging bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging = hanging
}

func (s *hangingStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, follow.Record{Key: key, Value: []byte(value), Offset: logpos.Pos(len(s.records))})
}

func (s *hangingStore) Append(ctx context.Context, _ string, _ []follow.Record, _ logpos.Pos) (logpos.Pos, error) {
	return 0, hang(ctx)
}

// hang waits like a call that gets no answer, and returns the error of the context or its timeout.
func hang(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, follow.AnswerTimeout)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

func (s *hangingStore) Newest(ctx context.Context, topic string) (follow.Batch, error) {
	return s.Read(ctx, topic, 0, 0)
}

func (s *hangingStore) Read(ctx context.Context, _ string, from logpos.Pos, _ time.Duration) (follow.Batch, error) {
	s.mu.Lock()
	s.calls++
	hanging := s.hanging
	all := follow.Batch{Records: s.records[min(from, logpos.Pos(len(s.records))):], End: logpos.Pos(len(s.records))}
	s.mu.Unlock()
	if !hanging {
		return all, nil
	}
	return follow.Batch{}, hang(ctx)
}

// testClock is a lease clock that follows the fake time of the test.
type testClock struct{}

func (testClock) Now() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

// sharedUpdates returns one channel for the updates of all topics.
func sharedUpdates() map[string]chan follow.Update {
	updates := make(chan follow.Update, 64)
	return map[string]chan follow.Update{"config": updates, "servers": updates, "owners": updates}
}

// newFollower returns an instance among others that watches the topics of a store. It does not lead.
func newFollower(s follow.Store, others int) *Node {
	n := &Node{
		settings: config.Serve{Name: "i0", Domain: "a", IP: "127.0.0.1", PeerPorts: []int{1000}, Bounds: config.Bounds{DrainSeconds: 2, ConfigSeconds: 2}},
		platform: Platform{Store: s, ConfigTopic: "config", ConfigKey: "config", ServersTopic: "servers", OwnersTopic: "owners"},
		roster:   roster.New("i0", "a"), updates: sharedUpdates(),
		readRequests: map[string]chan struct{}{}, peerUpdates: map[string]chan follow.PeerUpdate{}, joined: make(chan struct{}), heard: newHeardPeers(),
	}
	close(n.joined)
	for _, topic := range []string{"config", "servers", "owners"} {
		n.readRequests[topic] = make(chan struct{}, 1)
		n.peerUpdates[topic] = make(chan follow.PeerUpdate, maxQueuedPeerUpdates)
	}
	n.leases = lease.New(lease.Deps{Clock: testClock{}, Roster: n.roster})
	for i := range others + 1 {
		name := fmt.Sprintf("i%d", i)
		n.roster.Put(name, roster.Entry{Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Domain: "a", Incarnation: 1, Share: 1}, time.Now())
	}
	n.watches = n.newWatches()
	for _, watch := range n.watches {
		watch.Clock = testClock{}
	}
	return n
}

// heartbeatsFromOthers gives an instance heartbeats of all others, which know no more than it does, until the context
// ends.
func (n *Node) heartbeatsFromOthers(ctx context.Context) error {
	for worker.Sleep(ctx, 200*time.Millisecond) {
		for _, p := range n.roster.Others() {
			n.roster.RecordHeartbeat(roster.Heartbeat{Name: p.Name, Incarnation: 1}, time.Now())
		}
	}
	return ctx.Err()
}

// Guards against a change that comes into force late because a read outlives the outage in which it began.
func TestChangeAfterAnOutage(t *testing.T) {
	const bound = 2 * time.Second
	tests := map[string]int{"alone": 0, "one of eleven": 10}
	for name, others := range tests {
		t.Run(name, func(t *testing.T) {
			for outage := 500 * time.Millisecond; outage <= 9*time.Second; outage += 20 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := &hangingStore{}
					s.put("config", "1")
					n := newFollower(s, others)
					ctx, cancel := context.WithCancel(t.Context())
					ended := make(chan error, 2)
					watch := n.watches["config"]
					go func() { ended <- watch.Run(ctx) }()
					go func() { ended <- n.heartbeatsFromOthers(ctx) }()
					defer func() {
						cancel()
						is.True(<-ended != nil)
						is.True(<-ended != nil)
					}()
					watch.MarkApplied(<-n.updates["config"])
					time.Sleep(5 * time.Second)
					s.setHanging(true)
					time.Sleep(outage)
					s.setHanging(false)
					s.put("config", "2")
					changedAt := time.Now()
					for u := range n.updates["config"] {
						watch.MarkApplied(u)
						if u.End == 2 {
							break
						}
					}
					is.True(time.Since(changedAt) < bound)
				})
			}
		})
	}
}

// Guards against calls to an unavailable store that grow with the number of instances.
func TestRetriesDoNotGrowWithInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const others, draws = 299, 1000
		n := newFollower(&hangingStore{}, others)
		for _, p := range n.roster.Others() {
			n.roster.RecordHeartbeat(roster.Heartbeat{Name: p.Name, Incarnation: 1}, time.Now())
		}
		sum := time.Duration(0)
		for range draws {
			sum += n.retryDelay(0)
		}
		perSecond := float64(others+1) / (sum / draws).Seconds()
		is.True(perSecond < 50)
	})
}

// Guards against an instance that reaches the store for one topic and does not retry the others, so that no instance
// leads.
func TestAnswerEndsRetryDelaysOfOtherTopics(t *testing.T) {
	for outage := 10 * time.Second; outage <= 14*time.Second; outage += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &hangingStore{}
			s.put("key", "1")
			n := newFollower(s, 99)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, len(n.watches)+1)
			go func() { ended <- n.heartbeatsFromOthers(ctx) }()
			for _, watch := range n.watches {
				go func() { ended <- watch.Run(ctx) }()
			}
			defer func() {
				cancel()
				for range cap(ended) {
					is.True(<-ended != nil)
				}
			}()
			for range n.watches {
				<-n.updates["config"]
			}
			s.setHanging(true)
			backAt := time.Now().Add(outage)
			time.AfterFunc(outage, func() { s.setHanging(false) })
			var answeredAt time.Time
			for regained := map[string]bool{}; len(regained) < len(n.watches); {
				u := <-n.updates["config"]
				if u.Err != nil || time.Now().Before(backAt) {
					continue
				}
				if answeredAt.IsZero() {
					answeredAt = time.Now()
				}
				regained[u.Topic] = true
				n.retryUnanswered(u)
			}
			is.True(time.Since(answeredAt) <= follow.AnswerTimeout)
		})
	}
}

// Guards against a stop that exceeds its time limit because the store does not answer.
func TestStopDoesNotWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newFollower(&hangingStore{}, 0)
		n.events = event.New(io.Discard, log.InfoLevel)
		begun := time.Now()
		n.recordEnd(t.Context(), begun.Add(stopReserve/2))
		is.True(time.Since(begun) < stopReserve)
	})
}
