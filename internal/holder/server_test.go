package holder

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// heldLease is the right of a server to a key.
type heldLease struct {
	fence     uint64
	granted   bool
	expiresAt time.Time
}

// fakeServer is a server: for each checked key the highest fence it saw, and what it holds.
type fakeServer struct {
	rules.Server
	up bool
	// noKeys says that the server knows no keys: it refuses orders.
	noKeys     bool
	seenFences []uint64
	leases     []heldLease
}

func (b *fakeServer) eachKey(from, to uint16, do func(i int)) {
	for i := range b.leases {
		if key := i * keySpacing; key >= int(from) && key <= int(to) {
			do(i)
		}
	}
}

// fakeLeaseClient is how an instance reaches servers.
type fakeLeaseClient struct {
	cluster *testCluster
	name    string

	mu    sync.Mutex
	conns map[string]*fakeConn
}

// fakeConn is a connection. It reaches one life of a server and ends with it.
type fakeConn struct {
	server   *fakeServer
	openedAt clock.Instant
}

func (o *fakeLeaseClient) Grant(ctx context.Context, to shard.Holder, g Grant, proven GrantCheck) error {
	address := to.Address
	o.cluster.delay()
	if ctx.Err() != nil {
		return errCut
	}
	if o.cluster.isCut(o.name, address) {
		<-ctx.Done()
		return errCut
	}
	var life *fakeServer
	if o.cluster.namedRestarts {
		c, err := o.conn(to)
		if err != nil {
			return err
		}
		if err := proven(ctx, c.openedAt); err != nil {
			return err
		}
		life = c.server
	}
	arrived := time.Now()
	if o.cluster.chance(o.cluster.delayedGrants) {
		o.cluster.after(o.cluster.randomDuration(2*time.Second, 12*time.Second), func() { _ = o.cluster.grant(to, g, arrived, life) })
		<-ctx.Done()
		return errCut
	}
	err := o.cluster.grant(to, g, arrived, life)
	o.cluster.delay()
	return err
}

// conn returns the connection to a life of a server; one whose server has ended fails once.
func (o *fakeLeaseClient) conn(to shard.Holder) (*fakeConn, error) {
	o.cluster.mu.Lock()
	life := o.cluster.serverAt(to.Address)
	o.cluster.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	// Like lives that are meant, those of one address are told apart by their id.
	c := o.conns[to.Server]
	switch {
	case life == nil || c != nil && c.server != life:
		delete(o.conns, to.Server)
		return nil, errCut
	case c == nil:
		c = &fakeConn{server: life, openedAt: fakeClock{o.cluster.start}.Now()}
		o.conns[to.Server] = c
	}
	return c, nil
}

func (o *fakeLeaseClient) Release(ctx context.Context, to shard.Holder, g Grant) (string, error) {
	address := to.Address
	o.cluster.delay()
	if o.cluster.isCut(o.name, address) {
		<-ctx.Done()
		return "", errCut
	}
	// The answer comes when the work in progress has ended.
	if err := o.cluster.release(to, g); err != nil {
		return "", err
	}
	time.Sleep(o.cluster.randomDuration(0, 300*time.Millisecond))
	return "handover", nil
}

// grant carries a grant out and checks the rule that everything here is for.
// Where life is given, only that one takes the grant: an order that is carried out late ends with
// the life of the server that took it.
func (tc *testCluster) grant(to shard.Holder, g Grant, arrived time.Time, life *fakeServer) error {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	b := tc.serverAt(to.Address)
	if b == nil || life != nil && b != life {
		return errCut
	}
	if b.noKeys {
		tc.refusals++
		return ErrRefused
	}
	if rules.NameOf(b.ID) != rules.NameOf(to.Server) && tc.guards.checkIncarnation {
		return ErrServerGone
	}
	refused := false
	b.eachKey(g.From, g.To, func(i int) { refused = refused || g.Fence < b.seenFences[i] })
	if refused {
		return ErrFenced
	}
	// The clock that measures the lease runs 2% slow.
	tc.checkRestart(b, g)
	until := arrived.Add(time.Duration(float64(g.Lease) * 1.02))
	b.eachKey(g.From, g.To, func(i int) {
		if b.leases[i].fence != g.Fence {
			tc.moved++
		}
		b.seenFences[i] = g.Fence
		b.leases[i] = heldLease{fence: g.Fence, granted: true, expiresAt: until}
		tc.checkSingleOwner(i, b)
	})
	return nil
}

// checkRestart notes a fault if an earlier life of a server had the keys with as high a fence.
func (tc *testCluster) checkRestart(b *fakeServer, g Grant) {
	for i, fence := range tc.endedFences[rules.NameOf(b.ID)] {
		if key := i * keySpacing; tc.namedRestarts && key >= int(g.From) && key <= int(g.To) && fence >= g.Fence && b.seenFences[i] < g.Fence {
			tc.violations = append(tc.violations, fmt.Sprintf("%v key %d: %s got it with fence %d, a life before had it with %d",
				time.Since(tc.start), key, b.ID, g.Fence, fence))
		}
	}
}

// checkSingleOwner notes a fault if another server holds a key that b got.
func (tc *testCluster) checkSingleOwner(i int, b *fakeServer) {
	now := time.Now()
	for _, o := range tc.servers {
		if o == b || !o.up || o.noKeys || !o.leases[i].granted || !now.Before(o.leases[i].expiresAt) || !now.Before(b.leases[i].expiresAt) {
			continue
		}
		tc.violations = append(tc.violations, fmt.Sprintf("%v key %d: %s holds it with fence %d until %v, %s got it with fence %d",
			now.Sub(tc.start), i*keySpacing, o.ID, o.leases[i].fence, o.leases[i].expiresAt.Sub(tc.start), b.ID, b.leases[i].fence))
	}
}

func (tc *testCluster) release(to shard.Holder, g Grant) error {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	b := tc.serverAt(to.Address)
	if b == nil {
		return errCut
	}
	if b.noKeys {
		tc.refusals++
		return ErrRefused
	}
	if rules.NameOf(b.ID) != rules.NameOf(to.Server) && tc.guards.checkIncarnation {
		return ErrServerGone
	}
	b.eachKey(g.From, g.To, func(i int) {
		b.seenFences[i] = max(b.seenFences[i], g.Fence)
		b.leases[i].granted = false
	})
	return nil
}

func (tc *testCluster) serverAt(address string) *fakeServer {
	for _, b := range tc.servers {
		if b.up && b.Address == address {
			return b
		}
	}
	return nil
}

// servedKeys returns the number of checked keys that some server holds.
func (tc *testCluster) servedKeys() int {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	n := 0
	for i := range shard.Keys / keySpacing {
		for _, b := range tc.servers {
			if b.up && !b.noKeys && b.leases[i].granted && time.Now().Before(b.leases[i].expiresAt) {
				n++
				break
			}
		}
	}
	return n
}

// addServer starts a server.
func (tc *testCluster) addServer(id, address, domain string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	b := &fakeServer{
		Server: rules.Server{ID: id, Service: service, Address: address, Domain: domain, Slots: 2, StartedAt: startTimeOf(id)}, up: true,
		seenFences: make([]uint64, shard.Keys/keySpacing), leases: make([]heldLease, shard.Keys/keySpacing),
	}
	tc.servers[id] = b
	if tc.namedRestarts {
		// The entry of the life before stands until that of the new one is read.
		tc.after(tc.directoryDelay(), func() {
			tc.mu.Lock()
			defer tc.mu.Unlock()
			if tc.servers[id] == b {
				tc.directory[rules.NameOf(id)] = b.Server
			}
		})
	}
}

// directoryDelay returns how long it takes until the entry of a new life is read; the lock is held.
func (tc *testCluster) directoryDelay() time.Duration {
	return time.Duration(tc.random.Int64N(int64(time.Second)))
}

// startTimeOf returns the start that the id of a life states, zero if it states none.
func startTimeOf(id string) int64 {
	_, start, _ := strings.Cut(id, "~")
	n, _ := strconv.ParseInt(start, 36, 64)
	return n
}
