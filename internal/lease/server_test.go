package lease

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

// heldLease is the lease of a server on one key.
type heldLease struct {
	fence     uint64
	granted   bool
	expiresAt time.Time
}

// fakeServer is a server with the highest fence that it has seen and the lease that it has for each checked key.
type fakeServer struct {
	rules.Server
	up bool
	// noKeys means that the server's service has no keys: it refuses grants and releases.
	noKeys     bool
	seenFences []uint64
	leases     []heldLease
}

func (s *fakeServer) eachKey(from, to uint16, do func(i int)) {
	for i := range s.leases {
		if key := i * keySpacing; key >= int(from) && key <= int(to) {
			do(i)
		}
	}
}

// fakeLeaseClient sends grants and releases of one instance to the fake servers, with delays and faults.
type fakeLeaseClient struct {
	cluster *testCluster
	name    string

	mu sync.Mutex
	// conns holds up to two connections by incarnation, the least recently used first.
	conns map[string][]*fakeConn
}

// fakeConn is a connection to one incarnation of a server, and is useless after that has ended.
type fakeConn struct {
	server   *fakeServer
	openedAt clock.Instant
}

func (lc *fakeLeaseClient) Grant(ctx context.Context, to shard.Owner, g Grant, check GrantCheck) (Reply, error) {
	address := to.Address
	// An instance sends one grant at a time to a server.
	link := lc.name + " grant " + to.Server
	lc.cluster.delayIn(ctx, link)
	if ctx.Err() != nil {
		return Reply{}, errCut
	}
	if lc.cluster.isCut(lc.name, address) {
		lc.cluster.awaitTimeout(ctx, link)
		return Reply{}, errCut
	}
	var server *fakeServer
	if lc.cluster.namedRestarts {
		c, err := lc.conn(to)
		if err != nil {
			return Reply{}, err
		}
		if err := check(ctx, c.openedAt); err != nil {
			return Reply{}, err
		}
		server = c.server
	} else if err := check(ctx, fakeClock{lc.cluster.start}.Now()); err != nil {
		return Reply{}, err
	}
	arrivedAt := time.Now()
	if lc.cluster.chance(link, lc.cluster.delayedGrants) {
		lc.cluster.after(lc.cluster.randomDuration(link, 2*time.Second, 12*time.Second), func() { _ = lc.cluster.grant(to, g, arrivedAt, server) })
		lc.cluster.awaitTimeout(ctx, link)
		return Reply{}, errCut
	}
	err := lc.cluster.grant(to, g, arrivedAt, server)
	lc.cluster.delayIn(ctx, link)
	return Reply{}, err
}

// conn returns the connection to an incarnation of a server. It fails once after the server has ended.
func (lc *fakeLeaseClient) conn(to shard.Owner) (*fakeConn, error) {
	lc.cluster.mu.Lock()
	server := lc.cluster.serverAt(to.Address)
	lc.cluster.mu.Unlock()
	lc.mu.Lock()
	defer lc.mu.Unlock()
	// Incarnations at the same address have different ids, as in the requests.
	cs := lc.conns[to.Server]
	switch {
	case server == nil || len(cs) > 0 && cs[0].server != server:
		delete(lc.conns, to.Server)
		return nil, errCut
	case len(cs) == 0:
		cs = []*fakeConn{{server: server, openedAt: fakeClock{lc.cluster.start}.Now()}}
	}
	c := cs[0]
	if lc.conns[to.Server] = append(cs[1:], c); lc.cluster.closedConns > 0 && lc.cluster.chance(lc.name+" close "+to.Server, lc.cluster.closedConns) {
		lc.conns[to.Server] = cs[1:] // the server closes it after the answer
	}
	return c, nil
}

func (lc *fakeLeaseClient) KeepSpare(_ context.Context, to shard.Owner) error {
	if !lc.cluster.namedRestarts || lc.cluster.isCut(lc.name, to.Address) {
		return nil
	}
	lc.cluster.mu.Lock()
	server := lc.cluster.serverAt(to.Address)
	lc.cluster.mu.Unlock()
	lc.mu.Lock()
	defer lc.mu.Unlock()
	if cs := lc.conns[to.Server]; server != nil && len(cs) < 2 {
		lc.conns[to.Server] = append(cs, &fakeConn{server: server, openedAt: fakeClock{lc.cluster.start}.Now()})
	}
	return nil
}

func (lc *fakeLeaseClient) Connect(ctx context.Context, to shard.Owner) error {
	link := lc.name + " connect " + to.Address
	lc.cluster.delay(link)
	if lc.cluster.isCut(lc.name, to.Address) {
		lc.cluster.awaitTimeout(ctx, link)
		return errCut
	}
	lc.cluster.mu.Lock()
	defer lc.cluster.mu.Unlock()
	if lc.cluster.serverAt(to.Address) == nil {
		return errCut
	}
	return nil
}

func (lc *fakeLeaseClient) Release(ctx context.Context, to shard.Owner, g Grant) (Reply, error) {
	address := to.Address
	link := fmt.Sprint(lc.name, " release ", address, " ", g.From)
	lc.cluster.delay(link)
	if lc.cluster.isCut(lc.name, address) {
		lc.cluster.awaitTimeout(ctx, link)
		return Reply{}, errCut
	}
	// The answer comes when the work in progress has ended.
	if err := lc.cluster.release(to, g); err != nil {
		return Reply{}, err
	}
	time.Sleep(lc.cluster.randomDuration(link, 0, 300*time.Millisecond))
	return Reply{Handover: "handover"}, nil
}

// grant carries out a grant and checks that no two servers hold a key. If target is not nil, only that
// incarnation accepts the grant: a delayed grant is lost when the server that received it ends.
func (tc *testCluster) grant(to shard.Owner, g Grant, arrivedAt time.Time, target *fakeServer) error {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	s := tc.serverAt(to.Address)
	if s == nil || target != nil && s != target {
		return errCut
	}
	if s.noKeys {
		tc.refusals++
		return ErrRefused
	}
	if rules.NameOf(s.ID) != rules.NameOf(to.Server) && tc.guards.checkIncarnation {
		return ErrServerGone
	}
	refused := false
	s.eachKey(g.From, g.To, func(i int) { refused = refused || g.Fence < s.seenFences[i] })
	if refused {
		return ErrFenced
	}
	tc.checkRestart(s, g)
	// The clock that measures the lease runs 2% slow.
	expiresAt := arrivedAt.Add(time.Duration(float64(g.Lease) * 1.02))
	s.eachKey(g.From, g.To, func(i int) {
		tc.checkFence(i, s, g, expiresAt)
		if s.leases[i].fence != g.Fence {
			tc.moved++
		}
		s.seenFences[i] = g.Fence
		s.leases[i] = heldLease{fence: g.Fence, granted: true, expiresAt: expiresAt}
		tc.checkSingleOwner(i, s)
	})
	return nil
}

// checkRestart records a violation if an earlier incarnation of a server held the keys with the same fence or
// a higher one.
func (tc *testCluster) checkRestart(s *fakeServer, g Grant) {
	for i, fence := range tc.endedFences[rules.NameOf(s.ID)] {
		if key := i * keySpacing; tc.namedRestarts && key >= int(g.From) && key <= int(g.To) && fence >= g.Fence && s.seenFences[i] < g.Fence {
			tc.violations = append(tc.violations, fmt.Sprintf("%v key %d: %s got it with fence %d, a previous incarnation had it with %d",
				time.Since(tc.start), key, s.ID, g.Fence, fence))
		}
	}
}

// checkFence records a violation if another server has had a key that s gets with the same fence or a higher one.
func (tc *testCluster) checkFence(i int, s *fakeServer, g Grant, expiresAt time.Time) {
	top := &tc.topFences[i]
	now := time.Now()
	// A lease that has expired is not renewed but given again.
	renewed := s.leases[i].granted && s.leases[i].fence == g.Fence && now.Before(s.leases[i].expiresAt)
	if !renewed && now.Before(expiresAt) && top.server != s.ID && top.fence >= g.Fence {
		tc.violations = append(tc.violations, fmt.Sprintf("%v key %d: %s got it with fence %d, %s had it with %d",
			time.Since(tc.start), i*keySpacing, s.ID, g.Fence, top.server, top.fence))
	}
	if g.Fence > top.fence {
		*top = topFence{g.Fence, s.ID}
	}
}

// checkSingleOwner records a violation if another server holds a key that s got.
func (tc *testCluster) checkSingleOwner(i int, s *fakeServer) {
	now := time.Now()
	for _, o := range tc.servers {
		if o == s || !o.up || o.noKeys || !o.leases[i].granted || !now.Before(o.leases[i].expiresAt) || !now.Before(s.leases[i].expiresAt) {
			continue
		}
		tc.violations = append(tc.violations, fmt.Sprintf("%v key %d: %s holds it with fence %d until %v, %s got it with fence %d",
			now.Sub(tc.start), i*keySpacing, o.ID, o.leases[i].fence, o.leases[i].expiresAt.Sub(tc.start), s.ID, s.leases[i].fence))
	}
}

func (tc *testCluster) release(to shard.Owner, g Grant) error {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	s := tc.serverAt(to.Address)
	if s == nil {
		return errCut
	}
	if s.noKeys {
		tc.refusals++
		return ErrRefused
	}
	if rules.NameOf(s.ID) != rules.NameOf(to.Server) && tc.guards.checkIncarnation {
		return ErrServerGone
	}
	s.eachKey(g.From, g.To, func(i int) {
		s.seenFences[i] = max(s.seenFences[i], g.Fence)
		s.leases[i].granted = false
	})
	return nil
}

func (tc *testCluster) serverAt(address string) *fakeServer {
	for _, s := range tc.servers {
		if s.up && s.Address == address {
			return s
		}
	}
	return nil
}

// servedKeys returns the number of checked keys that some server holds.
func (tc *testCluster) servedKeys() int {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	n := 0
	for i := range shard.NumKeys / keySpacing {
		if tc.isServed(i) {
			n++
		}
	}
	return n
}

// isServed reports whether some server holds the checked key with index i. mu is held.
func (tc *testCluster) isServed(i int) bool {
	for _, s := range tc.servers {
		if s.up && !s.noKeys && s.leases[i].granted && time.Now().Before(s.leases[i].expiresAt) {
			return true
		}
	}
	return false
}

// addServer starts a server.
func (tc *testCluster) addServer(id, address, domain string) {
	delay := tc.randomDuration("directory "+id, 0, time.Second)
	tc.mu.Lock()
	defer tc.mu.Unlock()
	s := &fakeServer{
		Server: rules.Server{ID: id, Service: service, Address: address, Domain: domain, Slots: 2, StartedAt: startTimeOf(id)}, up: true,
		seenFences: make([]uint64, shard.NumKeys/keySpacing), leases: make([]heldLease, shard.NumKeys/keySpacing),
	}
	tc.servers[id] = s
	if tc.namedRestarts {
		// The directory lists the previous incarnation until the entry of the new one is read.
		tc.after(delay, func() {
			tc.mu.Lock()
			defer tc.mu.Unlock()
			if tc.servers[id] == s {
				tc.directory[rules.NameOf(id)] = s.Server
			}
		})
	}
}

// startTimeOf returns the start time in the id of an incarnation, zero if there is none.
func startTimeOf(id string) int64 {
	_, start, _ := strings.Cut(id, "~")
	n, _ := strconv.ParseInt(start, 36, 64)
	return n
}
