package holder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"example.org/mustardring/internal/duty"

	"github.com/charmbracelet/log"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// The world of the random schedules: real holders, readers of the store and rosters, against
// a naive store and naive servers, on the fake clock of testing/synctest.

const (
	service     = "books"
	ownersTopic = "owners"
	// spacing is the distance of the keys that are checked.
	spacing = 256
)

var errCut = fmt.Errorf("%w: cut", ErrNoAnswer)

type fakeClock struct{ start time.Time }

func (c fakeClock) Now() clock.Instant { return clock.Instant(time.Since(c.start)) + 1 }

// store is a linearizable store of keyed topics.
type store struct {
	mu     sync.Mutex
	topics map[string][]follow.Record
	down   bool
}

func (s *store) append(topic, key string, value []byte, asOf int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.topics[topic]))
	if asOf >= 0 && asOf != end {
		return 0, follow.ErrConflict
	}
	s.topics[topic] = append(s.topics[topic], follow.Record{Key: key, Value: value, Offset: end})
	return end, nil
}

// storeClient is the store as one instance reaches it.
type storeClient struct {
	world *world
	name  string
}

func (c *storeClient) cut() bool {
	return c.world.store.isDown() || c.world.storeCut(c.name)
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (c *storeClient) Append(ctx context.Context, topic, key string, value []byte, asOf int64) (int64, error) {
	c.world.delay()
	if c.cut() {
		duty.Pause(ctx, c.world.silence)
		return 0, follow.ErrNotDone
	}
	if topic == ownersTopic && c.world.chance(c.world.lostAppends) {
		// The answer is lost, and the record may be written seconds later.
		later := c.world.between(0, 6*time.Second)
		c.world.after(later, func() { _, _ = c.world.store.append(topic, key, value, asOf) })
		return 0, follow.ErrUnknown
	}
	offset, err := c.world.store.append(topic, key, value, asOf)
	c.world.delay()
	return offset, err
}

func (c *storeClient) Read(_ context.Context, topic string, from int64, _ time.Duration) (follow.Batch, error) {
	c.world.delay()
	if c.cut() {
		return follow.Batch{}, follow.ErrNotDone
	}
	c.world.store.mu.Lock()
	all := c.world.store.topics[topic]
	batch := follow.Batch{End: int64(len(all)), Records: append([]follow.Record(nil), all[min(from, int64(len(all))):]...)}
	c.world.store.mu.Unlock()
	c.world.delay()
	return batch, nil
}

func (c *storeClient) Newest(ctx context.Context, topic string) (follow.Batch, error) {
	batch, err := c.Read(ctx, topic, 0, 0)
	newest := map[string]follow.Record{}
	for _, r := range batch.Records {
		newest[r.Key] = r
	}
	batch.Records = nil
	for _, r := range newest {
		if len(r.Value) > 0 {
			batch.Records = append(batch.Records, r)
		}
	}
	return batch, err
}

// world holds everything; mu guards it.
type world struct {
	mu          sync.Mutex
	random      *rand.Rand
	ctx         context.Context
	pending     sync.WaitGroup
	store       *store
	start       time.Time
	backends    map[string]*backend
	nodes       map[string]*instance
	cuts        map[string]bool
	lateOrders  float64
	lostAppends float64
	lostPeers   float64
	// silence is how long the store, while it is down, lets a call to append wait.
	silence time.Duration
	// helps is the chance that an instance which is behind is told all by one that is not.
	helps float64
	// load returns the requests in a second for each key as an instance knows them; it may be nil.
	load func(name string) []float64
	// stated says that servers state when they started, and keep their names when they start again.
	// Entries holds what they stated last, by name.
	stated  bool
	entries map[string]rules.Server
	// ended holds the fences with which lives that have ended had keys, by name and checked key.
	ended  map[string][]uint64
	faults []string
	moved  int
	// refusals counts the orders that servers without keys refused.
	refusals int
	guards   guards
}

// trace returns where the instances log to: MUSTARDRING_TRACE asks for the lines of a schedule.
func (w *world) trace() io.Writer {
	if os.Getenv("MUSTARDRING_TRACE") != "" {
		return os.Stderr
	}
	return io.Discard
}

// loadAt returns the load as an instance knows it.
func (w *world) loadAt(name string) []float64 {
	w.mu.Lock()
	load := w.load
	w.mu.Unlock()
	if load == nil {
		return nil
	}
	return load(name)
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < p
}

func (w *world) between(least, most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

func (w *world) delay() { time.Sleep(w.between(100*time.Microsecond, 3*time.Millisecond)) }

// after does something later, unless the world ends before.
func (w *world) after(d time.Duration, do func()) {
	w.pending.Add(1)
	go func() {
		defer w.pending.Done()
		if duty.Pause(w.ctx, d) {
			do()
		}
	}()
}

func (w *world) storeCut(name string) bool { return w.isCut(name, "store") }

func (w *world) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[a+">"+b]
}

func (w *world) servers() map[string]rules.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]rules.Server{}
	for _, s := range w.entries {
		out[s.ID] = s
	}
	for id, b := range w.backends {
		if now, there := w.entries[rules.NameOf(id)]; !w.stated || there && now.ID == id {
			out[id] = b.Server
		}
	}
	return out
}

// instance is an instance of the system.
type instance struct {
	world  *world
	name   string
	roster *roster.Roster
	holder *Manager
	again  chan struct{}
	cancel context.CancelFunc
	ended  chan struct{}
}

// startInstance starts an instance, with nothing in memory.
func (w *world) startInstance(name, domain string) {
	ctx, cancel := context.WithCancel(w.ctx)
	incarnation := uint64(time.Since(w.start)) + 1
	n := &instance{
		world: w, name: name, roster: roster.New(name, domain),
		again: make(chan struct{}, 1), cancel: cancel, ended: make(chan struct{}),
	}
	client := &storeClient{w, name}
	n.holder = New(Deps{
		Name: name, Domain: domain, LeaseClient: &orders{world: w, name: name, lines: map[string]*testLine{}}, Store: client, Topic: ownersTopic, Incarnation: incarnation,
		Clock: fakeClock{w.start}, Roster: n.roster, Events: event.New(w.trace(), log.InfoLevel),
		Servers: w.servers, DirectoryVersion: func() uint64 { return uint64(time.Since(w.start)) }, Services: func() []string { return []string{service} },
		TargetLatency: func(string) time.Duration { return time.Second },
		Load:          func(string) []float64 { return w.loadAt(name) },
		Capacities:    func(string) map[string]float64 { return nil },
		DirectoryAge:  func() time.Duration { return 0 }, EntryDelay: time.Second, ReadDirectory: func() {},
		LeadershipChanged: func(bool) {}, OwnersChanged: func() {}, SendHeartbeat: func() {},
		RereadOwners: func() {
			select {
			case n.again <- struct{}{}:
			default:
			}
		},
		BroadcastOwners: n.tell, BroadcastRegister: n.tellRegister,
		MoveCompleted: func(string, uint16, uint64) {},
	})
	n.holder.guards = w.guards
	w.mu.Lock()
	running := w.nodes[name] != nil
	if !running {
		w.nodes[name] = n
	}
	w.mu.Unlock()
	if running {
		cancel()
		return
	}
	go n.run(ctx, client, roster.Entry{Address: name, Domain: domain, Incarnation: incarnation, Share: 1})
}

func (n *instance) run(ctx context.Context, client *storeClient, entry roster.Entry) {
	defer close(n.ended)
	value, _ := entry.Encode()
	enroll := func(ctx context.Context) error {
		for duty.Pause(ctx, 300*time.Millisecond) {
			if n.holder.Registered() {
				continue
			}
			if _, err := client.Append(ctx, ownersTopic, InstanceKey(n.name), value, -1); err == nil {
				n.holder.RereadOwners()
			}
		}
		return ctx.Err()
	}
	topic := follow.Watch{
		Store: client, Topic: ownersTopic, Clock: fakeClock{n.world.start}, Out: n.holder.StoreUpdates(), ReadNow: n.again,
		ReadsStore:   func() bool { return n.holder.Leads() || n.holder.Age() > 5*time.Second },
		ReadInterval: func() time.Duration { return time.Second }, BatchDelay: func() time.Duration { return 0 }, RetryDelay: func() time.Duration { return 300 * time.Millisecond },
	}
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context) error{n.holder.Events.Run, n.holder.Run, topic.Run, n.beat(entry.Incarnation), enroll} {
		duties.Go(func() { _ = duty(ctx) })
	}
	duties.Wait()
}

// tellRegister sends records of the register to the others. A message may be lost.
func (n *instance) tellRegister(records []follow.Record) {
	n.toOthers(func(o *instance) {
		select {
		case o.holder.RegisterUpdates() <- records:
		default:
		}
	})
}

// beat sends heartbeats, some of which are lost.
func (n *instance) beat(incarnation uint64) func(context.Context) error {
	return func(ctx context.Context) error {
		for duty.Pause(ctx, 100*time.Millisecond) {
			b := roster.Heartbeat{
				Name: n.name, Incarnation: incarnation, Confirmed: n.holder.ConfirmedOffset(), Known: n.holder.View().End,
				StoreOK: n.holder.StoreOK(), Failing: n.holder.Failing(),
				SentAt: int64(n.holder.Clock.Now()), KnownAge: n.holder.Age().Milliseconds() + 1,
			}
			n.roster.RecordHeartbeat(b, time.Now())
			echoes := map[string]int64{}
			for _, p := range n.roster.Others() {
				echoes[p.Name] = p.Heartbeat.SentAt
			}
			for _, o := range n.world.others(n.name) {
				if !n.world.isCut(n.name, o.name) && !n.world.chance(n.world.lostPeers) {
					b.EchoAt = echoes[o.name]
					o.roster.RecordHeartbeat(b, time.Now())
					o.holder.HandleHeartbeat(b)
					if known := n.holder.View(); known.End > o.holder.View().End && n.world.chance(n.world.helps) {
						select {
						case o.holder.PeerViews() <- known:
						default:
						}
					}
				}
			}
		}
		return ctx.Err()
	}
}

func (n *instance) tell(service string, offset int64, fence uint64, changes []shard.Range) {
	n.toOthers(func(o *instance) {
		select {
		case o.holder.OwnerChanges() <- OwnerChange{Service: service, Offset: offset, Fence: fence, Changes: changes}:
		default:
		}
	})
}

// toOthers does something at each other instance that a message reaches.
func (n *instance) toOthers(do func(o *instance)) {
	for _, o := range n.world.others(n.name) {
		if !n.world.isCut(n.name, o.name) && !n.world.chance(n.world.lostPeers) {
			do(o)
		}
	}
}

func (w *world) others(name string) []*instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*instance
	for _, n := range w.nodes {
		if n.name != name {
			out = append(out, n)
		}
	}
	return out
}

// stopInstance kills an instance.
func (w *world) stopInstance(name string) {
	w.mu.Lock()
	n := w.nodes[name]
	delete(w.nodes, name)
	w.mu.Unlock()
	if n != nil {
		n.cancel()
		<-n.ended
	}
}

// end ends all instances, and what is still to come.
func (w *world) end(cancel context.CancelFunc) {
	cancel()
	for _, n := range w.others("") {
		<-n.ended
	}
	w.pending.Wait()
}
