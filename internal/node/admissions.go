package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/edge"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/stated"
)

const (
	// tickInterval is the time between two ticks of the controllers while requests are queued, idleTickInterval that
	// while none is, when only the admissions in use are checked: each wake-up costs an idle instance processor time.
	tickInterval     = 10 * time.Millisecond
	idleTickInterval = 50 * time.Millisecond
)

// slowdownScale is the value of dgram.Completion.Slowdown that stands for the usual speed.
const slowdownScale = 100

// admissions requests admissions for the requests of this instance, and runs the controllers of the pools and servers
// that this instance is responsible for.
type admissions struct {
	node   *Node
	client *admissionClient

	mu sync.Mutex
	// controllers holds the controllers of pools by name, and those of services divided by key by service.
	controllers map[string]*admit.Controller
	pools       *pools
	// queued signals that a request was queued while none was.
	queued chan struct{}
	// isolated says that this instance gets heartbeats from too few others to be sure that only it admits requests to
	// its servers.
	isolated bool
	// refreshedAt is when refreshControlled last made pools anew.
	refreshedAt time.Time
}

func newAdmissions(n *Node) *admissions {
	return &admissions{
		node: n, controllers: map[string]*admit.Controller{}, pools: newPools(n.settings.Name, n.settings.Domain), queued: make(chan struct{}, 1),
		client: newAdmissionClient(n.port.Send, n.controllerUnreachable, n.settings.CPUShare, n.settings.LinkMbps),
	}
}

// run calls tick until the context ends, more often while requests are queued.
func (ad *admissions) run(ctx context.Context) error {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ad.queued:
		case <-ctx.Done():
			return ctx.Err()
		}
		if ad.tick() {
			timer.Reset(tickInterval)
		} else {
			timer.Reset(idleTickInterval)
		}
	}
}

// wake makes run tick at once because a request was queued.
func (ad *admissions) wake() { signalOnce(ad.queued) }

// tick advances all controllers, rechecks admissions that are in use for long, and reports whether requests are
// queued.
func (ad *admissions) tick() (waiting bool) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	now := time.Now()
	ad.isolated = !ad.node.roster.MajorityAlive(now)
	ad.refreshControlled(now)
	for pool, c := range ad.controllers {
		if !c.Idle() {
			ad.deliver(c.Tick(now))
			waiting = true
		}
		for _, id := range c.LongRunning(now) {
			ad.recheck(c, id, now)
		}
		if n := c.Expired(); n > 0 {
			ad.node.events.Record(event.StateChange, "permits-expired", "pool", pool, "count", n)
		}
	}
	return waiting
}

// recheck asks the holder of an admission whether it is still in use, or cancels it if the holder is unreachable. The
// lock is held.
//
// When a failure domain is cut off, its instances hold admissions that they cannot give up. These would occupy free
// slots of servers, and requests would be rejected there.
func (ad *admissions) recheck(c *admit.Controller, id admit.ID, now time.Time) {
	if !ad.node.roster.Reachable(id.From, now) {
		ad.node.events.Record(event.StateChange, "permit-taken-back", "from", id.From, "serial", id.Serial, "reason", "instance-silent")
		ad.deliver(c.Cancel(now, id))
		return
	}
	if to, err := netip.ParseAddrPort(id.From); err == nil {
		ad.node.port.Send(to, dgram.AdmissionCheck{Serial: id.Serial})
	}
}

// controller returns the controller of a pool, or of a service that is divided by key. The lock is held.
func (ad *admissions) controller(pool string) *admit.Controller {
	ad.refreshPools(ad.pools.serviceOf(pool))
	c := ad.controllers[pool]
	if c == nil {
		c = admit.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), ad.node.controllerOptions(ad.pools.serviceOf(pool)))
		ad.controllers[pool] = c
		ad.deliver(c.SetServers(time.Now(), ad.pools.serversOf(pool, ad.node.cluster.servers(), ad.node.cluster.config.Load())))
	}
	return c
}

// setServers updates pools and controllers after a change of servers or services.
func (ad *admissions) setServers() {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	servers, config := ad.node.cluster.servers(), ad.node.cluster.config.Load()
	ad.pools.rebuild(servers, config)
	for pool, c := range ad.controllers {
		ad.deliver(c.SetServers(time.Now(), ad.pools.serversOf(pool, servers, config)))
	}
}

// updateServers updates controllers after a change of some servers. The servers of a service that is divided by key are
// updated one by one; the pools of any other service are made anew when they are next used.
func (ad *admissions) updateServers(changed map[string]struct{}) {
	if len(changed) == 0 {
		return
	}
	ad.mu.Lock()
	defer ad.mu.Unlock()
	servers, config, now := ad.node.cluster.servers(), ad.node.cluster.config.Load(), time.Now()
	for id := range changed {
		s, found := servers.Get(id)
		if !found {
			s.Service = ad.pools.services[id]
		}
		ad.pools.note(id, s, found)
		if !isDivided(config, s.Service) {
			ad.pools.outdated[s.Service] = struct{}{}
		} else if c := ad.controllers[s.Service]; c != nil && found {
			ad.deliver(c.PutServer(now, s))
		} else if c != nil {
			ad.deliver(c.RemoveServer(now, id))
		}
	}
}

// refreshPools makes the pools of a service anew if its servers have changed. The lock is held.
func (ad *admissions) refreshPools(service string) {
	if _, outdated := ad.pools.outdated[service]; !outdated {
		return
	}
	servers, config := ad.node.cluster.servers(), ad.node.cluster.config.Load()
	ad.pools.rebuildService(service, servers)
	for pool, c := range ad.controllers {
		if ad.pools.serviceOf(pool) == service {
			ad.deliver(c.SetServers(time.Now(), ad.pools.serversOf(pool, servers, config)))
		}
	}
}

// maxPoolAge is for how long the controllers of a service may work with servers that have changed.
const maxPoolAge = 200 * time.Millisecond

// refreshControlled makes the pools anew for which this instance has a controller. The lock is held.
func (ad *admissions) refreshControlled(now time.Time) {
	if len(ad.pools.outdated) == 0 || now.Sub(ad.refreshedAt) < maxPoolAge {
		return
	}
	ad.refreshedAt = now
	for pool := range ad.controllers {
		ad.refreshPools(ad.pools.serviceOf(pool))
	}
}

// capacityReport returns what the controller of a service has measured of its servers since the last call.
func (ad *admissions) capacityReport(service string) map[string]admit.Capacity {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	c := ad.controllers[service]
	if c == nil {
		return nil
	}
	return c.ReportCapacity()
}

// workReport returns the number of answers of a service since the last call by bucket of their service times, nil if there
// are none.
func (ad *admissions) workReport(service string) []uint16 {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if c := ad.controllers[service]; c != nil {
		return c.ReportWork()
	}
	return nil
}

// deliver sends decisions to the instances that requested them, or passes them to the own client. The lock is held.
func (ad *admissions) deliver(decisions []admit.Decision) {
	for _, d := range decisions {
		id := admit.IDOf(d)
		m := decisionMessage(d)
		if id.From == "" {
			ad.client.handleDecision(netip.AddrPort{}, m)
			continue
		}
		if to, err := netip.ParseAddrPort(id.From); err == nil {
			ad.node.port.Send(to, m)
		}
	}
}

// decisionMessage returns the message that states a decision.
func decisionMessage(d admit.Decision) dgram.AdmissionDecision {
	m := dgram.AdmissionDecision{Serial: admit.IDOf(d).Serial}
	switch d := d.(type) {
	case admit.Admitted:
		m.Server = d.Server
		m.Returns, m.LastTry, m.Kept = d.Returns, d.LastTry, d.Kept
	case admit.Rejected:
		m.Reason = string(d.Reason)
		m.RetryInMs, m.WaitMs = int(d.RetryIn.Milliseconds()), int(d.Wait.Milliseconds())
		m.Returns, m.LastTry, m.Kept, m.Reserved = d.Returns, d.LastTry, d.Kept, d.Reserved
	case admit.Queued:
	}
	return m
}

// handleRequest answers an admission request of another instance.
func (ad *admissions) handleRequest(from netip.AddrPort, m dgram.AdmissionRequest) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	now := time.Now()
	r := admit.Request{
		ID: admit.ID{From: from.String(), Serial: m.Serial}, Pool: m.Pool, Server: m.Server, Domain: m.Domain,
		Route: m.Route, Priority: m.Priority, Returning: m.Returning, Avoid: m.Avoid, HasFallback: m.HasFallback,
		TargetAt: now.Add(time.Duration(m.TargetInMs) * time.Millisecond),
		Deadline: now.Add(time.Duration(m.DeadlineInMs) * time.Millisecond),
		Caller:   m.Caller, Origin: m.Origin, Retry: m.Retry,
	}
	r.NonExclusive = ad.isolated
	ad.setCharge(&r, now)
	c := ad.controller(m.Pool)
	idle := c.Idle()
	ad.deliver([]admit.Decision{c.Decide(now, r)})
	if idle && !c.Idle() {
		ad.wake()
	}
}

// setCharge sets what a request says about who else may admit requests to the servers that it may use. While the register is
// not known, any number of instances may. The lock is held.
func (ad *admissions) setCharge(r *admit.Request, now time.Time) {
	ranked := ad.node.roster.Rank(r.Pool, ad.pools.domains[r.Pool], now)
	if r.Server != "" {
		ranked = ad.controllersOf(r.Server, now)
	}
	if len(ranked) == 0 {
		r.NonExclusive = true
		return
	}
	r.Standby = ranked[0].Name != ad.node.settings.Name
}

// controllersOf returns the instances that others ask to admit requests to a server, in their order. The lock is held.
func (ad *admissions) controllersOf(server string, now time.Time) []roster.Peer {
	if pool, pooled := ad.pools.poolOf[server]; pooled {
		return ad.node.roster.Rank(pool, ad.pools.domains[pool], now)
	}
	s, _ := ad.node.cluster.servers().Get(server)
	return ad.node.roster.Rank(server, s.Domain, now)
}

// handleCompletion passes the completion of another instance's request to the controller.
func (ad *admissions) handleCompletion(from netip.AddrPort, m dgram.Completion) {
	ad.complete(m.Pool, admit.Completion{
		ID: admit.ID{From: from.String(), Serial: m.Serial}, Server: m.Server, Route: m.Route,
		Outcome: m.Outcome, Took: time.Duration(m.DurationUs) * time.Microsecond, Bytes: m.AnswerBytes,
		Load: admit.Load{
			Running: m.Running, Waiting: m.Waiting, Known: m.LoadKnown, Slowdown: float64(m.Slowdown) / slowdownScale,
		},
		Limit: stated.Limit{Known: m.LimitKnown, Rate: m.Limit},
	})
}

// complete passes a completion to the controller of this instance, and notes the limit that the server has stated.
func (ad *admissions) complete(pool string, done admit.Completion) {
	ad.mu.Lock()
	c, now := ad.controller(pool), time.Now()
	admittedAt, admitted := c.AdmittedAt(done.ID)
	ad.deliver(c.Complete(now, done))
	ad.mu.Unlock()
	if admitted {
		ad.node.observeLimit(done, admittedAt, now)
	}
}

// rest passes to the controller of a server that the server wants no requests of an instance until a time. An empty name
// stands for this instance, which may have no such controller.
func (ad *admissions) rest(from, server string, until time.Time) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	pool, pooled := ad.pools.poolOf[server]
	if !pooled {
		s, _ := ad.node.cluster.servers().Get(server)
		pool = s.Service
	}
	if from != "" || ad.controllers[pool] != nil {
		ad.deliver(ad.controller(pool).Rest(time.Now(), from, server, until))
	}
}

// restsUntil returns the servers that rest for all instances, as far as the controllers of this instance know, and until
// when.
func (ad *admissions) restsUntil(now time.Time) map[string]time.Time {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	out := map[string]time.Time{}
	for _, c := range ad.controllers {
		maps.Copy(out, c.RestsUntil(now))
	}
	return out
}

// handleCancel cancels an admission of another instance, in all pools if the message names none.
func (ad *admissions) handleCancel(from netip.AddrPort, m dgram.Cancel) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	id := admit.ID{From: from.String(), Serial: m.Serial}
	for pool, c := range ad.controllers {
		if m.Pool == "" || m.Pool == pool {
			ad.deliver(c.Cancel(time.Now(), id))
		}
	}
}

// admission is the right to send one request to a server. It implements edge.Admission.
type admission struct {
	admissions *admissions
	serial     uint64
	pool       string
	route      string
	server     string
	// controller is the address of the instance that admitted the request; the zero value stands for this one.
	controller netip.AddrPort
	earlier    admit.Earlier
}

// Earlier returns what the controller knows of earlier tries of the request.
func (a *admission) Earlier() admit.Earlier { return a.earlier }

// Server returns the id of the server to send the request to.
func (a *admission) Server() string { return a.server }

// Complete reports the completion of the request to the controller, twice if that is remote: a lost completion would
// occupy a slot. The second message leaves out the load, which is no longer current.
func (a *admission) Complete(d admit.Completion) {
	defer a.admissions.client.close(a.serial)
	d.ID, d.Server, d.Route = admit.ID{Serial: a.serial}, a.server, a.route
	if d.Outcome == admit.Full || d.Outcome == admit.Failed {
		a.admissions.node.loadTracker.rejected(a.pool)
	}
	a.restateRest(d.Outcome)
	if !a.controller.IsValid() {
		a.admissions.complete(a.pool, d)
		return
	}
	now := time.Now()
	a.admissions.node.observeLimit(d, now.Add(-d.Took), now)
	m := dgram.Completion{
		Serial: a.serial, Pool: a.pool, Server: a.server, Route: a.route, Outcome: d.Outcome,
		DurationUs: int(d.Took.Microseconds()), AnswerBytes: d.Bytes,
		Running: d.Load.Running, Waiting: d.Load.Waiting, LoadKnown: d.Load.Known,
		Slowdown: int(d.Load.Slowdown * slowdownScale),
		Limit:    d.Limit.Rate, LimitKnown: d.Limit.Known,
	}
	a.admissions.node.port.Send(a.controller, m)
	m.LoadKnown, m.LimitKnown = false, false
	time.AfterFunc(completionResendDelay, func() { a.admissions.node.port.Send(a.controller, m) })
}

// restateRest tells the controller again that the server wants no requests of this instance, if that is why the request was
// not sent: the controller has not heard it.
func (a *admission) restateRest(outcome admit.Outcome) {
	if outcome != admit.Unsent {
		return
	}
	n, now := a.admissions.node, time.Now()
	until := n.RestUntil(a.server)
	switch {
	case !now.Before(until):
	case a.controller.IsValid():
		n.port.Send(a.controller, restMessage(a.server, until, dgram.AskedSender)(now))
	default:
		a.admissions.rest("", a.server, until)
	}
}

// Acquire implements edge.Admitter. A request with an owner is decided by the controller of that server; others try
// the pools of the service in turn until one has room.
func (ad *admissions) Acquire(ctx context.Context, r admit.Request, domain string) (edge.Admission, *admit.Rejected) {
	if r.Server != "" {
		r.Pool, r.Domain = r.Service, ad.node.settings.Domain
		return ad.requestFrom(ctx, r, r.Server, domain)
	}
	candidates := ad.candidates(r.Service)
	for i, pool := range candidates {
		r.Pool, r.HasFallback, r.Domain = pool.Name, i < len(candidates)-1, ad.node.settings.Domain
		if pool.Domain != "" {
			r.Domain = pool.Domain
		}
		admitted, rejected := ad.requestFrom(ctx, r, pool.Name, pool.Domain)
		if rejected == nil || !r.HasFallback || rejected.Reason != admit.PoolBusy {
			return admitted, rejected
		}
		ad.markBusy(pool, rejected.Wait)
	}
	return nil, &admit.Rejected{Reason: admit.NoServer}
}

// candidates returns the pools that a request should try in turn.
func (ad *admissions) candidates(service string) []admit.Pool {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.refreshPools(service)
	return ad.pools.picker(service).Candidates(time.Now())
}

// markBusy records that a pool has no room for a time, so that other requests try another pool first.
func (ad *admissions) markBusy(pool admit.Pool, wait time.Duration) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.pools.picker(pool.Service).MarkBusy(pool.Name, wait, time.Now())
}

// requestFrom asks the instances that are responsible for a pool or a server in turn, and decides locally if this
// instance is one of them or they do not answer.
func (ad *admissions) requestFrom(ctx context.Context, r admit.Request, name, domain string) (edge.Admission, *admit.Rejected) {
	for i, controller := range ad.node.roster.Rank(name, domain, time.Now()) {
		if i == maxControllersTried {
			r.NonExclusive = true
			break
		}
		if controller.Name == ad.node.settings.Name {
			break
		}
		if to, ok := peerAddress(controller); ok {
			if m, answered := ad.client.request(ctx, r, controller, to); answered {
				return ad.result(r, m, to)
			}
		}
		if ctx.Err() != nil {
			return nil, &admit.Rejected{Reason: admit.Overload}
		}
	}
	return ad.result(r, ad.requestLocally(ctx, r), netip.AddrPort{})
}

// result converts a final decision to an admission or a rejection.
func (ad *admissions) result(r admit.Request, m dgram.AdmissionDecision, controller netip.AddrPort) (edge.Admission, *admit.Rejected) {
	earlier := admit.Earlier{Returns: m.Returns, LastTry: m.LastTry, Kept: m.Kept}
	if m.Server != "" {
		return &admission{admissions: ad, serial: m.Serial, pool: r.Pool, route: r.Route, server: m.Server, controller: controller, earlier: earlier}, nil
	}
	reason := admit.Reason(m.Reason)
	if reason == "" {
		reason = admit.Overload
	}
	ad.node.loadTracker.rejected(r.Service)
	return nil, &admit.Rejected{
		Pool: r.Pool, Reason: reason, RetryIn: time.Duration(m.RetryInMs) * time.Millisecond, Wait: time.Duration(m.WaitMs) * time.Millisecond,
		Reserved: m.Reserved, Earlier: earlier,
	}
}

// requestLocally requests an admission from this instance's own controller and waits for the final decision.
func (ad *admissions) requestLocally(ctx context.Context, r admit.Request) dgram.AdmissionDecision {
	serial, decisions := ad.client.open()
	r.ID = admit.ID{Serial: serial}
	ad.mu.Lock()
	r.NonExclusive = r.NonExclusive || ad.isolated
	ad.setCharge(&r, time.Now())
	m := decisionMessage(ad.controller(r.Pool).Decide(time.Now(), r))
	ad.mu.Unlock()
	if !isFinal(m) {
		ad.wake()
	}
	for !isFinal(m) {
		select {
		case m = <-decisions:
		case <-ctx.Done():
			ad.mu.Lock()
			ad.deliver(ad.controller(r.Pool).Cancel(time.Now(), r.ID))
			ad.mu.Unlock()
			m = dgram.AdmissionDecision{Reason: string(admit.Overload)}
		}
	}
	if m.Server == "" {
		ad.client.close(serial)
	}
	return m
}
