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
	"example.org/mustardring/internal/duty"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/holder"
	"example.org/mustardring/internal/roster"
)

// silentStore is a store that takes calls during an outage and never answers these.
type silentStore struct {
	mu      sync.Mutex
	silent  bool
	records []follow.Record
	calls   int
}

func (s *silentStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *silentStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, follow.Record{Key: key, Value: []byte(value), Offset: int64(len(s.records))})
}

func (s *silentStore) Append(ctx context.Context, _, _ string, _ []byte, _ int64) (int64, error) {
	return 0, awaitSilence(ctx)
}

// awaitSilence waits as long as a call that is not answered.
func awaitSilence(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, follow.AnswerTimeout)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

func (s *silentStore) Newest(ctx context.Context, topic string) (follow.Batch, error) {
	return s.Read(ctx, topic, 0, 0)
}

func (s *silentStore) Read(ctx context.Context, _ string, from int64, _ time.Duration) (follow.Batch, error) {
	s.mu.Lock()
	s.calls++
	silent := s.silent
	all := follow.Batch{Records: s.records[min(from, int64(len(s.records))):], End: int64(len(s.records))}
	s.mu.Unlock()
	if !silent {
		return all, nil
	}
	return follow.Batch{}, awaitSilence(ctx)
}

// running is a lease clock that goes on with the time of the test.
type running struct{}

func (running) Now() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

// newFollower returns an instance among others that follows the topics of a store.
func newFollower(s follow.Store, others int) *Node {
	n := &Node{
		settings: config.Serve{Name: "i0", Domain: "a", IP: "127.0.0.1", PeerPorts: []int{1000}, Bounds: config.Bounds{DrainSeconds: 2, ConfigSeconds: 2}},
		around:   Platform{Store: s, ConfigTopic: "config", ConfigKey: "config", ServersTopic: "servers", OwnersTopic: "owners"},
		roster:   roster.New("i0", "a"), updates: make(chan follow.Update, 64),
		again: map[string]chan struct{}{}, news: map[string]chan follow.PeerUpdate{},
	}
	for _, topic := range []string{"config", "servers", "owners"} {
		n.again[topic] = make(chan struct{}, 1)
		n.news[topic] = make(chan follow.PeerUpdate, newsMost)
	}
	n.holder = holder.New(holder.Deps{Clock: running{}, Roster: n.roster})
	for i := range others + 1 {
		name := fmt.Sprintf("i%d", i)
		n.roster.Put(name, roster.Entry{Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Domain: "a", Incarnation: 1, Share: 1}, time.Now())
	}
	n.topics = n.newTopics()
	for _, topic := range n.topics {
		topic.Clock = running{}
	}
	return n
}

// hearOthers lets an instance hear all others, which know no more than it does, until the context ends.
func (n *Node) hearOthers(ctx context.Context) error {
	for duty.Pause(ctx, 200*time.Millisecond) {
		for _, p := range n.roster.Others() {
			n.roster.RecordHeartbeat(roster.Heartbeat{Name: p.Name, Incarnation: 1}, time.Now())
		}
	}
	return ctx.Err()
}

// Guards against a change that is not in force in time since a read outlives the outage in which it began.
func TestChangeAfterAnOutage(t *testing.T) {
	const bound = 2 * time.Second
	tests := map[string]int{"alone": 0, "one of eleven": 10}
	for name, others := range tests {
		t.Run(name, func(t *testing.T) {
			for outage := 500 * time.Millisecond; outage <= 9*time.Second; outage += 20 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := &silentStore{}
					s.put("config", "1")
					n := newFollower(s, others)
					ctx, cancel := context.WithCancel(t.Context())
					ended := make(chan error, 2)
					topic := n.topics["config"]
					go func() { ended <- topic.Run(ctx) }()
					go func() { ended <- n.hearOthers(ctx) }()
					defer func() {
						cancel()
						is.True(<-ended != nil)
						is.True(<-ended != nil)
					}()
					topic.MarkApplied(<-n.updates)
					time.Sleep(5 * time.Second)
					s.setSilent(true)
					time.Sleep(outage)
					s.setSilent(false)
					s.put("config", "2")
					changedAt := time.Now()
					for u := range n.updates {
						topic.MarkApplied(u)
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

// Guards against calls to a store that is down that grow with the number of instances.
func TestRetriesDoNotGrowWithInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const others, draws = 299, 1000
		n := newFollower(&silentStore{}, others)
		for _, p := range n.roster.Others() {
			n.roster.RecordHeartbeat(roster.Heartbeat{Name: p.Name, Incarnation: 1}, time.Now())
		}
		sum := time.Duration(0)
		for range draws {
			sum += n.retryPause()
		}
		perSecond := float64(others+1) / (sum / draws).Seconds()
		is.True(perSecond < 50)
	})
}

// Guards against an instance that reaches the store for one topic and does not try the others, so that nobody leads.
func TestAnswerEndsThePausesOfOtherTopics(t *testing.T) {
	for outage := 10 * time.Second; outage <= 14*time.Second; outage += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &silentStore{}
			s.put("key", "1")
			n := newFollower(s, 99)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, len(n.topics)+1)
			go func() { ended <- n.hearOthers(ctx) }()
			for _, topic := range n.topics {
				go func() { ended <- topic.Run(ctx) }()
			}
			defer func() {
				cancel()
				for range cap(ended) {
					is.True(<-ended != nil)
				}
			}()
			for range n.topics {
				<-n.updates
			}
			s.setSilent(true)
			backAt := time.Now().Add(outage)
			time.AfterFunc(outage, func() { s.setSilent(false) })
			var answeredAt time.Time
			for regained := map[string]bool{}; len(regained) < len(n.topics); {
				u := <-n.updates
				if u.Err != nil || time.Now().Before(backAt) {
					continue
				}
				if answeredAt.IsZero() {
					answeredAt = time.Now()
				}
				regained[u.Topic] = true
				n.resume(u)
			}
			is.True(time.Since(answeredAt) <= follow.AnswerTimeout)
		})
	}
}

// Guards against a stop that outlasts its time since the store does not answer.
func TestStopDoesNotWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newFollower(&silentStore{}, 0)
		n.events = event.New(io.Discard, log.InfoLevel)
		begun := time.Now()
		n.recordEnd(t.Context(), begun.Add(stopReserve/2))
		is.True(time.Since(begun) < stopReserve)
	})
}
