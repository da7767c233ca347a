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

// hold is the right of a server to a key.
type hold struct {
	fence   uint64
	granted bool
	until   time.Time
}

// backend is a server: for each checked key the highest fence it saw, and what it holds.
type backend struct {
	rules.Server
	up bool
	// keyless says that the server knows no keys: it refuses orders.
	keyless bool
	seen    []uint64
	holds   []hold
}

func (b *backend) each(from, to uint16, do func(i int)) {
	for i := range b.holds {
		if key := i * spacing; key >= int(from) && key <= int(to) {
			do(i)
		}
	}
}

// orders is how an instance reaches servers.
type orders struct {
	world *world
	name  string

	mu    sync.Mutex
	lines map[string]*testLine
}

// testLine is a connection. It reaches one life of a server and ends with it.
type testLine struct {
	life     *backend
	openedAt clock.Instant
}

func (o *orders) Grant(ctx context.Context, to shard.Owner, g Grant, proven GrantCheck) error {
	address := to.Address
	o.world.delay()
	if ctx.Err() != nil {
		return errCut
	}
	if o.world.isCut(o.name, address) {
		<-ctx.Done()
		return errCut
	}
	var life *backend
	if o.world.stated {
		c, err := o.line(to)
		if err != nil {
			return err
		}
		if err := proven(ctx, c.openedAt); err != nil {
			return err
		}
		life = c.life
	}
	arrived := time.Now()
	if o.world.chance(o.world.lateOrders) {
		o.world.after(o.world.between(2*time.Second, 12*time.Second), func() { _ = o.world.grant(to, g, arrived, life) })
		<-ctx.Done()
		return errCut
	}
	err := o.world.grant(to, g, arrived, life)
	o.world.delay()
	return err
}

// line returns the connection to a life of a server; one whose server has ended fails once.
func (o *orders) line(to shard.Owner) (*testLine, error) {
	o.world.mu.Lock()
	life := o.world.at(to.Address)
	o.world.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	// Like lives that are meant, those of one address are told apart by their id.
	c := o.lines[to.Server]
	switch {
	case life == nil || c != nil && c.life != life:
		delete(o.lines, to.Server)
		return nil, errCut
	case c == nil:
		c = &testLine{life: life, openedAt: fakeClock{o.world.start}.Now()}
		o.lines[to.Server] = c
	}
	return c, nil
}

func (o *orders) Release(ctx context.Context, to shard.Owner, g Grant) (string, error) {
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
// Where life is given, only that one takes the grant: an order that is carried out late ends with
// the life of the server that took it.
func (w *world) grant(to shard.Owner, g Grant, arrived time.Time, life *backend) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.at(to.Address)
	if b == nil || life != nil && b != life {
		return errCut
	}
	if b.keyless {
		w.refusals++
		return ErrRefused
	}
	if rules.NameOf(b.ID) != rules.NameOf(to.Server) && w.guards.naming {
		return ErrServerGone
	}
	refused := false
	b.each(g.From, g.To, func(i int) { refused = refused || g.Fence < b.seen[i] })
	if refused {
		return ErrFenced
	}
	// The clock that measures the lease runs 2% slow.
	w.checkLives(b, g)
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

// checkLives notes a fault if an earlier life of a server had the keys with as high a fence.
func (w *world) checkLives(b *backend, g Grant) {
	for i, fence := range w.ended[rules.NameOf(b.ID)] {
		if key := i * spacing; w.stated && key >= int(g.From) && key <= int(g.To) && fence >= g.Fence && b.seen[i] < g.Fence {
			w.faults = append(w.faults, fmt.Sprintf("%v key %d: %s got it with fence %d, a life before had it with %d",
				time.Since(w.start), key, b.ID, g.Fence, fence))
		}
	}
}

// check notes a fault if another server holds a key that b got.
func (w *world) check(i int, b *backend) {
	now := time.Now()
	for _, o := range w.backends {
		if o == b || !o.up || o.keyless || !o.holds[i].granted || !now.Before(o.holds[i].until) || !now.Before(b.holds[i].until) {
			continue
		}
		w.faults = append(w.faults, fmt.Sprintf("%v key %d: %s holds it with fence %d until %v, %s got it with fence %d",
			now.Sub(w.start), i*spacing, o.ID, o.holds[i].fence, o.holds[i].until.Sub(w.start), b.ID, b.holds[i].fence))
	}
}

func (w *world) release(to shard.Owner, g Grant) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.at(to.Address)
	if b == nil {
		return errCut
	}
	if b.keyless {
		w.refusals++
		return ErrRefused
	}
	if rules.NameOf(b.ID) != rules.NameOf(to.Server) && w.guards.naming {
		return ErrServerGone
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
	for i := range shard.NumKeys / spacing {
		for _, b := range w.backends {
			if b.up && !b.keyless && b.holds[i].granted && time.Now().Before(b.holds[i].until) {
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
	b := &backend{
		Server: rules.Server{ID: id, Service: service, Address: address, Domain: domain, Slots: 2, StartedAt: startOf(id)}, up: true,
		seen: make([]uint64, shard.NumKeys/spacing), holds: make([]hold, shard.NumKeys/spacing),
	}
	w.backends[id] = b
	if w.stated {
		// The entry of the life before stands until that of the new one is read.
		w.after(w.stateIn(), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.backends[id] == b {
				w.entries[rules.NameOf(id)] = b.Server
			}
		})
	}
}

// stateIn returns how long it takes until the entry of a new life is read; the lock is held.
func (w *world) stateIn() time.Duration { return time.Duration(w.random.Int64N(int64(time.Second))) }

// startOf returns the start that the id of a life states, zero if it states none.
func startOf(id string) int64 {
	_, start, _ := strings.Cut(id, "~")
	n, _ := strconv.ParseInt(start, 36, 64)
	return n
}
