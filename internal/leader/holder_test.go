package leader

import (
	"time"

	"example.org/mustardring/pkg/grant"
)

// simHolder runs a grant.Holder in virtual time. Mutations of the world can switch off one
// guard of it.
type simHolder struct {
	w       *world
	machine *machine
	real    *grant.Holder
	fence   grant.Term
	// exchanges counts the exchanges whose grant was accepted.
	exchanges int
}

func newSimHolder(w *world, m *machine, server string) *simHolder {
	config := grant.HolderConfig{
		Service:     "svc",
		Server:      server,
		Incarnation: m.incarnation,
		Clock:       func() grant.Instant { return grant.Instant(m.clock(w.now)) },
		MaxLease:    1250 * time.Millisecond,
	}
	return &simHolder{w: w, machine: m, real: grant.NewHolder(config)}
}

func (h *simHolder) owns(hash uint64) bool {
	work, err := h.real.Begin(hash)
	if err != nil {
		return false
	}
	work.End()
	return true
}

func (h *simHolder) exchange(x grant.Exchange) grant.Answer {
	term := x.Term
	isPreVote := x.Term == (grant.Term{})
	if h.w.mutation == mutNoFence && !isPreVote && x.Term.Compare(h.fence) < 0 {
		x.Term = h.fence
	}
	if x.Grant != nil {
		g := *x.Grant
		x.Grant = &g
		switch h.w.mutation {
		case mutLeaseFromReceipt:
			g.Deadline = grant.Instant(h.machine.clock(h.w.now)) + grant.Instant(time.Second)
			x.Grant = &g
		case mutIgnoreIncarnation:
			g.Incarnation = h.machine.incarnation
			x.Grant = &g
		}
	}
	a := h.real.Exchange(x)
	h.fence = a.Fence
	if x.Grant != nil && a.Refusal == grant.RefusalNone {
		h.exchanges++
	}
	switch h.w.mutation {
	case mutNoFence:
		a.Fence = term
	case mutYoungVotes:
		a.Voting = true
	case mutHideDraining:
		a.Draining = nil
	}
	return a
}

// The mutations of a server, which switch off guards outside the core.
const (
	mutLeaseFromReceipt  mutation = "lease-from-receipt"
	mutNoFence           mutation = "fence-not-compared"
	mutIgnoreIncarnation mutation = "incarnation-ignored"
	mutYoungVotes        mutation = "young-server-votes"
	mutHideDraining      mutation = "drain-not-stated"
	mutLateWork          mutation = "work-not-rechecked"
	mutLateSend          mutation = "send-before-not-rechecked"
)
