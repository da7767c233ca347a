package holder

import (
	"context"
	"errors"
	"sync"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// renewer renews the grants of one server. One order is on its way at a time.
type renewer struct {
	holder *Manager
	server rules.Server

	// sending holds one element while an order is on its way.
	sending chan struct{}

	mu       sync.Mutex
	cancel   context.CancelFunc
	busy     bool
	dueAt    time.Time
	failures int
	// fencedAt is since when the server answers that it has seen a higher fence, zero if it does not.
	fencedAt clock.Instant
	// renewedAt is when the server last answered.
	renewedAt time.Time
}

// failing reports whether the server does not answer. A server that is not tried any more,
// since it has lost its keys, counts as answering again after a while.
func (r *renewer) failing(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures >= failuresMost && now.Sub(r.dueAt) < failingTime
}

// idle reports whether no order is or will be on its way.
func (r *renewer) idle() bool {
	r.mu.Lock()
	busy := r.busy
	r.mu.Unlock()
	return !busy && len(r.sending) == 0
}

// due reports whether the server's grants are to be renewed, and if so marks it as busy.
func (r *renewer) due(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy || now.Before(r.dueAt) {
		return false
	}
	r.busy = true
	r.dueAt = now.Add(renewEvery)
	return true
}

// round renews all grants of the server once.
func (r *renewer) round(ctx context.Context) {
	defer func() {
		r.mu.Lock()
		r.busy = false
		r.mu.Unlock()
	}()
	done := make(map[uint16]bool)
	for {
		service, g, ok := r.next(done)
		if !ok || ctx.Err() != nil {
			return
		}
		done[g.From] = true
		err := r.renew(ctx, service, g)
		if errors.Is(err, context.Canceled) {
			return
		}
		if !r.note(err) {
			return
		}
	}
}

// next returns a grant of the server that this round has not renewed yet.
func (r *renewer) next(done map[uint16]bool) (string, shard.Range, bool) {
	for service, m := range r.holder.know.get().Maps {
		if service != r.server.Service {
			continue
		}
		for _, g := range m.Ranges {
			if g.Server == r.server.ID && len(g.FormerOwners) == 0 && !done[g.From] {
				return service, g, true
			}
		}
	}
	return "", shard.Range{}, false
}

// errStale says that the right to renew cannot be proved any more.
var errStale = errors.New("holder: knowledge of the owner is too old")

// renew renews one grant.
func (r *renewer) renew(ctx context.Context, service string, g shard.Range) error {
	order := Grant{From: g.From, To: g.To, Fence: g.Fence, Lease: leaseTime}
	return r.send(ctx, order, false, func() bool { return r.stands(service, g) })
}

// send sends a grant, if it still stands at the last moment before. First says that nobody can have
// granted these keys by this fence before.
func (r *renewer) send(ctx context.Context, g Grant, first bool, stands func() bool) error {
	r.sending <- struct{}{}
	defer func() { <-r.sending }()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r.mu.Lock()
	r.cancel = cancel
	r.mu.Unlock()
	if !stands() {
		return context.Canceled
	}
	if !r.holder.entitled() {
		return errStale
	}
	proven := func(ctx context.Context, openedAt clock.Instant) error {
		if err := r.holder.prove(ctx, r.server.ID, openedAt, first); err != nil {
			return err
		}
		if !stands() {
			return context.Canceled
		}
		return nil
	}
	return r.holder.LeaseClient.Grant(ctx, shard.Owner{Server: r.server.ID, Address: r.server.Address}, g, proven)
}

// entitled reports whether the instance may act on what it knows of the owners: it is
// registered, and the knowledge is fresh.
func (h *Manager) entitled() bool {
	if h.guards.registering && !h.know.get().registered(h.Name, h.Incarnation) {
		return false
	}
	if !h.guards.knowing {
		return true
	}
	now, contactTime := h.Clock.Now(), h.Roster.ContactTimeout()
	return h.know.fresh(now, contactTime, func() bool {
		return !h.guards.contact || h.Roster.MajorityAgrees(int64(now.Add(-contactTime)), h.know.get().End)
	})
}

// stands reports whether a range is still a part of the owners.
func (r *renewer) stands(service string, g shard.Range) bool {
	m := r.holder.know.get().Maps[service]
	if m == nil {
		return false
	}
	i := m.Find(g.From)
	return i >= 0 && m.Ranges[i].Server == g.Server && m.Ranges[i].Fence == g.Fence &&
		m.Ranges[i].To == g.To && len(m.Ranges[i].FormerOwners) == 0
}

// stop ends the order that is on its way, so that what follows can be sure that none is.
func (r *renewer) stop() {
	r.mu.Lock()
	cancel := r.cancel
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	r.sending <- struct{}{}
	<-r.sending
}

// note takes in how a renewal ended, and reports whether the round goes on.
func (r *renewer) note(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.holder
	if errors.Is(err, ErrFenced) && !r.outdone() {
		return true
	}
	switch {
	case err == nil:
		if r.failures >= failuresMost {
			h.Events.Note(event.Belief, "server-regained", "server", r.server.ID, "silent-for", time.Since(r.renewedAt))
			h.SendHeartbeat()
		}
		r.failures, r.fencedAt, r.renewedAt = 0, 0, time.Now()
		return true
	case errors.Is(err, errStale), errors.Is(err, ErrUnverified):
		if errors.Is(err, ErrUnverified) {
			r.dueAt = time.Now().Add(tickEvery)
		}
		h.Events.Note(event.Belief, "renewal-withheld", "server", r.server.ID, "reason", err,
			"knowledge-age", time.Duration(h.know.age(h.Clock.Now())))
		return false
	}
	r.failures++
	h.Events.Note(event.Belief, "renewal-failed", "server", r.server.ID, "failures", r.failures, "error", err)
	if r.failures == failuresMost {
		h.SendHeartbeat()
	}
	if r.failures < failuresMost {
		// A lost answer is made good at once: the lease goes on running out.
		r.dueAt = time.Now().Add(tickEvery)
	}
	return r.failures < failuresMost
}

// fencedTime is how long the record of a move may take to whoever renews.
const fencedTime = time.Second

// outdone reports whether a server goes on refusing for a higher fence although what is known of the owners is
// younger than its first such answer, so that it cannot be a record on its way; the lock is held.
//
// It guards against taking a server for lost that answers: a plan releases keys while its record is on its way
// to hundreds of instances, and who renews by the record before is refused. Counted as failures, two such
// answers cost the server its keys, and the plan for those makes more of them.
func (r *renewer) outdone() bool {
	h := r.holder
	if r.fencedAt == 0 {
		r.fencedAt = h.Clock.Now()
		h.Events.Note(event.Belief, "renewal-fenced", "server", r.server.ID,
			"knowledge-age", time.Duration(h.know.age(h.Clock.Now())))
	}
	return h.know.provenSince(r.fencedAt.Add(fencedTime))
}
