package leader

import (
	"slices"

	"example.org/mustardring/internal/place"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// The reasons for which a leadership ends.
const (
	reasonStopping  = "stopping"
	reasonFenced    = "fenced"
	reasonPeer      = "peer-leads"
	reasonAuthority = "authority-lapsed"
	reasonMajority  = "no-majority"
)

// leadership is one term of this instance, from its begin as a candidacy.
type leadership struct {
	term      grant.Term
	startedAt Time
	// wonAt is when a majority had first answered; zero before.
	wonAt Time
	votes map[string]*vote
	// asked caches the authority; stale says that votes changed since.
	asked Time
	stale bool

	holdings map[seat]*holding
	// retired are holdings of processes that are asked no more but may still act.
	retired    []*holding
	sequence   uint64
	exchangeAt Time
	placeAt    Time
	placedAt   Time
	targets    map[string][]place.Target
	// dirty says that sets may have to change, tableDirty that the table may have, adopted
	// that a set of another term was learned of.
	dirty       bool
	adopted     bool
	reconcileAt Time
	publishAt   Time
	prompted    []*holding
	settled     map[string]bool
	// movable says that a lease has passed since the leader won.
	movable bool
	// seen are the ranges seen held in this term, by service.
	seen         map[string][]keys.Range
	tableDirty   bool
	published    *route.Table
	recording    map[string]recording
	recordAt     Time
	recordSerial uint64
	recorded     map[string]recorded
}

// vote is what one voter answered in this term.
type vote struct {
	incarnation uint64
	askedAt     Time
	// heardAt is when the newest answer of the process arrived.
	heardAt Time
	// counted says that the voter follows.
	counted bool
	// homesFence is the highest value of the homes fence that the voter knows.
	homesFence uint64
}

func (l *leadership) won() bool {
	return l.wonAt != 0
}

func (c *Core) begin(t grant.Term) {
	c.claim, c.survey, c.resigned = nil, nil, false
	c.know(t)
	c.lead = &leadership{
		term:      t,
		startedAt: c.now,
		votes:     make(map[string]*vote),
		holdings:  make(map[seat]*holding),
		targets:   make(map[string][]place.Target),
		recording: make(map[string]recording),
		recorded:  make(map[string]recorded),
		settled:   make(map[string]bool),
		seen:      make(map[string][]keys.Range),
	}
	c.electorates = c.electorates[len(c.electorates)-1:]
	c.recallGates()
	c.chooseGates()
	c.seat()
	c.exchangeAll()
}

func (c *Core) stepDown(reason string) {
	if c.lead == nil {
		return
	}
	if c.lead.won() || reason != reasonMajority {
		c.emit(SteppedDown{Term: c.lead.term, Reason: reason})
	}
	c.lead = nil
	c.leaderAt = c.now
}

// checkAuthority ends a leadership whose newest majority was asked too long ago. Without it
// a leader that was outvoted could regain a majority by a voter that restarted and forgot
// the newer term, and both would lead.
func (c *Core) checkAuthority() {
	l := c.lead
	if l == nil {
		return
	}
	if !l.won() {
		if c.now > l.startedAt+Time(c.config.LeaseDuration) {
			c.stepDown(reasonMajority)
		}
		return
	}
	if c.now > c.authority()+Time(c.config.LeaseDuration) && !c.config.without(mutAuthority) {
		c.stepDown(reasonAuthority)
	}
}

// count takes the vote of an answer that follows the term.
//
// A voter that restarts may have followed a higher term and forgotten it. Its new process
// does not vote until the longest lease has passed since its start. A leader of a higher term
// that had its vote has by then either had a newer majority, or stepped down for want of
// one, as checkAuthority makes it; so the voter may be counted again.
func (c *Core) count(ev Answered) {
	if ev.Gate != "" || !c.votes(ev.Server) {
		return
	}
	l := c.lead
	v := l.votes[ev.Server]
	if v == nil {
		v = &vote{incarnation: ev.Answer.Incarnation}
		l.votes[ev.Server] = v
	}
	if v.incarnation != ev.Answer.Incarnation {
		if ev.AskedAt <= v.heardAt {
			return
		}
		v.incarnation, v.homesFence = ev.Answer.Incarnation, 0
	}
	v.heardAt = c.now
	if !ev.Answer.Voting {
		return
	}
	v.homesFence = max(v.homesFence, ev.Answer.HomesFence)
	c.homesFence = max(c.homesFence, v.homesFence)
	askedAt := ev.AskedAt
	if c.config.without(mutAnswered) {
		askedAt = c.now
	}
	if !v.counted || askedAt > v.askedAt {
		v.counted = true
		v.askedAt = askedAt
		l.stale = true
	}
}

func (c *Core) votes(server string) bool {
	return slices.ContainsFunc(c.electorates, func(e electorate) bool { return e[server] })
}

// authority returns the newest moment at which a majority of every electorate was asked and
// answered following this term, or a time long ago when there is none.
func (c *Core) authority() Time {
	l := c.lead
	if !l.stale && l.asked != 0 {
		return l.asked
	}
	l.stale = false
	l.asked = c.authorityOf(c.electorates[0])
	for _, e := range c.electorates[1:] {
		l.asked = min(l.asked, c.authorityOf(e))
	}
	return l.asked
}

// never is earlier than every time at which something was asked.
const never = Time(-1 << 62)

func (c *Core) authorityOf(e electorate) Time {
	var asked []Time
	for name := range e {
		v := c.lead.votes[name]
		if v != nil && v.counted {
			asked = append(asked, v.askedAt)
		}
	}
	majority := len(e)/2 + 1
	if c.config.without(mutOneVote) {
		majority = 1
	}
	if len(asked) < majority {
		return never
	}
	slices.Sort(asked)
	return asked[len(asked)-majority]
}
