package grant

import (
	"sync"
	"time"

	"example.org/mustardring/pkg/keys"
)

// HolderConfig names the server that a Holder speaks for.
type HolderConfig struct {
	Service string
	Server  string
	// Incarnation differs for each process that ever ran as this server.
	Incarnation uint64
	// Clock reads a monotonic clock. It goes on while the process is paused.
	Clock func() Instant
	// MaxLease bounds how far a deadline may lie ahead of the clock.
	MaxLease time.Duration
}

// Holder keeps the grant of one server: the fence, the set of ranges and the deadline. It is
// safe for concurrent use.
type Holder struct {
	config  HolderConfig
	votesAt Instant

	mu       sync.Mutex
	serial   uint64
	fence    Term
	ledAt    Instant
	epoch    Epoch
	deadline Instant
	ranges   []keys.Range
	tenure   uint64
	homes    uint64
	running  map[*Work]struct{}
}

// NewHolder returns a Holder that holds nothing.
//
// A new process has forgotten the fence of the one before it. If it voted at once, a leader
// that the old process had refused could regain its majority while the leases of the newer
// leader still run, and both would grant the same range. It does not vote until every lease
// that the old process knew of has ended.
func NewHolder(config HolderConfig) *Holder {
	return &Holder{
		config:  config,
		votesAt: config.Clock() + Instant(config.MaxLease),
		running: make(map[*Work]struct{}),
	}
}

// Exchange obeys or refuses an exchange and states what is held.
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
		HomesFence:  h.homes,
	}
	if x.Known != h.epoch {
		answer.Ranges = h.ranges
	}
	return answer
}

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
	h.homes = max(h.homes, x.HomesFence)
	if x.Grant == nil {
		return RefusalNone
	}
	if refusal := h.judge(now, x.Grant); refusal != RefusalNone {
		return refusal
	}
	h.accept(now, x.Grant)
	return RefusalNone
}

// judge decides whether a grant may be accepted.
//
// A set whose deadline has passed never comes back under its epoch: its leader may have
// counted it lapsed and given the ranges away, and a late renewal would make a second owner.
func (h *Holder) judge(now Instant, g *Grant) Refusal {
	lapsed := now >= h.deadline
	switch {
	case g.Incarnation != h.config.Incarnation:
		return RefusalIncarnation
	case g.Deadline <= now:
		return RefusalLapsed
	case g.Deadline > now+Instant(h.config.MaxLease):
		return RefusalTooLong
	case g.Epoch.Compare(h.epoch) < 0:
		return RefusalOldEpoch
	case g.Epoch == h.epoch && lapsed:
		return RefusalUnknownSet
	case g.Renewal && g.Epoch != h.epoch:
		return RefusalUnknownSet
	default:
		return RefusalNone
	}
}

func (h *Holder) accept(now Instant, g *Grant) {
	if now >= h.deadline {
		h.tenure++
	}
	if g.Epoch == h.epoch {
		h.deadline = max(h.deadline, g.Deadline)
		return
	}
	h.epoch = g.Epoch
	h.deadline = g.Deadline
	h.ranges = g.Ranges
}

// draining returns, as ranges of one hash, where requests run that the held set does not
// cover.
func (h *Holder) draining(now Instant) []keys.Range {
	var ranges []keys.Range
	for w := range h.running {
		if now < h.deadline && w.tenure == h.tenure && keys.Find(h.ranges, w.hash) >= 0 {
			continue
		}
		ranges = append(ranges, keys.Range{First: w.hash, Last: w.hash})
	}
	keys.Sort(ranges)
	return compact(ranges)
}

func compact(ranges []keys.Range) []keys.Range {
	kept := ranges[:0]
	for i, r := range ranges {
		if i == 0 || r != ranges[i-1] {
			kept = append(kept, r)
		}
	}
	return kept
}
