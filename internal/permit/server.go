package permit

import (
	"time"

	"example.org/mustardring/internal/rules"
)

// The constants of what is learnt of a server.
const (
	// timeRatioWeight is the weight of the newest answer in a server's speed: some ten answers show
	// that a server has turned slow.
	timeRatioWeight = 0.1
	// minTimeRatio and speedMost bound the factor by which a server is slower than the mean.
	minTimeRatio = 0.2
	maxTimeRatio = 20
	// failureWeight is the weight of the newest outcome in the share of failures.
	failureWeight = 0.2
	// maxFailureRate is the share of failures from which on a server is set aside: three failures in
	// a row reach it, one in four over time does not.
	maxFailureRate = 0.45
	// minEjectionTime and asideMost bound the time for which a failing server is set aside; it
	// doubles with each time.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime = 4 * time.Second
	// maxEjectedShare is the part of a service's servers that may be set aside at one time: more of
	// them would leave too little room for the load.
	maxEjectedShare = 0.34
	// fullBackoff keeps requests from a server that has just said it is full. One that turns requests
	// away while it reports free slots is not full but faulty, and goes on getting them: with the
	// pause servers that rejected half of all requests stood idle while others waited.
	fullBackoff = 60 * time.Millisecond
	// untrackedTimeout is how long a reported load counts that this keeper does not know of.
	untrackedTimeout = 100 * time.Millisecond
	// minReportAnswers is the number of answers from which on a server's speed is told to others: as
	// many as make two thirds of it.
	minReportAnswers = 10
	// maxWaitingAtServer is how many requests may wait at a server for a slot, besides those that it runs: between the end of a
	// request and the start of one that waits here lie several messages, and the slot would be idle meanwhile.
	maxWaitingAtServer = 2
	// connIdleTimeout is how long an instance's connection to a server is open after its last request:
	// below the 8 seconds for which instances keep idle ones.
	connIdleTimeout = 6 * time.Second
	// checkFactor and doubtLeast, in multiples of the expected time and besides it, are when a
	// permit is doubted, doubtEvery how often from then on.
	checkFactor   = 1.5
	checkMargin   = 50 * time.Millisecond
	checkInterval = 100 * time.Millisecond
	// expiryDelay is how long after its limit a permit is taken back that nobody gave back, as
	// when the instance that had it was killed.
	expiryDelay = 300 * time.Millisecond
)

// admission is one permit in use.
type admission struct {
	admittedAt   time.Time
	expectedTime time.Duration
	// coldFactor is that by which the server was expected to take longer than the mean, besides its speed.
	coldFactor float64
	// startedAt is when the server began with the request, as far as is known, zero while it waits there.
	startedAt time.Time
}

// serviceTime returns how long the server worked on a request that has been answered.
func (u admission) serviceTime(d Completion) time.Duration {
	if u.startedAt.IsZero() {
		return d.Took
	}
	return max(d.Took-u.startedAt.Sub(u.admittedAt), time.Millisecond)
}

// remaining returns for how long the permit is likely to be in use. What takes longer than expected is expected
// to take a quarter more.
func (u admission) remaining(now time.Time) time.Duration {
	return max(u.expectedTime-now.Sub(u.admittedAt), u.expectedTime/4)
}

// server is a backend server with its permits.
type server struct {
	rules.Server
	admissions map[ID]admission
	// queue holds the requests that wait for this server.
	queue queue
	// timeRatio is the factor by which answers take longer than the mean of their route.
	timeRatio        float64
	failureRate      float64
	ejected          bool
	ejectedUntil     time.Time
	nextEjectionTime time.Duration
	fullUntil        time.Time
	// untracked is the number of requests of others at the server, as of its last report.
	untracked      int
	untrackedUntil time.Time
	// coldSendTimes is when requests were sent to the server while it was cold, the earliest first, coldFrom since when they
	// have followed one another, and coldUntil when the next one may be sent.
	coldSendTimes []time.Time
	coldRunStart  time.Time
	coldNextAt    time.Time
	// countedCapacity is what of the server's power is counted in that of all, behind how many of its requests are counted
	// among those that wait at their servers.
	countedCapacity float64
	countedWaiting  int
	// answers is the number of answers that the speed was learnt from, told that of the last report.
	answers         int
	reportedAnswers int

	// listing is where the server stands among the free ones of listedDomain, if it is listed there.
	listing      listing
	listed       bool
	listedDomain string
	// nextTimerAt is when the server is looked at next.
	nextTimerAt time.Time
}

func newServer(s rules.Server) *server {
	return &server{Server: s, timeRatio: 1, nextEjectionTime: minEjectionTime}
}

// addAdmission takes in a permit.
func (s *server) addAdmission(key ID, u admission) {
	if s.admissions == nil {
		s.admissions = map[ID]admission{}
	}
	s.admissions[key] = u
}

// slotCapacity is what the server can do when it is not cold, in slots of mean speed.
func (s *server) slotCapacity() float64 { return float64(s.Slots) / s.timeRatio }

// coldFactor is that by which work takes longer at the server now than its speed says.
func (s *server) coldFactor(now time.Time) float64 {
	if s.Cold(now) {
		return coldSlowdown
	}
	return 1
}

// occupancy returns how many requests are at the server.
func (s *server) occupancy(now time.Time) int {
	n := len(s.admissions)
	if now.Before(s.untrackedUntil) {
		n += s.untracked
	}
	return n
}

// free reports whether the server has a slot for a request now.
func (s *server) free(now time.Time) bool { return s.occupancy(now) < s.Slots && s.open(now) }

// open reports whether a request may be sent now, to a slot or to wait for one at the server.
func (s *server) open(now time.Time) bool {
	return s.occupancy(now) < s.Slots+maxWaitingAtServer && !now.Before(s.fullUntil) && !now.Before(s.coldNextAt)
}

// waitingForSlot returns how many requests wait at the server for a slot.
func (s *server) waitingForSlot() int { return max(len(s.admissions)-s.Slots, 0) }

// startNext takes in that a slot has become free: the first request that waits at the server has begun.
func (s *server) startNext(now time.Time) {
	var first ID
	found := false
	for key, u := range s.admissions {
		if u.startedAt.IsZero() && (!found || u.admittedAt.Before(s.admissions[first].admittedAt)) {
			first, found = key, true
		}
	}
	if found {
		u := s.admissions[first]
		u.startedAt = now
		s.admissions[first] = u
	}
}

// ejectionActive reports whether the server is set aside for its failures.
func (s *server) ejectionActive(now time.Time) bool { return now.Before(s.ejectedUntil) }

// timeToFreeSlot returns the time until a slot is free.
func (s *server) timeToFreeSlot(now time.Time) time.Duration {
	least, first := time.Duration(0), true
	if len(s.admissions) >= s.Slots {
		for _, u := range s.admissions {
			if left := u.remaining(now); first || left < least {
				least, first = left, false
			}
		}
	}
	return max(least, s.fullUntil.Sub(now), s.coldNextAt.Sub(now))
}

// learn takes in how a sending ended, that a use of the server was for.
func (s *server) learn(d Completion, u admission, mean time.Duration, now time.Time) {
	switch d.Outcome {
	case Answered:
		factor := min(max(float64(u.serviceTime(d))/u.coldFactor/float64(max(mean, time.Millisecond)), minTimeRatio), maxTimeRatio)
		s.timeRatio += (factor - s.timeRatio) * timeRatioWeight
		s.failureRate -= s.failureRate * failureWeight
		s.answers++
		if s.failureRate < failureWeight {
			s.nextEjectionTime = minEjectionTime
		}
	case Failed, Lost:
		s.failureRate += (1 - s.failureRate) * failureWeight
	case Full:
		if !d.Load.Known || d.Load.Running+d.Load.Waiting >= s.Slots {
			s.fullUntil = now.Add(fullBackoff)
		}
	case NotOwner, Unsent, Cancelled:
	}
	if d.Load.Known {
		// The report counts the request that has just ended.
		s.untracked = max(d.Load.Running+d.Load.Waiting-len(s.admissions)-1, 0)
		s.untrackedUntil = now.Add(untrackedTimeout)
	}
}

// eject keeps requests from the server for a time, for longer each time.
func (s *server) eject(now time.Time) {
	s.ejected = true
	s.ejectedUntil = now.Add(s.nextEjectionTime)
	s.nextEjectionTime = min(2*s.nextEjectionTime, maxEjectionTime)
}
