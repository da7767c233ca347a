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
	reportEvery = 500 * time.Millisecond
	// loadHalf is the time after which an old load counts half. Busy keys change within
	// seconds, and one instance sees few requests a second for each.
	loadHalf = 3 * time.Second
	// powerTime is how long the word of an instance about a server's power counts.
	powerTime = 10 * time.Second
)

// loads counts the requests for keys, and at the leader adds up what all instances counted.
type loads struct {
	mu sync.Mutex
	// counts are this instance's own, since its last report.
	counts map[string]map[uint16]uint16
	sums   map[string]*sum
}

// sum is the load of one service as the leader knows it.
type sum struct {
	// rates are requests in a second by bucket, as of at.
	rates []float64
	at    time.Time
	power map[string]powerOf
}

type powerOf struct {
	value float64
	at    time.Time
}

func newLoads() *loads {
	return &loads{counts: map[string]map[uint16]uint16{}, sums: map[string]*sum{}}
}

func (l *loads) count(service string, key uint16) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[service] == nil {
		l.counts[service] = map[uint16]uint16{}
	}
	l.counts[service][uint16(shard.BucketOf(key))]++
}

// flush returns the counts since the last call.
func (l *loads) flush(name string) map[string]gram.Loads {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]gram.Loads, len(l.counts))
	for service, counts := range l.counts {
		m := gram.Loads{Name: name, Service: service}
		for bucket, count := range counts {
			m.Buckets = append(m.Buckets, bucket)
			m.Counts = append(m.Counts, count)
		}
		out[service] = m
		delete(l.counts, service)
	}
	return out
}

// take adds the report of an instance.
func (l *loads) take(m gram.Loads, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sums[m.Service]
	if s == nil {
		s = &sum{rates: make([]float64, shard.Buckets), at: now, power: map[string]powerOf{}}
		l.sums[m.Service] = s
	}
	s.decay(now)
	// A steady rate r adds up to r once decay and counts are in balance.
	weight := math.Ln2 / loadHalf.Seconds()
	for i, bucket := range m.Buckets {
		if int(bucket) < shard.Buckets && i < len(m.Counts) {
			s.rates[bucket] += float64(m.Counts[i]) * weight
		}
	}
	for i, id := range m.Servers {
		if i < len(m.Powers) {
			s.power[id] = powerOf{m.Powers[i], now}
		}
	}
}

func (s *sum) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(s.at).Seconds() / loadHalf.Seconds())
	for i := range s.rates {
		s.rates[i] *= factor
	}
	s.at = now
}

// of returns the load of a service by bucket, and the power of its servers.
func (l *loads) of(service string) ([]float64, map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sums[service]
	if s == nil {
		return nil, nil
	}
	now := time.Now()
	s.decay(now)
	powers := make(map[string]float64, len(s.power))
	for id, p := range s.power {
		if now.Sub(p.at) > powerTime {
			delete(s.power, id)
			continue
		}
		powers[id] = p.value
	}
	return append([]float64(nil), s.rates...), powers
}

// report sends what this instance counted to the leader.
func (n *Node) report(ctx context.Context) error {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if lost, failed := n.port.Lost.Swap(0), n.port.Failed.Swap(0); lost+failed > 0 {
			n.events.Note(event.Belief, "messages-lost", "lost", lost, "failed", failed)
		}
		reports := n.loads.flush(n.settings.Name)
		for _, service := range n.world.divided() {
			m := reports[service]
			m.Name, m.Service = n.settings.Name, service
			for id, power := range n.permits.powers(service) {
				m.Servers = append(m.Servers, id)
				m.Powers = append(m.Powers, power)
			}
			n.sendLoads(m)
		}
	}
}

func (n *Node) sendLoads(m gram.Loads) {
	leader, found := n.roster.Leader(time.Now())
	if !found || len(m.Buckets)+len(m.Servers) == 0 {
		return
	}
	if leader.Name == n.settings.Name {
		n.loads.take(m, time.Now())
		return
	}
	if to, ok := address(leader); ok {
		n.port.Send(to, m)
	}
}
