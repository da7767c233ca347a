package leader

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"example.org/mustardring/internal/place"
	"example.org/mustardring/internal/record"
	"example.org/mustardring/internal/route"
)

// The benchmarks in this file except BenchmarkHandle measure in virtual time. Run them with
// -benchtime 1x: their results are the reported metrics, not the time per operation.

const (
	sampleInterval  = 5 * ms
	measureSeeds    = 100
	lossTime        = 6000 * ms
	observationTime = 9000 * ms
)

// loss says what fails at the same time in a measurement.
type loss struct {
	server, leader, gate, logDown, restart bool
}

// outage says how long one range was unavailable in a measurement, and whether it has another
// owner afterwards.
type outage struct {
	duration Time
	moved    bool
}

// usable reports whether a hash has exactly one owner, and every live instance knows this owner
// and a live gate of it.
func (w *world) usable(hash uint64) bool {
	owners := w.owners(hash)
	if len(owners) != 1 {
		return false
	}
	for _, n := range w.instances {
		if n.down {
			continue
		}
		if n.table == nil || ownerIn(n.table, hash) != owners[0][:3] || w.gateLost(n.table, owners[0][:3]) {
			return false
		}
	}
	return true
}

func (w *world) gateLost(t *route.Table, server string) bool {
	for _, g := range t.Gates {
		if g.Server == server {
			return w.machines[g.Instance].down
		}
	}
	return true
}

func ownerIn(t *route.Table, hash uint64) string {
	for _, o := range t.Owners {
		if o.Range.Contains(hash) {
			return o.Server
		}
	}
	return ""
}

// measureOutages causes a loss and returns the outage of each range that it affects.
func measureOutages(seed uint64, l layout, lost loss, oneWay Time) []outage {
	w := newWorld(seed, l, "")
	w.oneWayDelay = oneWay
	w.startAll()
	w.advance(lossTime)
	if lost.logDown {
		w.log.downTo = 1 << 60
	}
	w.advance(lossTime + 500*ms + Time(w.random.Int64N(int64(200*ms))))
	leader := w.leading()
	affected, before := w.hashes, make(map[uint64]string)
	for _, hash := range w.hashes {
		before[hash] = ownerIn(leader.core.Table(), hash)
	}
	if lost.server || lost.gate {
		victim := w.servers[len(w.servers)-1].name
		affected = slices.DeleteFunc(slices.Clone(w.hashes), func(h uint64) bool { return before[h] != victim })
		if !w.injectLoss(victim, lost) {
			return nil
		}
	}
	if lost.restart {
		w.boot(w.servers[len(w.servers)-1])
	}
	if lost.leader {
		w.kill(leader)
	}
	return w.outages(affected, before)
}

// injectLoss ends a server, or its gate if that is not the leader. It reports whether it ended
// one.
func (w *world) injectLoss(victim string, lost loss) bool {
	if lost.server {
		w.machines[victim].down = true
		return true
	}
	for _, n := range w.instances {
		if n.holders[victim] != nil && n.core.lead == nil && n.holders[victim].exchanges > 0 {
			w.kill(n)
			return true
		}
	}
	return false
}

func (w *world) outages(affected []uint64, before map[uint64]string) []outage {
	lostAt := w.now
	usableAfter := make(map[uint64]Time)
	for w.now < lostAt+observationTime {
		for _, hash := range affected {
			if !w.usable(hash) {
				usableAfter[hash] = w.now + sampleInterval - lostAt
			}
		}
		w.advance(w.now + sampleInterval)
	}
	var result []outage
	table := w.leading().core.Table()
	for _, hash := range affected {
		result = append(result, outage{duration: usableAfter[hash], moved: ownerIn(table, hash) != before[hash]})
	}
	return result
}

// BenchmarkOutage measures how long ranges are unavailable after losses.
func BenchmarkOutage(b *testing.B) {
	losses := map[string]loss{
		"server": {server: true}, "server log down": {server: true, logDown: true},
		"leader": {leader: true}, "leader log down": {leader: true, logDown: true},
		"both": {server: true, leader: true}, "both log down": {server: true, leader: true, logDown: true},
	}
	for _, oneWay := range []Time{500_000, 1_400_000} {
		for name, lost := range losses {
			b.Run(fmt.Sprintf("%s/%.1fms", name, float64(oneWay)/1e6), func(b *testing.B) {
				for b.Loop() {
					reportOutages(b, stableLayout(3, 5, 0), lost, oneWay)
				}
			})
		}
	}
	for _, voters := range []int{1, 2, 3} {
		b.Run(fmt.Sprintf("restart of one of %d voters/0.5ms", voters), func(b *testing.B) {
			for b.Loop() {
				reportOutages(b, stableLayout(3, voters, 0), loss{restart: true}, 500_000)
			}
		})
	}
	b.Run("gate of unchecked server/0.5ms", func(b *testing.B) {
		for b.Loop() {
			reportOutages(b, stableLayout(3, 3, 2), loss{gate: true}, 500_000)
		}
	})
}

func reportOutages(b *testing.B, l layout, lost loss, oneWay Time) {
	var all []Time
	moved := 0
	for seed := uint64(1); seed <= measureSeeds; seed++ {
		for _, o := range measureOutages(seed, l, lost, oneWay) {
			all = append(all, o.duration)
			if o.moved {
				moved++
			}
		}
	}
	slices.Sort(all)
	at := func(per100 int) float64 { return float64(all[(len(all)-1)*per100/100]) / 1e6 }
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(at(50), "p50-ms")
	b.ReportMetric(at(99), "p99-ms")
	b.ReportMetric(at(100), "max-ms")
	b.ReportMetric(float64(moved), "moved")
	b.ReportMetric(float64(len(all)), "ranges")
}

// BenchmarkControl measures the rate and size of the exchanges of one leader without faults.
func BenchmarkControl(b *testing.B) {
	for _, servers := range []int{5, 20, 50, 100, 200} {
		for _, each := range []int{8, 64} {
			b.Run(fmt.Sprintf("servers=%d/ranges=%d", servers, servers*each), func(b *testing.B) {
				for b.Loop() {
					w := newWorld(1, stableLayout(1, servers, 0), "")
					w.hashes = nil
					w.layout.placer = slicePlacerOf(servers * each)
					w.startAll()
					w.advance(5000 * ms)
					w.messages, w.bytes, w.countBytes = 0, 0, true
					w.advance(15000 * ms)
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(float64(w.messages)/10, "messages/s")
					b.ReportMetric(float64(w.bytes)/10, "bytes/s")
				}
			})
		}
	}
}

// BenchmarkAppends counts the records that the log takes after an event.
func BenchmarkAppends(b *testing.B) {
	events := map[string]func(w *world){
		"start":       func(w *world) { w.startAll() },
		"server loss": func(w *world) { w.servers[0].down = true },
		"leader loss": func(w *world) { n := w.leading(); n.down, n.generation = true, n.generation+1 },
		"log back":    func(w *world) { w.log.downTo = w.now + 20_000*ms; w.servers[0].down = true },
	}
	for name, event := range events {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				w := newWorld(1, stableLayout(3, 5, 0), "")
				if name != "start" {
					w.startAll()
					w.advance(6000 * ms)
				}
				terms, made, size := w.log.counts()
				event(w)
				w.advance(w.now + 30_000*ms)
				terms2, made2, size2 := w.log.counts()
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(terms2-terms), "terms")
				b.ReportMetric(float64(made2-made), "assignments")
				b.ReportMetric(float64(size2-size), "bytes")
			}
		})
	}
}

func (l *simLog) counts() (terms, made, bytes int) {
	for _, e := range l.entries {
		data, err := record.Encode(e.r)
		if err != nil {
			panic(err)
		}
		bytes += len(data)
		switch e.r.(type) {
		case record.TermClaimed:
			terms++
		case record.AssignmentMade:
			made++
		}
	}
	return terms, made, bytes
}

// encodedSize returns the number of bytes of an exchange or answer in its JSON encoding.
func encodedSize(v any) int {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(body)
}

// BenchmarkHandle measures the processor time that a leader takes for one event: a tick, an
// answer, the start of an exchange interval, or a pass over all ranges.
func BenchmarkHandle(b *testing.B) {
	for _, servers := range []int{5, 50, 200} {
		for _, each := range []int{8, 64} {
			w := newWorld(1, stableLayout(1, servers, 0), "")
			w.hashes = nil
			w.layout.placer = slicePlacerOf(servers * each)
			w.startAll()
			w.advance(5000 * ms)
			n := w.leading()
			name := fmt.Sprintf("servers=%d/ranges=%d", servers, servers*each)
			b.Run("tick/"+name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					n.core.Handle(n.clock(w.now), Ticked{})
				}
			})
			h := n.core.lead.sortedHolders()[0]
			answer := w.holder(w.servers[0], h.server).exchange(w.lastExchange)
			b.Run("answered/"+name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					answer.Serial++
					n.core.Handle(n.clock(w.now), Answered{Server: h.server, AskedAt: h.answeredAt, Answer: answer})
				}
			})
			b.Run("period/"+name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					n.core.lead.exchangeAt = n.core.now
					n.core.Handle(n.clock(w.now), Ticked{})
				}
			})
			b.Run("pass/"+name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					n.core.lead.rangesDirty, n.core.lead.reconcileAt = true, 0
					n.core.lead.tableDirty, n.core.lead.publishAt = true, 0
					n.core.Handle(n.clock(w.now), Ticked{})
				}
			})
		}
	}
}

func slicePlacerOf(slicesOf int) func(*world) place.Placer {
	return func(*world) place.Placer { return &slicePlacer{slicesPerHome: slicesOf} }
}
