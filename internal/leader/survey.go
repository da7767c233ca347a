package leader

import (
	"slices"

	"example.org/mustardring/pkg/grant"
)

// survey asks the voters, without a term, whether they still hear from a leader.
//
// An instance that is cut from the others but reaches the servers would otherwise take the
// voters from a leader that serves well, lose them again, and so on: no leader would last
// long enough to move the ranges of a lost server. So a follower begins a term only when a
// majority of the voters has not heard from a leader for a while. The survey only delays
// terms; that a term is single rests on the fence alone.
type survey struct {
	askedAt  Time
	deadline Time
	quiet    electorate
}

// quietPeriods is the number of exchange periods after which a voter misses its leader.
const quietPeriods = 2

func (c *Core) beginSurvey() {
	c.survey = &survey{
		askedAt:  c.now,
		deadline: c.now + c.heartbeat()/2,
		quiet:    make(electorate),
	}
	asked := make(electorate)
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
				SendBefore: c.survey.deadline,
			})
		}
	}
}

// surveyed counts a voter that misses its leader, and claims a term when they are a majority.
func (c *Core) surveyed(ev Answered) {
	s := c.survey
	if s == nil || ev.Gate != "" || ev.AskedAt < s.askedAt {
		return
	}
	a := ev.Answer
	c.know(a.Fence)
	if a.LedAt != 0 && a.Clock-a.LedAt < grant.Instant(quietPeriods*c.config.ExchangeInterval) {
		return
	}
	s.quiet[ev.Server] = true
	if !slices.ContainsFunc(c.electorates, func(e electorate) bool { return !s.majorityOf(e) }) {
		c.survey = nil
		c.claimTerm()
	}
}

func (s *survey) majorityOf(e electorate) bool {
	n := 0
	for name := range e {
		if s.quiet[name] {
			n++
		}
	}
	return n > len(e)/2
}
