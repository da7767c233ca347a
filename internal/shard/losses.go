package shard

// Reason says why keys are moved.
type Reason int

// The reasons.
const (
	// Lost means that the server of the keys is lost.
	Lost Reason = iota
	// Blocked means that requests find no place at the server, Slow that they take longer than the target, Rejecting that
	// the server rejects or fails them.
	Blocked
	Slow
	Rejecting
	// Joined means that ranges which are no longer busy become one.
	Joined
	reasons
)

func (r Reason) String() string {
	return [...]string{"lost", "blocked", "slow", "rejecting", "joined"}[r]
}

// Report describes what a plan rests on, and its moves.
type Report struct {
	// Servers holds the usable servers in descending order of the loss rate, if Input.SpeedRanges is set.
	Servers []ServerLoad
	// LossShare is the share of the requests that are lost or late without the plan.
	LossShare float64
	// Slow is the number of servers at which many requests take longer than the target without waiting, Rejecting that
	// of servers that reject more requests than others.
	Slow      int
	Rejecting int
	// Moves holds the number of moved ranges by reason.
	Moves [reasons]int
}

const (
	// reportedSlowShare is the share of slow requests from which on a server counts as slow in a report, reportedExcess
	// the difference to the lowest share of rejected requests from which on it counts as rejecting.
	reportedSlowShare = 0.05
	reportedExcess    = 0.1
)

// report returns the report of a plan that makes no moves.
func (p *planner) report() Report {
	var out Report
	if !p.in.SpeedRanges {
		return out
	}
	lost, load, lowest := 0.0, 0.0, 1.0
	for _, s := range p.usable {
		lowest = min(lowest, s.RejectRate)
	}
	for _, s := range p.byLoss() {
		out.Servers = append(out.Servers, ServerLoad{Server: s.ID, Load: s.load, Capacity: s.capacity})
		lost, load = lost+s.lossRate, load+s.load
		if s.slow >= reportedSlowShare {
			out.Slow++
		}
		if s.RejectRate >= lowest+reportedExcess {
			out.Rejecting++
		}
	}
	if !p.blind() {
		out.LossShare = lost / max(load, minCapacity)
	}
	return out
}

// losses holds the requests per second that are lost or late at a server, by reason.
type losses [reasons]float64

// lossesOf returns the losses at a server under a load in requests per second. Requests that the server rejects take none of
// its time.
func (p *planner) lossesOf(load float64, s *server) losses {
	sent := load * (1 - p.blockedShare(load*s.accepted, s))
	var out losses
	out[Blocked] = load - sent
	out[Rejecting] = sent * (1 - s.accepted)
	out[Slow] = sent * s.accepted * s.slow
	return out
}

// slowShare returns the share of requests whose service time alone exceeds the target at a server. The rate of a capped
// server does not tell its speed.
func (p *planner) slowShare(s *server) float64 {
	if s.Capped {
		return 0
	}
	return p.in.Work.Above(p.in.TargetLatency * s.capacity / float64(max(s.Slots, 1)))
}

// reasonFor returns the reason for which a load is moved away from a server: the greatest loss that this prevents.
func (p *planner) reasonFor(load float64, s *server) Reason {
	before, after := p.lossesOf(s.load, s), p.lossesOf(s.load-load, s)
	best := Blocked
	for _, r := range []Reason{Slow, Rejecting} {
		if before[r]-after[r] > before[best]-after[best] {
			best = r
		}
	}
	return best
}
