package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/gram"
	"example.org/mustardring/internal/permit"
	"example.org/mustardring/internal/roster"
)

// The times of asking for permits.
const (
	// replyTimeout is how long a keeper may take for its first word, besides the time for which an
	// instance may stand still. A message takes 3 milliseconds there and back; the rest is for
	// a keeper whose processor is busy.
	replyTimeout = 50 * time.Millisecond
	// resendInterval is when the same asking is sent once more, in case the message was lost.
	resendInterval = 40 * time.Millisecond
	// cpuQuotaPeriod is how long an instance may stand still at most: its part of a core is a
	// quota of each tenth of a second. An asker with a sixth of a core finds the answer that
	// came meanwhile only after its timer; with 60 ms each twentieth asking ended so.
	cpuQuotaPeriod = 100 * time.Millisecond
	// slowLinkMbps is the speed, in Mbit/s, below which an instance's link is full at times, and
	// thinTime for how long: an answer of 90 KB takes 72 ms on a link of 10. Messages are lost
	// meanwhile, to whichever keeper.
	slowLinkMbps  = 50
	slowLinkDelay = 100 * time.Millisecond
	// minStall is how late a timer fires at least when the instance stood still: what came
	// meanwhile has not been read yet. It gets catchUp for that.
	minStall     = 5 * time.Millisecond
	stallCatchUp = 25 * time.Millisecond
	// completionResendDelay is when a permit is given back once more: the first message may be lost, and
	// the server would look busy until the request's limit.
	completionResendDelay = 40 * time.Millisecond
	// queuedRecheckInterval is how long a request waits before it asks whether the keeper still knows it.
	queuedRecheckInterval = 300 * time.Millisecond
	// maxControllersTried is the number of keepers that are tried before the instance decides by itself.
	maxControllersTried = 2
	// unreachableLogInterval is how often the silence of one keeper is logged: each request in progress
	// finds it out for itself.
	unreachableLogInterval = time.Second
)

// admissionClient asks keepers on other instances for permits.
//
// Each asking has a serial number of its own, and a grant that nobody waits for any more is sent
// back. With one number for all askings of a request, the late word of a first keeper was taken
// for that of a second, which went on keeping a slot that nobody used, for up to four seconds.
type admissionClient struct {
	send        func(to netip.AddrPort, m gram.Message)
	unreachable func(keeper string)
	// cpuShare is this instance's part of a core, thin says that its link is.
	cpuShare float64
	slowLink bool

	mu         sync.Mutex
	lastSerial uint64
	// decisions holds those who wait for a verdict or have a permit, by serial number.
	decisions map[uint64]chan gram.AdmissionDecision
}

func newAdmissionClient(send func(netip.AddrPort, gram.Message), silent func(string), share, linkMbps float64) *admissionClient {
	return &admissionClient{
		send: send, unreachable: silent, cpuShare: share, slowLink: linkMbps < slowLinkMbps,
		// An instance that starts again must not use the numbers of its life before.
		lastSerial: uint64(rand.Uint32()), decisions: map[uint64]chan gram.AdmissionDecision{},
	}
}

// open begins an asking. It lasts until it is closed: after a refusal, or when the permit is
// given back.
func (k *admissionClient) open() (uint64, <-chan gram.AdmissionDecision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastSerial++
	verdicts := make(chan gram.AdmissionDecision, 4)
	k.decisions[k.lastSerial] = verdicts
	return k.lastSerial, verdicts
}

func (k *admissionClient) close(serial uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.decisions, serial)
}

// handleDecision takes the verdict of a keeper. A permit that nobody has use for goes back at once.
func (k *admissionClient) handleDecision(from netip.AddrPort, m gram.AdmissionDecision) {
	k.mu.Lock()
	verdicts, known := k.decisions[m.Serial]
	k.mu.Unlock()
	if known {
		select {
		case verdicts <- m:
		default:
		}
		return
	}
	if m.Server != "" && from.IsValid() {
		k.send(from, gram.Cancel{Serial: m.Serial})
	}
}

// handleCheck tells a keeper that a permit is not in use any more, if so.
func (k *admissionClient) handleCheck(from netip.AddrPort, m gram.AdmissionCheck) {
	k.mu.Lock()
	_, known := k.decisions[m.Serial]
	k.mu.Unlock()
	if !known {
		k.send(from, gram.Cancel{Serial: m.Serial})
	}
}

// request asks one keeper, and waits as long as the keeper says that the request waits. The second
// result is false if it does not answer.
func (k *admissionClient) request(ctx context.Context, a permit.Ask, keeper roster.Peer, to netip.AddrPort) (gram.AdmissionDecision, bool) {
	serial, verdicts := k.open()
	a.Key = permit.Key{Serial: serial}
	m, heard := k.requestUntilFinal(ctx, a, to, verdicts, k.replyTimeoutFor(keeper))
	if !heard || m.Server == "" {
		k.close(serial)
	}
	if heard {
		return m, true
	}
	k.send(to, gram.Cancel{Serial: serial, Pool: a.Pool})
	if ctx.Err() == nil {
		k.unreachable(keeper.Name)
	}
	return gram.AdmissionDecision{}, false
}

// replyTimeoutFor returns how long a keeper may take for a word. Either end may stand still.
func (k *admissionClient) replyTimeoutFor(keeper roster.Peer) time.Duration {
	out := replyTimeout + time.Duration((1-min(k.cpuShare, keeper.Share, 1))*float64(cpuQuotaPeriod))
	if k.slowLink {
		out += slowLinkDelay
	}
	return out
}

// requestUntilFinal asks until there is a final verdict. It returns false if the keeper falls silent, or
// if the context ends.
func (k *admissionClient) requestUntilFinal(ctx context.Context, a permit.Ask, to netip.AddrPort, verdicts <-chan gram.AdmissionDecision, patience time.Duration) (gram.AdmissionDecision, bool) {
	for {
		var m gram.AdmissionDecision
		heard := false
		for left := patience; left > 0 && !heard && ctx.Err() == nil; left -= resendInterval {
			k.send(to, requestMessage(a))
			m, heard = awaitDecision(ctx, verdicts, min(resendInterval, left))
		}
		if !heard {
			return m, false
		}
		for heard && !isFinal(m) {
			m, heard = awaitDecision(ctx, verdicts, queuedRecheckInterval)
		}
		if heard {
			return m, true
		}
		if ctx.Err() != nil {
			return m, false
		}
		// The keeper has answered before: it is asked whether it still is there.
	}
}

// awaitDecision waits for a verdict. If the instance stood still meanwhile, so that the time is over long
// ago, what came is read first.
func awaitDecision(ctx context.Context, verdicts <-chan gram.AdmissionDecision, d time.Duration) (gram.AdmissionDecision, bool) {
	until := time.Now().Add(d)
	timer := time.NewTimer(d)
	defer timer.Stop()
	for range 2 {
		select {
		case m := <-verdicts:
			return m, true
		case <-timer.C:
		case <-ctx.Done():
			return gram.AdmissionDecision{}, false
		}
		if time.Since(until) < minStall {
			break
		}
		timer.Reset(stallCatchUp)
	}
	select {
	case m := <-verdicts:
		return m, true
	default:
		return gram.AdmissionDecision{}, false
	}
}

func isFinal(m gram.AdmissionDecision) bool { return m.Server != "" || m.Reason != "" }

func requestMessage(a permit.Ask) gram.AdmissionRequest {
	return gram.AdmissionRequest{
		Serial: a.Serial, Pool: a.Pool, Server: a.Server, Domain: a.Domain, Route: a.Route, Priority: a.Priority,
		Returning: a.Returning, Avoid: a.Avoid, HasFallback: a.Elsewhere,
		TargetInMs: int(time.Until(a.TargetAt).Milliseconds()), DeadlineInMs: int(time.Until(a.LimitAt).Milliseconds()),
	}
}

// controllerUnreachable takes in that a keeper did not answer.
func (n *Node) controllerUnreachable(keeper string) {
	now := time.Now()
	n.roster.Silent(keeper, now)
	n.unreachableMu.Lock()
	defer n.unreachableMu.Unlock()
	if now.Sub(n.unreachableLoggedAt[keeper]) < unreachableLogInterval {
		return
	}
	n.unreachableLoggedAt[keeper] = now
	n.events.Note(event.Belief, "keeper-silent", "keeper", keeper)
}
