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
	tickInterval     = 10 * time.Millisecond
	idleTickInterval = 50 * time.Millisecond
)

// slowdownScale is the number of units of gram.Done.Slowdown that stand for the usual pace.
const slowdownScale = 100

// admissions gets permits for the requests of this instance, and keeps those of the services and
// servers that it is in charge of.
type admissions struct {
	node   *Node
	client *admissionClient

	mu sync.Mutex
	// controllers holds those of pools by name, and those of divided services by service.
	controllers map[string]*permit.Keeper
	pools       *pools
	// queued says that a request begins to wait while none did.
	queued chan struct{}
	// isolated says that this instance hears too few others to be sure that it alone gives the permits that it gives.
	isolated bool
}

func newAdmissions(n *Node) *admissions {
	return &admissions{
		node: n, controllers: map[string]*permit.Keeper{}, pools: newPools(n.settings.Name, n.settings.Domain), queued: make(chan struct{}, 1),
		client: newAdmissionClient(n.port.Send, n.controllerUnreachable, n.settings.CPUShare, n.settings.LinkMbps),
	}
}

// run lets time pass for the keepers.
func (p *admissions) run(ctx context.Context) error {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-p.queued:
		case <-ctx.Done():
			return ctx.Err()
		}
		if p.tick() {
			timer.Reset(tickInterval)
		} else {
			timer.Reset(idleTickInterval)
		}
	}
}

// wake quickens the pace, as a request waits.
func (p *admissions) wake() { signalOnce(p.queued) }

// tick reports whether requests wait.
func (p *admissions) tick() (waiting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.isolated = !p.node.roster.Most(now)
	for pool, k := range p.controllers {
		if !k.Idle() {
			p.deliver(k.Tick(now))
			waiting = true
		}
		for _, key := range k.Doubtful(now) {
			p.recheck(k, key, now)
		}
		if n := k.Expired(); n > 0 {
			p.node.events.Note(event.Belief, "permits-expired", "pool", pool, "count", n)
		}
	}
	return waiting
}

// recheck asks the holder of a permit whether it still has it, or takes it back if the holder is not
// heard any more; the lock is held.
//
// When a failure domain is cut off, its instances keep permits that they cannot give back. They would hold
// slots of servers that are free, and requests would be refused there.
func (p *admissions) recheck(k *permit.Keeper, key permit.Key, now time.Time) {
	if !p.node.roster.Reached(key.From, now) {
		p.node.events.Note(event.Belief, "permit-taken-back", "from", key.From, "serial", key.Serial, "reason", "instance-silent")
		p.deliver(k.Withdraw(now, key))
		return
	}
	if to, err := netip.ParseAddrPort(key.From); err == nil {
		p.node.port.Send(to, gram.AdmissionCheck{Serial: key.Serial})
	}
}

// controller returns the keeper of a pool; the lock is held.
func (p *admissions) controller(pool string) *permit.Keeper {
	k := p.controllers[pool]
	if k == nil {
		k = permit.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		p.controllers[pool] = k
		p.deliver(k.SetServers(time.Now(), p.pools.serversOf(pool)))
	}
	return k
}

// setServers takes in that the servers or the services have changed.
func (p *admissions) setServers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools.rebuild(p.node.cluster.servers(), p.node.cluster.config.Load())
	for pool, k := range p.controllers {
		p.deliver(k.SetServers(time.Now(), p.pools.serversOf(pool)))
	}
}

// capacityReport returns what this instance has learnt of the servers of a service since the last call.
func (p *admissions) capacityReport(service string) map[string]permit.Power {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.controllers[service]
	if k == nil {
		return nil
	}
	return k.Report()
}

// deliver tells verdicts to those who asked; the lock is held.
func (p *admissions) deliver(verdicts []permit.Verdict) {
	for _, v := range verdicts {
		key := permit.KeyOf(v)
		m := decisionMessage(v)
		if key.From == "" {
			p.client.handleDecision(netip.AddrPort{}, m)
			continue
		}
		if to, err := netip.ParseAddrPort(key.From); err == nil {
			p.node.port.Send(to, m)
		}
	}
}

func decisionMessage(v permit.Verdict) gram.AdmissionDecision {
	m := gram.AdmissionDecision{Serial: permit.KeyOf(v).Serial}
	switch v := v.(type) {
	case permit.Granted:
		m.Server = v.Server
	case permit.Refused:
		m.Reason = string(v.Reason)
		m.RetryInMs, m.WaitMs = int(v.RetryIn.Milliseconds()), int(v.Wait.Milliseconds())
	case permit.Waiting:
	}
	return m
}

// handleRequest answers another instance.
func (p *admissions) handleRequest(from netip.AddrPort, m gram.AdmissionRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	a := permit.Ask{
		Key: permit.Key{From: from.String(), Serial: m.Serial}, Pool: m.Pool, Server: m.Server, Domain: m.Domain,
		Route: m.Route, Priority: m.Priority, Returning: m.Returning, Avoid: m.Avoid, Elsewhere: m.HasFallback,
		TargetAt: now.Add(time.Duration(m.TargetInMs) * time.Millisecond),
		LimitAt:  now.Add(time.Duration(m.DeadlineInMs) * time.Millisecond),
	}
	a.Apart = p.isolated
	k := p.controller(m.Pool)
	idle := k.Idle()
	p.deliver([]permit.Verdict{k.Ask(now, a)})
	if idle && !k.Idle() {
		p.wake()
	}
}

func (p *admissions) handleCompletion(from netip.AddrPort, m gram.Completion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.controller(m.Pool).Done(time.Now(), permit.Done{
		Key: permit.Key{From: from.String(), Serial: m.Serial}, Server: m.Server, Route: m.Route,
		Outcome: m.Outcome, Took: time.Duration(m.DurationUs) * time.Microsecond, Bytes: m.AnswerBytes,
		Load: permit.Load{
			Running: m.Running, Waiting: m.Waiting, Known: m.LoadKnown, Slowdown: float64(m.Slowdown) / slowdownScale,
		},
	}))
}

func (p *admissions) handleCancel(from netip.AddrPort, m gram.Cancel) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := permit.Key{From: from.String(), Serial: m.Serial}
	for pool, k := range p.controllers {
		if m.Pool == "" || m.Pool == pool {
			p.deliver(k.Withdraw(time.Now(), key))
		}
	}
}

// admission is a permit that was granted.
type admission struct {
	admissions *admissions
	serial     uint64
	pool       string
	route      string
	server     string
	// controller is the instance that granted it, empty for this one.
	controller netip.AddrPort
}

// Server implements edge.Permit.
func (h *admission) Server() string { return h.server }

// Done implements edge.Permit.
func (h *admission) Done(d permit.Done) {
	defer h.admissions.client.close(h.serial)
	d.Key, d.Server, d.Route = permit.Key{Serial: h.serial}, h.server, h.route
	if !h.controller.IsValid() {
		h.admissions.mu.Lock()
		defer h.admissions.mu.Unlock()
		h.admissions.deliver(h.admissions.controller(h.pool).Done(time.Now(), d))
		return
	}
	m := gram.Completion{
		Serial: h.serial, Pool: h.pool, Server: h.server, Route: h.route, Outcome: d.Outcome,
		DurationUs: int(d.Took.Microseconds()), AnswerBytes: d.Bytes,
		Running: d.Load.Running, Waiting: d.Load.Waiting, LoadKnown: d.Load.Known,
		Slowdown: int(d.Load.Slowdown * slowdownScale),
	}
	h.admissions.node.port.Send(h.controller, m)
	m.LoadKnown = false
	time.AfterFunc(completionResendDelay, func() { h.admissions.node.port.Send(h.controller, m) })
}

// Acquire implements edge.Permits.
func (p *admissions) Acquire(ctx context.Context, a permit.Ask, domain string) (edge.Permit, *permit.Refused) {
	if a.Server != "" {
		a.Pool, a.Domain = a.Service, p.node.settings.Domain
		return p.requestFrom(ctx, a, a.Server, domain)
	}
	tries := p.candidates(a.Service)
	for i, pool := range tries {
		a.Pool, a.Elsewhere, a.Domain = pool.Name, i < len(tries)-1, p.node.settings.Domain
		if pool.Domain != "" {
			a.Domain = pool.Domain
		}
		granted, refused := p.requestFrom(ctx, a, pool.Name, pool.Domain)
		if refused == nil || !a.Elsewhere || refused.Reason != permit.Busy {
			return granted, refused
		}
		p.markBusy(pool, refused.Wait)
	}
	return nil, &permit.Refused{Reason: permit.NoServer}
}

// candidates returns the pools that a request should ask in turn.
func (p *admissions) candidates(service string) []permit.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools.picker(service).Tries(time.Now())
}

func (p *admissions) markBusy(pool permit.Pool, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools.picker(pool.Service).Busy(pool.Name, wait, time.Now())
}

// requestFrom asks those in charge of a pool or a server in turn, and decides itself if they are silent.
func (p *admissions) requestFrom(ctx context.Context, a permit.Ask, thing, domain string) (edge.Permit, *permit.Refused) {
	for i, keeper := range p.node.roster.Rank(thing, domain, time.Now()) {
		if i == maxControllersTried {
			a.Apart = true
			break
		}
		if keeper.Name == p.node.settings.Name {
			break
		}
		if to, ok := peerAddress(keeper); ok {
			if v, answered := p.client.request(ctx, a, keeper, to); answered {
				return p.result(a, v, to)
			}
		}
		if ctx.Err() != nil {
			return nil, &permit.Refused{Reason: permit.Overload}
		}
	}
	return p.result(a, p.requestLocally(ctx, a), netip.AddrPort{})
}

// result turns a final verdict into a permit or a refusal.
func (p *admissions) result(a permit.Ask, m gram.AdmissionDecision, keeper netip.AddrPort) (edge.Permit, *permit.Refused) {
	if m.Server != "" {
		return &admission{admissions: p, serial: m.Serial, pool: a.Pool, route: a.Route, server: m.Server, controller: keeper}, nil
	}
	reason := permit.Reason(m.Reason)
	if reason == "" {
		reason = permit.Overload
	}
	return nil, &permit.Refused{
		Pool: a.Pool, Reason: reason, RetryIn: time.Duration(m.RetryInMs) * time.Millisecond, Wait: time.Duration(m.WaitMs) * time.Millisecond,
	}
}

// requestLocally asks this instance's own keeper.
func (p *admissions) requestLocally(ctx context.Context, a permit.Ask) gram.AdmissionDecision {
	serial, verdicts := p.client.open()
	a.Key = permit.Key{Serial: serial}
	p.mu.Lock()
	a.Apart = a.Apart || p.isolated
	m := decisionMessage(p.controller(a.Pool).Ask(time.Now(), a))
	p.mu.Unlock()
	if !isFinal(m) {
		p.wake()
	}
	for !isFinal(m) {
		select {
		case m = <-verdicts:
		case <-ctx.Done():
			p.mu.Lock()
			p.deliver(p.controller(a.Pool).Withdraw(time.Now(), a.Key))
			p.mu.Unlock()
			m = gram.AdmissionDecision{Reason: string(permit.Overload)}
		}
	}
	if m.Server == "" {
		p.client.close(serial)
	}
	return m
}
