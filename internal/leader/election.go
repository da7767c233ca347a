package leader

import (
	"fmt"
	"slices"

	"example.org/mustardring/internal/record"
	"example.org/mustardring/pkg/grant"
)

// missedHeartbeats is the number of periods after which a silent peer counts as lost.
const missedHeartbeats = 3

// claim is a claim of a term that waits for the log.
type claim struct {
	follows  uint64
	deadline Time
}

// tickFollower begins to succeed the leader when it was not heard for long enough. Instances
// wait in the order of their names, so that mostly one claims.
func (c *Core) tickFollower() {
	if c.stopping || len(c.services) == 0 {
		return
	}
	if c.claim != nil {
		if c.now >= c.claim.deadline || c.log.away {
			c.beginWithoutLog()
		}
		return
	}
	wait := missedHeartbeats*c.heartbeat() + Time(c.rank())*c.heartbeat()
	if c.now < c.leaderAt+wait {
		return
	}
	switch {
	case c.resigned:
		c.claimTerm()
	case c.survey == nil || c.now >= c.survey.deadline:
		c.beginSurvey()
	}
}

func (c *Core) claimTerm() {
	if c.log.away || !c.log.read {
		c.beginWithoutLog()
		return
	}
	c.claim = &claim{follows: c.log.term.Log, deadline: c.now + Time(c.config.ClaimTimeout)}
	c.emit(Append{
		ID: fmt.Sprintf("term/%s/%d/%s/%x", c.config.Domain, c.claim.follows, c.config.Name, c.config.Incarnation),
		Record: record.TermClaimed{
			Domain:      c.config.Domain,
			Follows:     c.claim.follows,
			Instance:    c.config.Name,
			Incarnation: c.config.Incarnation,
		},
	})
}

// beginWithoutLog starts a sub-term. It is no more than a candidacy: the voters decide.
func (c *Core) beginWithoutLog() {
	c.begin(grant.Term{Log: c.known.Log, Sub: c.known.Sub + 1, Incarnation: c.config.Incarnation})
}

func (c *Core) folded(ev LogRead) {
	changed := ev.Term != c.log.term
	c.log.readAt = max(c.log.readAt, ev.ReadAt)
	c.log.read = true
	c.log.away = false
	c.log.term = ev.Term
	c.log.assigned = ev.Assigned
	c.know(grant.Term{Log: ev.Term.Log})
	if c.lead != nil {
		c.lead.tableDirty = true
		return
	}
	if !changed || c.stopping {
		return
	}
	if ev.Term.Instance == c.config.Name && ev.Term.Incarnation == c.config.Incarnation {
		if c.claim != nil {
			c.begin(grant.Term{Log: ev.Term.Log, Incarnation: c.config.Incarnation})
		}
		return
	}
	c.claim, c.survey = nil, nil
	c.leaderAt = c.now
}

func (c *Core) know(t grant.Term) {
	if t.Compare(c.known) > 0 {
		c.known = t
	}
}

func (c *Core) peerHeard(ev Heartbeat) {
	c.know(ev.Term)
	if ev.Name == c.config.Name {
		return
	}
	c.peers[ev.Name] = peer{heardAt: c.now, leaving: ev.Leaving}
	switch {
	case ev.Leading && ev.Term.Compare(c.known) >= 0:
		c.leader = ev.Name
		c.leaderAt = c.now
		c.resigned = false
		c.claim, c.survey = nil, nil
		if c.lead != nil && c.lead.term.Compare(ev.Term) < 0 {
			c.stepDown(reasonPeer)
		}
	case !ev.Leading && ev.Name == c.leader:
		c.leader = ""
		c.resigned = true
		c.leaderAt = c.now - missedHeartbeats*c.heartbeat()
	}
}

// alive reports whether an instance was heard lately and is not leaving.
func (c *Core) alive(name string) bool {
	if name == c.config.Name {
		return !c.stopping
	}
	p, found := c.peers[name]
	return found && !p.leaving && c.now < p.heardAt+missedHeartbeats*c.heartbeat()
}

// instances returns the names of the instances that are alive, sorted.
func (c *Core) instances() []string {
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

func (c *Core) rank() int {
	return max(0, slices.Index(c.instances(), c.config.Name))
}

func (c *Core) heartbeat() Time {
	return Time(c.config.HeartbeatInterval)
}
