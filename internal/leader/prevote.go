package leader

import (
	"slices"

	"example.org/mustardring/pkg/grant"
)

// preVote asks the voters, without a term, whether they still hear from a leader.
//
// An instance that is cut from the others but reaches the servers would otherwise take the
// voters from a leader that serves well, lose them again, and so on: no leader would last
// long enough to move the ranges of a lost server. So a follower begins a term only when a
// majority of the voters has not heard from a leader for a while. The survey only delays
// terms; that a term is single rests on the fence alone.
type preVote struct {
	askedAt    Time
	deadline   Time
	leaderless voterSet
}

// missedExchanges is the number of exchange periods after which a voter misses its leader.
const missedExchanges = 2

func (c *Core) startPreVote() {
	c.preVote = &preVote{
		askedAt:    c.now,
		deadline:   c.now + c.heartbeatInterval()/2,
		leaderless: make(voterSet),
	}
	asked := make(voterSet)
	for _, s := range c.services {
		for _, b := range s.Servers {
			if !b.Votes || asked[b.Name] {
				continue
			}
			asked[b.Name] = true
			c.emit(Send{
				Server:     b.Name,
				Exchange:   grant.Exchange{Service: s.Name, Server: b.Name},
				AskedAt:    c.now,
				SendBefore: c.preVote.deadline,
			})
		}
	}
}

// handlePreVote counts a voter that misses its leader, and claims a term when they are a majority.
func (c *Core) handlePreVote(ev Answered) {
	s := c.preVote
	if s == nil || ev.Via != "" || ev.AskedAt < s.askedAt {
		return
	}
	a := ev.Answer
	c.noteTerm(a.Fence)
	if a.LedAt != 0 && a.Clock-a.LedAt < grant.Instant(missedExchanges*c.config.Exchange) {
		return
	}
	s.leaderless[ev.Server] = true
	if !slices.ContainsFunc(c.voterSets, func(e voterSet) bool { return !s.majorityOf(e) }) {
		c.preVote = nil
		c.claimTerm()
	}
}

func (s *preVote) majorityOf(e voterSet) bool {
	n := 0
	for name := range e {
		if s.leaderless[name] {
			n++
		}
	}
	return n > len(e)/2
}
