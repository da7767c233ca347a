package node

import (
	"context"
	"fmt"
	"time"

	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/roster"
	"example.org/mustardring/internal/shard"
)

// With the setting load.speed-ranges, instances report more often while a service is new or rejects requests, and the
// leader makes plans from what it knows of few answers, of rejections and of service times.

const (
	// hurryTime is for how long an instance reports a service more often after its first request and after each rejection.
	hurryTime = 3 * time.Second
	// maxHurryingInstances is the number of instances up to which reports are more frequent. The leader then gets up to
	// 2,000 reports of a service per second, and with more instances one per instance and reportInterval as before.
	maxHurryingInstances = 500
	// minLoadAge is the age of the first report of a service from which on its load is known: all instances have
	// reported by then. A load that is missing for maxReportGap starts anew.
	minLoadAge   = 750 * time.Millisecond
	maxReportGap = 5 * time.Second
	// workInterval is the time between two reports of service times.
	workInterval = 2 * time.Second
	// priorAnswers is the weight of the mean speed in the capacity of a server, as a number of answers. The capacity of a
	// server that gets no more requests returns to the mean in some 15 seconds.
	priorAnswers = 0.5
)

// learn adds a report. Instances of the previous release send none.
func (l *loadTracker) learn(m dgram.ServerReport, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.speedRanges {
		return
	}
	s := l.reported(m.Service, now)
	s.work.Add(m.Work, now)
	for i, id := range m.Servers {
		if i < len(m.Rejected) {
			s.rejects.Add(id, int(m.Rejected[i]), 0, now)
		}
	}
}

// sendServerReport sends a report to the leader, unless no leader is known. Service times alone are reported only when
// workInterval is over, so that there are few messages besides the load reports.
func (n *Node) sendServerReport(m dgram.ServerReport) {
	now := time.Now()
	if !n.settings.Overload.SpeedRanges || len(m.Servers) == 0 && now.Sub(n.workReportedAt[m.Service]) < workInterval {
		return
	}
	leader, found := n.roster.Leader(now)
	if !found {
		return
	}
	m.Work, n.workReportedAt[m.Service] = n.admissions.workReport(m.Service), now
	if leader.Name == n.settings.Name {
		n.loadTracker.learn(m, now)
	} else if to, ok := peerAddress(leader); ok && len(m.Servers)+len(m.Work) > 0 {
		n.port.Send(to, m)
	}
}

// speeds returns the capacities of servers in requests per second. Those of few answers are closer to the mean.
func (s *serviceLoad) speeds(now time.Time) map[string]float64 {
	mean, known := 0.0, 0.0
	for id, es := range s.capacities {
		sum, answers := es.weigh(now)
		if len(es) == 0 {
			delete(s.capacities, id)
			continue
		}
		mean, known = mean+sum/answers, known+1
	}
	out := make(map[string]float64, len(s.capacities))
	for id, es := range s.capacities {
		sum, answers := es.weigh(now)
		out[id] = (sum + priorAnswers*mean/known) / (answers + priorAnswers)
	}
	return out
}

// rejectRates returns the result of shard.Rejects.Shares for a service.
func (l *loadTracker) rejectRates(service string) (map[string]float64, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.services[service]; s != nil {
		return s.rejects.Shares(time.Now())
	}
	return nil, 0
}

// workTimes returns the distribution of the service times of a service, nil if it is not known.
func (l *loadTracker) workTimes(service string) *shard.WorkTimes {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[service]
	if s == nil || !s.work.Known() {
		return nil
	}
	out := s.work
	return &out
}

// hurry lets this instance report a service more often for some time. The lock is held.
func (l *loadTracker) hurry(service string, now time.Time) {
	if l.speedRanges {
		l.hurryUntil[service] = now.Add(hurryTime)
	}
}

// rejected lets this instance report a service more often, as one of its requests was rejected.
func (l *loadTracker) rejected(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hurry(service, time.Now())
}

// hurries reports whether this instance reports a service more often.
func (l *loadTracker) hurries(service string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.hurryUntil[service])
}

// reportSpeedsLoop reports like reportLoop, but twice as often the services that are new or reject requests.
func (n *Node) reportSpeedsLoop(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval / 2)
	defer ticker.Stop()
	for half := false; ; half = !half {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !half {
			n.logLostMessages()
		}
		size, known := n.roster.Size().(roster.Known)
		few := known && size.Instances <= maxHurryingInstances
		now := time.Now()
		n.sendLoadReports(func(service string) bool { return !half || few && n.loadTracker.hurries(service, now) })
	}
}

// planMetrics returns the lines of the metric plan_servers. They are zero at an instance that does not lead.
func (n *Node) planMetrics() []string {
	slow, rejecting := 0, 0
	n.plans.Range(func(_, report any) bool {
		slow, rejecting = slow+report.(shard.Report).Slow, rejecting+report.(shard.Report).Rejecting
		return true
	})
	return []string{fmt.Sprintf("plan_servers{state=\"slow\"} %d\n", slow), fmt.Sprintf("plan_servers{state=\"rejecting\"} %d\n", rejecting)}
}
