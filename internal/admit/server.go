package admit

import (
	"time"

	"example.org/mustardring/internal/fair"
	"example.org/mustardring/internal/rules"
)

// Parameters of what is learned about a server.
const (
	// timeRatioWeight is the weight of the newest answer in a server's time ratio: about ten
	// answers show that a server has become slow.
	timeRatioWeight = 0.1
	// minTimeRatio and maxTimeRatio bound the time ratio of a server.
	minTimeRatio = 0.2
	maxTimeRatio = 20
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.2
	// maxFailureRate is the failure rate above which a server is ejected: three failures in a row
	// reach it, one failure in four requests over time does not.
	maxFailureRate = 0.45
	// minEjectionTime and maxEjectionTime bound the time for which a failing server is ejected. The
	// time doubles with each ejection, until the failure rate falls below failureWeight.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime = 4 * time.Second
	// maxEjectedShare is the fraction of the servers that may be ejected at the same time. More
	// would leave too little capacity for the load.
	maxEjectedShare = 0.34
	// fullBackoff is how long a server gets no requests after it has said that it is full. A server
	// that turns requests away while it reports free slots is faulty, not full, and still gets
	// requests: with the backoff, servers that rejected half of all requests stood idle while
	// requests waited.
	fullBackoff = 60 * time.Millisecond
	// untrackedTimeout is how long the reported load of requests that this controller did not admit
	// counts.
	untrackedTimeout = 100 * time.Millisecond
	// minReportAnswers is the number of answers from which on the capacity of a server is reported
	// to others. That many answers make up two thirds of its time ratio.
	minReportAnswers = 10
	// maxWaitingAtServer is how many admitted requests may wait for a slot at a server, besides
	// those that it runs. Several messages lie between the end of a request and the start of one
	// that waits in the controller's queue, and the slot would be idle meanwhile.
	maxWaitingAtServer = 2
	// connIdleTimeout is how long an instance is assumed to keep a connection to a server after its
	// last request. It is below the 8 seconds for which instances keep idle connections.
	connIdleTimeout = 6 * time.Second
	// The holder of an admission is asked whether it still has it after checkFactor times the
	// expected time plus checkMargin, and every checkInterval from then on.
	checkFactor   = 1.5
	checkMargin   = 50 * time.Millisecond
	checkInterval = 100 * time.Millisecond
	// expiryDelay is how long after the deadline of its request an admission expires that was not
	// released, for example because the instance that held it was killed.
	expiryDelay = 300 * time.Millisecond
)

// admission is the right of a request to be sent to a server.
type admission struct {
	admittedAt time.Time
	// expectedTime is how long the admission is expected to last.
	expectedTime time.Duration
	// coldFactor is the factor by which the server was expected to take longer because it was cold.
	coldFactor float64
	// startedAt is when the server started on the request, as far as is known, zero while the
	// request waits there.
	startedAt time.Time
	origin    uint64
	earlier   Earlier
}

// serviceTime returns how long the server worked on a request that has been answered, at least a
// millisecond if its start is known.
func (a admission) serviceTime(done Completion) time.Duration {
	if a.startedAt.IsZero() {
		return done.Took
	}
	return max(done.Took-a.startedAt.Sub(a.admittedAt), time.Millisecond)
}

// remaining returns how long the admission is expected to last from now on. One that has lasted
// longer than expected is expected to last for another quarter of its expected time.
func (a admission) remaining(now time.Time) time.Duration {
	return max(a.expectedTime-now.Sub(a.admittedAt), a.expectedTime/4)
}

// server is a backend server with its admissions and what has been learned about it.
type server struct {
	rules.Server
	admissions map[ID]admission
	// queue holds the requests that wait for this server only.
	queue queue
	// timeRatio is the ratio of the server's service times to the means of their routes; above 1
	// the server is slow.
	timeRatio float64
	// failureRate is the moving average of failures, from 0 to 1. evidence says whether they are the server's.
	failureRate float64
	evidence    failureEvidence
	// ejected reports whether the server is ejected, which lasts until ejectedUntil. The next
	// ejection lasts for nextEjectionTime.
	ejected          bool
	ejectedUntil     time.Time
	nextEjectionTime time.Duration
	// fullUntil is the end of the backoff after the server has said that it is full.
	fullUntil time.Time
	// shares are those of the callers of the requests that only this server may run, nil until there is one. usage is the
	// time that each priority had, and asked what new requests ask of the server, in slots of mean speed.
	shares *shares
	usage  fair.Usage
	asked  demand
	// rests is what the server wants of instances that it has asked for rest.
	rests rests
	// untracked is the number of requests at the server that this controller did not admit, as of
	// the last report.
	untracked      int
	untrackedUntil time.Time
	// coldSendTimes holds when requests were sent to the server while it was cold, the earliest
	// first. coldRunStart is since when they have followed one another without a pause.
	coldSendTimes []time.Time
	coldRunStart  time.Time
	// limitNextAt is when the allowance of the limit that the server states will have been used up to the last request,
	// nextReturnAt when the next caller that is rejected because of it is asked to come back.
	limitNextAt  time.Time
	nextReturnAt time.Time
	// nextSendAt is when the next request may be sent if the rate of requests is bounded, zero if at once.
	nextSendAt time.Time
	// countedCapacity and countedWaiting are the server's parts of Controller.capacity and
	// Controller.waitingAtServers.
	countedCapacity float64
	countedWaiting  int
	// answers is the number of answers that timeRatio was learned from, reportedAnswers that number
	// at the last report.
	answers         int
	reportedAnswers int
	// rejected is the number of requests since the last report that the server rejected while it had free slots, or failed.
	rejected int

	// listed reports whether the server is to be in the list of open servers of its domain, as listing. entered reports
	// whether it is in that of entryDomain, as entry, and unentered whether the two may differ.
	listing     listing
	listed      bool
	entry       listing
	entryDomain string
	entered     bool
	unentered   bool
	// nextTimerAt is when the next serverChange timer of the server is due, or in the past if none
	// is pending.
	nextTimerAt time.Time
}

func newServer(s rules.Server) *server {
	return &server{Server: s, timeRatio: 1, nextEjectionTime: minEjectionTime}
}

func (s *server) addAdmission(id ID, a admission) {
	if s.admissions == nil {
		s.admissions = map[ID]admission{}
	}
	s.admissions[id] = a
}

// slotCapacity returns what the server can run when it is not cold, in slots of a server of mean
// speed.
func (s *server) slotCapacity() float64 { return float64(s.Slots) / s.timeRatio }

// coldFactor returns the factor by which requests take longer at the server because it is cold.
func (s *server) coldFactor(now time.Time) float64 {
	if s.Cold(now) {
		return coldSlowdown
	}
	return 1
}

// occupancy returns how many requests are at the server, including those of others.
func (s *server) occupancy(now time.Time) int {
	n := len(s.admissions)
	if now.Before(s.untrackedUntil) {
		n += s.untracked
	}
	return n
}

// free reports whether the server is open and has a free slot for a request.
func (s *server) free(now time.Time) bool { return s.occupancy(now) < s.Slots && s.open(now) }

// open reports whether a request may be sent now, to run or to wait for a slot at the server.
func (s *server) open(now time.Time) bool {
	return s.occupancy(now) < s.room(now) && !now.Before(s.fullUntil) && !now.Before(s.nextSendAt) && !s.closedByRests(now)
}

// waitingForSlot returns how many admitted requests wait for a slot at the server.
func (s *server) waitingForSlot() int { return max(len(s.admissions)-s.Slots, 0) }

// startNext records that a slot has become free, so that the first request that waits at the server
// has started.
func (s *server) startNext(now time.Time) {
	var first ID
	found := false
	for id, a := range s.admissions {
		if a.startedAt.IsZero() && (!found || a.admittedAt.Before(s.admissions[first].admittedAt)) {
			first, found = id, true
		}
	}
	if found {
		a := s.admissions[first]
		a.startedAt = now
		s.admissions[first] = a
	}
}

// ejectionActive reports whether the time of the last ejection is not over yet.
func (s *server) ejectionActive(now time.Time) bool { return now.Before(s.ejectedUntil) }

// timeToFreeSlot returns the time until a slot is free.
func (s *server) timeToFreeSlot(now time.Time) time.Duration {
	least, first := time.Duration(0), true
	if len(s.admissions) >= s.Slots {
		for _, a := range s.admissions {
			if left := a.remaining(now); first || left < least {
				least, first = left, false
			}
		}
	}
	return max(least, s.fullUntil.Sub(now), s.nextSendAt.Sub(now))
}

// learn updates what is known of the server with the outcome of a request, which counts for a service time. The weight is
// that of the answer in the time ratio.
func (s *server) learn(done Completion, a admission, took, mean time.Duration, weight float64, now time.Time) {
	s.evidence.observe(done.From, done.Outcome, now)
	switch done.Outcome {
	case Answered:
		ratio := min(max(float64(took)/a.coldFactor/float64(max(mean, time.Millisecond)), minTimeRatio), maxTimeRatio)
		s.timeRatio += (ratio - s.timeRatio) * weight
		s.failureRate -= s.failureRate * failureWeight
		s.rests.answered(a.admittedAt)
		s.answers++
		if s.failureRate < failureWeight {
			s.nextEjectionTime = minEjectionTime
			s.evidence.forget()
		}
	case Failed, Lost:
		s.failureRate += (1 - s.failureRate) * failureWeight
	case Full:
		if !done.Load.Known || done.Load.Running+done.Load.Waiting >= s.Slots {
			s.fullUntil = now.Add(fullBackoff)
		}
	case NotOwner, Unsent, Cancelled:
	}
	if done.Load.Known {
		// The report still counts the request that has just ended.
		s.untracked = max(done.Load.Running+done.Load.Waiting-len(s.admissions)-1, 0)
		s.untrackedUntil = now.Add(untrackedTimeout)
	}
}

// eject keeps requests from the server for a time that doubles with each ejection.
func (s *server) eject(now time.Time) {
	s.ejected = true
	s.ejectedUntil = now.Add(s.nextEjectionTime)
	s.nextEjectionTime = min(2*s.nextEjectionTime, maxEjectionTime)
}
