package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/gram"
	"example.org/mustardring/internal/permit"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/rules"
)

// The times of asking for permits.
const (
	// askTimeout is how long a keeper may take for its first word, besides the time for which an
	// instance may stand still. A message takes 3 milliseconds there and back; the rest is for
	// a keeper whose processor is busy.
	askTimeout = 50 * time.Millisecond
	// askAgain is when the same asking is sent once more, in case the first message was lost.
	askAgain = 40 * time.Millisecond
	// quotaPeriod is how long an instance may stand still at most: its part of a core is a
	// quota of each tenth of a second. An asker with a sixth of a core finds the answer that
	// came meanwhile only after its timer; with 60 ms each twentieth asking ended so.
	quotaPeriod = 100 * time.Millisecond
	// doneAgain is when a permit is given back once more: the first message may be lost, and
	// the server would look busy until the request's limit.
	doneAgain = 40 * time.Millisecond
	// renewAsk is how long a request waits before it asks whether the keeper still knows it.
	renewAsk = 300 * time.Millisecond
	// asksMost is the number of keepers that are tried before the instance decides by itself.
	asksMost = 2
	// tickEvery is the pace at which keepers look at their queues.
	tickEvery = 10 * time.Millisecond
)

// permits asks keepers for permits, and keeps those of this instance's own servers.
type permits struct {
	node   *Node
	serial atomic.Uint64

	mu      sync.Mutex
	keepers map[string]*permit.Keeper
	// pending holds those who wait for a verdict, by serial number.
	pending map[uint64]chan gram.Verdict
	// silentAt is when a keeper's silence was last logged.
	silentAt map[string]time.Time
}

func newPermits(n *Node) *permits {
	return &permits{node: n, keepers: map[string]*permit.Keeper{}, pending: map[uint64]chan gram.Verdict{}, silentAt: map[string]time.Time{}}
}

// run lets time pass for the keepers.
func (p *permits) run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.tick()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *permits) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for service, k := range p.keepers {
		if !k.Idle() {
			p.deliver(k.Tick(now))
		}
		if n := k.Expired(); n > 0 {
			p.node.events.Note(event.Belief, "permits-expired", "service", service, "count", n)
		}
	}
}

// keeper returns the keeper of a service; the lock is held.
func (p *permits) keeper(service string) *permit.Keeper {
	k := p.keepers[service]
	if k == nil {
		k = permit.New(service, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		p.keepers[service] = k
		p.deliver(k.SetServers(time.Now(), usable(p.node.world.servers(), service, p.node.isDivided(service))))
	}
	return k
}

func (n *Node) isDivided(service string) bool {
	c := n.world.config.Load()
	return c != nil && c.Services[service].Divided
}

// usable returns the servers of a service that may get requests. One that drains still has its
// keys until they are moved.
func usable(servers map[string]rules.Server, service string, divided bool) []rules.Server {
	var out []rules.Server
	for _, s := range servers {
		if s.Service == service && (divided || !s.Draining) {
			out = append(out, s)
		}
	}
	return out
}

func (p *permits) setServers(servers map[string]rules.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, k := range p.keepers {
		p.deliver(k.SetServers(time.Now(), usable(servers, service, p.node.isDivided(service))))
	}
}

func (p *permits) powers(service string) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.keepers[service]
	if k == nil {
		return nil
	}
	return k.Powers()
}

// deliver tells verdicts to those who asked; the lock is held.
func (p *permits) deliver(verdicts []permit.Verdict) {
	for _, v := range verdicts {
		key := permit.KeyOf(v)
		m := message(v)
		if key.From == "" {
			p.hand(m)
			continue
		}
		if to, err := netip.ParseAddrPort(key.From); err == nil {
			p.node.port.Send(to, m)
		}
	}
}

func message(v permit.Verdict) gram.Verdict {
	m := gram.Verdict{Serial: permit.KeyOf(v).Serial}
	switch v := v.(type) {
	case permit.Granted:
		m.Server = v.Server
	case permit.Refused:
		m.Reason = string(v.Reason)
		m.RetryIn, m.Wait = int(v.RetryIn.Milliseconds()), int(v.Wait.Milliseconds())
	case permit.Waiting:
	}
	return m
}

// hand gives a verdict to the request that waits for it; the lock is held.
func (p *permits) hand(m gram.Verdict) {
	if c := p.pending[m.Serial]; c != nil {
		select {
		case c <- m:
		default:
		}
	}
}

// told takes the verdict of another instance's keeper.
func (p *permits) told(m gram.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hand(m)
}

// asked answers another instance.
func (p *permits) asked(from netip.AddrPort, m gram.Ask) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	a := permit.Ask{
		Key: permit.Key{From: from.String(), Serial: m.Serial}, Service: m.Service, Server: m.Server, Domain: m.Domain,
		Route: m.Route, Priority: m.Priority, Returning: m.Returning, Avoid: m.Avoid,
		TargetAt: now.Add(time.Duration(m.TargetIn) * time.Millisecond),
		LimitAt:  now.Add(time.Duration(m.LimitIn) * time.Millisecond),
	}
	p.deliver([]permit.Verdict{p.keeper(m.Service).Ask(now, a)})
}

func (p *permits) returned(from netip.AddrPort, m gram.Done) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.keeper(m.Service).Done(time.Now(), permit.Done{
		Key: permit.Key{From: from.String(), Serial: m.Serial}, Service: m.Service, Server: m.Server, Route: m.Route,
		Outcome: m.Outcome, Took: time.Duration(m.TookUs) * time.Microsecond, Bytes: m.Bytes,
		Load: permit.Load{Running: m.Running, Waiting: m.Waiting, Known: m.Loaded},
	}))
}

func (p *permits) withdrawn(from netip.AddrPort, m gram.Withdraw) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.keeper(m.Service).Withdraw(time.Now(), permit.Key{From: from.String(), Serial: m.Serial}))
}

// held is a permit that was granted.
type held struct {
	permits *permits
	serial  uint64
	service string
	route   string
	server  string
	// keeper is the instance that granted it, empty for this one.
	keeper netip.AddrPort
}

// Server implements edge.Permit.
func (h *held) Server() string { return h.server }

// Done implements edge.Permit.
func (h *held) Done(d permit.Done) {
	d.Key, d.Service, d.Server, d.Route = permit.Key{Serial: h.serial}, h.service, h.server, h.route
	if !h.keeper.IsValid() {
		h.permits.mu.Lock()
		defer h.permits.mu.Unlock()
		h.permits.deliver(h.permits.keeper(h.service).Done(time.Now(), d))
		return
	}
	m := gram.Done{
		Serial: h.serial, Service: h.service, Server: h.server, Route: h.route, Outcome: d.Outcome,
		TookUs: int(d.Took.Microseconds()), Bytes: d.Bytes,
		Running: d.Load.Running, Waiting: d.Load.Waiting, Loaded: d.Load.Known,
	}
	h.permits.node.port.Send(h.keeper, m)
	m.Loaded = false
	time.AfterFunc(doneAgain, func() { h.permits.node.port.Send(h.keeper, m) })
}

// Acquire implements edge.Permits.
func (p *permits) Acquire(ctx context.Context, a permit.Ask, domain string) (edge.Permit, *permit.Refused) {
	a.Serial = p.serial.Add(1)
	a.Domain = p.node.settings.Domain
	thing := a.Service
	if a.Server != "" {
		thing = a.Server
	}
	verdicts := make(chan gram.Verdict, 4)
	p.mu.Lock()
	p.pending[a.Serial] = verdicts
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, a.Serial)
		p.mu.Unlock()
	}()
	for i, keeper := range p.node.roster.Rank(thing, domain, time.Now()) {
		if i == asksMost || keeper.Name == p.node.settings.Name {
			break
		}
		if to, ok := address(keeper); ok {
			if m, answered := p.askOther(ctx, a, keeper, to, verdicts); answered {
				return p.conclude(a, m, to)
			}
		}
		if ctx.Err() != nil {
			return nil, &permit.Refused{Reason: permit.Overload}
		}
	}
	return p.conclude(a, p.askSelf(ctx, a, verdicts), netip.AddrPort{})
}

// conclude turns a final verdict into a permit or a refusal.
func (p *permits) conclude(a permit.Ask, m gram.Verdict, keeper netip.AddrPort) (edge.Permit, *permit.Refused) {
	if m.Server != "" {
		return &held{permits: p, serial: a.Serial, service: a.Service, route: a.Route, server: m.Server, keeper: keeper}, nil
	}
	reason := permit.Reason(m.Reason)
	if reason == "" {
		reason = permit.Overload
	}
	return nil, &permit.Refused{
		Reason: reason, RetryIn: time.Duration(m.RetryIn) * time.Millisecond, Wait: time.Duration(m.Wait) * time.Millisecond,
	}
}

func final(m gram.Verdict) bool { return m.Server != "" || m.Reason != "" }

// askOther asks another instance, and waits as long as that instance says that the request
// waits. The second result is false if it does not answer.
func (p *permits) askOther(ctx context.Context, a permit.Ask, keeper roster.Peer, to netip.AddrPort, verdicts <-chan gram.Verdict) (gram.Verdict, bool) {
	first := askTimeout + time.Duration((1-min(p.node.settings.CPUShare, 1))*float64(quotaPeriod))
	timeout := first
	for {
		p.node.port.Send(to, askOf(a))
		if timeout == renewAsk {
			// The keeper has answered before: it is asked whether it still is there.
			timeout = first
		}
		m, heard := p.hear(ctx, verdicts, min(timeout, askAgain))
		if !heard && ctx.Err() == nil {
			p.node.port.Send(to, askOf(a))
			m, heard = p.hear(ctx, verdicts, timeout-askAgain)
		}
		for heard && !final(m) {
			m, heard = p.hear(ctx, verdicts, renewAsk)
			timeout = renewAsk
		}
		switch {
		case heard:
			return m, true
		case ctx.Err() != nil:
			p.node.port.Send(to, gram.Withdraw{Serial: a.Serial, Service: a.Service})
			return gram.Verdict{}, false
		case timeout == first:
			p.node.roster.Silent(keeper.Name, time.Now())
			p.silent(keeper.Name)
			p.node.port.Send(to, gram.Withdraw{Serial: a.Serial, Service: a.Service})
			return gram.Verdict{}, false
		}
	}
}

// silentEvery is how often the silence of one keeper is logged: each request in progress finds
// it out for itself.
const silentEvery = time.Second

func (p *permits) silent(keeper string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.silentAt[keeper]) < silentEvery {
		return
	}
	p.silentAt[keeper] = now
	p.node.events.Note(event.Belief, "keeper-silent", "keeper", keeper)
}

// hear waits for a verdict.
func (p *permits) hear(ctx context.Context, verdicts <-chan gram.Verdict, d time.Duration) (gram.Verdict, bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case m := <-verdicts:
		return m, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return gram.Verdict{}, false
}

func askOf(a permit.Ask) gram.Ask {
	return gram.Ask{
		Serial: a.Serial, Service: a.Service, Server: a.Server, Domain: a.Domain, Route: a.Route, Priority: a.Priority,
		Returning: a.Returning, Avoid: a.Avoid,
		TargetIn: int(time.Until(a.TargetAt).Milliseconds()), LimitIn: int(time.Until(a.LimitAt).Milliseconds()),
	}
}

// askSelf asks this instance's own keeper.
func (p *permits) askSelf(ctx context.Context, a permit.Ask, verdicts <-chan gram.Verdict) gram.Verdict {
	a.From = ""
	p.mu.Lock()
	m := message(p.keeper(a.Service).Ask(time.Now(), a))
	p.mu.Unlock()
	for !final(m) {
		select {
		case m = <-verdicts:
		case <-ctx.Done():
			p.mu.Lock()
			p.deliver(p.keeper(a.Service).Withdraw(time.Now(), a.Key))
			p.mu.Unlock()
			return gram.Verdict{}
		}
	}
	return m
}
