package lease

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"example.org/mustardring/internal/clock"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/rules"
	"example.org/mustardring/internal/shard"
)

// renewer renews the leases of one server. It sends one grant at a time.
type renewer struct {
	manager *Manager
	server  rules.Server

	// sending holds one element while a grant is being sent, and until it is answered or canceled.
	sending chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// cancel cancels the last grant, nil before the first one.
	cancel context.CancelFunc
	// busy means that a round of renewals is running, dueAt is when the next one is due.
	busy  bool
	dueAt time.Time
	// failures is the number of consecutive failed renewals.
	failures int
	// fencedSince is when the server began to answer that it has seen a higher fence, zero if it does not.
	fencedSince clock.Instant
	// answeredAt is when the server last answered.
	answeredAt time.Time
	// withheldReason is the reason that was logged last for which no renewal was sent, empty after an answer.
	withheldReason string
	// proof is what is known about the incarnation of the server.
	proof incarnationProof
	// spareError is the error of the last try to open a second connection, empty after a success.
	spareError string
}

// failing reports whether the server does not answer. A server that gets no more renewals because it has lost
// its keys stops counting as failing after failingTimeout.
func (r *renewer) failing(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures >= maxRenewalFailures && now.Sub(r.dueAt) < failingTimeout
}

// idle reports whether no grant is being sent and no round of renewals is running.
func (r *renewer) idle() bool {
	r.mu.Lock()
	busy := r.busy
	r.mu.Unlock()
	return !busy && len(r.sending) == 0
}

// tryBegin reports whether a round of renewals is due, and if so marks the renewer as busy.
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

// renewAll renews all leases of the server once. It stops early if the server counts as failing, or if this
// instance may not renew.
func (r *renewer) renewAll(ctx context.Context) {
	defer func() {
		r.mu.Lock()
		r.busy = false
		r.mu.Unlock()
	}()
	renewed := make(map[uint16]bool)
	for {
		service, keyRange, ok := r.nextRange(renewed)
		if !ok || ctx.Err() != nil {
			return
		}
		renewed[keyRange.From] = true
		err := r.renew(ctx, service, keyRange)
		if errors.Is(err, context.Canceled) {
			return
		}
		if !r.recordResult(err) {
			return
		}
		r.keepSpare(ctx)
	}
}

// keepSpare opens a second connection to the server unless there is one. The answers on one show that the other reaches the same
// incarnation, so that leases do not run out while the store is down if the server closes one.
func (r *renewer) keepSpare(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	message := ""
	if err := r.manager.LeaseClient.KeepSpare(ctx, r.owner()); err != nil {
		message = err.Error()
	}
	r.mu.Lock()
	changed := message != r.spareError
	r.spareError = message
	r.mu.Unlock()
	if changed && message != "" {
		r.manager.Events.Record(event.StateChange, "spare-connection-not-opened", "server", r.server.ID, "error", message)
	}
}

// nextRange returns a range of the server that this round has not renewed yet.
func (r *renewer) nextRange(renewed map[uint16]bool) (string, shard.Range, bool) {
	for service, m := range r.manager.view.get().Maps {
		if service != r.server.Service {
			continue
		}
		for _, keyRange := range m.Ranges {
			if keyRange.Server == r.server.ID && len(keyRange.FormerOwners) == 0 && !renewed[keyRange.From] {
				return service, keyRange, true
			}
		}
	}
	return "", shard.Range{}, false
}

// errStaleView means that the view is too old to renew by, or that this instance is not registered.
var errStaleView = fmt.Errorf("%w: view of the owners is too old", ErrUnverified)

// renew renews the lease of one range.
func (r *renewer) renew(ctx context.Context, service string, keyRange shard.Range) error {
	g := Grant{From: keyRange.From, To: keyRange.To, Fence: keyRange.Fence, Lease: leaseDuration}
	return r.send(ctx, g, false, func() bool { return r.stillOwned(service, keyRange) })
}

// send sends a grant if current, which is checked just before sending, reports that it is still right. With
// firstGrant no instance can have sent a grant with this fence before.
func (r *renewer) send(ctx context.Context, g Grant, firstGrant bool, current func() bool) error {
	verify := func(ctx context.Context, openedAt clock.Instant) error {
		return r.awaitVerified(ctx, openedAt, firstGrant)
	}
	return r.sendVerified(ctx, g, verify, current)
}

// sendVerified does the same if verify passes.
func (r *renewer) sendVerified(ctx context.Context, g Grant, verify GrantCheck, current func() bool) error {
	r.sending <- struct{}{}
	defer func() { <-r.sending }()
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	r.mu.Lock()
	r.cancel = cancel
	r.mu.Unlock()
	if !current() {
		return context.Canceled
	}
	if !r.manager.mayGrant(r.server.ID, time.Now()) {
		return errServerLeaves
	}
	// The view is checked once there is a connection: how long ago that was opened decides when a grant counts as verified,
	// and after a start of all instances the leases run out meanwhile.
	// provenAt is when the grant was sent, if it was sent on a connection that is known to reach the incarnation.
	var provenAt clock.Instant
	check := func(ctx context.Context, openedAt clock.Instant) error {
		if !r.manager.mayAct() {
			return errStaleView
		}
		if err := verify(ctx, openedAt); err != nil {
			return err
		}
		if !r.manager.mayAct() {
			return errStaleView
		}
		if !current() {
			return context.Canceled
		}
		if !r.manager.mayGrant(r.server.ID, time.Now()) {
			return errServerLeaves
		}
		if r.verify(openedAt, false) == nil {
			provenAt = r.manager.Clock.Now()
		}
		return nil
	}
	reply, err := r.manager.LeaseClient.Grant(ctx, r.owner(), g, check)
	r.manager.observeReply(r.server.ID, reply)
	if err == nil && provenAt != 0 {
		r.recordRun(provenAt)
	}
	return err
}

// owner returns the server as the owner of keys.
func (r *renewer) owner() shard.Owner {
	return shard.Owner{Server: r.server.ID, Address: r.server.Address}
}

// observeReply passes on what the answer of a server states about it.
func (lm *Manager) observeReply(server string, reply Reply) {
	if reply.Leaving {
		lm.ServerLeaves(server)
	}
}

// mayAct reports whether the instance may act on its view of the owners: it is registered, has not ceased, and the
// view is fresh.
func (lm *Manager) mayAct() bool {
	if lm.ceased.Load() {
		return false
	}
	if lm.guards.requireRegistration && !lm.view.get().registered(lm.Name, lm.Incarnation) {
		return false
	}
	if !lm.guards.requireFreshView {
		return true
	}
	now, contactTimeout := lm.Clock.Now(), lm.Roster.ContactTimeout()
	return lm.view.fresh(now, contactTimeout, func() bool {
		return !lm.guards.requireMajority || lm.Roster.MajorityAgrees(int64(now.Add(-contactTimeout)), lm.view.get().End)
	})
}

// stillOwned reports whether the view still contains a range, with the same owner and fence and no former owners.
func (r *renewer) stillOwned(service string, keyRange shard.Range) bool {
	m := r.manager.view.get().Maps[service]
	if m == nil {
		return false
	}
	i := m.Find(keyRange.From)
	return i >= 0 && m.Ranges[i].Server == keyRange.Server && m.Ranges[i].Fence == keyRange.Fence &&
		m.Ranges[i].To == keyRange.To && len(m.Ranges[i].FormerOwners) == 0
}

// cancelAndWait cancels the grant that is being sent, and waits until it has ended.
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

// recordResult records the result of a renewal, and reports whether the round continues.
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
			lm.Events.Record(event.StateChange, "server-regained", "server", r.server.ID, "silent-for", time.Since(r.answeredAt))
			lm.SendHeartbeat()
		}
		r.failures, r.fencedSince, r.answeredAt, r.withheldReason = 0, 0, time.Now(), ""
		return true
	case errors.Is(err, ErrUnverified):
		// The lease continues to run out.
		r.dueAt = time.Now().Add(tickInterval)
		if reason := err.Error(); reason != r.withheldReason {
			r.withheldReason = reason
			lm.Events.Record(event.StateChange, "renewal-withheld", "server", r.server.ID, "reason", err,
				"knowledge-age", time.Duration(lm.view.age(lm.Clock.Now())))
		}
		return false
	}
	r.failures++
	lm.contacts.suspect(r.server.ID)
	lm.Events.Record(event.StateChange, "renewal-failed", "server", r.server.ID, "failures", r.failures, "error", err)
	if r.failures == maxRenewalFailures {
		lm.SendHeartbeat()
	}
	if r.failures < maxRenewalFailures {
		// Retry soon after a lost answer: the lease continues to run out.
		r.dueAt = time.Now().Add(tickInterval)
	}
	return r.failures < maxRenewalFailures
}

// maxRecordDelay is how long the record of a move may take to reach the instances that renew.
const maxRecordDelay = time.Second

// persistentlyFenced reports whether a server still answers that it has seen a higher fence although the
// view was current maxRecordDelay after its first such answer, so that the answer cannot be explained by a
// record that has not arrived yet. r.mu must be held.
//
// Without it a server that answers would be taken for lost: a plan releases keys while its record is still on
// the way to hundreds of instances, and those that renew by the previous record are refused. If that
// counted as failures, two such answers would cost the server its keys, and the plan that moves those would
// cause more of them.
func (r *renewer) persistentlyFenced() bool {
	lm := r.manager
	if r.fencedSince == 0 {
		r.fencedSince = lm.Clock.Now()
		lm.Events.Record(event.StateChange, "renewal-fenced", "server", r.server.ID,
			"knowledge-age", time.Duration(lm.view.age(lm.Clock.Now())))
	}
	return lm.view.currentAt(r.fencedSince.Add(maxRecordDelay))
}
