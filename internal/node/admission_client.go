package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"example.org/mustardring/internal/admit"
	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/roster"
)

// Times of an exchange with a controller.
const (
	// replyTimeout is how long a controller may take for its first reply, besides the time for which an instance may
	// be throttled. The round trip takes 3 milliseconds; the rest is for a controller whose processor is busy.
	replyTimeout = 50 * time.Millisecond
	// resendInterval is the time after which the same request is sent again, in case the message was lost.
	resendInterval = 40 * time.Millisecond
	// cpuQuotaPeriod is the maximum time for which an instance is throttled: its share of a core is a quota per tenth
	// of a second. An instance with a sixth of a core reads a reply that arrived meanwhile only after its timer has
	// fired; with 60 ms, one request in twenty timed out that way.
	cpuQuotaPeriod = 100 * time.Millisecond
	// slowLinkMbps is the speed, in Mbit/s, below which the link of an instance is saturated at times, and
	// slowLinkDelay for how long: an answer of 90 KB takes 72 ms on a link of 10 Mbit/s. Messages to all controllers
	// are lost meanwhile.
	slowLinkMbps  = 50
	slowLinkDelay = 100 * time.Millisecond
	// minStall is the delay of a timer from which on the instance is taken to have been throttled: messages that
	// arrived meanwhile are still unread. It then has stallCatchUp to read them.
	minStall     = 5 * time.Millisecond
	stallCatchUp = 25 * time.Millisecond
	// completionResendDelay is the time after which a completion is sent a second time, in case the first message was
	// lost: the server would look busy until the deadline of the request.
	completionResendDelay = 40 * time.Millisecond
	// queuedRecheckInterval is how long a request is queued before it asks whether the controller still knows it.
	queuedRecheckInterval = 300 * time.Millisecond
	// maxControllersTried is the number of controllers that are asked before the instance decides by itself.
	maxControllersTried = 2
	// unreachableLogInterval is the minimum time between two log lines about the same unreachable controller, which
	// each request in progress detects separately.
	unreachableLogInterval = time.Second
)

// admissionClient requests admissions from the controllers on other instances.
//
// Each admission request has its own serial number, and an admission that nobody waits for any more is cancelled. If
// all admission requests for a request shared a number, a late decision of the first controller would be taken for
// that of the second, which would keep an unused slot for up to four seconds.
type admissionClient struct {
	send func(to netip.AddrPort, m dgram.Message)
	// unreachable is called with the name of a controller that does not answer.
	unreachable func(controller string)
	// cpuShare is the part of a core that this instance has, slowLink says whether its link is below slowLinkMbps.
	cpuShare float64
	slowLink bool

	mu         sync.Mutex
	lastSerial uint64
	// decisions holds, by serial number, the channels of requests that wait for a decision or are admitted.
	decisions map[uint64]chan dgram.AdmissionDecision
}

func newAdmissionClient(send func(netip.AddrPort, dgram.Message), unreachable func(string), cpuShare, linkMbps float64) *admissionClient {
	return &admissionClient{
		send: send, unreachable: unreachable, cpuShare: cpuShare, slowLink: linkMbps < slowLinkMbps,
		// After a restart, the serial numbers of the previous incarnation must not be used again.
		lastSerial: uint64(rand.Uint32()), decisions: map[uint64]chan dgram.AdmissionDecision{},
	}
}

// open returns a new serial number and the channel for its decisions. The number is in use until it is closed: after a
// rejection, or at the end of the admission.
func (c *admissionClient) open() (uint64, <-chan dgram.AdmissionDecision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSerial++
	decisions := make(chan dgram.AdmissionDecision, 4)
	c.decisions[c.lastSerial] = decisions
	return c.lastSerial, decisions
}

func (c *admissionClient) close(serial uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.decisions, serial)
}

// openCount returns the number of serial numbers in use.
func (c *admissionClient) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.decisions)
}

// handleDecision passes a decision to the request that waits for it. An admission that nobody waits for is cancelled
// at once.
func (c *admissionClient) handleDecision(from netip.AddrPort, m dgram.AdmissionDecision) {
	c.mu.Lock()
	decisions, known := c.decisions[m.Serial]
	c.mu.Unlock()
	if known {
		select {
		case decisions <- m:
		default:
		}
		return
	}
	if m.Server != "" && from.IsValid() {
		c.send(from, dgram.Cancel{Serial: m.Serial})
	}
}

// handleCheck answers a controller that asks about an admission which is no longer in use: it cancels it.
func (c *admissionClient) handleCheck(from netip.AddrPort, m dgram.AdmissionCheck) {
	c.mu.Lock()
	_, known := c.decisions[m.Serial]
	c.mu.Unlock()
	if !known {
		c.send(from, dgram.Cancel{Serial: m.Serial})
	}
}

// request requests an admission from one controller and waits for the final decision, as long as the request is
// queued there. It returns false if the controller does not answer or the context ends.
func (c *admissionClient) request(ctx context.Context, r admit.Request, controller roster.Peer, to netip.AddrPort) (dgram.AdmissionDecision, bool) {
	serial, decisions := c.open()
	r.ID = admit.ID{Serial: serial}
	m, answered := c.requestUntilFinal(ctx, r, to, decisions, c.replyTimeoutFor(controller))
	if !answered || m.Server == "" {
		c.close(serial)
	}
	if answered {
		return m, true
	}
	c.send(to, dgram.Cancel{Serial: serial, Pool: r.Pool})
	if ctx.Err() == nil {
		c.unreachable(controller.Name)
	}
	return dgram.AdmissionDecision{}, false
}

// replyTimeoutFor returns how long a controller may take to reply. Both this instance and the controller may be
// throttled.
func (c *admissionClient) replyTimeoutFor(controller roster.Peer) time.Duration {
	out := replyTimeout + time.Duration((1-min(c.cpuShare, controller.Share, 1))*float64(cpuQuotaPeriod))
	if c.slowLink {
		out += slowLinkDelay
	}
	return out
}

// requestUntilFinal sends the request, again if necessary, until there is a final decision. It returns false if the
// controller stops answering or the context ends.
func (c *admissionClient) requestUntilFinal(ctx context.Context, r admit.Request, to netip.AddrPort, decisions <-chan dgram.AdmissionDecision, timeout time.Duration) (dgram.AdmissionDecision, bool) {
	for {
		var m dgram.AdmissionDecision
		answered := false
		for left := timeout; left > 0 && !answered && ctx.Err() == nil; left -= resendInterval {
			c.send(to, requestMessage(r))
			m, answered = awaitDecision(ctx, decisions, min(resendInterval, left))
		}
		if !answered {
			return m, false
		}
		for answered && !isFinal(m) {
			m, answered = awaitDecision(ctx, decisions, queuedRecheckInterval)
		}
		if answered {
			return m, true
		}
		if ctx.Err() != nil {
			return m, false
		}
		// The request is queued. Sending it again shows whether the controller still answers.
	}
}

// awaitDecision waits up to d for a decision. If the timer fires so late that the instance must have been throttled,
// it first reads what arrived meanwhile.
func awaitDecision(ctx context.Context, decisions <-chan dgram.AdmissionDecision, d time.Duration) (dgram.AdmissionDecision, bool) {
	until := time.Now().Add(d)
	timer := time.NewTimer(d)
	defer timer.Stop()
	for range 2 {
		select {
		case m := <-decisions:
			return m, true
		case <-timer.C:
		case <-ctx.Done():
			return dgram.AdmissionDecision{}, false
		}
		if time.Since(until) < minStall {
			break
		}
		timer.Reset(stallCatchUp)
	}
	select {
	case m := <-decisions:
		return m, true
	default:
		return dgram.AdmissionDecision{}, false
	}
}

// isFinal reports whether a request is admitted or rejected, that is, not queued.
func isFinal(m dgram.AdmissionDecision) bool { return m.Server != "" || m.Reason != "" }

func requestMessage(r admit.Request) dgram.AdmissionRequest {
	return dgram.AdmissionRequest{
		Serial: r.Serial, Pool: r.Pool, Server: r.Server, Domain: r.Domain, Route: r.Route, Priority: r.Priority,
		Returning: r.Returning, Avoid: r.Avoid, HasFallback: r.HasFallback,
		TargetInMs: int(time.Until(r.TargetAt).Milliseconds()), DeadlineInMs: int(time.Until(r.Deadline).Milliseconds()),
		Caller: r.Caller, Origin: r.Origin, Retry: r.Retry,
	}
}

// controllerUnreachable marks an instance that did not answer as a controller as suspected.
func (n *Node) controllerUnreachable(controller string) {
	now := time.Now()
	n.roster.Suspect(controller, now)
	n.unreachableMu.Lock()
	defer n.unreachableMu.Unlock()
	if now.Sub(n.unreachableLoggedAt[controller]) < unreachableLogInterval {
		return
	}
	n.unreachableLoggedAt[controller] = now
	n.events.Record(event.StateChange, "keeper-silent", "keeper", controller)
}
