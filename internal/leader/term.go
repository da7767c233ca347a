package leader

import (
	"slices"

	"example.org/mustardring/internal/place"
	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// The reasons for which a leadership or candidacy ends.
const (
	reasonStopping   = "stopping"
	reasonFenced     = "fenced"
	reasonPeerLeads  = "peer-leads"
	reasonQuorumLost = "authority-lapsed"
	reasonNotElected = "no-majority"
)

// leadership is the state of one term that this instance has begun: first as a candidate, and
// from wonAt as the leader.
type leadership struct {
	term      grant.Term
	startedAt Time
	// wonAt is when a majority of every voter set first followed this term. It is zero before.
	wonAt Time
	votes map[string]*vote
	// cachedQuorumAskedAt caches quorumAskedAt. quorumStale says that votes have changed since.
	cachedQuorumAskedAt Time
	quorumStale         bool

	holders map[holderID]*holder
	// retired are holders that are not asked any more but may still act on their ranges.
	retired []*holder
	// sequence is that of the newest epoch of this term.
	sequence uint64
	// exchangeAt and placeAt are when the next exchange with all holders and the next placement
	// are due. placedAt is when the last placement was.
	exchangeAt Time
	placeAt    Time
	placedAt   Time
	// targets has the newest placement by service.
	targets map[string][]place.Target
	// rangesDirty says that range sets may have to change, tableDirty that the routing table may
	// have to, and sawOtherTerm that a holder has reported a grant of another term.
	rangesDirty  bool
	sawOtherTerm bool
	// reconcileAt and publishAt are the earliest times of the next passes over all ranges.
	reconcileAt   Time
	publishAt     Time
	urgentHolders []*holder
	settled       map[string]bool
	// movesAllowed says that the time movesAllowedAt has passed.
	movesAllowed bool
	// confirmedHeld has the ranges that noteConfirmedHeld took in, by service.
	confirmedHeld map[string][]keys.Range
	tableDirty    bool
	published     *route.Table
	// pendingRecords has the unacknowledged record of each service.
	pendingRecords map[string]pendingRecord
	recordAt       Time
	recordSerial   uint64
	// recorded has the acknowledged grant of each server.
	recorded map[string]recorded
}

// vote is what is known of one voter in this term.
type vote struct {
	incarnation uint64
	askedAt     Time
	// answeredAt is when the newest answer of the process arrived.
	answeredAt Time
	// counted says that the voter has answered that it follows this term. The newest such answer
	// was asked for at askedAt.
	counted bool
	// homesFence is the highest value of the homes fence that the voter has reported.
	homesFence uint64
}

func (l *leadership) won() bool {
	return l.wonAt != 0
}

// beginTerm makes this instance a candidate in a term. From now on it needs only the newest
// voter set.
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

// stepDown ends the leadership or candidacy, if there is one.
func (c *Core) stepDown(reason string) {
	if c.lead == nil {
		return
	}
	if c.lead.won() || reason != reasonNotElected {
		c.emit(SteppedDown{Term: c.lead.term, Reason: reason})
	}
	c.lead = nil
	c.leaderHeardAt = c.now
}

// checkQuorum ends a leadership whose newest majority was asked more than a lease ago, and a
// candidacy that has not won in that time. Without it, a leader that was succeeded could
// regain a majority through a voter that restarted and forgot the newer term, and two
// instances would lead.
func (c *Core) checkQuorum() {
	l := c.lead
	if l == nil {
		return
	}
	if !l.won() {
		if c.now > l.startedAt+Time(c.config.LeaseDuration) {
			c.stepDown(reasonNotElected)
		}
		return
	}
	if c.now > c.quorumAskedAt()+Time(c.config.LeaseDuration) && !c.config.mutated(mutNoQuorumCheck) {
		c.stepDown(reasonQuorumLost)
	}
}

// countVote records the vote of a voter whose answer follows this term.
//
// A voter that restarts may have followed a higher term and forgotten it. Its new process
// does not vote until the longest lease has passed since its start. By then, a leader of a
// higher term that had its vote either has a newer majority or was made to step down by
// checkQuorum. So the vote of the new process may be counted.
func (c *Core) countVote(ev Answered) {
	if ev.Gate != "" || !c.isVoter(ev.Server) {
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
	return slices.ContainsFunc(c.voterSets, func(voters voterSet) bool { return voters[server] })
}

// quorumAskedAt returns the latest time such that a majority of every voter set was asked then
// or later and answered that it follows this term. It returns distantPast if there is none.
func (c *Core) quorumAskedAt() Time {
	l := c.lead
	if !l.quorumStale && l.cachedQuorumAskedAt != 0 {
		return l.cachedQuorumAskedAt
	}
	l.quorumStale = false
	l.cachedQuorumAskedAt = c.quorumAskedAtOf(c.voterSets[0])
	for _, voters := range c.voterSets[1:] {
		l.cachedQuorumAskedAt = min(l.cachedQuorumAskedAt, c.quorumAskedAtOf(voters))
	}
	return l.cachedQuorumAskedAt
}

// distantPast is earlier than every time of the clock.
const distantPast = Time(-1 << 62)

func (c *Core) quorumAskedAtOf(voters voterSet) Time {
	var asked []Time
	for name := range voters {
		v := c.lead.votes[name]
		if v != nil && v.counted {
			asked = append(asked, v.askedAt)
		}
	}
	majority := len(voters)/2 + 1
	if c.config.mutated(mutOneVote) {
		majority = 1
	}
	if len(asked) < majority {
		return distantPast
	}
	slices.Sort(asked)
	return asked[len(asked)-majority]
}
