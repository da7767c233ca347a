package permit

import "time"

// Capacity is how many requests a server can run in a second, and the number of answers since the
// last report that say so.
type Capacity struct {
	Rate    float64
	Answers int
}

// ReportCapacity returns the power of each server with answers since the last report.
func (k *Controller) ReportCapacity() map[string]Capacity {
	mean := k.main()
	if mean <= 0 {
		return nil
	}
	out := make(map[string]Capacity, len(k.answered))
	for id, s := range k.answered {
		if s.answers >= minReportAnswers {
			out[id] = Capacity{Rate: s.slotCapacity() / mean.Seconds(), Answers: s.answers - s.reportedAnswers}
			s.reportedAnswers = s.answers
			delete(k.answered, id)
		}
	}
	return out
}

// main returns the mean time of the route that is used most.
func (k *Controller) main() time.Duration {
	var most *routeStats
	for _, r := range k.routes {
		if r.answers > 0 && (most == nil || r.answers > most.answers) {
			most = r
		}
	}
	if most == nil {
		return 0
	}
	return most.meanTime
}
