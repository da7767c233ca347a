package front

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"example.org/mustardring/internal/policy"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/internal/upstr"
	"example.org/mustardring/pkg/bundle"
	"example.org/mustardring/pkg/grant"
)

// advanceInterval is how often Core.Advance is called while requests are queued.
const advanceInterval = 50 * time.Millisecond

// service is the state of one service at this instance: its policy core, the queued requests and
// the connections to its servers.
type service struct {
	front      *Front
	name       string
	recoveries singleflight.Group
	mu         sync.Mutex
	core       *policy.Core
	waiters    map[policy.Ticket]chan policy.Decision
	clients    map[string]*upstr.Client
	recovered  map[shard]recoveryState
	// epochTexts maps the name of a server to the *epochEntry of its newest epoch.
	epochTexts sync.Map
	// advanceScheduled says that a timer will call Core.Advance.
	advanceScheduled bool
	// policyServers is a buffer that configure reuses.
	policyServers []policy.Server
}

func newService(f *Front, name string) *service {
	return &service{
		front: f, name: name,
		core:      policy.NewCore(name, f.deps.TableLimits, f.clockStart.UnixMilli()),
		waiters:   make(map[policy.Ticket]chan policy.Decision),
		clients:   make(map[string]*upstr.Client),
		recovered: make(map[shard]recoveryState),
	}
}

// poolOf returns the name of the pool, the servers that share a queue. In a divided service each
// server is a pool of its own; otherwise all servers of the service are the pool "".
func poolOf(d route.Local) string {
	if d.Service.Divided && len(d.Servers) == 1 {
		return d.Servers[0].Server.Name
	}
	return ""
}

// checkIdempotency looks a request up in the idempotency table. See Core.CheckIdempotency.
func (s *service) checkIdempotency(r *policy.Request) policy.CheckResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.CheckIdempotency(s.front.now(), r)
}

// acquire waits for a slot. The decision is never Queued; the second result says whether the
// request was queued. An error is the context's or errDeadline, and the request did not run then.
func (s *service) acquire(ctx context.Context, r *policy.Request, d route.Local) (policy.Decision, bool, error) {
	s.mu.Lock()
	s.configure(r.Pool, d)
	decisions := s.core.Admit(s.front.now(), r)
	first := decisions[0]
	if _, waits := first.(policy.Queued); !waits {
		s.deliver(decisions[1:])
		s.mu.Unlock()
		return first, false, nil
	}
	decided := make(chan policy.Decision, 1)
	s.waiters[r.Ticket] = decided
	s.deliver(decisions[1:])
	s.scheduleAdvance()
	s.mu.Unlock()
	v, err := s.awaitDecision(ctx, r, decided)
	return v, true, err
}

func (s *service) awaitDecision(ctx context.Context, r *policy.Request, decided chan policy.Decision) (policy.Decision, error) {
	expired := time.NewTimer(r.Deadline.Until(s.front.now()))
	defer expired.Stop()
	var err error
	select {
	case v := <-decided:
		return v, nil
	case <-ctx.Done():
		err = context.Cause(ctx)
	case <-expired.C:
		err = errDeadline
	}
	s.mu.Lock()
	dequeued := s.core.Dequeue(r)
	delete(s.waiters, r.Ticket)
	s.mu.Unlock()
	if dequeued {
		return nil, err
	}
	if v, admitted := (<-decided).(policy.Admitted); admitted {
		s.cancelAndRelease(r, v.Server)
	}
	return nil, err
}

// cancelAndRelease cancels an admitted request that was not sent, and releases its slot.
func (s *service) cancelAndRelease(r *policy.Request, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Cancel(r)
	s.deliver(s.core.Release(s.front.now(), s.core.SlotOf(r, server), 0))
}

// release gives back a slot after a request that ran for the given time, zero if it did not run.
func (s *service) release(slot policy.Slot, ran time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.core.Release(s.front.now(), slot, ran))
}

// deliver passes decisions to the queued requests. The caller holds mu.
func (s *service) deliver(decisions []policy.Decision) {
	for _, v := range decisions {
		var t policy.Ticket
		switch v := v.(type) {
		case policy.Admitted:
			t = v.Ticket
		case policy.Rejected:
			t = v.Ticket
		case policy.Moved:
			t = v.Ticket
		case policy.Queued, policy.CheckFailed:
			continue
		}
		if waiter := s.waiters[t]; waiter != nil {
			delete(s.waiters, t)
			waiter <- v
		}
	}
}

// scheduleAdvance calls Core.Advance every advanceInterval until no request is queued. The caller
// holds mu.
func (s *service) scheduleAdvance() {
	if s.advanceScheduled {
		return
	}
	s.advanceScheduled = true
	time.AfterFunc(advanceInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advanceScheduled = false
		s.deliver(s.core.Advance(s.front.now()))
		if s.core.Waiting() > 0 {
			s.scheduleAdvance()
		}
	})
}

// configure passes the servers of a pool and the limits of the service to the policy core, except
// for servers that are leaving. The caller holds mu.
func (s *service) configure(pool string, d route.Local) {
	s.policyServers = s.policyServers[:0]
	for _, t := range d.Servers {
		if t.Server.Leaving {
			continue
		}
		c := policy.Server{Name: t.Server.Name, Slots: max(t.Server.Slots, 1)}
		if s.front.deps.LoadHint != nil && len(d.Servers) > 1 {
			c.LoadHint = s.front.deps.LoadHint(s.name, t.Server.Name)
		}
		s.policyServers = append(s.policyServers, c)
	}
	s.deliver(s.core.Configure(s.front.now(), pool, d.Service.Limits, s.policyServers))
}

// epochEntry is an epoch and its value in the epoch header.
type epochEntry struct {
	epoch grant.Epoch
	text  []string
}

// epochHeader returns the epoch of a target as a header value. The value is cached, because epochs
// change rarely.
func (s *service) epochHeader(t route.Target) []string {
	if cached, found := s.epochTexts.Load(t.Server.Name); found {
		if entry := cached.(*epochEntry); entry.epoch == t.Epoch {
			return entry.text
		}
	}
	entry := &epochEntry{epoch: t.Epoch, text: []string{epochText(t.Epoch)}}
	s.epochTexts.Store(t.Server.Name, entry)
	return entry.text
}

// client returns the client of a server. If the settings of the server changed, it makes a new
// client and closes the old one in the background.
func (s *service) client(b *bundle.Server) *upstr.Client {
	settings := upstr.Settings{
		Name: b.Name, Address: b.Address, MaxConns: b.Connections, Slots: max(b.Slots, 1),
		SilenceTimeout: s.front.deps.SilenceTimeout,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.clients[b.Name]
	if current != nil && current.HasSettings(settings) {
		return current
	}
	if current != nil {
		s.front.inFlight.begin()
		go func() {
			defer s.front.inFlight.end()
			current.Close()
		}()
	}
	fresh := upstr.NewClient(settings)
	s.clients[b.Name] = fresh
	return fresh
}

// dropRecovered forgets that records were recovered for a server, so that they are recovered again.
// Shards of services that are not divided do not name a server, and are dropped as well.
func (s *service) dropRecovered(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sh := range s.recovered {
		if sh.server == server || sh.server == "" {
			delete(s.recovered, sh)
		}
	}
}

// dequeueMoved removes the requests that are queued for a server, which are then routed to its new
// gate.
func (s *service) dequeueMoved(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server != "" {
		s.deliver(s.core.DequeuePool(server))
	}
}

// closeConns closes the connections to a server at once, also those in use.
func (s *service) closeConns(server string) {
	s.mu.Lock()
	client := s.clients[server]
	s.mu.Unlock()
	if client != nil {
		client.CloseConns()
	}
}

// close closes the clients of all servers.
func (s *service) close() {
	s.mu.Lock()
	clients := s.clients
	s.clients = make(map[string]*upstr.Client)
	s.mu.Unlock()
	for _, c := range clients {
		c.Close()
	}
}

// addRecord adds an idempotency record. It returns false if the table is full.
func (s *service) addRecord(rec policy.IdempotencyRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.AddRecord(s.front.now(), rec)
}
