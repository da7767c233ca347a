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
	reasonStopping   = "stopping"
	reasonFenced     = "fenced"
	reasonPeerLeads  = "peer-leads"
	reasonQuorumLost = "authority-lapsed"
	reasonNotElected = "no-majority"
)

// leadership is one term of this instance, from its begin as a candidacy.
type leadership struct {
	term      grant.Term
	startedAt Time
	// wonAt is when a majority had first answered; zero before.
	wonAt Time
	votes map[string]*vote
	// cachedQuorumAskedAt caches the authority; stale says that votes changed since.
	cachedQuorumAskedAt Time
	quorumStale         bool

	holders map[holderID]*holder
	// retired are holdings of processes that are asked no more but may still act.
	retired    []*holder
	sequence   uint64
	exchangeAt Time
	placeAt    Time
	placedAt   Time
	targets    map[string][]place.Target
	// rangesDirty says that sets may have to change, tableDirty that the table may have, adopted
	// that a set of another term was learned of.
	rangesDirty   bool
	sawOtherTerm  bool
	reconcileAt   Time
	publishAt     Time
	urgentHolders []*holder
	settled       map[string]bool
	// movesAllowed says that a lease has passed since the leader won.
	movesAllowed bool
	// confirmedHeld are the ranges seen held in this term, by service.
	confirmedHeld  map[string][]keys.Range
	tableDirty     bool
	published      *route.Table
	pendingRecords map[string]pendingRecord
	recordAt       Time
	recordSerial   uint64
	recorded       map[string]recorded
}

// vote is what one voter answered in this term.
type vote struct {
	incarnation uint64
	askedAt     Time
	// answeredAt is when the newest answer of the process arrived.
	answeredAt Time
	// counted says that the voter follows.
	counted bool
	// homesFence is the highest value of the homes fence that the voter knows.
	homesFence uint64
}

func (l *leadership) won() bool {
	return l.wonAt != 0
}

func (c *Core) beginTerm(t grant.Term) {
	c.termClaim, c.preVote, c.resigned = nil, nil, false
	c.noteTerm(t)
	c.lead = &leadership{
		term:           t,
		startedAt:      c.now,
		votes:          make(map[string]*vote),
		holders:        make(map[holderID]*holder),
		targets:        make(map[string][]place.Target),
		pendingRecords: make(map[string]pendingRecord),
		recorded:       make(map[string]recorded),
		settled:        make(map[string]bool),
		confirmedHeld:  make(map[string][]keys.Range),
	}
	c.voterSets = c.voterSets[len(c.voterSets)-1:]
	c.adoptFormerGates()
	c.chooseGates()
	c.updateHolders()
	c.exchangeAll()
}

func (c *Core) stepDown(reason string) {
	if c.lead == nil {
		return
	}
	if c.lead.won() || reason != reasonNotElected {
		c.emit(Stepped{Term: c.lead.term, Reason: reason})
	}
	c.lead = nil
	c.leaderHeardAt = c.now
}

// checkQuorum ends a leadership whose newest majority was asked too long ago. Without it
// a leader that was outvoted could regain a majority by a voter that restarted and forgot
// the newer term, and both would lead.
func (c *Core) checkQuorum() {
	l := c.lead
	if l == nil {
		return
	}
	if !l.won() {
		if c.now > l.startedAt+Time(c.config.Lease) {
			c.stepDown(reasonNotElected)
		}
		return
	}
	if c.now > c.quorumAskedAt()+Time(c.config.Lease) && !c.config.mutated(mutNoQuorumCheck) {
		c.stepDown(reasonQuorumLost)
	}
}

// countVote takes the vote of an answer that follows the term.
//
// A voter that restarts may have followed a higher term and forgotten it. Its new process
// does not vote until the longest lease has passed since its start. A leader of a higher term
// that had its vote has by then either had a newer majority, or stepped down for want of
// one, as checkAuthority makes it; so the voter may be counted again.
func (c *Core) countVote(ev Answered) {
	if ev.Via != "" || !c.isVoter(ev.Server) {
		return
	}
	l := c.lead
	v := l.votes[ev.Server]
	if v == nil {
		v = &vote{incarnation: ev.Answer.Incarnation}
		l.votes[ev.Server] = v
	}
	if v.incarnation != ev.Answer.Incarnation {
		if ev.AskedAt <= v.answeredAt {
			return
		}
		v.incarnation, v.homesFence = ev.Answer.Incarnation, 0
	}
	v.answeredAt = c.now
	if !ev.Answer.Voting {
		return
	}
	v.homesFence = max(v.homesFence, ev.Answer.HomesFence)
	c.homesFence = max(c.homesFence, v.homesFence)
	askedAt := ev.AskedAt
	if c.config.mutated(mutAnswerTime) {
		askedAt = c.now
	}
	if !v.counted || askedAt > v.askedAt {
		v.counted = true
		v.askedAt = askedAt
		l.quorumStale = true
	}
}

func (c *Core) isVoter(server string) bool {
	return slices.ContainsFunc(c.voterSets, func(e voterSet) bool { return e[server] })
}

// quorumAskedAt returns the newest moment at which a majority of every electorate was asked and
// answered following this term, or a time long ago when there is none.
func (c *Core) quorumAskedAt() Time {
	l := c.lead
	if !l.quorumStale && l.cachedQuorumAskedAt != 0 {
		return l.cachedQuorumAskedAt
	}
	l.quorumStale = false
	l.cachedQuorumAskedAt = c.quorumAskedAtOf(c.voterSets[0])
	for _, e := range c.voterSets[1:] {
		l.cachedQuorumAskedAt = min(l.cachedQuorumAskedAt, c.quorumAskedAtOf(e))
	}
	return l.cachedQuorumAskedAt
}

// distantPast is earlier than every time at which something was asked.
const distantPast = Time(-1 << 62)

func (c *Core) quorumAskedAtOf(e voterSet) Time {
	var asked []Time
	for name := range e {
		v := c.lead.votes[name]
		if v != nil && v.counted {
			asked = append(asked, v.askedAt)
		}
	}
	majority := len(e)/2 + 1
	if c.config.mutated(mutOneVote) {
		majority = 1
	}
	if len(asked) < majority {
		return distantPast
	}
	slices.Sort(asked)
	return asked[len(asked)-majority]
}
