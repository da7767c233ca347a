package place

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"unsafe"

	"example.org/mustardring/internal/route"
	"example.org/mustardring/pkg/grant"
	"example.org/mustardring/pkg/keys"
)

// BenchmarkPlace measures one call by servers and ranges for each server: at rest, and with
// one server lost.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{5, 15, 50, 150, 500, 1900} {
		for _, ranges := range []int{1, 4, 8} {
			v := settledView(n, ranges)
			b.Run(fmt.Sprintf("rest/servers=%d/ranges=%d", n, n*ranges), func(b *testing.B) { benchmark(b, v) })
			v.Servers[n/2].Accepting = false
			b.Run(fmt.Sprintf("lost/servers=%d/ranges=%d", n, n*ranges), func(b *testing.B) { benchmark(b, v) })
		}
	}
}

// BenchmarkPlaceHard measures calls that change much at 1,900 servers: a rack of 40 lost, and
// loads between half and one and a half of the mean, none of them settled yet.
func BenchmarkPlaceHard(b *testing.B) {
	for _, n := range []int{150, 500, 1900} {
		rack := settledView(n, 8)
		for i := range 40 {
			rack.Servers[3*i].Accepting = false
		}
		b.Run(fmt.Sprintf("rack/servers=%d", n), func(b *testing.B) { benchmark(b, rack) })
		uneven := settledView(n, 8)
		random := rand.New(rand.NewPCG(1, 1))
		for i := range uneven.Owned {
			uneven.Owned[i].Load = 50 + 100*random.Float64()
		}
		b.Run(fmt.Sprintf("uneven/servers=%d", n), func(b *testing.B) { benchmark(b, uneven, WithOverloadDelay(0), WithMoveBudget(1)) })
	}
}

func benchmark(b *testing.B, v View, options ...Option) {
	p := New(options...)
	b.ReportAllocs()
	for b.Loop() {
		p.Place(v)
	}
}

// settledView returns servers of equal load that hold equal ranges in turn, with 240 hot keys.
func settledView(n, ranges int) View {
	v := View{Now: 3600 * second, Homes: []keys.Range{keys.Full}, Servers: servers(n, 2)}
	for i, r := range keys.Split(keys.Full, n*ranges) {
		v.Owned = append(v.Owned, Owned{Range: r, Server: v.Servers[i%n].Name, Load: 100, LoadAt: v.Now})
	}
	for _, r := range keys.Split(keys.Full, 240) {
		v.HotHashes = append(v.HotHashes, r.First+r.Last%1000+7)
	}
	return v
}

// BenchmarkTable measures what the targets of a domain cost as a routing table: the bytes of
// JSON for each range.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{15, 150, 1900} {
		for _, ranges := range []int{1, 8} {
			v := settledView(n, ranges)
			table := tableOf(New().Place(v))
			b.Run(fmt.Sprintf("ranges=%d", len(table.Owners)), func(b *testing.B) {
				b.ReportAllocs()
				size := 0
				for b.Loop() {
					text, err := json.Marshal(table)
					if err != nil {
						b.Fatal(err)
					}
					size = len(text)
				}
				b.ReportMetric(float64(size)/float64(len(table.Owners)), "bytes/range")
				b.ReportMetric(float64(unsafe.Sizeof(route.Owner{})), "memory-bytes/range")
			})
		}
	}
}

// tableOf returns a routing table with epochs as long as they get.
func tableOf(targets []Target) route.Table {
	term := grant.Term{Log: 1 << 30, Sub: 1, Incarnation: 1 << 60}
	table := route.Table{Domain: "domain-1", Term: term, Serial: 1 << 30, BundleVersion: 1 << 20}
	for _, t := range targets {
		table.Owners = append(table.Owners, route.Owner{
			Service: "stockbook",
			Range:   t.Range,
			Server:  t.Server,
			Epoch:   grant.Epoch{Term: term, Sequence: 1 << 20},
			Offset:  1 << 30,
		})
	}
	return table
}
