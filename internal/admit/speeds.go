package admit

import (
	"math"
	"time"

	"example.org/mustardring/internal/shard"
)

// With Options.SpeedRanges the first answers of a server show its speed, rare long requests do not change it, and the
// controller counts what plans of owners need besides: the requests that servers reject or fail, and how service times
// are distributed.

const (
	// minSpeedWeight is the weight of an answer in a time ratio that rests on many. Only the owner of a key may run its
	// requests: a time ratio that follows each long request rejects others and moves keys for nothing.
	minSpeedWeight = 0.05
	// maxRatioStep bounds the time ratio that a single answer counts for, as a multiple of that of the server.
	maxRatioStep = 3
	// minSpeedAnswers is the number of answers from which on a capacity is reported, minWorkAnswers that of a server and
	// of a route from which on service times are compared with the mean.
	minSpeedAnswers = 3
	minWorkAnswers  = 10
)

// ratioWeight returns the weight of the newest answer in the time ratio of a server. The first answers count as much as
// each other and as one answer of mean speed before them.
func (c *Controller) ratioWeight(s *server) float64 {
	if !c.options.SpeedRanges {
		return timeRatioWeight
	}
	return max(minSpeedWeight, 1/float64(s.answers+2))
}

// countedTime returns the service time that a request counts for.
func (c *Controller) countedTime(s *server, done Completion, a admission, mean time.Duration) time.Duration {
	took := a.serviceTime(done)
	if !c.options.SpeedRanges {
		return took
	}
	return min(took, time.Duration(maxRatioStep*s.timeRatio*a.coldFactor*float64(max(mean, time.Millisecond))))
}

// countLosses counts a request that its server rejected while it had free slots, or failed. One that was lost counts if it
// is the server that loses requests.
func (c *Controller) countLosses(now time.Time, s *server, done Completion) {
	if !c.options.SpeedRanges {
		return
	}
	lost := done.Outcome == Failed || done.Outcome == Lost && s.evidence.holds(now)
	if lost || done.Outcome == Full && done.Load.Known && done.Load.Running+done.Load.Waiting < s.Slots {
		s.rejected++
		c.answered[s.ID] = s
	}
}

// countWork counts the service time of an answer as a multiple of what the speed of the server and the mean of its route
// let expect, before the controller learns from it.
func (c *Controller) countWork(s *server, done Completion, a admission, r *routeStats) {
	if !c.options.SpeedRanges || done.Outcome != Answered || s.answers < minWorkAnswers || r.answers < minWorkAnswers {
		return
	}
	expected := float64(r.meanTime) * s.timeRatio * a.coldFactor
	if n := &c.work[shard.WorkBucket(float64(a.serviceTime(done))/expected)]; *n < math.MaxUint16 {
		*n++
	}
}

// ReportWork returns the number of answers since the last report by bucket of their service times, nil if there are none.
func (c *Controller) ReportWork() []uint16 {
	counts := c.work
	if counts == [shard.WorkBuckets]uint16{} {
		return nil
	}
	c.work = [shard.WorkBuckets]uint16{}
	return counts[:]
}

// reportSpeeds returns what is known of each server with answers or rejections since the last report.
func (c *Controller) reportSpeeds() map[string]Capacity {
	mean := c.main()
	out := make(map[string]Capacity, len(c.answered))
	for id, s := range c.answered {
		r := Capacity{Rejected: s.rejected}
		s.rejected = 0
		if known := mean > 0 && s.answers >= minSpeedAnswers; known {
			r.Rate, r.Answers = s.slotCapacity()/mean.Seconds(), s.answers-s.reportedAnswers
			s.reportedAnswers = s.answers
			delete(c.answered, id)
		}
		if r.Answers+r.Rejected > 0 {
			out[id] = r
		}
	}
	return out
}
