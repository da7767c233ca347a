package policy

import "time"

// expectedWait returns the time that a new request of a caller is likely to wait. Callers take
// turns, so a caller with a short line is served before the long lines end.
//
// When a server is frozen no request ends, and the mean running time stays as it was. The
// time since the newest start then grows, and takes the mean's place.
func (q *Queue) expectedWait(now Time, caller string) time.Duration {
	ahead := q.waiting
	if caller != "" {
		turn := q.queueLength(caller) + 1
		ahead = 0
		for _, l := range q.order {
			ahead += min(len(l.requests), turn)
		}
	}
	slots := 0
	quiet := time.Duration(-1)
	for i := range q.servers {
		p := &q.servers[i]
		usable := p.usableSlots(now)
		slots += usable
		if usable == 0 {
			continue
		}
		since := time.Duration(0)
		if p.slotsInUse >= usable {
			since = time.Duration(now - p.lastStartAt)
		}
		if quiet < 0 || since < quiet {
			quiet = since
		}
	}
	run := max(q.meanRunTime, quiet)
	return run * time.Duration(ahead+1) / time.Duration(max(slots, 1))
}
