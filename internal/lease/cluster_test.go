package lease

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/worker"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// The cluster of the random schedules: real managers, watches of the store and rosters, with a simple fake store
// and simple fake servers, on the fake clock of testing/synctest.

const (
	service     = "books"
	ownersTopic = "owners"
	// keySpacing is the distance between the keys that are checked.
	keySpacing = 256
)

var errCut = fmt.Errorf("%w: cut", ErrNoAnswer)

type fakeClock struct{ start time.Time }

func (c fakeClock) Now() clock.Instant { return clock.Instant(time.Since(c.start)) + 1 }

// fakeStore is a linearizable store of keyed topics.
type fakeStore struct {
	mu     sync.Mutex
	topics map[string][]follow.Record
	down   bool
	// era counts the returns of the store from copies, starting at one if it states them.
	era logpos.Era
	// written holds when the records of the owners were written.
	written []time.Time
	// first is the offset of the oldest record that can be read, other than as the newest one of its key.
	first int64
}

// forget makes the store forget its history.
func (s *fakeStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = int64(len(s.topics[ownersTopic]))
}

// returnFrom makes the store come back from a copy of some age.
func (s *fakeStore) returnFrom(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := 0
	for kept < len(s.written) && time.Since(s.written[kept]) > age {
		kept++
	}
	s.topics[ownersTopic], s.written = s.topics[ownersTopic][:kept:kept], s.written[:kept:kept]
	s.era++
	s.first = 0
	s.down = false
}

func (s *fakeStore) append(topic string, records []follow.Record, expectedEnd logpos.Pos) (logpos.Pos, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The store compares offsets, whatever era they were given out in.
	end := logpos.At(s.era, int64(len(s.topics[topic])))
	if expectedEnd >= 0 && expectedEnd.Offset() != end.Offset() {
		return 0, follow.ErrConflict
	}
	for i, r := range records {
		r.Offset = end + logpos.Pos(i)
		s.topics[topic] = append(s.topics[topic], r)
		s.written = append(s.written, time.Now())
	}
	if expectedEnd >= 0 && expectedEnd.Era() != s.era {
		return 0, follow.ErrUnknown
	}
	return end, nil
}

// records returns the records of a topic from a position on.
func (s *fakeStore) records(topic string, from logpos.Pos) (follow.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[topic]
	batch := follow.Batch{End: logpos.At(s.era, int64(len(all)))}
	if from != 0 && from.Era() != s.era {
		batch.End = logpos.At(s.era, 0)
		return batch, follow.ErrReturned
	}
	if from.Offset() < s.first && from >= 0 {
		return batch, follow.ErrExpired
	}
	for i := min(from.Offset(), int64(len(all))); i < int64(len(all)); i++ {
		r := all[i]
		r.Offset = logpos.At(s.era, i)
		batch.Records = append(batch.Records, r)
	}
	return batch, nil
}

// all returns all records of a topic, also forgotten ones.
func (s *fakeStore) all(topic string) (follow.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := follow.Batch{End: logpos.At(s.era, int64(len(s.topics[topic])))}
	for i, r := range s.topics[topic] {
		r.Offset = logpos.At(s.era, int64(i))
		batch.Records = append(batch.Records, r)
	}
	return batch, nil
}

// storeClient is the store as one instance reaches it, with delays and faults.
type storeClient struct {
	cluster *testCluster
	name    string
}

func (c *storeClient) cut() bool {
	return c.cluster.store.isDown() || c.cluster.storeCut(c.name)
}

func (s *fakeStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (c *storeClient) Append(ctx context.Context, topic string, records []follow.Record, expectedEnd logpos.Pos) (logpos.Pos, error) {
	c.cluster.delay(c.name + " append")
	if c.cut() {
		worker.Sleep(ctx, c.cluster.appendTimeout)
		return 0, follow.ErrNotDone
	}
	lost := c.cluster.lostAppends
	if expectedEnd < 0 {
		lost = max(lost, c.cluster.lostRegistrations)
	}
	if topic == ownersTopic && c.cluster.chance(c.name+" append", lost) {
		// The answer is lost, and the record may be written seconds later.
		later := c.cluster.randomDuration(c.name+" append", 0, 6*time.Second)
		c.cluster.after(later, func() { _, _ = c.cluster.store.append(topic, records, expectedEnd) })
		return 0, follow.ErrUnknown
	}
	offset, err := c.cluster.store.append(topic, records, expectedEnd)
	c.cluster.delay(c.name + " append")
	return offset, err
}

func (c *storeClient) Read(_ context.Context, topic string, from logpos.Pos, _ time.Duration) (follow.Batch, error) {
	c.cluster.delay(c.name + " read")
	if c.cut() {
		return follow.Batch{}, follow.ErrNotDone
	}
	batch, err := c.cluster.store.records(topic, from)
	c.cluster.delay(c.name + " read")
	return batch, err
}

func (c *storeClient) Newest(_ context.Context, topic string) (follow.Batch, error) {
	c.cluster.delay(c.name + " read")
	if c.cut() {
		return follow.Batch{}, follow.ErrNotDone
	}
	batch, err := c.cluster.store.all(topic)
	c.cluster.delay(c.name + " read")
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

// testCluster holds the state of the cluster, guarded by mu.
type testCluster struct {
	mu            sync.Mutex
	seed          uint64
	sequences     map[string]*rand.Rand
	ctx           context.Context
	pending       sync.WaitGroup
	store         *fakeStore
	start         time.Time
	servers       map[string]*fakeServer
	instances     map[string]*instance
	cuts          map[string]bool
	delayedGrants float64
	lostAppends   float64
	// lostRegistrations is the share of registrations that are left unanswered, if it is larger than lostAppends.
	lostRegistrations float64
	// registerPause is how long an instance waits after a registration that was left unanswered.
	registerPause time.Duration
	lostMessages  float64
	// closedConns is the share of the grants after whose answer the server closes the connection.
	closedConns float64
	// appendTimeout is how long an append blocks while the store is down.
	appendTimeout time.Duration
	// viewSharing is the probability that an instance with a newer view sends it along with a heartbeat.
	viewSharing float64
	// load returns the requests per second for each key as an instance knows them; it may be nil.
	load func(name string) []float64
	// namedRestarts means that servers state their start time, and keep their names when they restart.
	// directory then holds their last directory entries, by name.
	namedRestarts bool
	directory     map[string]rules.Server
	// expiredIn holds the domains whose servers have no directory entry that instances of other domains can read.
	expiredIn map[string]bool
	// endedFences holds the highest fences of the leases of ended incarnations, by name and checked key.
	endedFences map[string][]uint64
	// directoryAsOf is the time as of which the instances know the directory, and oldDirectory what it was then; zero and nil
	// while they know it as it is.
	directoryAsOf time.Time
	oldDirectory  map[string]rules.Server
	// topFences holds the highest fence with which any server has had each checked key, and that server.
	topFences  [shard.NumKeys / keySpacing]topFence
	violations []string
	moved      int
	// refusals counts the requests that servers without keys refused.
	refusals int
	guards   guards
}

// topFence is a fence and the incarnation of a server that had a key with it.
type topFence struct {
	fence  uint64
	server string
}

// traceOutput returns where the instances log to: stderr if MUSTARDRING_TRACE is set, otherwise nowhere.
func (tc *testCluster) traceOutput() io.Writer {
	if os.Getenv("MUSTARDRING_TRACE") != "" {
		return os.Stderr
	}
	return io.Discard
}

// loadAt returns the load as the named instance knows it.
func (tc *testCluster) loadAt(name string) []float64 {
	tc.mu.Lock()
	load := tc.load
	tc.mu.Unlock()
	if load == nil {
		return nil
	}
	return load(name)
}

// random returns a number from 0 to n-1, the next one of the sequence that the seed gives to key. Each link and each duty of an
// instance has a key of its own, so that the order of goroutines does not decide who gets which number.
func (tc *testCluster) random(key string, n int64) int64 {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.sequences == nil {
		tc.sequences = map[string]*rand.Rand{}
	}
	if tc.sequences[key] == nil {
		tc.sequences[key] = rand.New(rand.NewPCG(tc.seed, xxhash.Sum64String(key)))
	}
	return tc.sequences[key].Int64N(n)
}

func (tc *testCluster) chance(key string, p float64) bool {
	return float64(tc.random(key, 1<<53)) < p*(1<<53)
}

func (tc *testCluster) randomDuration(key string, minDelay, maxDelay time.Duration) time.Duration {
	return minDelay + time.Duration(tc.random(key, int64(maxDelay-minDelay)+1))
}

func (tc *testCluster) delay(key string) { tc.delayIn(context.Background(), key) }

// delayIn ends early when ctx does.
func (tc *testCluster) delayIn(ctx context.Context, key string) {
	worker.Sleep(ctx, tc.randomDuration(key, 100*time.Microsecond, 3*time.Millisecond))
}

// awaitTimeout blocks until the timeout of a call, and a little longer: timeouts that are multiples of the interval of a loop
// would end at the instants at which it runs.
func (tc *testCluster) awaitTimeout(ctx context.Context, key string) {
	<-ctx.Done()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		tc.delay(key)
	}
}

// after calls do after a delay, unless the cluster is shut down before.
func (tc *testCluster) after(d time.Duration, do func()) {
	tc.pending.Add(1)
	go func() {
		defer tc.pending.Done()
		if worker.Sleep(tc.ctx, d) {
			do()
		}
	}()
}

func (tc *testCluster) storeCut(name string) bool { return tc.isCut(name, "store") }

func (tc *testCluster) isCut(a, b string) bool {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.cuts[a+">"+b]
}

// directoryServers returns the servers of the directory as the instances of a domain read it.
func (tc *testCluster) directoryServers(domain string) map[string]rules.Server {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.oldDirectory != nil {
		return tc.oldDirectory
	}
	out := map[string]rules.Server{}
	for _, s := range tc.directory {
		out[s.ID] = s
	}
	for id, server := range tc.servers {
		if listed, found := tc.directory[rules.NameOf(id)]; !tc.namedRestarts || found && listed.ID == id {
			out[id] = server.Server
		}
	}
	maps.DeleteFunc(out, func(_ string, s rules.Server) bool { return tc.expiredIn[s.Domain] && s.Domain != domain })
	return out
}

// directoryAge returns the age of the directory as the instances know it.
func (tc *testCluster) directoryAge() time.Duration {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.directoryAsOf.IsZero() {
		return 0
	}
	return time.Since(tc.directoryAsOf)
}

// instance is an instance of the system.
type instance struct {
	cluster *testCluster
	name    string
	roster  *roster.Roster
	manager *Manager
	reread  chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
	// offset delays renewals once.
	offset sync.Once
}

// directoryVersion returns the version of the directory. Only renewals ask for it: its first call delays them, since they
// would otherwise run at the same instants as decisions.
func (n *instance) directoryVersion() uint64 {
	n.offset.Do(func() { n.cluster.delay(n.name + " renewals") })
	return uint64(time.Since(n.cluster.start))
}

// startInstance starts an instance without any state, unless one of that name is running.
func (tc *testCluster) startInstance(name, domain string) {
	ctx, cancel := context.WithCancel(tc.ctx)
	incarnation := uint64(time.Since(tc.start)) + 1
	n := &instance{
		cluster: tc, name: name, roster: roster.New(name, domain),
		reread: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}),
	}
	client := &storeClient{tc, name}
	n.manager = New(Deps{
		Name: name, Domain: domain, LeaseClient: &fakeLeaseClient{cluster: tc, name: name, conns: map[string][]*fakeConn{}}, Store: client, Topic: ownersTopic, Incarnation: incarnation,
		Clock: fakeClock{tc.start}, Roster: n.roster, Events: event.New(tc.traceOutput(), log.InfoLevel),
		ExcessSendDelay: func() time.Duration { return 0 },
		Servers:         func() *rules.ServerSet { return rules.NewServerSet(tc.directoryServers(domain)) }, DirectoryVersion: n.directoryVersion, Services: func() []string { return []string{service} },
		TargetLatency: func(string) time.Duration { return time.Second },
		Load:          func(string) []float64 { return tc.loadAt(name) },
		Capacities:    func(string) map[string]float64 { return nil },
		Probe:         func(ctx context.Context, server shard.Owner) error { return tc.probe(ctx, name, server) },
		DirectoryAge:  func() time.Duration { return tc.directoryAge() }, EntryDelay: time.Second, ReadDirectory: func(clock.Instant) {},
		QueryIncarnation:  n.queryIncarnation,
		LeadershipChanged: func(bool) {}, OwnersChanged: func() {}, SendHeartbeat: func() {},
		RereadOwners: func() {
			select {
			case n.reread <- struct{}{}:
			default:
			}
		},
		BroadcastOwners: n.broadcastOwners, BroadcastRegister: n.broadcastRegister,
		MoveCompleted: func(string, uint16, uint64) {},
		EraChanged:    func() {}, FetchView: n.fetchView,
	})
	n.manager.guards = tc.guards
	n.manager.view.current.believesFormerEnds = !tc.guards.ignoreFormerEnds
	tc.mu.Lock()
	running := tc.instances[name] != nil
	if !running {
		tc.instances[name] = n
	}
	tc.mu.Unlock()
	if running {
		cancel()
		return
	}
	go n.run(ctx, client, roster.Entry{Address: name, Domain: domain, Incarnation: incarnation, Share: 1})
}

func (n *instance) run(ctx context.Context, client *storeClient, entry roster.Entry) {
	defer close(n.done)
	value, _ := entry.Encode()
	enroll := func(ctx context.Context) error {
		for worker.Sleep(ctx, 300*time.Millisecond) {
			if n.manager.Registered() {
				continue
			}
			_, err := client.Append(ctx, ownersTopic, []follow.Record{{Key: InstanceKey(n.name), Value: value}}, -1)
			switch {
			case err == nil:
				n.manager.RereadOwners()
			case errors.Is(err, follow.ErrUnknown):
				worker.Sleep(ctx, n.cluster.registerPause)
			}
		}
		return ctx.Err()
	}
	watch := follow.Watch{
		Store: client, Topic: ownersTopic, Clock: fakeClock{n.cluster.start}, Out: n.manager.StoreUpdates(), ReadNow: n.reread,
		ReadsStore: func() bool {
			return n.manager.Leads() || n.manager.ReadAge() > 5*time.Second || n.manager.LatestEra() > n.manager.Read().End.Era()
		},
		ReadInterval: func() time.Duration { return time.Second }, BatchDelay: func() time.Duration { return 0 }, RetryDelay: func(int) time.Duration { return 300 * time.Millisecond },
	}
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context) error{n.manager.Events.Run, n.manager.Run, watch.Run, n.heartbeatLoop(entry.Incarnation), enroll} {
		// Duties that start at the same instant would always be due at the same instant, in an order that the seed does not decide.
		offset := n.cluster.randomDuration(n.name+" start", 0, 10*time.Millisecond)
		loops.Go(func() {
			if worker.Sleep(ctx, offset) {
				_ = loop(ctx)
			}
		})
	}
	loops.Wait()
}

// broadcastRegister sends records of the register to the other instances. Messages may be lost.
func (n *instance) broadcastRegister(records []follow.Record) {
	n.toOthers(func(o *instance) {
		select {
		case o.manager.RegisterUpdates() <- records:
		default:
		}
	})
}

// heartbeatLoop returns a loop that sends heartbeats, some of which are lost.
func (n *instance) heartbeatLoop(incarnation uint64) func(context.Context) error {
	return func(ctx context.Context) error {
		for worker.Sleep(ctx, 100*time.Millisecond) {
			b := roster.Heartbeat{
				Name: n.name, Incarnation: incarnation, Confirmed: n.manager.ConfirmedOffset(), Known: n.manager.View().End,
				Stopping: n.manager.isStopping(), StoreOK: n.manager.StoreOK(), Failing: n.manager.Failing(), LatestEra: n.manager.LatestEra(),
				SentAt: int64(n.manager.Clock.Now()), KnownAge: n.manager.Age().Milliseconds() + 1,
			}
			n.roster.RecordHeartbeat(b, time.Now())
			echoes := map[string]int64{}
			for _, p := range n.roster.Others() {
				echoes[p.Name] = p.Heartbeat.SentAt
			}
			for _, o := range n.cluster.others(n.name) {
				if !n.cluster.isCut(n.name, o.name) && !n.cluster.chance(n.name+" heartbeat "+o.name, n.cluster.lostMessages) {
					b.EchoAt = echoes[o.name]
					o.roster.RecordHeartbeat(b, time.Now())
					o.manager.HandleHeartbeat(b)
					if view := n.manager.View(); view.End > o.manager.View().End && n.cluster.chance(n.name+" view "+o.name, n.cluster.viewSharing) {
						select {
						case o.manager.PeerViews() <- view:
						default:
						}
					}
				}
			}
		}
		return ctx.Err()
	}
}

// fetchView gets the view of another instance, if a message and its answer arrive.
func (n *instance) fetchView(name string) {
	for _, o := range n.cluster.others(n.name) {
		if o.name != name || n.cluster.isCut(n.name, name) || n.cluster.isCut(name, n.name) || n.cluster.chance(n.name+" fetch", n.cluster.lostMessages) {
			continue
		}
		select {
		case n.manager.PeerViews() <- o.manager.View():
		default:
		}
	}
}

func (n *instance) broadcastOwners(c OwnerChange) {
	n.toOthers(func(o *instance) {
		select {
		case o.manager.OwnerChanges() <- c:
		default:
		}
	})
}

// queryIncarnation asks the instances that have probably renewed the leases of a server. Messages may be lost.
func (n *instance) queryIncarnation(s rules.Server, serial uint64) {
	asked := n.roster.LikelyRenewers(s.ID, s.Domain, time.Now())
	n.toOthers(func(o *instance) {
		if !slices.ContainsFunc(asked, func(p roster.Peer) bool { return p.Name == o.name }) {
			return
		}
		reply := func() {
			if !n.cluster.isCut(o.name, n.name) && !n.cluster.chance(o.name+" answer "+n.name, n.cluster.lostMessages) {
				n.manager.IncarnationRuns(s.ID, serial)
			}
		}
		select {
		case o.manager.IncarnationQueries() <- IncarnationQuery{Server: s.ID, Reply: reply}:
		default:
		}
	})
}

// toOthers calls do for each other instance that a message reaches.
func (n *instance) toOthers(do func(o *instance)) {
	for _, o := range n.cluster.others(n.name) {
		if !n.cluster.isCut(n.name, o.name) && !n.cluster.chance(n.name+" send "+o.name, n.cluster.lostMessages) {
			do(o)
		}
	}
}

func (tc *testCluster) others(name string) []*instance {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	var out []*instance
	for _, other := range slices.Sorted(maps.Keys(tc.instances)) {
		if other != name {
			out = append(out, tc.instances[other])
		}
	}
	return out
}

// stopInstance kills an instance.
func (tc *testCluster) stopInstance(name string) {
	tc.mu.Lock()
	n := tc.instances[name]
	delete(tc.instances, name)
	tc.mu.Unlock()
	if n != nil {
		n.cancel()
		<-n.done
	}
}

// shutDown stops all instances and cancels pending events.
func (tc *testCluster) shutDown(cancel context.CancelFunc) {
	cancel()
	for _, n := range tc.others("") {
		<-n.done
	}
	tc.pending.Wait()
}
