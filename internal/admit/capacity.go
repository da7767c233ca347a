package admit

import "time"

// Capacity is the number of requests that a server can run in a second, and the number of answers
// since the last report that it is based on. Rejected is the number of requests since the last report that it rejected
// while it had free slots, or failed.
type Capacity struct {
	Rate     float64
	Answers  int
	Rejected int
}

// ReportCapacity returns the capacity of each server with answers since the last report.
func (c *Controller) ReportCapacity() map[string]Capacity {
	if c.options.SpeedRanges {
		return c.reportSpeeds()
	}
	mean := c.main()
	if mean <= 0 {
		return nil
	}
	out := make(map[string]Capacity, len(c.answered))
	for id, s := range c.answered {
		if s.answers >= minReportAnswers {
			out[id] = Capacity{Rate: s.slotCapacity() / mean.Seconds(), Answers: s.answers - s.reportedAnswers}
			s.reportedAnswers = s.answers
			delete(c.answered, id)
		}
	}
	return out
}

// main returns the mean service time of the route with the most answers.
func (c *Controller) main() time.Duration {
	var busiest *routeStats
	for _, r := range c.routes {
		if r.answers > 0 && (busiest == nil || r.answers > busiest.answers) {
			busiest = r
		}
	}
	if busiest == nil {
		return 0
	}
	return busiest.meanTime
}
