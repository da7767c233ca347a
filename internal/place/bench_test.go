package place

import (
	"fmt"
	"testing"

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

func benchmark(b *testing.B, v View) {
	p := New()
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
