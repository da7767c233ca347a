package entry

import (
	"errors"
	"sync"
	"time"

	"example.org/mustardring/internal/front"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/route"
)

// Bounds of the lease by which an instance is a gate.
const (
	// gateLeaseDuration is for how long after it asked the leader, and was told that its routing
	// table is current, an instance may send requests that must not run twice.
	gateLeaseDuration = 600 * time.Millisecond
	// formerGateTimeout is how long a new gate waits for a former one that does not answer: its lease,
	// the lease of a former leader that may have extended it, and the drift of clocks.
	formerGateTimeout = 1650 * time.Millisecond
)

// errGateUnconfirmed says that this instance has not heard lately that it is still the gate.
var errGateUnconfirmed = errors.New("entry: not confirmed as the gate lately")

// gateChecker is this instance's right to send work to servers as their gate.
type gateChecker struct {
	holders   *grantHolders
	gateLease *gateLease
	now       func() leader.Time
}

// Begin implements front.Right.
//
// A request that must not run twice is sent only while the leader has confirmed lately that
// this instance is the gate. A gate that was cut off or paused would otherwise send a request
// whose resend the next gate, which cannot know of it, sends as well.
func (c gateChecker) Begin(a front.Approach) (front.Work, error) {
	if !a.Idempotent && c.now() >= c.gateLease.until() {
		return nil, errGateUnconfirmed
	}
	if a.Checks || !a.Divided {
		return untrackedWork{}, nil
	}
	return c.holders.begin(a.Service, a.Server, a.Hash)
}

// untrackedWork is a Work whose end nobody waits for.
type untrackedWork struct{}

// End implements front.Work.
func (untrackedWork) End() {}

// gateLease keeps until when this instance may act as the gate that its table makes it.
type gateLease struct {
	mu       sync.Mutex
	deadline leader.Time
}

func (l *gateLease) until() leader.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deadline
}

// confirm extends the right by an answer of the leader to a heartbeat that was sent at
// askedAt. It counts only if the instance's own table is the leader's: a newer one, which the
// instance has not seen yet, may name other gates.
func (l *gateLease) confirm(askedAt leader.Time, s InstanceState, t *route.Table) {
	if !s.Leading || t == nil || s.Domain != t.Domain || t.Term != s.Term || t.Term != s.TableTerm || t.Serial != s.TableSerial {
		return
	}
	l.extend(askedAt + leader.Time(gateLeaseDuration))
}

func (l *gateLease) extend(deadline leader.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline = max(l.deadline, deadline)
}
