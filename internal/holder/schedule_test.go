package holder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/rules"
)

// defaultSchedules is the number of random schedules of an ordinary run; MUSTARDRING_SCHEDULES asks
// for more.
const defaultSchedules = 12

func scheduleCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("MUSTARDRING_SCHEDULES"), 10, 64); err == nil {
		return n
	}
	return defaultSchedules
}

// playSchedule runs one random schedule and returns the faults that were found. Stated says that servers state
// when they started, and keep their names when they start again.
func playSchedule(t *testing.T, seed uint64, off func(*guards), stated bool) (faults []string, moved, served int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tc := &testCluster{
			random: rand.New(rand.NewPCG(seed, 1)), ctx: ctx, start: time.Now(), store: newFakeStore(),
			servers: map[string]*fakeServer{}, instances: map[string]*instance{}, cuts: map[string]bool{},
			delayedGrants: 0.05, lostAppends: 0.1, lostMessages: 0.1, viewSharing: 0.2, guards: allGuards,
			namedRestarts: stated, directory: map[string]rules.Server{}, endedFences: map[string][]uint64{},
		}
		off(&tc.guards)
		for i := range 5 {
			tc.addServer(tc.incarnationID(i, 0), fmt.Sprintf("server-%d", i), fmt.Sprintf("d%d", i%2))
		}
		for i := range 4 {
			tc.startInstance(fmt.Sprintf("i%d", i), fmt.Sprintf("d%d", i%2))
		}
		time.Sleep(4 * time.Second)
		for range 40 {
			tc.injectFault()
			time.Sleep(tc.randomDuration(50*time.Millisecond, 2*time.Second))
		}
		tc.stopFaults()
		time.Sleep(45 * time.Second)
		served = tc.servedKeys()
		tc.shutDown(cancel)
		faults, moved = tc.violations, tc.moved
	})
	return faults, moved, served
}

func newFakeStore() *fakeStore { return &fakeStore{topics: map[string][]follow.Record{}} }

// injectFault does one random thing.
func (tc *testCluster) injectFault() {
	node := fmt.Sprintf("i%d", tc.pick(4))
	server := tc.randomServer()
	switch tc.pick(9) {
	case 0:
		tc.stopInstance(node)
		tc.after(tc.randomDuration(0, 3*time.Second), func() { tc.startInstance(node, "d"+string(node[1]%2+'0')) })
	case 1:
		tc.cut(node, "store", tc.randomDuration(time.Second, 14*time.Second))
	case 2:
		tc.cut(node, server.Address, tc.randomDuration(time.Second, 8*time.Second))
	case 3:
		// A server that no instance reaches any more goes on serving.
		for i := range 4 {
			tc.cut(fmt.Sprintf("i%d", i), server.Address, tc.randomDuration(3*time.Second, 20*time.Second))
		}
	case 4:
		other := fmt.Sprintf("i%d", tc.pick(4))
		tc.cut(node, other, tc.randomDuration(time.Second, 9*time.Second))
		tc.cut(other, node, tc.randomDuration(time.Second, 9*time.Second))
	case 5:
		tc.outage(tc.randomDuration(time.Second, 12*time.Second))
	case 6:
		tc.drain(server.ID)
	case 7:
		tc.restartServer(server.ID)
	case 8:
		// One instance is alone with one server: it reaches neither store nor peers.
		tc.cut(node, "store", 18*time.Second)
		for i := range 4 {
			tc.cut(node, fmt.Sprintf("i%d", i), 18*time.Second)
			tc.cut(fmt.Sprintf("i%d", i), node, 18*time.Second)
			if other := fmt.Sprintf("i%d", i); other != node {
				tc.cut(other, server.Address, 17*time.Second)
			}
		}
	}
}

func (tc *testCluster) pick(n int) int {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.random.IntN(n)
}

func (tc *testCluster) randomServer() fakeServer {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	ids := make([]string, 0, len(tc.servers))
	for i := range 100 {
		for life := range 50 {
			if id := tc.incarnationID(i, life); tc.servers[id] != nil {
				ids = append(ids, id)
			}
		}
		if len(ids) == len(tc.servers) {
			break
		}
	}
	return *tc.servers[ids[tc.random.IntN(len(ids))]]
}

func serverID(i, life int) string {
	if life == 0 {
		return fmt.Sprintf("s%d", i)
	}
	return fmt.Sprintf("s%d-%d", i, life)
}

func (tc *testCluster) cut(a, b string, d time.Duration) {
	tc.mu.Lock()
	tc.cuts[a+">"+b] = true
	tc.mu.Unlock()
	tc.after(d, func() {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		delete(tc.cuts, a+">"+b)
	})
}

func (tc *testCluster) outage(d time.Duration) {
	tc.store.mu.Lock()
	tc.store.down = true
	tc.store.mu.Unlock()
	tc.after(d, func() {
		tc.store.mu.Lock()
		defer tc.store.mu.Unlock()
		tc.store.down = false
	})
}

// drain lets a server report that it leaves; it goes on for some seconds.
func (tc *testCluster) drain(id string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.availableServers() > 2 {
		tc.servers[id].Draining = true
	}
	tc.after(4*time.Second, func() { tc.restartServer(id) })
}

func (tc *testCluster) availableServers() int {
	n := 0
	for _, b := range tc.servers {
		if b.up && !b.Draining {
			n++
		}
	}
	return n
}

// restartServer ends a server and starts its next life at the same address.
func (tc *testCluster) restartServer(id string) {
	tc.mu.Lock()
	b := tc.servers[id]
	delete(tc.servers, id)
	tc.mu.Unlock()
	if b == nil {
		return
	}
	if tc.namedRestarts {
		tc.mu.Lock()
		tc.servers[id] = b
		tc.mu.Unlock()
		tc.restartUnderName(id)
		return
	}
	var i, life int
	if n, _ := fmt.Sscanf(id, "s%d-%d", &i, &life); n < 2 {
		life = 0
	}
	tc.addServer(serverID(i, life+1), b.Address, b.Domain)
}

// incarnationID returns the id of a life of a server.
func (tc *testCluster) incarnationID(i, life int) string {
	if tc.namedRestarts {
		return rules.LifeID(fmt.Sprintf("s%d", i), int64(life+1))
	}
	return serverID(i, life)
}

// restartUnderName ends a server and starts it again under its name, now and then at another address.
func (tc *testCluster) restartUnderName(id string) {
	tc.mu.Lock()
	b := tc.servers[id]
	delete(tc.servers, id)
	tc.mu.Unlock()
	if b == nil {
		return
	}
	name := rules.NameOf(id)
	tc.mu.Lock()
	if tc.endedFences[name] == nil {
		tc.endedFences[name] = make([]uint64, len(b.leases))
	}
	for i, h := range b.leases {
		tc.endedFences[name][i] = max(tc.endedFences[name][i], h.fence)
	}
	tc.mu.Unlock()
	next := rules.LifeID(name, b.StartedAt+1)
	address := b.Address
	if tc.chance(0.2) {
		address += "'"
	}
	tc.after(tc.randomDuration(5*time.Millisecond, 500*time.Millisecond), func() { tc.addServer(next, address, b.Domain) })
}

func (tc *testCluster) stopFaults() {
	tc.mu.Lock()
	tc.cuts = map[string]bool{}
	tc.delayedGrants, tc.lostAppends, tc.lostMessages = 0, 0, 0
	tc.mu.Unlock()
	tc.store.mu.Lock()
	tc.store.down = false
	tc.store.mu.Unlock()
}

// A key had two owners, and a claim was taken twice: instances were cut off from the store,
// from servers and from each other, orders were carried out seconds late, answers of the store
// were lost, and servers and instances were restarted, all at once.
func TestSchedules(t *testing.T) { checkSchedules(t, false) }

// Servers crashed and came back in a moment under their names, as when they are restarted in place,
// while orders were late, the store was away and keys moved. An instance that had missed a move
// renewed the grant of before at the new life, which had forgotten that it had given the keys away:
// two servers had them.
func TestSchedulesWithNamedRestarts(t *testing.T) { checkSchedules(t, true) }

// checkSchedules plays schedules, and expects no fault, and an owner of each key in the end.
func checkSchedules(t *testing.T, stated bool) {
	is := is.New(t)
	total := 0
	first, _ := strconv.ParseUint(os.Getenv("MUSTARDRING_SEED"), 10, 64)
	for seed := first; seed < first+scheduleCount(); seed++ {
		faults, moved, served := playSchedule(t, seed, func(*guards) {}, stated)
		if len(faults) > 0 {
			t.Fatalf("seed %d: %d faults, first: %s", seed, len(faults), faults[0])
		}
		if served != 256 {
			t.Fatalf("seed %d: %d of 256 keys have an owner after 45 s of calm", seed, served)
		}
		total += moved
	}
	is.True(total > 0) // keys moved
}

// Without the proof that a grant still stands some schedule has a double owner.
func TestVerificationIsNeeded(t *testing.T) {
	expectViolation(t, func(g *guards) { g.verifyConnection = false }, maxSearchedSchedules, true)
}

// maxSearchedSchedules is how many schedules are looked at for one that needs a guard. The order of goroutines that are
// due at the same instant is not fixed, so that the first such schedule differs by run: for the names of
// lives, about one in 170 (2, 35, 42, 61, 83, 143, 208, 276, 313, 331, 356, and twice none in 400). With
// 4,000 the verdict is by chance once in 10^10 runs, and as fast: the search ends with the first.
const maxSearchedSchedules = 4000

// expectViolation expects a double owner in one of the schedules that are played without a guard.
func expectViolation(t *testing.T, off func(*guards), most uint64, stated bool) {
	t.Helper()
	for seed := range most {
		if faults, _, _ := playSchedule(t, seed, off, stated); len(faults) > 0 {
			t.Logf("double owner after %d schedules: %s", seed+1, faults[0])
			return
		}
	}
	t.Errorf("no double owner in %d schedules", most)
}

// Each guard is switched off in turn; without it some schedule has a double owner. A guard that
// no schedule needs would be one that is not understood.
func TestGuardsAreNeeded(t *testing.T) {
	tests := map[string]struct {
		off  func(*guards)
		most uint64
	}{
		"ending":     {func(g *guards) { g.endOldLeases = false }, 20},
		"confirming": {func(g *guards) { g.awaitConfirmation = false }, maxSearchedSchedules},
		"lapsing":    {func(g *guards) { g.awaitExpiry = false }, maxSearchedSchedules},
		"knowing":    {func(g *guards) { g.requireFreshView = false }, maxSearchedSchedules},
		"naming":     {func(g *guards) { g.checkIncarnation = false }, maxSearchedSchedules},
		"condition":  {func(g *guards) { g.conditionalAppend = false }, maxSearchedSchedules},
		"contact":    {func(g *guards) { g.requireMajority = false }, maxSearchedSchedules},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { expectViolation(t, test.off, test.most, false) })
	}
}
