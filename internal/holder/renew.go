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
	manager *Manager
	server  rules.Server

	// sending holds one element while an order is on its way.
	sending chan struct{}

	mu       sync.Mutex
	cancel   context.CancelFunc
	busy     bool
	dueAt    time.Time
	failures int
	// fencedSince is since when the server answers that it has seen a higher fence, zero if it does not.
	fencedSince clock.Instant
	// answeredAt is when the server last answered.
	answeredAt time.Time
}

// failing reports whether the server does not answer. A server that is not tried any more,
// since it has lost its keys, counts as answering again after a while.
func (r *renewer) failing(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures >= maxRenewalFailures && now.Sub(r.dueAt) < failingTimeout
}

// idle reports whether no order is or will be on its way.
func (r *renewer) idle() bool {
	r.mu.Lock()
	busy := r.busy
	r.mu.Unlock()
	return !busy && len(r.sending) == 0
}

// tryBegin reports whether the server's grants are to be renewed, and if so marks it as busy.
func (r *renewer) tryBegin(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy || now.Before(r.dueAt) {
		return false
	}
	r.busy = true
	r.dueAt = now.Add(renewInterval)
	return true
}

// renewAll renews all grants of the server once.
func (r *renewer) renewAll(ctx context.Context) {
	defer func() {
		r.mu.Lock()
		r.busy = false
		r.mu.Unlock()
	}()
	done := make(map[uint16]bool)
	for {
		service, g, ok := r.nextRange(done)
		if !ok || ctx.Err() != nil {
			return
		}
		done[g.From] = true
		err := r.renew(ctx, service, g)
		if errors.Is(err, context.Canceled) {
			return
		}
		if !r.recordResult(err) {
			return
		}
	}
}

// nextRange returns a grant of the server that this round has not renewed yet.
func (r *renewer) nextRange(done map[uint16]bool) (string, shard.Range, bool) {
	for service, m := range r.manager.view.get().Maps {
		if service != r.server.Service {
			continue
		}
		for _, g := range m.Ranges {
			if g.Server == r.server.ID && len(g.Before) == 0 && !done[g.From] {
				return service, g, true
			}
		}
	}
	return "", shard.Range{}, false
}

// errStaleView says that the right to renew cannot be proved any more.
var errStaleView = errors.New("holder: knowledge of the owner is too old")

// renew renews one grant.
func (r *renewer) renew(ctx context.Context, service string, g shard.Range) error {
	order := Grant{From: g.From, To: g.To, Fence: g.Fence, Lease: leaseDuration}
	return r.send(ctx, order, false, func() bool { return r.stillOwned(service, g) })
}

// send sends a grant, if it still stands at the last moment before. First says that nobody can have
// granted these keys by this fence before.
func (r *renewer) send(ctx context.Context, g Grant, first bool, stands func() bool) error {
	r.sending <- struct{}{}
	defer func() { <-r.sending }()
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	r.mu.Lock()
	r.cancel = cancel
	r.mu.Unlock()
	if !stands() {
		return context.Canceled
	}
	if !r.manager.mayAct() {
		return errStaleView
	}
	proven := func(ctx context.Context, openedAt clock.Instant) error {
		if err := r.manager.awaitVerified(ctx, r.server.ID, openedAt, first); err != nil {
			return err
		}
		if !stands() {
			return context.Canceled
		}
		return nil
	}
	return r.manager.LeaseClient.Grant(ctx, shard.Holder{Server: r.server.ID, Address: r.server.Address}, g, proven)
}

// mayAct reports whether the instance may act on what it knows of the owners: it is
// registered, and the knowledge is fresh.
func (lm *Manager) mayAct() bool {
	if lm.guards.requireRegistration && !lm.view.get().registered(lm.Name, lm.Incarnation) {
		return false
	}
	if !lm.guards.requireFreshView {
		return true
	}
	now, contactTime := lm.Clock.Now(), lm.Roster.ContactTime()
	return lm.view.fresh(now, contactTime, func() bool {
		return !lm.guards.requireMajority || lm.Roster.Contact(int64(now.Add(-contactTime)), lm.view.get().End)
	})
}

// stillOwned reports whether a range is still a part of the owners.
func (r *renewer) stillOwned(service string, g shard.Range) bool {
	m := r.manager.view.get().Maps[service]
	if m == nil {
		return false
	}
	i := m.Find(g.From)
	return i >= 0 && m.Ranges[i].Server == g.Server && m.Ranges[i].Fence == g.Fence &&
		m.Ranges[i].To == g.To && len(m.Ranges[i].Before) == 0
}

// cancelAndWait ends the order that is on its way, so that what follows can be sure that none is.
func (r *renewer) cancelAndWait() {
	r.mu.Lock()
	cancel := r.cancel
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	r.sending <- struct{}{}
	<-r.sending
}

// recordResult takes in how a renewal ended, and reports whether the round goes on.
func (r *renewer) recordResult(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lm := r.manager
	if errors.Is(err, ErrFenced) && !r.persistentlyFenced() {
		return true
	}
	switch {
	case err == nil:
		if r.failures >= maxRenewalFailures {
			lm.Events.Note(event.Belief, "server-regained", "server", r.server.ID, "silent-for", time.Since(r.answeredAt))
			lm.SendHeartbeat()
		}
		r.failures, r.fencedSince, r.answeredAt = 0, 0, time.Now()
		return true
	case errors.Is(err, errStaleView), errors.Is(err, ErrUnverified):
		if errors.Is(err, ErrUnverified) {
			r.dueAt = time.Now().Add(tickInterval)
		}
		lm.Events.Note(event.Belief, "renewal-withheld", "server", r.server.ID, "reason", err,
			"knowledge-age", time.Duration(lm.view.age(lm.Clock.Now())))
		return false
	}
	r.failures++
	lm.Events.Note(event.Belief, "renewal-failed", "server", r.server.ID, "failures", r.failures, "error", err)
	if r.failures == maxRenewalFailures {
		lm.SendHeartbeat()
	}
	if r.failures < maxRenewalFailures {
		// A lost answer is made good at once: the lease goes on running out.
		r.dueAt = time.Now().Add(tickInterval)
	}
	return r.failures < maxRenewalFailures
}

// maxRecordDelay is how long the record of a move may take to whoever renews.
const maxRecordDelay = time.Second

// persistentlyFenced reports whether a server goes on refusing for a higher fence although what is known of the owners is
// younger than its first such answer, so that it cannot be a record on its way; the lock is held.
//
// It guards against taking a server for lost that answers: a plan releases keys while its record is on its way
// to hundreds of instances, and who renews by the record before is refused. Counted as failures, two such
// answers cost the server its keys, and the plan for those makes more of them.
func (r *renewer) persistentlyFenced() bool {
	lm := r.manager
	if r.fencedSince == 0 {
		r.fencedSince = lm.Clock.Now()
		lm.Events.Note(event.Belief, "renewal-fenced", "server", r.server.ID,
			"knowledge-age", time.Duration(lm.view.age(lm.Clock.Now())))
	}
	return lm.view.currentAt(r.fencedSince.Add(maxRecordDelay))
}
