package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/gram"
	"example.org/mustardring/internal/permit"
)

// The pace at which keepers look at their queues, and at the permits in use while nothing waits: each
// wake-up costs an idle instance.
const (
	tickEvery = 10 * time.Millisecond
	idleEvery = 50 * time.Millisecond
)

// slowdownUnits is the number of units of gram.Done.Slowdown that stand for the usual pace.
const slowdownUnits = 100

// permits gets permits for the requests of this instance, and keeps those of the services and
// servers that it is in charge of.
type permits struct {
	node  *Node
	asker *asker

	mu sync.Mutex
	// keepers holds those of pools by name, and those of divided services by service.
	keepers map[string]*permit.Controller
	pools   *pools
	// waits says that a request begins to wait while none did.
	waits chan struct{}
	// apart says that this instance hears too few others to be sure that it alone gives the permits that it gives.
	apart bool
}

func newPermits(n *Node) *permits {
	return &permits{
		node: n, keepers: map[string]*permit.Controller{}, pools: newPools(n.settings.Name, n.settings.Domain), waits: make(chan struct{}, 1),
		asker: newAsker(n.port.Send, n.keeperSilent, n.settings.CPUShare, n.settings.LinkMbps),
	}
}

// run lets time pass for the keepers.
func (p *permits) run(ctx context.Context) error {
	timer := time.NewTimer(idleEvery)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-p.waits:
		case <-ctx.Done():
			return ctx.Err()
		}
		if p.tick() {
			timer.Reset(tickEvery)
		} else {
			timer.Reset(idleEvery)
		}
	}
}

// wake quickens the pace, as a request waits.
func (p *permits) wake() { notify(p.waits) }

// tick reports whether requests wait.
func (p *permits) tick() (waiting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.apart = !p.node.roster.MajorityAlive(now)
	for pool, k := range p.keepers {
		if !k.Idle() {
			p.deliver(k.Tick(now))
			waiting = true
		}
		for _, key := range k.LongRunning(now) {
			p.doubt(k, key, now)
		}
		if n := k.Expired(); n > 0 {
			p.node.events.Note(event.Belief, "permits-expired", "pool", pool, "count", n)
		}
	}
	return waiting
}

// doubt asks the holder of a permit whether it still has it, or takes it back if the holder is not
// heard any more; the lock is held.
//
// When a failure domain is cut off, its instances keep permits that they cannot give back. They would hold
// slots of servers that are free, and requests would be refused there.
func (p *permits) doubt(k *permit.Controller, key permit.ID, now time.Time) {
	if !p.node.roster.Reachable(key.From, now) {
		p.node.events.Note(event.Belief, "permit-taken-back", "from", key.From, "serial", key.Serial, "reason", "instance-silent")
		p.deliver(k.Cancel(now, key))
		return
	}
	if to, err := netip.ParseAddrPort(key.From); err == nil {
		p.node.port.Send(to, gram.Check{Serial: key.Serial})
	}
}

// keeper returns the keeper of a pool; the lock is held.
func (p *permits) keeper(pool string) *permit.Controller {
	k := p.keepers[pool]
	if k == nil {
		k = permit.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		p.keepers[pool] = k
		p.deliver(k.SetServers(time.Now(), p.pools.servers(pool)))
	}
	return k
}

// setServers takes in that the servers or the services have changed.
func (p *permits) setServers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools.arrange(p.node.world.servers(), p.node.world.config.Load())
	for pool, k := range p.keepers {
		p.deliver(k.SetServers(time.Now(), p.pools.servers(pool)))
	}
}

// report returns what this instance has learnt of the servers of a service since the last call.
func (p *permits) report(service string) map[string]permit.Capacity {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.keepers[service]
	if k == nil {
		return nil
	}
	return k.ReportCapacity()
}

// deliver tells verdicts to those who asked; the lock is held.
func (p *permits) deliver(verdicts []permit.Decision) {
	for _, v := range verdicts {
		key := permit.IDOf(v)
		m := message(v)
		if key.From == "" {
			p.asker.told(netip.AddrPort{}, m)
			continue
		}
		if to, err := netip.ParseAddrPort(key.From); err == nil {
			p.node.port.Send(to, m)
		}
	}
}

func message(v permit.Decision) gram.Verdict {
	m := gram.Verdict{Serial: permit.IDOf(v).Serial}
	switch v := v.(type) {
	case permit.Admitted:
		m.Server = v.Server
	case permit.Rejected:
		m.Reason = string(v.Reason)
		m.RetryIn, m.Wait = int(v.RetryIn.Milliseconds()), int(v.Wait.Milliseconds())
	case permit.Queued:
	}
	return m
}

// asked answers another instance.
func (p *permits) asked(from netip.AddrPort, m gram.Ask) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	a := permit.Request{
		ID: permit.ID{From: from.String(), Serial: m.Serial}, Pool: m.Pool, Server: m.Server, Domain: m.Domain,
		Route: m.Route, Priority: m.Priority, Returning: m.Returning, Avoid: m.Avoid, HasFallback: m.Elsewhere,
		TargetAt: now.Add(time.Duration(m.TargetIn) * time.Millisecond),
		Deadline: now.Add(time.Duration(m.LimitIn) * time.Millisecond),
	}
	a.NonExclusive = p.apart
	k := p.keeper(m.Pool)
	idle := k.Idle()
	p.deliver([]permit.Decision{k.Decide(now, a)})
	if idle && !k.Idle() {
		p.wake()
	}
}

func (p *permits) returned(from netip.AddrPort, m gram.Done) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.keeper(m.Pool).Complete(time.Now(), permit.Completion{
		ID: permit.ID{From: from.String(), Serial: m.Serial}, Server: m.Server, Route: m.Route,
		Outcome: m.Outcome, Took: time.Duration(m.TookUs) * time.Microsecond, Bytes: m.Bytes,
		Load: permit.Load{
			Running: m.Running, Waiting: m.Waiting, Known: m.Loaded, Slowdown: float64(m.Slowdown) / slowdownUnits,
		},
	}))
}

func (p *permits) withdrawn(from netip.AddrPort, m gram.Withdraw) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := permit.ID{From: from.String(), Serial: m.Serial}
	for pool, k := range p.keepers {
		if m.Pool == "" || m.Pool == pool {
			p.deliver(k.Cancel(time.Now(), key))
		}
	}
}

// held is a permit that was granted.
type held struct {
	permits *permits
	serial  uint64
	pool    string
	route   string
	server  string
	// keeper is the instance that granted it, empty for this one.
	keeper netip.AddrPort
}

// Server implements edge.Permit.
func (h *held) Server() string { return h.server }

// Done implements edge.Permit.
func (h *held) Done(d permit.Completion) {
	defer h.permits.asker.close(h.serial)
	d.ID, d.Server, d.Route = permit.ID{Serial: h.serial}, h.server, h.route
	if !h.keeper.IsValid() {
		h.permits.mu.Lock()
		defer h.permits.mu.Unlock()
		h.permits.deliver(h.permits.keeper(h.pool).Complete(time.Now(), d))
		return
	}
	m := gram.Done{
		Serial: h.serial, Pool: h.pool, Server: h.server, Route: h.route, Outcome: d.Outcome,
		TookUs: int(d.Took.Microseconds()), Bytes: d.Bytes,
		Running: d.Load.Running, Waiting: d.Load.Waiting, Loaded: d.Load.Known,
		Slowdown: int(d.Load.Slowdown * slowdownUnits),
	}
	h.permits.node.port.Send(h.keeper, m)
	m.Loaded = false
	time.AfterFunc(doneAgain, func() { h.permits.node.port.Send(h.keeper, m) })
}

// Acquire implements edge.Permits.
func (p *permits) Acquire(ctx context.Context, a permit.Request, domain string) (edge.Admission, *permit.Rejected) {
	if a.Server != "" {
		a.Pool, a.Domain = a.Service, p.node.settings.Domain
		return p.askKeepers(ctx, a, a.Server, domain)
	}
	tries := p.tries(a.Service)
	for i, pool := range tries {
		a.Pool, a.HasFallback, a.Domain = pool.Name, i < len(tries)-1, p.node.settings.Domain
		if pool.Domain != "" {
			a.Domain = pool.Domain
		}
		granted, refused := p.askKeepers(ctx, a, pool.Name, pool.Domain)
		if refused == nil || !a.HasFallback || refused.Reason != permit.PoolBusy {
			return granted, refused
		}
		p.busy(pool, refused.Wait)
	}
	return nil, &permit.Rejected{Reason: permit.NoServer}
}

// tries returns the pools that a request should ask in turn.
func (p *permits) tries(service string) []permit.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools.picker(service).Candidates(time.Now())
}

func (p *permits) busy(pool permit.Pool, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools.picker(pool.Service).MarkBusy(pool.Name, wait, time.Now())
}

// askKeepers asks those in charge of a pool or a server in turn, and decides itself if they are silent.
func (p *permits) askKeepers(ctx context.Context, a permit.Request, thing, domain string) (edge.Admission, *permit.Rejected) {
	for i, keeper := range p.node.roster.Rank(thing, domain, time.Now()) {
		if i == asksMost {
			a.NonExclusive = true
			break
		}
		if keeper.Name == p.node.settings.Name {
			break
		}
		if to, ok := address(keeper); ok {
			if v, answered := p.asker.ask(ctx, a, keeper, to); answered {
				return p.conclude(a, v, to)
			}
		}
		if ctx.Err() != nil {
			return nil, &permit.Rejected{Reason: permit.Overload}
		}
	}
	return p.conclude(a, p.askSelf(ctx, a), netip.AddrPort{})
}

// conclude turns a final verdict into a permit or a refusal.
func (p *permits) conclude(a permit.Request, m gram.Verdict, keeper netip.AddrPort) (edge.Admission, *permit.Rejected) {
	if m.Server != "" {
		return &held{permits: p, serial: m.Serial, pool: a.Pool, route: a.Route, server: m.Server, keeper: keeper}, nil
	}
	reason := permit.Reason(m.Reason)
	if reason == "" {
		reason = permit.Overload
	}
	return nil, &permit.Rejected{
		Pool: a.Pool, Reason: reason, RetryIn: time.Duration(m.RetryIn) * time.Millisecond, Wait: time.Duration(m.Wait) * time.Millisecond,
	}
}

// askSelf asks this instance's own keeper.
func (p *permits) askSelf(ctx context.Context, a permit.Request) gram.Verdict {
	serial, verdicts := p.asker.open()
	a.ID = permit.ID{Serial: serial}
	p.mu.Lock()
	a.NonExclusive = a.NonExclusive || p.apart
	m := message(p.keeper(a.Pool).Decide(time.Now(), a))
	p.mu.Unlock()
	if !final(m) {
		p.wake()
	}
	for !final(m) {
		select {
		case m = <-verdicts:
		case <-ctx.Done():
			p.mu.Lock()
			p.deliver(p.keeper(a.Pool).Cancel(time.Now(), a.ID))
			p.mu.Unlock()
			m = gram.Verdict{Reason: string(permit.Overload)}
		}
	}
	if m.Server == "" {
		p.asker.close(serial)
	}
	return m
}
