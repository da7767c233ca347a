package holder

import (
	"context"
	"fmt"
	"time"

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
