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
	// gateLease is for how long after it asked the leader, and was told that its routing
	// table is current, an instance may send requests that must not run twice.
	gateLease = 600 * time.Millisecond
	// gateWait is how long a new gate waits for a former one that does not answer: its lease,
	// the lease of a former leader that may have extended it, and the drift of clocks.
	gateWait = 1650 * time.Millisecond
)

// errGateLapsed says that this instance has not heard lately that it is still the gate.
var errGateLapsed = errors.New("entry: not confirmed as the gate lately")

// right is this instance's right to send work to servers as their gate.
type right struct {
	holders *holders
	lease   *gateClock
	now     func() leader.Time
}

// Begin implements front.Right.
//
// A request that must not run twice is sent only while the leader has confirmed lately that
// this instance is the gate. A gate that was cut off or paused would otherwise send a request
// whose resend the next gate, which cannot know of it, sends as well.
func (r right) Begin(a front.Attempt) (front.Work, error) {
	if !a.Idempotent && r.now() >= r.lease.until() {
		return nil, errGateLapsed
	}
	if a.ChecksGrants || !a.Divided {
		return noWork{}, nil
	}
	return r.holders.begin(a.Service, a.Server, a.Hash)
}

// noWork is a Work whose end nobody waits for.
type noWork struct{}

// End implements front.Work.
func (noWork) End() {}

// gateClock keeps until when this instance may act as the gate that its table makes it.
type gateClock struct {
	mu       sync.Mutex
	deadline leader.Time
}

func (g *gateClock) until() leader.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.deadline
}

// confirm extends the right by an answer of the leader to a heartbeat that was sent at
// askedAt. It counts only if the instance's own table is the leader's: a newer one, which the
// instance has not seen yet, may name other gates.
func (g *gateClock) confirm(askedAt leader.Time, h Heartbeat, t *route.Table) {
	if !h.Leading || t == nil || h.Domain != t.Domain || t.Term != h.Term || t.Term != h.TableTerm || t.Serial != h.TableSerial {
		return
	}
	g.extend(askedAt + leader.Time(gateLease))
}

func (g *gateClock) extend(deadline leader.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deadline = max(g.deadline, deadline)
}
