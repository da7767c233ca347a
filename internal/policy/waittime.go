package policy

import "time"

// expectedWait estimates how long a new request of a caller would wait. Callers take turns, so
// of each other caller, the request waits behind at most as many requests as its own caller has
// waiting, itself included. If the caller is empty, it waits behind all requests.
//
// No request completes at a frozen server, so the mean run time does not grow. The estimate
// therefore uses the time since the last start at a server if that is longer, provided that no
// usable server has a free slot.
func (q *Queue) expectedWait(now Time, caller string) time.Duration {
	ahead := q.waiting
	if caller != "" {
		turn := q.queueLength(caller) + 1
		ahead = 0
		for _, c := range q.order {
			ahead += min(len(c.requests), turn)
		}
	}
	slots := 0
	stalled := time.Duration(-1)
	for i := range q.servers {
		s := &q.servers[i]
		usable := s.usableSlots(now)
		slots += usable
		if usable == 0 {
			continue
		}
		sinceStart := time.Duration(0)
		if s.slotsInUse >= usable {
			sinceStart = time.Duration(now - s.lastStartAt)
		}
		if stalled < 0 || sinceStart < stalled {
			stalled = sinceStart
		}
	}
	runTime := max(q.meanRunTime, stalled)
	return runTime * time.Duration(ahead+1) / time.Duration(max(slots, 1))
}
