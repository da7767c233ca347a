package permit

import (
	"time"

	"example.org/mustardring/internal/rules"
)

// The constants of what is learnt of a server.
const (
	// speedShare is the weight of the newest answer in a server's speed: some ten answers show
	// that a server has turned slow.
	speedShare = 0.1
	// speedLeast and speedMost bound the factor by which a server is slower than the mean.
	speedLeast = 0.2
	speedMost  = 20
	// failShare is the weight of the newest outcome in the share of failures.
	failShare = 0.2
	// failMost is the share of failures from which on a server is set aside: three failures in
	// a row reach it, one in four over time does not.
	failMost = 0.45
	// asideLeast and asideMost bound the time for which a failing server is set aside; it
	// doubles with each time.
	asideLeast = 500 * time.Millisecond
	asideMost  = 4 * time.Second
	// asideShare is the part of a service's servers that may be set aside at one time: more of
	// them would leave too little room for the load.
	asideShare = 0.34
	// fullPause keeps requests from a server that has just said it is full. One that turns requests
	// away while it reports free slots is not full but faulty, and goes on getting them: with the
	// pause servers that rejected half of all requests stood idle while others waited.
	fullPause = 60 * time.Millisecond
	// foreignTime is how long a reported load counts that this keeper does not know of.
	foreignTime = 100 * time.Millisecond
	// heardLeast is the number of answers from which on a server's speed is told to others: as
	// many as make two thirds of it.
	heardLeast = 10
	// waitThere is how many requests may wait at a server for a slot, besides those that it runs: between the end of a
	// request and the start of one that waits here lie several messages, and the slot would be idle meanwhile.
	waitThere = 2
	// openTime is how long an instance's connection to a server is open after its last request:
	// below the 8 seconds for which instances keep idle ones.
	openTime = 6 * time.Second
	// doubtShare and doubtLeast, in multiples of the expected time and besides it, are when a
	// permit is doubted, doubtEvery how often from then on.
	doubtShare = 1.5
	doubtLeast = 50 * time.Millisecond
	doubtEvery = 100 * time.Millisecond
	// overdue is how long after its limit a permit is taken back that nobody gave back, as
	// when the instance that had it was killed.
	overdue = 300 * time.Millisecond
)

// use is one permit in use.
type use struct {
	since  time.Time
	expect time.Duration
	// factor is that by which the server was expected to take longer than the mean, besides its speed.
	factor float64
	// startedAt is when the server began with the request, as far as is known, zero while it waits there.
	startedAt time.Time
}

// work returns how long the server worked on a request that has been answered.
func (u use) work(d Completion) time.Duration {
	if u.startedAt.IsZero() {
		return d.Took
	}
	return max(d.Took-u.startedAt.Sub(u.since), time.Millisecond)
}

// left returns for how long the permit is likely to be in use. What takes longer than expected is expected
// to take a quarter more.
func (u use) left(now time.Time) time.Duration { return max(u.expect-now.Sub(u.since), u.expect/4) }

// server is a backend server with its permits.
type server struct {
	rules.Server
	uses map[ID]use
	// queue holds the requests that wait for this server.
	queue queue
	// speed is the factor by which answers take longer than the mean of their route.
	speed      float64
	failures   float64
	setAside   bool
	asideUntil time.Time
	asideNext  time.Duration
	fullUntil  time.Time
	// foreign is the number of requests of others at the server, as of its last report.
	foreign      int
	foreignUntil time.Time
	// coldSent is when requests were sent to the server while it was cold, the earliest first, coldFrom since when they
	// have followed one another, and coldUntil when the next one may be sent.
	coldSent  []time.Time
	coldFrom  time.Time
	coldUntil time.Time
	// counted is what of the server's power is counted in that of all, behind how many of its requests are counted
	// among those that wait at their servers.
	counted float64
	behind  int
	// heard is the number of answers that the speed was learnt from, told that of the last report.
	heard int
	told  int

	// place is where the server stands among the free ones of listedDomain, if it is listed there.
	place        place
	listed       bool
	listedDomain string
	// timerAt is when the server is looked at next.
	timerAt time.Time
}

func newServer(s rules.Server) *server {
	return &server{Server: s, speed: 1, asideNext: asideLeast}
}

// use takes in a permit.
func (s *server) use(key ID, u use) {
	if s.uses == nil {
		s.uses = map[ID]use{}
	}
	s.uses[key] = u
}

// slotPower is what the server can do when it is not cold, in slots of mean speed.
func (s *server) slotPower() float64 { return float64(s.Slots) / s.speed }

// factor is that by which work takes longer at the server now than its speed says.
func (s *server) factor(now time.Time) float64 {
	if s.Cold(now) {
		return coldSlowdown
	}
	return 1
}

// busy returns how many requests are at the server.
func (s *server) busy(now time.Time) int {
	n := len(s.uses)
	if now.Before(s.foreignUntil) {
		n += s.foreign
	}
	return n
}

// free reports whether the server has a slot for a request now.
func (s *server) free(now time.Time) bool { return s.busy(now) < s.Slots && s.open(now) }

// open reports whether a request may be sent now, to a slot or to wait for one at the server.
func (s *server) open(now time.Time) bool {
	return s.busy(now) < s.Slots+waitThere && !now.Before(s.fullUntil) && !now.Before(s.coldUntil)
}

// waitsThere returns how many requests wait at the server for a slot.
func (s *server) waitsThere() int { return max(len(s.uses)-s.Slots, 0) }

// startNext takes in that a slot has become free: the first request that waits at the server has begun.
func (s *server) startNext(now time.Time) {
	var first ID
	found := false
	for key, u := range s.uses {
		if u.startedAt.IsZero() && (!found || u.since.Before(s.uses[first].since)) {
			first, found = key, true
		}
	}
	if found {
		u := s.uses[first]
		u.startedAt = now
		s.uses[first] = u
	}
}

// aside reports whether the server is set aside for its failures.
func (s *server) aside(now time.Time) bool { return now.Before(s.asideUntil) }

// next returns the time until a slot is free.
func (s *server) next(now time.Time) time.Duration {
	least, first := time.Duration(0), true
	if len(s.uses) >= s.Slots {
		for _, u := range s.uses {
			if left := u.left(now); first || left < least {
				least, first = left, false
			}
		}
	}
	return max(least, s.fullUntil.Sub(now), s.coldUntil.Sub(now))
}

// learn takes in how a sending ended, that a use of the server was for.
func (s *server) learn(d Completion, u use, mean time.Duration, now time.Time) {
	switch d.Outcome {
	case Answered:
		factor := min(max(float64(u.work(d))/u.factor/float64(max(mean, time.Millisecond)), speedLeast), speedMost)
		s.speed += (factor - s.speed) * speedShare
		s.failures -= s.failures * failShare
		s.heard++
		if s.failures < failShare {
			s.asideNext = asideLeast
		}
	case Failed, Lost:
		s.failures += (1 - s.failures) * failShare
	case Full:
		if !d.Load.Known || d.Load.Running+d.Load.Waiting >= s.Slots {
			s.fullUntil = now.Add(fullPause)
		}
	case NotOwner, Unsent, Cancelled:
	}
	if d.Load.Known {
		// The report counts the request that has just ended.
		s.foreign = max(d.Load.Running+d.Load.Waiting-len(s.uses)-1, 0)
		s.foreignUntil = now.Add(foreignTime)
	}
}

// putAside keeps requests from the server for a time, for longer each time.
func (s *server) putAside(now time.Time) {
	s.setAside = true
	s.asideUntil = now.Add(s.asideNext)
	s.asideNext = min(2*s.asideNext, asideMost)
}
