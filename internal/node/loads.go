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
}

// serviceLoad is the load of one service and the capacity of its servers, by id, as the leader knows them.
type serviceLoad struct {
	rates      *shard.Rates
	capacities map[string]capacityEstimates
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
	sum, answers := 0.0, 0.0
	for name, e := range es {
		if e.decay(now); e.answers < minEstimateAnswers {
			delete(es, name)
			continue
		}
		sum += e.rate * e.answers
		answers += e.answers
	}
	return sum / max(answers, minCapacityAnswers), answers >= minCapacityAnswers
}

func newLoadTracker() *loadTracker {
	return &loadTracker{counts: map[string]map[uint16]uint16{}, services: map[string]*serviceLoad{}}
}

// count counts a request for a key.
func (l *loadTracker) count(service string, key uint16) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[service] == nil {
		l.counts[service] = map[uint16]uint16{}
	}
	l.counts[service][key]++
}

// flush returns the counts since the last call by service, as reports of the named instance.
func (l *loadTracker) flush(name string) map[string]dgram.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]dgram.LoadReport, len(l.counts))
	for service, counts := range l.counts {
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
	s := l.services[m.Service]
	if s == nil {
		s = &serviceLoad{rates: shard.NewRates(now), capacities: map[string]capacityEstimates{}}
		l.services[m.Service] = s
	}
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
	}
}

// load returns the requests per second of a service by key, nil if nothing is known.
func (l *loadTracker) load(service string) []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[service]
	if s == nil {
		return nil
	}
	return s.rates.Load(time.Now())
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
		if lost, failed := n.port.Dropped.Swap(0), n.port.Failed.Swap(0); lost+failed > 0 {
			n.events.Record(event.StateChange, "messages-lost", "lost", lost, "failed", failed)
		}
		reports := n.loadTracker.flush(n.settings.Name)
		for _, service := range n.cluster.dividedServices() {
			m := reports[service]
			m.Name, m.Service = n.settings.Name, service
			for id, capacity := range n.admissions.capacityReport(service) {
				m.Servers = append(m.Servers, id)
				m.Capacities = append(m.Capacities, capacity.Rate)
				m.Answers = append(m.Answers, uint16(min(capacity.Answers, math.MaxUint16)))
			}
			n.sendLoadReport(m)
		}
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
