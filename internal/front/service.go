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

// tick is how often waiting requests are looked at when nothing else happens.
const tick = 50 * time.Millisecond

// service is one service at this instance: the policy core with what waits on it.
type service struct {
	front    *Front
	name     string
	recalls  singleflight.Group
	mu       sync.Mutex
	core     *policy.Core
	waiters  map[policy.Ticket]chan policy.Decision
	servers  map[string]*upstr.Client
	recalled map[shard]recallState
	// epochs holds the header forms of the newest epochs of servers.
	epochs sync.Map
	// ticking says that a tick is set.
	ticking bool
	// capacity is reused by configure.
	capacity []policy.Server
}

func newService(f *Front, name string) *service {
	return &service{
		front: f, name: name,
		core:     policy.NewCore(name, f.deps.Bounds, f.origin.UnixMilli()),
		waiters:  make(map[policy.Ticket]chan policy.Decision),
		servers:  make(map[string]*upstr.Client),
		recalled: make(map[shard]recallState),
	}
}

// poolOf names the servers that share a queue.
func poolOf(d route.Local) string {
	if d.Service.Divided && len(d.Servers) == 1 {
		return d.Servers[0].Server.Name
	}
	return ""
}

// recollect asks the memory about a request.
func (s *service) recollect(r *policy.Request) policy.CheckResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.CheckIdempotency(s.front.now(), r)
}

// acquire waits for a slot. The verdict is not Wait, and the second result says whether the
// request waited. An error is the context's, or errDeadline; the request then did not run.
func (s *service) acquire(ctx context.Context, r *policy.Request, d route.Local) (policy.Decision, bool, error) {
	s.mu.Lock()
	s.configure(r.Pool, d)
	verdicts := s.core.Admit(s.front.now(), r)
	first := verdicts[0]
	if _, waits := first.(policy.Queued); !waits {
		s.tell(verdicts[1:])
		s.mu.Unlock()
		return first, false, nil
	}
	mine := make(chan policy.Decision, 1)
	s.waiters[r.Ticket] = mine
	s.tell(verdicts[1:])
	s.setTick()
	s.mu.Unlock()
	v, err := s.await(ctx, r, mine)
	return v, true, err
}

func (s *service) await(ctx context.Context, r *policy.Request, mine chan policy.Decision) (policy.Decision, error) {
	expired := time.NewTimer(r.Deadline.Until(s.front.now()))
	defer expired.Stop()
	var err error
	select {
	case v := <-mine:
		return v, nil
	case <-ctx.Done():
		err = context.Cause(ctx)
	case <-expired.C:
		err = errDeadline
	}
	s.mu.Lock()
	left := s.core.Dequeue(r)
	delete(s.waiters, r.Ticket)
	s.mu.Unlock()
	if left {
		return nil, err
	}
	if v, started := (<-mine).(policy.Admitted); started {
		s.withdraw(r, v.Server)
	}
	return nil, err
}

// withdraw gives back the slot of a request that did not run.
func (s *service) withdraw(r *policy.Request, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Cancel(r)
	s.tell(s.core.Release(s.front.now(), s.core.SlotOf(r, server), 0))
}

// freed gives a slot back.
func (s *service) freed(slot policy.Slot, ran time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(s.core.Release(s.front.now(), slot, ran))
}

// tell passes verdicts to the waiting requests. The caller holds mu.
func (s *service) tell(verdicts []policy.Decision) {
	for _, v := range verdicts {
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

// setTick has the waiting requests looked at after a while. The caller holds mu.
func (s *service) setTick() {
	if s.ticking {
		return
	}
	s.ticking = true
	time.AfterFunc(tick, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ticking = false
		s.tell(s.core.Advance(s.front.now()))
		if s.core.Waiting() > 0 {
			s.setTick()
		}
	})
}

// configure follows the bundle. The caller holds mu.
func (s *service) configure(pool string, d route.Local) {
	s.capacity = s.capacity[:0]
	for _, t := range d.Servers {
		if t.Server.Leaving {
			continue
		}
		c := policy.Server{Name: t.Server.Name, Slots: max(t.Server.Slots, 1)}
		if s.front.deps.Hint != nil && len(d.Servers) > 1 {
			c.LoadHint = s.front.deps.Hint(s.name, t.Server.Name)
		}
		s.capacity = append(s.capacity, c)
	}
	s.tell(s.core.Configure(s.front.now(), pool, d.Service.Limits, s.capacity))
}

// epochForm is an epoch with its header form.
type epochForm struct {
	epoch grant.Epoch
	text  []string
}

// epochOf returns the header form of a target's epoch, which few requests see change.
func (s *service) epochOf(t route.Target) []string {
	if known, found := s.epochs.Load(t.Server.Name); found {
		if form := known.(*epochForm); form.epoch == t.Epoch {
			return form.text
		}
	}
	form := &epochForm{epoch: t.Epoch, text: []string{epochText(t.Epoch)}}
	s.epochs.Store(t.Server.Name, form)
	return form.text
}

// connections returns the connections to a server, new ones if its settings changed.
func (s *service) connections(b *bundle.Server) *upstr.Client {
	settings := upstr.Settings{
		Name: b.Name, Address: b.Address, MaxConns: b.Connections, Slots: max(b.Slots, 1),
		SilenceTimeout: s.front.deps.Patience,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.servers[b.Name]
	if known != nil && known.HasSettings(settings) {
		return known
	}
	if known != nil {
		s.front.inFlight.begin()
		go func() {
			defer s.front.inFlight.end()
			known.Close()
		}()
	}
	fresh := upstr.NewClient(settings)
	s.servers[b.Name] = fresh
	return fresh
}

// unrecall drops what was recalled for a server.
func (s *service) unrecall(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.recalled {
		if k.server == server || k.server == "" {
			delete(s.recalled, k)
		}
	}
}

// move lets the requests that wait for a server go on to its new gate.
func (s *service) move(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server != "" {
		s.tell(s.core.DequeuePool(server))
	}
}

// cut closes the connections to a server at once.
func (s *service) cut(server string) {
	s.mu.Lock()
	connections := s.servers[server]
	s.mu.Unlock()
	if connections != nil {
		connections.CloseConns()
	}
}

// close ends the connections to all servers.
func (s *service) close() {
	s.mu.Lock()
	servers := s.servers
	s.servers = make(map[string]*upstr.Client)
	s.mu.Unlock()
	for _, server := range servers {
		server.Close()
	}
}

// adopt takes in a mark. It reports false when there is no room.
func (s *service) adopt(m policy.IdempotencyRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.AddRecord(s.front.now(), m)
}
