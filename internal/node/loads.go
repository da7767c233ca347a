package node

import (
	"context"
	"math"
	"sync"
	"time"

	"example.org/mustardring/internal/dgram"
	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/shard"
)

const (
	// reportInterval is the time between two load reports to the leader.
	reportInterval = 500 * time.Millisecond
	// capacityHalfLife is the time after which an answer counts half for the capacity of a server, and
	// minCapacityAnswers the number of answers, so weighted, from which on a capacity counts as known.
	capacityHalfLife   = 3 * time.Second
	minCapacityAnswers = 3
	// minEstimateAnswers is the number of answers, so weighted, below which an estimate is dropped.
	minEstimateAnswers = 0.1
)

// loadTracker counts the requests for keys that this instance receives. At the leader it also adds up the reports of
// all instances.
type loadTracker struct {
	mu sync.Mutex
	// counts holds this instance's own counts by service and key since its last report, services what all instances
	// reported to this one as the leader.
	counts   map[string]map[uint16]uint16
	services map[string]*serviceLoad
	// speedRanges is the setting load.speed-ranges. hurryUntil holds, by service, until when this instance reports more
	// often with it.
	speedRanges bool
	hurryUntil  map[string]time.Time
}

// serviceLoad is the load of one service and the capacity of its servers, by id, as the leader knows them.
type serviceLoad struct {
	rates      *shard.Rates
	capacities map[string]capacityEstimates
	// rejects holds the rejections by server, work the distribution of service times. The reports began at since, and the
	// last one came at reportedAt.
	rejects    *shard.Rejects
	work       shard.WorkTimes
	since      time.Time
	reportedAt time.Time
}

// newServiceLoad returns the load of a service that is reported for the first time.
func newServiceLoad(speedRanges bool, now time.Time) *serviceLoad {
	s := &serviceLoad{rates: shard.NewRates(now), capacities: map[string]capacityEstimates{}, rejects: shard.NewRejects(), since: now}
	if speedRanges {
		s.rates = shard.NewGroupRates(now)
	}
	return s
}

// capacityEstimates holds the last estimate of the capacity of one server by each instance, weighted by the number of
// recent answers that it rests on.
//
// Unweighted, an instance that has seen a single answer could outweigh the one that controls the server: the capacity
// would seem several times higher to every second plan, which would move ranges to the server that the next plan
// moves away.
type capacityEstimates map[string]*capacityEstimate

// capacityEstimate is the estimate of one instance.
type capacityEstimate struct {
	// rate is in requests per second.
	rate float64
	// answers is the number of answers that the estimate rests on, decayed as of the time at.
	answers float64
	at      time.Time
}

// decay reduces the weight of the answers by the time since the last call.
func (e *capacityEstimate) decay(now time.Time) {
	e.answers *= math.Exp2(-now.Sub(e.at).Seconds() / capacityHalfLife.Seconds())
	e.at = now
}

// add replaces the estimate of an instance.
func (es capacityEstimates) add(name string, rate float64, answers int, now time.Time) {
	e := es[name]
	if e == nil {
		e = &capacityEstimate{at: now}
		es[name] = e
	}
	e.decay(now)
	e.rate = rate
	e.answers += float64(answers)
}

// rate returns the weighted mean of the estimates in requests per second, and whether enough answers are known for
// it.
func (es capacityEstimates) rate(now time.Time) (float64, bool) {
	sum, answers := es.weigh(now)
	return sum / max(answers, minCapacityAnswers), answers >= minCapacityAnswers
}

// weigh returns the sum of the estimates, weighted by the number of answers, and that number. It drops old estimates.
func (es capacityEstimates) weigh(now time.Time) (sum, answers float64) {
	for name, e := range es {
		if e.decay(now); e.answers < minEstimateAnswers {
			delete(es, name)
			continue
		}
		sum += e.rate * e.answers
		answers += e.answers
	}
	return sum, answers
}

func newLoadTracker(speedRanges bool) *loadTracker {
	return &loadTracker{
		counts: map[string]map[uint16]uint16{}, services: map[string]*serviceLoad{}, speedRanges: speedRanges, hurryUntil: map[string]time.Time{},
	}
}

// count counts a request for a key.
func (l *loadTracker) count(service string, key uint16) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[service] == nil {
		l.counts[service] = map[uint16]uint16{}
		if _, known := l.hurryUntil[service]; !known {
			l.hurry(service, time.Now())
		}
	}
	l.counts[service][key]++
}

// flush returns the counts since the last call by service, as reports of the named instance, of the services that are due.
func (l *loadTracker) flush(name string, due func(service string) bool) map[string]dgram.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]dgram.LoadReport, len(l.counts))
	for service, counts := range l.counts {
		if !due(service) {
			continue
		}
		m := dgram.LoadReport{Name: name, Service: service}
		for key, count := range counts {
			m.Keys = append(m.Keys, key)
			m.Counts = append(m.Counts, count)
		}
		out[service] = m
		delete(l.counts, service)
	}
	return out
}

// add adds the report of an instance.
func (l *loadTracker) add(m dgram.LoadReport, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.reported(m.Service, now)
	for i, key := range m.Keys {
		if i < len(m.Counts) {
			s.rates.Add(key, int(m.Counts[i]), now)
		}
	}
	for i, id := range m.Servers {
		if i >= len(m.Capacities) || i >= len(m.Answers) || m.Answers[i] == 0 {
			continue
		}
		if s.capacities[id] == nil {
			s.capacities[id] = capacityEstimates{}
		}
		s.capacities[id].add(m.Name, m.Capacities[i], int(m.Answers[i]), now)
		if l.speedRanges {
			s.rejects.Add(id, 0, int(m.Answers[i]), now)
		}
	}
}

// reported returns the load of a service that is reported. The lock is held.
func (l *loadTracker) reported(service string, now time.Time) *serviceLoad {
	s := l.services[service]
	if s == nil || l.speedRanges && now.Sub(s.reportedAt) > maxReportGap {
		s = newServiceLoad(l.speedRanges, now)
		l.services[service] = s
	}
	s.reportedAt = now
	return s
}

// load returns the requests per second of a service by key, nil if nothing is known.
func (l *loadTracker) load(service string) []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, s := time.Now(), l.services[service]
	if s == nil || l.speedRanges && now.Sub(s.since) < minLoadAge {
		return nil
	}
	return s.rates.Load(now)
}

// capacities returns the known capacities of the servers of a service in requests per second.
func (l *loadTracker) capacities(service string) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[service]
	if s == nil {
		return nil
	}
	now := time.Now()
	if l.speedRanges {
		return s.speeds(now)
	}
	out := make(map[string]float64, len(s.capacities))
	for id, es := range s.capacities {
		if rate, known := es.rate(now); known {
			out[id] = rate
		} else if len(es) == 0 {
			delete(s.capacities, id)
		}
	}
	return out
}

// reportLoop reports the requests that this instance counted and the capacities that it measured to the leader. It
// also logs lost messages.
func (n *Node) reportLoop(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		n.logLostMessages()
		n.sendLoadReports(func(string) bool { return true })
	}
}

// logLostMessages logs how many messages were lost since the last call, if any.
func (n *Node) logLostMessages() {
	if lost, failed := n.port.Dropped.Swap(0), n.port.Failed.Swap(0); lost+failed > 0 {
		n.events.Record(event.StateChange, "messages-lost", "lost", lost, "failed", failed)
	}
}

// sendLoadReports sends the reports of the services that are due.
func (n *Node) sendLoadReports(due func(service string) bool) {
	reports := n.loadTracker.flush(n.settings.Name, due)
	for _, service := range n.cluster.dividedServices() {
		if !due(service) {
			continue
		}
		m := reports[service]
		m.Name, m.Service = n.settings.Name, service
		more := dgram.ServerReport{Service: service}
		for id, capacity := range n.admissions.capacityReport(service) {
			if capacity.Answers > 0 {
				m.Servers = append(m.Servers, id)
				m.Capacities = append(m.Capacities, capacity.Rate)
				m.Answers = append(m.Answers, uint16(min(capacity.Answers, math.MaxUint16)))
			}
			if capacity.Rejected > 0 {
				more.Servers = append(more.Servers, id)
				more.Rejected = append(more.Rejected, uint16(min(capacity.Rejected, math.MaxUint16)))
			}
		}
		n.sendLoadReport(m)
		n.sendServerReport(more)
	}
}

// sendLoadReport sends a report to the leader, unless it is empty or no leader is known.
func (n *Node) sendLoadReport(m dgram.LoadReport) {
	leader, found := n.roster.Leader(time.Now())
	if !found || len(m.Keys)+len(m.Servers) == 0 {
		return
	}
	if leader.Name == n.settings.Name {
		n.loadTracker.add(m, time.Now())
		return
	}
	if to, ok := peerAddress(leader); ok {
		n.port.Send(to, m)
	}
}
