package entry

import (
	"errors"
	"sync"
	"time"

	"example.org/mustardring/internal/front"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/route"
)

// Bounds of the lease under which an instance acts as a gate.
const (
	// gateLeaseDuration is how long an instance may send non-idempotent requests after it sent the
	// heartbeat by which the leader confirmed that its routing table is current.
	gateLeaseDuration = 600 * time.Millisecond
	// formerGateTimeout is how long a new gate waits for a former one that does not answer. It
	// covers the gate lease, the lease of a former leader that may have extended it, and the
	// drift of clocks.
	formerGateTimeout = 1650 * time.Millisecond
)

// errGateLeaseExpired is returned for a non-idempotent request without a valid gate lease.
var errGateLeaseExpired = errors.New("entry: gate lease expired")

// gateChecker decides before each write to a server whether this instance may send the request.
type gateChecker struct {
	holders   *grantHolders
	gateLease *gateLease
	now       func() leader.Time
}

// Begin implements front.Authorizer.
//
// A non-idempotent request is sent only under a valid gate lease. Otherwise a gate that was cut off
// or paused could send a request after the next gate, which has no record of it, has already sent
// the caller's retry.
func (c gateChecker) Begin(a front.Attempt) (front.Work, error) {
	if !a.Idempotent && c.now() >= c.gateLease.until() {
		return nil, errGateLeaseExpired
	}
	if a.ChecksGrants || !a.Divided {
		return untrackedWork{}, nil
	}
	return c.holders.begin(a.Service, a.Server, a.Hash)
}

// untrackedWork is a front.Work whose end need not be known, because no grant is held here for it.
type untrackedWork struct{}

// End implements front.Work.
func (untrackedWork) End() {}

// gateLease is the lease under which this instance acts as the gate of the servers that its
// routing table assigns to it.
type gateLease struct {
	mu       sync.Mutex
	deadline leader.Time
}

func (l *gateLease) until() leader.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deadline
}

// confirm extends the lease after the leader has answered a heartbeat sent at askedAt with state s.
// It does so only if t, the table of this instance, is the leader's table: a newer table that this
// instance has not yet seen may name other gates.
func (l *gateLease) confirm(askedAt leader.Time, s InstanceState, t *route.Table) {
	if !s.Leading || t == nil || s.Domain != t.Domain || t.Term != s.Term || t.Term != s.TableTerm || t.Serial != s.TableSerial {
		return
	}
	l.extend(askedAt + leader.Time(gateLeaseDuration))
}

// extend moves the deadline forward, never back.
func (l *gateLease) extend(deadline leader.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline = max(l.deadline, deadline)
}
