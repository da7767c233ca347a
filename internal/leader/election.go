package leader

import (
	"fmt"
	"slices"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/grant"
)

// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after which a
// peer counts as lost.
const maxMissedHeartbeats = 3

// termClaim is a claim of the term after the log term follows. It waits for the log to accept
// it, until the deadline.
type termClaim struct {
	follows  uint64
	deadline Time
}

// tickFollower starts an election when no heartbeat of a leader has arrived for too long. Each
// instance waits longer than those before it in the order of names, so that usually only one
// claims a term.
func (c *Core) tickFollower() {
	if c.stopping || len(c.services) == 0 {
		return
	}
	if c.termClaim != nil {
		if c.now >= c.termClaim.deadline || c.log.unavailable {
			c.beginWithoutLog()
		}
		return
	}
	wait := maxMissedHeartbeats*c.heartbeatInterval() + Time(c.rank())*c.heartbeatInterval()
	if c.now < c.leaderHeardAt+wait {
		return
	}
	switch {
	case c.resigned:
		c.claimTerm()
	case c.preVote == nil || c.now >= c.preVote.deadline:
		c.startPreVote()
	}
}

// claimTerm appends a claim of the next term to the log, or begins a term without the log
// when that is unavailable.
func (c *Core) claimTerm() {
	if c.log.unavailable || !c.log.everRead {
		c.beginWithoutLog()
		return
	}
	c.termClaim = &termClaim{follows: c.log.term.Log, deadline: c.now + Time(c.config.ClaimTimeout)}
	c.emit(Append{
		ID: fmt.Sprintf("term/%s/%d/%s/%x", c.config.Domain, c.termClaim.follows, c.config.Name, c.config.Incarnation),
		Record: record.TermClaimed{
			Domain:      c.config.Domain,
			Follows:     c.termClaim.follows,
			Instance:    c.config.Name,
			Incarnation: c.config.Incarnation,
		},
	})
}

// beginWithoutLog begins a sub-term of the highest known term. This makes the instance only a
// candidate: the voters decide.
func (c *Core) beginWithoutLog() {
	c.beginTerm(grant.Term{Log: c.highestTerm.Log, Sub: c.highestTerm.Sub + 1, Incarnation: c.config.Incarnation})
}

// handleLogRead takes the state of the log. If a follower finds that the log has accepted its
// claim, it becomes a candidate in that term. If the log has accepted a claim of another
// instance, it gives up its own and waits for the other instance to lead.
func (c *Core) handleLogRead(ev LogRead) {
	changed := ev.Term != c.log.term
	c.log.readAt = max(c.log.readAt, ev.ReadAt)
	c.log.everRead = true
	c.log.unavailable = false
	c.log.term = ev.Term
	c.log.assigned = ev.Assigned
	c.noteTerm(grant.Term{Log: ev.Term.Log})
	if c.lead != nil {
		c.lead.tableDirty = true
		return
	}
	if !changed || c.stopping {
		return
	}
	if ev.Term.Instance == c.config.Name && ev.Term.Incarnation == c.config.Incarnation {
		if c.termClaim != nil {
			c.beginTerm(grant.Term{Log: ev.Term.Log, Incarnation: c.config.Incarnation})
		}
		return
	}
	c.termClaim, c.preVote = nil, nil
	c.leaderHeardAt = c.now
}

// noteTerm raises the highest known term.
func (c *Core) noteTerm(t grant.Term) {
	if t.Compare(c.highestTerm) > 0 {
		c.highestTerm = t
	}
}

// handleHeartbeat records a heartbeat of a peer. A leader steps down if the peer leads in a
// higher term. If the peer says that it no longer leads, the wait for missed heartbeats is
// skipped, so that it is succeeded at once.
func (c *Core) handleHeartbeat(ev Heartbeat) {
	c.noteTerm(ev.Term)
	if ev.Name == c.config.Name {
		return
	}
	c.peers[ev.Name] = peer{heardAt: c.now, leaving: ev.Leaving}
	switch {
	case ev.Leading && ev.Term.Compare(c.highestTerm) >= 0:
		c.leader = ev.Name
		c.leaderHeardAt = c.now
		c.resigned = false
		c.termClaim, c.preVote = nil, nil
		if c.lead != nil && c.lead.term.Compare(ev.Term) < 0 {
			c.stepDown(reasonPeerLeads)
		}
	case !ev.Leading && ev.Name == c.leader:
		c.leader = ""
		c.resigned = true
		c.leaderHeardAt = c.now - maxMissedHeartbeats*c.heartbeatInterval()
	}
}

// alive reports whether an instance sent a heartbeat recently and is not leaving.
func (c *Core) alive(name string) bool {
	if name == c.config.Name {
		return !c.stopping
	}
	p, found := c.peers[name]
	return found && !p.leaving && c.now < p.heardAt+maxMissedHeartbeats*c.heartbeatInterval()
}

// aliveInstances returns the names of the instances that are alive, sorted.
func (c *Core) aliveInstances() []string {
	var names []string
	for name := range c.peers {
		if c.alive(name) {
			names = append(names, name)
		}
	}
	if c.alive(c.config.Name) {
		names = append(names, c.config.Name)
	}
	slices.Sort(names)
	return names
}

// rank returns the position of this instance among the live instances, sorted by name.
func (c *Core) rank() int {
	return max(0, slices.Index(c.aliveInstances(), c.config.Name))
}

func (c *Core) heartbeatInterval() Time {
	return Time(c.config.HeartbeatInterval)
}
