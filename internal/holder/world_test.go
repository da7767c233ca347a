package holder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

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

var errCut = fmt.Errorf("%w: cut", ErrSilent)

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

func (c *storeClient) Append(_ context.Context, topic, key string, value []byte, asOf int64) (int64, error) {
	c.world.delay()
	if c.cut() {
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

// hold is the right of a server to a key.
type hold struct {
	fence   uint64
	granted bool
	until   time.Time
}

// backend is a server: for each checked key the highest fence it saw, and what it holds.
type backend struct {
	rules.Server
	up    bool
	seen  []uint64
	holds []hold
}

func (b *backend) each(from, to uint16, do func(i int)) {
	for i := range b.holds {
		if key := i * spacing; key >= int(from) && key <= int(to) {
			do(i)
		}
	}
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
	faults      []string
	moved       int
	guards      guards
}

// trace returns where the instances log to: MUSTARDRING_TRACE asks for the lines of a schedule.
func (w *world) trace() io.Writer {
	if os.Getenv("MUSTARDRING_TRACE") != "" {
		return os.Stderr
	}
	return io.Discard
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
		if pause(w.ctx, d) {
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
	for id, b := range w.backends {
		out[id] = b.Server
	}
	return out
}

// orders is how an instance reaches servers.
type orders struct {
	world *world
	name  string
}

func (o *orders) Grant(ctx context.Context, to shard.Holder, g Grant) error {
	address := to.Address
	o.world.delay()
	if ctx.Err() != nil {
		return errCut
	}
	if o.world.isCut(o.name, address) {
		<-ctx.Done()
		return errCut
	}
	arrived := time.Now()
	if o.world.chance(o.world.lateOrders) {
		o.world.after(o.world.between(2*time.Second, 12*time.Second), func() { _ = o.world.grant(to, g, arrived) })
		<-ctx.Done()
		return errCut
	}
	err := o.world.grant(to, g, arrived)
	o.world.delay()
	return err
}

func (o *orders) Release(ctx context.Context, to shard.Holder, g Grant) (string, error) {
	address := to.Address
	o.world.delay()
	if o.world.isCut(o.name, address) {
		<-ctx.Done()
		return "", errCut
	}
	// The answer comes when the work in progress has ended.
	if err := o.world.release(to, g); err != nil {
		return "", err
	}
	time.Sleep(o.world.between(0, 300*time.Millisecond))
	return "handover", nil
}

// grant carries a grant out and checks the rule that everything here is for.
func (w *world) grant(to shard.Holder, g Grant, arrived time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.at(to.Address)
	if b == nil {
		return errCut
	}
	if b.ID != to.Server && w.guards.naming {
		return ErrEnded
	}
	refused := false
	b.each(g.From, g.To, func(i int) { refused = refused || g.Fence < b.seen[i] })
	if refused {
		return ErrFenced
	}
	// The clock that measures the lease runs 2% slow.
	until := arrived.Add(time.Duration(float64(g.Lease) * 1.02))
	b.each(g.From, g.To, func(i int) {
		if b.holds[i].fence != g.Fence {
			w.moved++
		}
		b.seen[i] = g.Fence
		b.holds[i] = hold{fence: g.Fence, granted: true, until: until}
		w.check(i, b)
	})
	return nil
}

// check notes a fault if another server holds a key that b got.
func (w *world) check(i int, b *backend) {
	now := time.Now()
	for _, o := range w.backends {
		if o == b || !o.up || !o.holds[i].granted || !now.Before(o.holds[i].until) || !now.Before(b.holds[i].until) {
			continue
		}
		w.faults = append(w.faults, fmt.Sprintf("%v key %d: %s holds it with fence %d until %v, %s got it with fence %d",
			now.Sub(w.start), i*spacing, o.ID, o.holds[i].fence, o.holds[i].until.Sub(w.start), b.ID, b.holds[i].fence))
	}
}

func (w *world) release(to shard.Holder, g Grant) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.at(to.Address)
	if b == nil {
		return errCut
	}
	if b.ID != to.Server && w.guards.naming {
		return ErrEnded
	}
	b.each(g.From, g.To, func(i int) {
		b.seen[i] = max(b.seen[i], g.Fence)
		b.holds[i].granted = false
	})
	return nil
}

func (w *world) at(address string) *backend {
	for _, b := range w.backends {
		if b.up && b.Address == address {
			return b
		}
	}
	return nil
}

// served returns the number of checked keys that some server holds.
func (w *world) served() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for i := range shard.Keys / spacing {
		for _, b := range w.backends {
			if b.up && b.holds[i].granted && time.Now().Before(b.holds[i].until) {
				n++
				break
			}
		}
	}
	return n
}

// addBackend starts a server.
func (w *world) addBackend(id, address, domain string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends[id] = &backend{
		Server: rules.Server{ID: id, Service: service, Address: address, Domain: domain, Slots: 2}, up: true,
		seen: make([]uint64, shard.Keys/spacing), holds: make([]hold, shard.Keys/spacing),
	}
}

// instance is an instance of the system.
type instance struct {
	world  *world
	name   string
	roster *roster.Roster
	holder *Holder
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
		Name: name, Domain: domain, Orders: &orders{w, name}, Store: client, Topic: ownersTopic, Incarnation: incarnation,
		Clock: fakeClock{w.start}, Roster: n.roster, Events: event.New(w.trace(), log.InfoLevel),
		Servers: w.servers, Services: func() []string { return []string{service} },
		Target:  func(string) time.Duration { return time.Second },
		Load:    func(string) ([]float64, map[string]float64) { return nil, nil },
		Leading: func() {}, Changed: func() {}, Announce: func() {},
		Again: func() {
			select {
			case n.again <- struct{}{}:
			default:
			}
		},
		Tell:    n.tell,
		Settled: func(string, uint16, uint64) {},
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
		for pause(ctx, 300*time.Millisecond) {
			if n.holder.Registered() {
				continue
			}
			if _, err := client.Append(ctx, ownersTopic, InstanceKey(n.name), value, -1); err == nil {
				n.holder.Again()
			}
		}
		return ctx.Err()
	}
	topic := follow.Topic{
		Store: client, Name: ownersTopic, Clock: fakeClock{n.world.start}, Out: n.holder.Updates(), Again: n.again,
		Direct: func() bool { return n.holder.Leads() || n.holder.Age() > 5*time.Second },
		Every:  func() time.Duration { return time.Second }, Settle: func() time.Duration { return 0 },
	}
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context) error{n.holder.Events.Run, n.holder.Run, topic.Run, n.beat(entry.Incarnation), enroll} {
		duties.Go(func() { _ = duty(ctx) })
	}
	duties.Wait()
}

// beat sends heartbeats, some of which are lost.
func (n *instance) beat(incarnation uint64) func(context.Context) error {
	return func(ctx context.Context) error {
		for pause(ctx, 100*time.Millisecond) {
			b := roster.Beat{
				Name: n.name, Incarnation: incarnation, Confirmed: n.holder.Confirmed(), Known: n.holder.Owners().End,
				StoreOK: n.holder.StoreOK(), Failing: n.holder.Failing(),
				SentAt: int64(n.holder.Clock.Now()), KnownAge: n.holder.Age().Milliseconds() + 1,
			}
			n.roster.Heard(b, time.Now())
			echoes := map[string]int64{}
			for _, p := range n.roster.Others() {
				echoes[p.Name] = p.Beat.SentAt
			}
			for _, o := range n.world.others(n.name) {
				if !n.world.isCut(n.name, o.name) && !n.world.chance(n.world.lostPeers) {
					b.EchoAt = echoes[o.name]
					o.roster.Heard(b, time.Now())
					o.holder.Hear(b)
				}
			}
		}
		return ctx.Err()
	}
}

func (n *instance) tell(service string, offset int64, fence uint64, changes []shard.Range) {
	for _, o := range n.world.others(n.name) {
		if n.world.isCut(n.name, o.name) || n.world.chance(n.world.lostPeers) {
			continue
		}
		select {
		case o.holder.Written() <- Written{Service: service, Offset: offset, Fence: fence, Changes: changes}:
		default:
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
