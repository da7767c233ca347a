package node

import (
	"context"
	"math"
	"sync"
	"time"

	"example.org/mustardring/internal/event"
	"example.org/mustardring/internal/gram"
	"example.org/mustardring/internal/shard"
)

// The times of loads.
const (
	reportInterval = 500 * time.Millisecond
	// capacityHalfLife is the time after which an answer counts half for the power of a server, and
	// powerLeast the number of answers, so counted, from which on a power is believed.
	capacityHalfLife   = 3 * time.Second
	minCapacityAnswers = 3
	// minEstimateAnswers is the number of answers, so counted, below which a word is forgotten.
	minEstimateAnswers = 0.1
)

// loadTracker counts the requests for keys, and at the leader adds up what all instances counted.
type loadTracker struct {
	mu sync.Mutex
	// counts are this instance's own, since its last report.
	counts   map[string]map[uint16]uint16
	services map[string]*serviceLoad
}

// serviceLoad is the load of one service as the leader knows it.
type serviceLoad struct {
	rates      *shard.Rates
	capacities map[string]capacityEstimates
}

// capacityEstimates is what the instances say of a server: the last word of each, weighed by the answers that
// it has seen of late.
//
// With the last word of all counting, an instance that has seen a single answer outdoes the one in
// charge of the server: the server seems several times as powerful to each second plan, which moves ranges
// there that the next one moves away.
type capacityEstimates map[string]*capacityEstimate

// capacityEstimate is what one instance says of a server.
type capacityEstimate struct {
	rate    float64
	answers float64
	at      time.Time
}

func (w *capacityEstimate) decay(now time.Time) {
	w.answers *= math.Exp2(-now.Sub(w.at).Seconds() / capacityHalfLife.Seconds())
	w.at = now
}

// add takes in the word of an instance.
func (p capacityEstimates) add(name string, rate float64, answers int, now time.Time) {
	w := p[name]
	if w == nil {
		w = &capacityEstimate{at: now}
		p[name] = w
	}
	w.decay(now)
	w.rate = rate
	w.answers += float64(answers)
}

// rate returns the requests that the server can run in a second, and whether that is known.
func (p capacityEstimates) rate(now time.Time) (float64, bool) {
	sum, answers := 0.0, 0.0
	for name, w := range p {
		if w.decay(now); w.answers < minEstimateAnswers {
			delete(p, name)
			continue
		}
		sum += w.rate * w.answers
		answers += w.answers
	}
	return sum / max(answers, minCapacityAnswers), answers >= minCapacityAnswers
}

func newLoadTracker() *loadTracker {
	return &loadTracker{counts: map[string]map[uint16]uint16{}, services: map[string]*serviceLoad{}}
}

func (l *loadTracker) count(service string, key uint16) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[service] == nil {
		l.counts[service] = map[uint16]uint16{}
	}
	l.counts[service][key]++
}

// flush returns the counts since the last call.
func (l *loadTracker) flush(name string) map[string]gram.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]gram.LoadReport, len(l.counts))
	for service, counts := range l.counts {
		m := gram.LoadReport{Name: name, Service: service}
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
func (l *loadTracker) add(m gram.LoadReport, now time.Time) {
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

// load returns the load of a service by key.
func (l *loadTracker) load(service string) []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[service]
	if s == nil {
		return nil
	}
	return s.rates.Load(time.Now())
}

// capacities returns what the servers of a service can do.
func (l *loadTracker) capacities(service string) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[service]
	if s == nil {
		return nil
	}
	now := time.Now()
	out := make(map[string]float64, len(s.capacities))
	for id, p := range s.capacities {
		if rate, known := p.rate(now); known {
			out[id] = rate
		} else if len(p) == 0 {
			delete(s.capacities, id)
		}
	}
	return out
}

// reportLoop sends what this instance counted to the leader.
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
			n.events.Note(event.Belief, "messages-lost", "lost", lost, "failed", failed)
		}
		reports := n.loadTracker.flush(n.settings.Name)
		for _, service := range n.cluster.dividedServices() {
			m := reports[service]
			m.Name, m.Service = n.settings.Name, service
			for id, power := range n.admissions.capacityReport(service) {
				m.Servers = append(m.Servers, id)
				m.Capacities = append(m.Capacities, power.Rate)
				m.Answers = append(m.Answers, uint16(min(power.Answers, math.MaxUint16)))
			}
			n.sendLoadReport(m)
		}
	}
}

func (n *Node) sendLoadReport(m gram.LoadReport) {
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
