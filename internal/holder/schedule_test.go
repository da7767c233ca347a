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

// schedules is the number of random schedules of an ordinary run; MUSTARDRING_SCHEDULES asks
// for more.
const schedules = 12

func scheduleCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("MUSTARDRING_SCHEDULES"), 10, 64); err == nil {
		return n
	}
	return schedules
}

// play runs one random schedule and returns the faults that were found. Stated says that servers state
// when they started, and keep their names when they start again.
func play(t *testing.T, seed uint64, off func(*guards), stated bool) (faults []string, moved, served int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{
			random: rand.New(rand.NewPCG(seed, 1)), ctx: ctx, start: time.Now(), store: newStore(),
			backends: map[string]*backend{}, nodes: map[string]*instance{}, cuts: map[string]bool{},
			lateOrders: 0.05, lostAppends: 0.1, lostPeers: 0.1, helps: 0.2, guards: allGuards,
			stated: stated, entries: map[string]rules.Server{}, ended: map[string][]uint64{},
		}
		off(&w.guards)
		for i := range 5 {
			w.addBackend(w.lifeOf(i, 0), fmt.Sprintf("server-%d", i), fmt.Sprintf("d%d", i%2))
		}
		for i := range 4 {
			w.startInstance(fmt.Sprintf("i%d", i), fmt.Sprintf("d%d", i%2))
		}
		time.Sleep(4 * time.Second)
		for range 40 {
			w.disturb()
			time.Sleep(w.between(50*time.Millisecond, 2*time.Second))
		}
		w.calm()
		time.Sleep(45 * time.Second)
		served = w.served()
		w.end(cancel)
		faults, moved = w.faults, w.moved
	})
	return faults, moved, served
}

func newStore() *store { return &store{topics: map[string][]follow.Record{}} }

// disturb does one random thing.
func (w *world) disturb() {
	node := fmt.Sprintf("i%d", w.pick(4))
	server := w.anyBackend()
	switch w.pick(9) {
	case 0:
		w.stopInstance(node)
		w.after(w.between(0, 3*time.Second), func() { w.startInstance(node, "d"+string(node[1]%2+'0')) })
	case 1:
		w.cut(node, "store", w.between(time.Second, 14*time.Second))
	case 2:
		w.cut(node, server.Address, w.between(time.Second, 8*time.Second))
	case 3:
		// A server that no instance reaches any more goes on serving.
		for i := range 4 {
			w.cut(fmt.Sprintf("i%d", i), server.Address, w.between(3*time.Second, 20*time.Second))
		}
	case 4:
		other := fmt.Sprintf("i%d", w.pick(4))
		w.cut(node, other, w.between(time.Second, 9*time.Second))
		w.cut(other, node, w.between(time.Second, 9*time.Second))
	case 5:
		w.outage(w.between(time.Second, 12*time.Second))
	case 6:
		w.drain(server.ID)
	case 7:
		w.reborn(server.ID)
	case 8:
		// One instance is alone with one server: it reaches neither store nor peers.
		w.cut(node, "store", 18*time.Second)
		for i := range 4 {
			w.cut(node, fmt.Sprintf("i%d", i), 18*time.Second)
			w.cut(fmt.Sprintf("i%d", i), node, 18*time.Second)
			if other := fmt.Sprintf("i%d", i); other != node {
				w.cut(other, server.Address, 17*time.Second)
			}
		}
	}
}

func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) anyBackend() backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	ids := make([]string, 0, len(w.backends))
	for i := range 100 {
		for life := range 50 {
			if id := w.lifeOf(i, life); w.backends[id] != nil {
				ids = append(ids, id)
			}
		}
		if len(ids) == len(w.backends) {
			break
		}
	}
	return *w.backends[ids[w.random.IntN(len(ids))]]
}

func lifeName(i, life int) string {
	if life == 0 {
		return fmt.Sprintf("s%d", i)
	}
	return fmt.Sprintf("s%d-%d", i, life)
}

func (w *world) cut(a, b string, d time.Duration) {
	w.mu.Lock()
	w.cuts[a+">"+b] = true
	w.mu.Unlock()
	w.after(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.cuts, a+">"+b)
	})
}

func (w *world) outage(d time.Duration) {
	w.store.mu.Lock()
	w.store.down = true
	w.store.mu.Unlock()
	w.after(d, func() {
		w.store.mu.Lock()
		defer w.store.mu.Unlock()
		w.store.down = false
	})
}

// drain lets a server report that it leaves; it goes on for some seconds.
func (w *world) drain(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up() > 2 {
		w.backends[id].Draining = true
	}
	w.after(4*time.Second, func() { w.reborn(id) })
}

func (w *world) up() int {
	n := 0
	for _, b := range w.backends {
		if b.up && !b.Draining {
			n++
		}
	}
	return n
}

// reborn ends a server and starts its next life at the same address.
func (w *world) reborn(id string) {
	w.mu.Lock()
	b := w.backends[id]
	delete(w.backends, id)
	w.mu.Unlock()
	if b == nil {
		return
	}
	if w.stated {
		w.mu.Lock()
		w.backends[id] = b
		w.mu.Unlock()
		w.startAgain(id)
		return
	}
	var i, life int
	if n, _ := fmt.Sscanf(id, "s%d-%d", &i, &life); n < 2 {
		life = 0
	}
	w.addBackend(lifeName(i, life+1), b.Address, b.Domain)
}

// lifeOf returns the id of a life of a server.
func (w *world) lifeOf(i, life int) string {
	if w.stated {
		return rules.IncarnationID(fmt.Sprintf("s%d", i), int64(life+1))
	}
	return lifeName(i, life)
}

// startAgain ends a server and starts it again under its name, now and then at another address.
func (w *world) startAgain(id string) {
	w.mu.Lock()
	b := w.backends[id]
	delete(w.backends, id)
	w.mu.Unlock()
	if b == nil {
		return
	}
	name := rules.NameOf(id)
	w.mu.Lock()
	if w.ended[name] == nil {
		w.ended[name] = make([]uint64, len(b.holds))
	}
	for i, h := range b.holds {
		w.ended[name][i] = max(w.ended[name][i], h.fence)
	}
	w.mu.Unlock()
	next := rules.IncarnationID(name, b.StartedAt+1)
	address := b.Address
	if w.chance(0.2) {
		address += "'"
	}
	w.after(w.between(5*time.Millisecond, 500*time.Millisecond), func() { w.addBackend(next, address, b.Domain) })
}

func (w *world) calm() {
	w.mu.Lock()
	w.cuts = map[string]bool{}
	w.lateOrders, w.lostAppends, w.lostPeers = 0, 0, 0
	w.mu.Unlock()
	w.store.mu.Lock()
	w.store.down = false
	w.store.mu.Unlock()
}

// A key had two owners, and a claim was taken twice: instances were cut off from the store,
// from servers and from each other, orders were carried out seconds late, answers of the store
// were lost, and servers and instances were restarted, all at once.
func TestSchedules(t *testing.T) { checkSchedules(t, false) }

// Servers crashed and came back in a moment under their names, as when they are restarted in place,
// while orders were late, the store was away and keys moved. An instance that had missed a move
// renewed the grant of before at the new life, which had forgotten that it had given the keys away:
// two servers had them.
func TestSchedulesOfServersThatStartAgain(t *testing.T) { checkSchedules(t, true) }

// checkSchedules plays schedules, and expects no fault, and an owner of each key in the end.
func checkSchedules(t *testing.T, stated bool) {
	is := is.New(t)
	total := 0
	first, _ := strconv.ParseUint(os.Getenv("MUSTARDRING_SEED"), 10, 64)
	for seed := first; seed < first+scheduleCount(); seed++ {
		faults, moved, served := play(t, seed, func(*guards) {}, stated)
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
func TestProofIsNeeded(t *testing.T) {
	checkNeeded(t, func(g *guards) { g.proving = false }, searched, true)
}

// searched is how many schedules are looked at for one that needs a guard. The order of goroutines that are
// due at the same instant is not fixed, so that the first such schedule differs by run: for the names of
// lives, about one in 170 (2, 35, 42, 61, 83, 143, 208, 276, 313, 331, 356, and twice none in 400). With
// 4,000 the verdict is by chance once in 10^10 runs, and as fast: the search ends with the first.
const searched = 4000

// checkNeeded expects a double owner in one of the schedules that are played without a guard.
func checkNeeded(t *testing.T, off func(*guards), most uint64, stated bool) {
	t.Helper()
	for seed := range most {
		if faults, _, _ := play(t, seed, off, stated); len(faults) > 0 {
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
		"ending":     {func(g *guards) { g.ending = false }, 20},
		"confirming": {func(g *guards) { g.confirming = false }, searched},
		"lapsing":    {func(g *guards) { g.lapsing = false }, searched},
		"knowing":    {func(g *guards) { g.knowing = false }, searched},
		"naming":     {func(g *guards) { g.naming = false }, searched},
		"condition":  {func(g *guards) { g.condition = false }, searched},
		"contact":    {func(g *guards) { g.contact = false }, searched},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { checkNeeded(t, test.off, test.most, false) })
	}
}
