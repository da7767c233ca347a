package leader

import (
	"slices"

	"example.org/mustardring/pkg/grant"
)

// preVote is a round of asking the voters, without a term, whether they still get exchanges
// from a leader. It corresponds to the pre-vote of Raft.
//
// Without it, two instances that cannot reach each other but reach the servers would take the
// voters from each other in turn. No leader would last long enough to move the ranges of a
// lost server. So a follower begins a term only when a majority of the voters has had no
// exchange from a leader for a while. A pre-vote only delays terms: it is the fence of the
// voters that makes sure that a term has one leader.
type preVote struct {
	askedAt  Time
	deadline Time
	// leaderless are the voters that answered that they miss their leader.
	leaderless voterSet
}

// missedExchanges is the number of exchange intervals without an exchange after which a voter
// misses its leader.
const missedExchanges = 2

// startPreVote asks every voter once, with an exchange without a term.
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

// handlePreVote counts a voter that misses its leader, and claims a term when such voters are
// a majority of every voter set.
func (c *Core) handlePreVote(ev Answered) {
	p := c.preVote
	if p == nil || ev.Gate != "" || ev.AskedAt < p.askedAt {
		return
	}
	a := ev.Answer
	c.noteTerm(a.Fence)
	if a.LedAt != 0 && a.Clock-a.LedAt < grant.Instant(missedExchanges*c.config.ExchangeInterval) {
		return
	}
	p.leaderless[ev.Server] = true
	if !slices.ContainsFunc(c.voterSets, func(voters voterSet) bool { return !p.majorityOf(voters) }) {
		c.preVote = nil
		c.claimTerm()
	}
}

func (p *preVote) majorityOf(voters voterSet) bool {
	n := 0
	for name := range voters {
		if p.leaderless[name] {
			n++
		}
	}
	return n > len(voters)/2
}
