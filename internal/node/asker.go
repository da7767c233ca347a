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
	// askTimeout is how long a keeper may take for its first word, besides the time for which an
	// instance may stand still. A message takes 3 milliseconds there and back; the rest is for
	// a keeper whose processor is busy.
	askTimeout = 50 * time.Millisecond
	// askAgain is when the same asking is sent once more, in case the message was lost.
	askAgain = 40 * time.Millisecond
	// quotaPeriod is how long an instance may stand still at most: its part of a core is a
	// quota of each tenth of a second. An asker with a sixth of a core finds the answer that
	// came meanwhile only after its timer; with 60 ms each twentieth asking ended so.
	quotaPeriod = 100 * time.Millisecond
	// thinLink is the speed, in Mbit/s, below which an instance's link is full at times, and
	// thinTime for how long: an answer of 90 KB takes 72 ms on a link of 10. Messages are lost
	// meanwhile, to whichever keeper.
	thinLink = 50
	thinTime = 100 * time.Millisecond
	// stalledTime is how late a timer fires at least when the instance stood still: what came
	// meanwhile has not been read yet. It gets catchUp for that.
	stalledTime = 5 * time.Millisecond
	catchUp     = 25 * time.Millisecond
	// doneAgain is when a permit is given back once more: the first message may be lost, and
	// the server would look busy until the request's limit.
	doneAgain = 40 * time.Millisecond
	// renewAsk is how long a request waits before it asks whether the keeper still knows it.
	renewAsk = 300 * time.Millisecond
	// asksMost is the number of keepers that are tried before the instance decides by itself.
	asksMost = 2
	// silentEvery is how often the silence of one keeper is logged: each request in progress
	// finds it out for itself.
	silentEvery = time.Second
)

// asker asks keepers on other instances for permits.
//
// Each asking has a serial number of its own, and a grant that nobody waits for any more is sent
// back. With one number for all askings of a request, the late word of a first keeper was taken
// for that of a second, which went on keeping a slot that nobody used, for up to four seconds.
type asker struct {
	send   func(to netip.AddrPort, m gram.Message)
	silent func(keeper string)
	// share is this instance's part of a core, thin says that its link is.
	share float64
	thin  bool

	mu     sync.Mutex
	serial uint64
	// askings holds those who wait for a verdict or have a permit, by serial number.
	askings map[uint64]chan gram.Verdict
}

func newAsker(send func(netip.AddrPort, gram.Message), silent func(string), share, linkMbps float64) *asker {
	return &asker{
		send: send, silent: silent, share: share, thin: linkMbps < thinLink,
		// An instance that starts again must not use the numbers of its life before.
		serial: uint64(rand.Uint32()), askings: map[uint64]chan gram.Verdict{},
	}
}

// open begins an asking. It lasts until it is closed: after a refusal, or when the permit is
// given back.
func (k *asker) open() (uint64, <-chan gram.Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.serial++
	verdicts := make(chan gram.Verdict, 4)
	k.askings[k.serial] = verdicts
	return k.serial, verdicts
}

func (k *asker) close(serial uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.askings, serial)
}

// told takes the verdict of a keeper. A permit that nobody has use for goes back at once.
func (k *asker) told(from netip.AddrPort, m gram.Verdict) {
	k.mu.Lock()
	verdicts, known := k.askings[m.Serial]
	k.mu.Unlock()
	if known {
		select {
		case verdicts <- m:
		default:
		}
		return
	}
	if m.Server != "" && from.IsValid() {
		k.send(from, gram.Withdraw{Serial: m.Serial})
	}
}

// check tells a keeper that a permit is not in use any more, if so.
func (k *asker) check(from netip.AddrPort, m gram.Check) {
	k.mu.Lock()
	_, known := k.askings[m.Serial]
	k.mu.Unlock()
	if !known {
		k.send(from, gram.Withdraw{Serial: m.Serial})
	}
}

// ask asks one keeper, and waits as long as the keeper says that the request waits. The second
// result is false if it does not answer.
func (k *asker) ask(ctx context.Context, a permit.Request, keeper roster.Peer, to netip.AddrPort) (gram.Verdict, bool) {
	serial, verdicts := k.open()
	a.ID = permit.ID{Serial: serial}
	m, heard := k.converse(ctx, a, to, verdicts, k.patience(keeper))
	if !heard || m.Server == "" {
		k.close(serial)
	}
	if heard {
		return m, true
	}
	k.send(to, gram.Withdraw{Serial: serial, Pool: a.Pool})
	if ctx.Err() == nil {
		k.silent(keeper.Name)
	}
	return gram.Verdict{}, false
}

// patience returns how long a keeper may take for a word. Either end may stand still.
func (k *asker) patience(keeper roster.Peer) time.Duration {
	out := askTimeout + time.Duration((1-min(k.share, keeper.Share, 1))*float64(quotaPeriod))
	if k.thin {
		out += thinTime
	}
	return out
}

// converse asks until there is a final verdict. It returns false if the keeper falls silent, or
// if the context ends.
func (k *asker) converse(ctx context.Context, a permit.Request, to netip.AddrPort, verdicts <-chan gram.Verdict, patience time.Duration) (gram.Verdict, bool) {
	for {
		var m gram.Verdict
		heard := false
		for left := patience; left > 0 && !heard && ctx.Err() == nil; left -= askAgain {
			k.send(to, askOf(a))
			m, heard = hear(ctx, verdicts, min(askAgain, left))
		}
		if !heard {
			return m, false
		}
		for heard && !final(m) {
			m, heard = hear(ctx, verdicts, renewAsk)
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

// hear waits for a verdict. If the instance stood still meanwhile, so that the time is over long
// ago, what came is read first.
func hear(ctx context.Context, verdicts <-chan gram.Verdict, d time.Duration) (gram.Verdict, bool) {
	until := time.Now().Add(d)
	timer := time.NewTimer(d)
	defer timer.Stop()
	for range 2 {
		select {
		case m := <-verdicts:
			return m, true
		case <-timer.C:
		case <-ctx.Done():
			return gram.Verdict{}, false
		}
		if time.Since(until) < stalledTime {
			break
		}
		timer.Reset(catchUp)
	}
	select {
	case m := <-verdicts:
		return m, true
	default:
		return gram.Verdict{}, false
	}
}

func final(m gram.Verdict) bool { return m.Server != "" || m.Reason != "" }

func askOf(a permit.Request) gram.Ask {
	return gram.Ask{
		Serial: a.Serial, Pool: a.Pool, Server: a.Server, Domain: a.Domain, Route: a.Route, Priority: a.Priority,
		Returning: a.Returning, Avoid: a.Avoid, Elsewhere: a.HasFallback,
		TargetIn: int(time.Until(a.TargetAt).Milliseconds()), LimitIn: int(time.Until(a.Deadline).Milliseconds()),
	}
}

// keeperSilent takes in that a keeper did not answer.
func (n *Node) keeperSilent(keeper string) {
	now := time.Now()
	n.roster.Suspect(keeper, now)
	n.silentMu.Lock()
	defer n.silentMu.Unlock()
	if now.Sub(n.silentAt[keeper]) < silentEvery {
		return
	}
	n.silentAt[keeper] = now
	n.events.Note(event.Belief, "keeper-silent", "keeper", keeper)
}
