package front

import (
	"context"
	"sync"
	"time"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/internal/upstr"
	"example.org/mustardring/pkg/bundle"
)

// defaultQueue is the number of waiting requests in a service that states no limit.
const defaultQueue = 256

// gate counts and queues the requests to one server, or to all servers of the domain in a
// service that is not divided.
type gate struct {
	service string
	now     func() policy.Time

	mu      sync.Mutex
	queue   *policy.Queue
	waiters map[policy.Ticket]chan policy.Verdict
	servers map[string]*upstr.Server
	// capacity is reused between calls of configure.
	capacity []policy.Capacity
}

// gateOf returns the gate for a destination.
func (f *Front) gateOf(d route.Here) *gate {
	name := d.Service.Name
	if d.Service.Divided && len(d.Servers) == 1 {
		name += "/" + d.Servers[0].Server.Name
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gates[name]
	if g == nil {
		g = &gate{
			service: d.Service.Name, now: f.now, queue: policy.NewQueue(defaultQueue),
			waiters: make(map[policy.Ticket]chan policy.Verdict), servers: make(map[string]*upstr.Server),
		}
		f.gates[name] = g
	}
	return g
}

// acquire waits for a slot. It returns the server, or the Shed that refuses the request, or
// the context's error.
func (g *gate) acquire(ctx context.Context, a policy.Ask, d route.Here, hint hinter) (policy.Verdict, error) {
	g.mu.Lock()
	g.configure(d, hint)
	verdicts := g.queue.Ask(g.now(), a)
	if _, waits := verdicts[0].(policy.Wait); !waits {
		g.mu.Unlock()
		return verdicts[0], nil
	}
	mine := make(chan policy.Verdict, 1)
	g.waiters[a.Ticket] = mine
	g.tell(verdicts[1:])
	g.mu.Unlock()
	select {
	case v := <-mine:
		return v, nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	left := g.queue.Leave(a.Ticket)
	delete(g.waiters, a.Ticket)
	g.mu.Unlock()
	if left {
		return nil, context.Cause(ctx)
	}
	v := <-mine
	if s, started := v.(policy.Start); started {
		g.release(s.Server, 0)
	}
	return nil, context.Cause(ctx)
}

// release gives a slot back.
func (g *gate) release(server string, ran time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.queue.Release(g.now(), server, ran, false))
}

// tell passes verdicts to the waiting requests. The caller holds mu.
func (g *gate) tell(verdicts []policy.Verdict) {
	for _, v := range verdicts {
		var t policy.Ticket
		switch v := v.(type) {
		case policy.Start:
			t = v.Ticket
		case policy.Shed:
			t = v.Ticket
		default:
			continue
		}
		if waiter := g.waiters[t]; waiter != nil {
			delete(g.waiters, t)
			waiter <- v
		}
	}
}

// hinter returns the reported load of a server.
type hinter func(service, server string) float64

// configure follows the bundle. The caller holds mu.
func (g *gate) configure(d route.Here, hint hinter) {
	g.capacity = g.capacity[:0]
	for _, t := range d.Servers {
		if t.Server.Leaving {
			continue
		}
		c := policy.Capacity{Server: t.Server.Name, Slots: max(t.Server.Slots, 1)}
		if hint != nil && len(d.Servers) > 1 {
			c.Hint = hint(d.Service.Name, t.Server.Name)
		}
		g.capacity = append(g.capacity, c)
	}
	limit := queueLimit(d.Service)
	if !g.queue.Same(limit, g.capacity) {
		g.tell(g.queue.Configure(g.now(), limit, g.capacity))
	}
}

func queueLimit(s *bundle.Service) int {
	if s.Limits.Queue > 0 {
		return s.Limits.Queue
	}
	return defaultQueue
}

// connections returns the connections to a server, new ones if its address changed.
func (g *gate) connections(s *bundle.Server) *upstr.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.servers[s.Name]
	if known != nil && known.Address() == s.Address {
		return known
	}
	if known != nil {
		known.Close()
	}
	fresh := upstr.NewServer(s.Name, s.Address, s.Connections, max(s.Slots, 1))
	g.servers[s.Name] = fresh
	return fresh
}

// cut closes the connections to a server at once.
func (g *gate) cut(server string) {
	g.mu.Lock()
	s := g.servers[server]
	g.mu.Unlock()
	if s != nil {
		s.Cut()
	}
}
