package grant

import (
	"sync"
	"time"

	"example.org/mustardring/pkg/keys"
)

// HolderConfig configures the Holder of one server.
type HolderConfig struct {
	Service string
	Server  string
	// Incarnation is different for every process that ever ran as this server.
	Incarnation uint64
	// Clock reads a monotonic clock that keeps running while the process is paused.
	Clock func() Instant
	// MaxLease is the longest time from now to the deadline of a grant that is accepted.
	MaxLease time.Duration
}

// Holder keeps the grant that one server holds (epoch, ranges and deadline) and its fence. It
// is safe for concurrent use.
type Holder struct {
	config HolderConfig
	// votesAt is when the process starts to vote.
	votesAt Instant

	mu       sync.Mutex
	serial   uint64
	fence    Term
	ledAt    Instant
	epoch    Epoch
	deadline Instant
	ranges   []keys.Range
	// generation counts the grants that were accepted after the one before had expired. Work
	// of an earlier generation has lost its right to its key.
	generation uint64
	homesFence uint64
	running    map[*Work]struct{}
}

// NewHolder returns a Holder that has no grant.
//
// A new process does not know the fence of the process before it. If it voted at once, a
// leader that the old process had refused could regain its majority while leases of the newer
// leader are still valid, and both could grant the same range. The holder therefore does not
// vote for MaxLease after its start: by then every lease that the old process accepted has
// expired.
func NewHolder(config HolderConfig) *Holder {
	return &Holder{
		config:  config,
		votesAt: config.Clock() + Instant(config.MaxLease),
		running: make(map[*Work]struct{}),
	}
}

// Exchange applies or refuses an exchange and returns the resulting state, which also goes
// with a refusal.
func (h *Holder) Exchange(x Exchange) Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.config.Clock()
	h.serial++
	refusal := h.apply(now, x)
	answer := Answer{
		Refusal:     refusal,
		Clock:       now,
		Serial:      h.serial,
		Incarnation: h.config.Incarnation,
		Fence:       h.fence,
		LedAt:       h.ledAt,
		Voting:      now >= h.votesAt,
		Epoch:       h.epoch,
		Deadline:    h.deadline,
		Draining:    h.draining(now),
		HomesFence:  h.homesFence,
	}
	if x.Known != h.epoch {
		answer.Ranges = h.ranges
	}
	return answer
}

// apply updates the state by an exchange, or returns why it doesn't. The fence rises to the
// term of the exchange even if its grant is then refused. The caller holds h.mu.
func (h *Holder) apply(now Instant, x Exchange) Refusal {
	if x.Server != h.config.Server || x.Service != h.config.Service {
		return RefusalOtherName
	}
	if x.Term.Compare(h.fence) < 0 {
		return RefusalFenced
	}
	h.fence = x.Term
	if x.Term != (Term{}) {
		h.ledAt = now
	}
	h.homesFence = max(h.homesFence, x.HomesFence)
	if x.Grant == nil {
		return RefusalNone
	}
	if refusal := h.checkGrant(now, x.Grant); refusal != RefusalNone {
		return refusal
	}
	h.accept(now, x.Grant)
	return RefusalNone
}

// checkGrant returns why a grant can't be accepted, or RefusalNone.
//
// An expired grant is never extended under its epoch. Its leader may have treated it as
// expired and granted the ranges to another server, so a late renewal would make two owners.
func (h *Holder) checkGrant(now Instant, g *Grant) Refusal {
	expired := now >= h.deadline
	switch {
	case g.Incarnation != h.config.Incarnation:
		return RefusalIncarnation
	case g.Deadline <= now:
		return RefusalLapsed
	case g.Deadline > now+Instant(h.config.MaxLease):
		return RefusalTooLong
	case g.Epoch.Compare(h.epoch) < 0:
		return RefusalOldEpoch
	case g.Epoch == h.epoch && expired:
		return RefusalUnknownSet
	case g.Renewal && g.Epoch != h.epoch:
		return RefusalUnknownSet
	default:
		return RefusalNone
	}
}

// accept stores a grant that checkGrant let pass. Under the epoch that is already held the
// deadline is only ever extended.
func (h *Holder) accept(now Instant, g *Grant) {
	if now >= h.deadline {
		h.generation++
	}
	if g.Epoch == h.epoch {
		h.deadline = max(h.deadline, g.Deadline)
		return
	}
	h.epoch = g.Epoch
	h.deadline = g.Deadline
	h.ranges = g.Ranges
}

// draining returns the hashes of the running requests that the held grant does not cover, as
// sorted ranges of one hash each.
func (h *Holder) draining(now Instant) []keys.Range {
	var ranges []keys.Range
	for w := range h.running {
		if now < h.deadline && w.generation == h.generation && keys.Find(h.ranges, w.hash) >= 0 {
			continue
		}
		ranges = append(ranges, keys.Range{First: w.hash, Last: w.hash})
	}
	keys.Sort(ranges)
	return compact(ranges)
}

// compact removes repeated ranges from a sorted list, in place.
func compact(ranges []keys.Range) []keys.Range {
	kept := ranges[:0]
	for i, r := range ranges {
		if i == 0 || r != ranges[i-1] {
			kept = append(kept, r)
		}
	}
	return kept
}
