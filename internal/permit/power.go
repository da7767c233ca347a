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
	out := make(map[string]Capacity, len(k.heard))
	for id, s := range k.heard {
		if s.heard >= heardLeast {
			out[id] = Capacity{Rate: s.slotPower() / mean.Seconds(), Answers: s.heard - s.told}
			s.told = s.heard
			delete(k.heard, id)
		}
	}
	return out
}

// main returns the mean time of the route that is used most.
func (k *Controller) main() time.Duration {
	var most *route
	for _, r := range k.routes {
		if r.heard > 0 && (most == nil || r.heard > most.heard) {
			most = r
		}
	}
	if most == nil {
		return 0
	}
	return most.mean
}
